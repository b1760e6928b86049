//! Stand-ins for the systems around cassiacross, for tests, demo and measurements.

pub mod client;
pub mod control;
pub mod deployment;
pub mod fabric;
pub mod faults;
pub mod fleet;
pub mod history;
pub mod host;
pub mod interpose;
pub mod load;
pub mod process;
pub mod proxy;
pub mod register;
pub mod request;
pub mod upstream;
pub mod wait;
