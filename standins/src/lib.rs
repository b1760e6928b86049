//! Stand-ins for the systems around cassiacross, for tests, demo and measurements.

pub mod deployment;
pub mod fleet;
pub mod history;
pub mod load;
pub mod process;
pub mod register;
pub mod wait;
