//! What gateways tell each other of requests that take their servers down.

/// Names what a request asks for: the same for each try of it, at every gateway.
pub type RequestFingerprint = u64;
