//! Starts deployments as real processes behind fault proxies, for tests and the fleet tool.
//!
//! Every process listens on and connects from a loopback address of its own (127.1.x.y), so that the
//! proxies can tell who opened a connection and cut one machine off from the others. That all of
//! 127.0.0.0/8 is local holds on Linux.

mod caller;
mod deployment;
mod error;
mod network;
mod node;
mod plan;
mod process;
mod program;
mod wait;

pub use caller::{HttpAnswer, HttpCaller};
pub use deployment::Deployment;
pub use error::HarnessError;
pub use node::{Node, NodeKind};
pub use plan::{DeploymentPlan, PlanSize};
pub use process::ManagedProcess;
pub use program::{Program, child_main};
pub use wait::{WAIT_LIMIT, now_ms, until};
