//! Stand-ins for the systems around cassiacross, for tests, demo and measurements.

pub mod call;
pub mod deployment;
pub mod exchange;
pub mod fleet;
pub mod front;
pub mod history;
pub mod host;
pub mod load;
pub mod process;
pub mod register;
pub mod wait;
