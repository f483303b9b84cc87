//! Typed clients of the deployments' services, generated from their schemas, and what they share.
//!
//! A caller connects to the agent beside it and calls methods as functions:
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
//! let answer = portal.reserve_pallet(&key, &request, CallOptions::default()).await?;
//! println!("{:?}: {:?}", answer.outcome, answer.body);
//! # Ok(())
//! # }
//! ```

// Generated code names this crate by its own name, inside it and elsewhere.
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
