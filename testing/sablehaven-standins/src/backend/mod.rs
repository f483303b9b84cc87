//! A stand-in back-end server: slots, a bounded queue, cold start, drain, shedding, cancellation,
//! deadlines, several index snapshots at once, and load reports that lag and mislead.

mod handler;
mod in_flight;
mod load;
mod network;
mod record;
mod server;
mod settings;
mod state;

pub(crate) use network::Network;
pub use network::NetworkMap;
pub use record::ExecutionLog;
pub(crate) use server::Surroundings;
pub use server::{Backend, BackendError};
pub use settings::{BackendSettings, BadReply, Behaviour, HeldSnapshot, ServiceTime};
pub use state::BackendStatus;
