//! cassiacross: a layer-4 load balancer for hosts of every size.
//!
//! The library holds the decisions as plain functions over tables; the
//! daemons under `src/bin` read sockets, call the library and carry its
//! actions out.

pub mod admission;
pub mod budget;
pub mod clock;
pub mod connection;
pub mod exchange;
pub mod gue;
pub mod header;
pub mod ident;
pub mod member;
pub mod metrics;
pub mod outcome;
pub mod packet;
pub mod queue;
pub mod record;
pub mod relay;
pub mod request;
pub mod seal;
pub mod settings;
pub mod table;
