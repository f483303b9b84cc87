//! Stand-in servers behind a gateway: HTTP/1.1 on bare sockets, so that they can answer as no
//! library would.

mod behaviour;
mod message;
mod server;

pub use behaviour::{Behaviour, EndlessPart};
pub use message::SeenRequest;
pub use server::{RoutedNames, RoutedServer};
