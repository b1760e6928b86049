//! Proxies that do harm to what they relay, each before one protected address.
//!
//! A proxy listens before its target is known, so that its address can stand
//! in the settings of the process behind it.

pub mod fleet;
pub mod tcp;
pub mod udp;
