//! Deployment schemas: the options that describe sharding, repeatability and merging, their validation and the generated clients.
