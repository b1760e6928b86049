//! cassiacross: a layer-4 load balancer for hosts of every size.
//!
//! The library holds the decisions as plain functions over tables; the
//! daemons under `src/bin` read sockets, call the library and carry its
//! actions out.

pub mod balancer;
pub mod clock;
pub mod exchange;
pub mod forward;
pub mod gossip;
pub mod gue;
pub mod header;
pub mod ident;
pub mod member;
pub mod membership;
pub mod packet;
pub mod record;
pub mod seal;
pub mod settings;
pub mod table;
