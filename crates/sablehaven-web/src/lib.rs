//! salvo servers within the limits on what a process holds for its clients.
//!
//! A server made here accepts as many connections as its share of a [`ClientBudget`](sablehaven_http::ClientBudget)
//! allows, and counts the bodies of its requests and responses.

mod hoop;
mod policy;
mod server;

pub use hoop::{ReadError, RequestBody, client_of, read_body};
pub use server::{MAX_HEADER_BYTES, bounded_server};
