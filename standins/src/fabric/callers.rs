//! Synthetic addresses of the callers.

use std::net;

use rand::{Rng, SeedableRng, rngs::SmallRng};

/// Network of the callers, 10.77.0.0/16.
const NETWORK: u32 = 0x0a4d_0000;
/// Number of hosts in the network of the callers.
const HOSTS: u32 = 65_534;
/// First port of a host.
const FIRST_PORT: u16 = 1_024;
/// Number of ports of a host.
const PORTS_PER_HOST: u32 = 64_000;

/// Generator of unique caller addresses.
#[derive(Debug)]
pub(super) struct Callers {
    next: u32,
    rng: SmallRng,
}

impl Callers {
    /// Creates a generator that starts at an address given by the seed.
    pub(super) fn new(seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        Self {
            next: rng.random(),
            rng,
        }
    }

    /// Returns an unused caller address and the seed of its endpoint.
    pub(super) fn next_caller(&mut self) -> (net::SocketAddrV4, u64) {
        let index = self.next;
        self.next = self.next.wrapping_add(1);
        let host = NETWORK + 1 + (index / PORTS_PER_HOST) % HOSTS;
        let port = u16::try_from(index % PORTS_PER_HOST).unwrap_or_default() + FIRST_PORT;
        let caller = net::SocketAddrV4::new(net::Ipv4Addr::from_bits(host), port);
        (caller, self.rng.random())
    }
}
