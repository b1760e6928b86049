//! Stand-ins for the systems around cassiacross, for tests, demo and measurements.

pub mod call;
pub mod control;
pub mod deployment;
pub mod exchange;
pub mod fabric;
pub mod faults;
pub mod fleet;
pub mod front;
pub mod history;
pub mod host;
pub mod load;
pub mod process;
pub mod proxy;
pub mod register;
pub mod upstream;
pub mod wait;
