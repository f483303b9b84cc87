//! An agent's connection to the relays: configuration view, lease and ledger calls.
//!
//! The logic is in state machines without I/O that get the current time as a parameter: [`ViewState`]
//! (the state in force), [`LeaseState`] (whether that state is proved to be current), [`Supervisor`]
//! (which relay to use) and [`ObservationBuffer`] (which observations to report). [`Subscription`] runs
//! them over network connections.

mod config;
mod lease;
mod manager;
mod metrics;
mod observations;
mod relay_selector;
mod session;
mod shared;
mod subscription;
mod supervisor;
mod view;
mod view_state;

pub use config::Config;
pub use lease::{LeaseState, Renewal};
pub use metrics::SubscriptionMetrics;
pub use observations::ObservationBuffer;
pub use relay_selector::{RelaySelector, RetrySettings};
pub use subscription::{AgentIdentity, Subscription};
pub use supervisor::{Action, LeaseHealth, SessionId, Supervisor, SupervisorSettings};
pub use view::View;
pub use view_state::ViewState;
