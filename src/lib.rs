//! cassiacross: a layer-4 load balancer that weights hosts by their measured capacity.
//!
//! The network in front of the balancers, the fabric, sends a caller's packet to any
//! balancer. The balancer selects an agent by a hash of the packet's flow and forwards the
//! packet to it. An agent runs beside each upstream. There are two kinds of services, each
//! with its own data path, membership protocol and programs:
//!
//! - In a terminated service, the agent ends the caller's TCP flow and relays requests or
//!   bytes to the upstream ([`forward`], [`flow`], [`relay`], [`membership`], [`gossip`]).
//!   The programs are `cassiacross-balancer` and `cassiacross-agent`.
//! - In a pass-through service, the upstream terminates the flow itself, and the agent only
//!   decides where each packet goes ([`balancer_loop`], [`agent_core`], [`agent_loop`], [`routing`],
//!   [`steering`], [`roster`]). The program is `cassiacross-platform`.
//!
//! Decisions are functions over in-memory tables. Event loops read the sockets, call these
//! functions and carry out the actions that they return.

pub mod admin;
pub mod admin_reply;
pub mod admission;
pub mod agent_core;
pub mod agent_loop;
pub mod announce;
pub mod attempt;
pub mod backoff;
pub mod balancer;
pub mod balancer_loop;
pub mod budget;
pub mod chains;
pub mod change;
pub mod clock;
pub mod concurrency_limit;
pub mod config_transfer;
pub mod connection;
pub mod conntrack;
pub mod daemon;
pub mod displaced;
pub mod domain_digest;
pub mod endpoint;
pub mod evacuation;
pub mod exchange;
pub mod failure_detector;
pub mod flow;
pub mod flow_recovery;
pub mod former_addresses;
pub mod former_services;
pub mod forward;
pub mod gossip;
pub mod gue;
pub mod header;
pub mod header_ring;
pub mod health;
pub mod ident;
pub mod load;
pub mod log_writer;
pub mod member;
pub mod membership;
pub mod metrics;
pub mod moving_average;
pub mod mutex;
pub mod outcome;
pub mod owner_cache;
pub mod pacer;
pub mod packet;
pub mod peer_sync;
pub mod platform_sync;
pub mod polling;
pub mod protocol;
pub mod queue;
pub mod record;
pub mod record_table;
pub mod relay;
pub mod rendezvous;
pub mod request;
pub mod reset;
pub mod roster;
pub mod routing;
pub mod seal;
pub mod segment;
pub mod settings;
pub mod slow_start;
pub mod socket;
pub mod status;
pub mod steering;
pub mod store_watch;
pub mod stream;
pub mod telemetry;
pub mod traffic;
pub mod transport;
pub mod udp;
pub mod upstream;
pub mod upstream_drain;
pub mod validation;
pub mod version;
pub mod views;
pub mod waiting_room;

pub use platform_store as platform;
