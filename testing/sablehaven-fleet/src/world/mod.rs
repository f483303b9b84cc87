//! A running deployment with everything that is recorded of it.

mod error;
mod faults;
mod load;
mod operations;
mod running;

pub use error::FleetError;
pub use faults::{FaultRunner, targets};
pub use load::{LoadPlan, every_method};
pub use operations::Operations;
pub use running::World;
