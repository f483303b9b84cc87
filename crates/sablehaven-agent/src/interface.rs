//! The HTTP interface towards callers.

mod handler;
mod request;
mod response;

pub use handler::CallHandler;
