//! cassiacross: a layer-4 load balancer for hosts of every size.
//!
//! The library holds the decisions as plain functions over tables; the
//! daemons under `src/bin` read sockets, call the library and carry its
//! actions out.

pub mod clock;
pub mod endpoint;
pub mod gue;
pub mod header;
pub mod ident;
pub mod member;
pub mod packet;
pub mod record;
pub mod reset;
pub mod seal;
pub mod settings;
pub mod stream;
pub mod table;
pub mod udp;
