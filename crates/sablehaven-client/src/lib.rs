//! Typed clients for the services of the deployments, generated from their schemas, and the code that
//! they share.
//!
//! A caller connects to the agent on its host and calls methods as functions:
//!
//! ```no_run
//! use sablehaven_client::{AgentConnection, CallOptions, RequestKey, trinacria};
//!
//! # async fn example() -> Result<(), sablehaven_client::CallError> {
//! let agent = AgentConnection::new("127.0.0.1:7300".parse().expect("an address"))?;
//! let portal = trinacria::OrderingPortalClient::new(agent);
//! let request = trinacria::ReservePalletRequest {
//!     depot_id: "depot-7".to_owned(),
//!     pallet_id: "pallet-31".to_owned(),
//!     pantry_id: "pantry-2".to_owned(),
//! };
//! let key = RequestKey::issued_now("pantry-2".into(), "reservation-118".into());
//! let response = portal.reserve_pallet(&key, &request, CallOptions::default()).await?;
//! println!("{:?}: {:?}", response.outcome, response.body);
//! # Ok(())
//! # }
//! ```

// Generated code refers to this crate by its name, also within this crate.
extern crate self as sablehaven_client;

mod call;
mod connection;
mod error;
pub mod generated;

pub use call::{CallOptions, MethodInfo, RequestKey};
pub use connection::AgentConnection;
pub use error::CallError;
pub use generated::{tareas, trinacria};
pub use prost;
pub use prost_types;
pub use sablehaven_types::{
    CallerId, ConfigurationAge, Coverage, Envelope, MissingReason, MissingShard, Outcome,
    RequestId, ShardId, SnapshotId,
};
