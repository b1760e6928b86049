//! Stand-ins for the systems around cassiacross, for tests, demo and measurements.

pub mod control;
pub mod fabric;
pub mod faults;
pub mod proxy;
