//! An agent's connection to the relays: configuration view, lease and ledger calls.
//!
//! The decisions are pure state machines with the time passed in: [`ViewState`] (what state is in
//! force), [`LeaseState`] (whether it is proved to be current), [`Supervisor`] (which relay to use)
//! and [`ObservationBuffer`] (what to report). [`Subscription`] runs them over sockets.

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
