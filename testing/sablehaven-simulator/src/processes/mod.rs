//! The processes of the simulated deployment.

pub mod administrator;
pub mod agent;
pub mod backends;
pub mod caller;
pub mod control;
pub mod operator;
pub mod relay;
