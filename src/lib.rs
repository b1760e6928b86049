//! cassiacross: a layer-4 load balancer for hosts of every size.
//!
//! The library holds the decisions as plain functions over tables; the
//! daemons under `src/bin` read sockets, call the library and carry its
//! actions out.

pub mod admin;
pub mod admission;
pub mod announce;
pub mod attempt;
pub mod backoff;
pub mod balancer;
pub mod budget;
pub mod change;
pub mod clock;
pub mod config;
pub mod connection;
pub mod displaced;
pub mod drain;
pub mod endpoint;
pub mod exchange;
pub mod fields;
pub mod flow;
pub mod forward;
pub mod gossip;
pub mod gue;
pub mod header;
pub mod health;
pub mod ident;
pub mod member;
pub mod membership;
pub mod metrics;
pub mod moves;
pub mod outcome;
pub mod packet;
pub mod platform;
pub mod queue;
pub mod record;
pub mod relay;
pub mod reply;
pub mod request;
pub mod reset;
pub mod seal;
pub mod settings;
pub mod stream;
pub mod table;
pub mod udp;
pub mod version;
pub mod views;
pub mod watch;
