//! A running deployment with everything that is recorded of it.

mod back_ends;
mod error;
mod faults;
mod load;
mod operations;
mod race;
mod running;

pub use back_ends::BackEnds;
pub use error::FleetError;
pub use faults::{FaultRunner, targets};
pub use load::{LoadPlan, every_method};
pub use operations::Operations;
pub use race::{disturb_back_ends, race};
pub use running::World;
