//! TCP and UDP proxies that inject faults into the traffic they relay.
//!
//! A proxy listens before its target is known, so that the settings of the process behind it can
//! contain the proxy's address.

pub mod fleet;
pub mod tcp;
pub mod udp;
