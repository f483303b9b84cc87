//! The HTTP interface for callers.

mod handler;
mod request;
mod response;

pub use handler::CallHandler;
