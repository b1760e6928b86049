//! cassiacross: a layer-4 load balancer for hosts of every size.
//!
//! The library holds the decisions as plain functions over tables; the
//! daemons under `src/bin` read sockets, call the library and carry its
//! actions out.

pub mod admin;
pub mod backoff;
pub mod change;
pub mod clock;
pub mod config;
pub mod drain;
pub mod fields;
pub mod gue;
pub mod header;
pub mod ident;
pub mod member;
pub mod packet;
pub mod platform;
pub mod record;
pub mod reply;
pub mod seal;
pub mod settings;
pub mod table;
pub mod watch;
