//! Simulated external systems (fabric, upstreams, callers) and a harness that runs fleets of real
//! processes, for the tests, the demo and the benchmarks of cassiacross.

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
