//! Selection of a balancer for each packet, and fault injection in both directions.

use std::{net::SocketAddrV4, str::FromStr, time::Duration};

use rand::{Rng, SeedableRng, rngs::SmallRng};
use serde::{Deserialize, Serialize};

use crate::faults;

/// Addresses of a balancer, as configured.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Balancer {
    /// GUE address of the balancer.
    pub packets: SocketAddrV4,
    /// Base URL of its HTTP interface.
    pub http: String,
}

/// State of a balancer in the fabric.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct BalancerStatus {
    /// GUE address of the balancer.
    pub packets: SocketAddrV4,
    /// Base URL of its HTTP interface.
    pub http: String,
    /// Whether the last probe of `/ready` returned a success status (200).
    pub ready: bool,
    /// Whether the balancer is in the configured list.
    pub listed: bool,
    /// Number of packets sent to it.
    pub sent: u64,
}

/// A direction through the fabric.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Direction {
    /// From callers to balancers.
    ToBalancers,
    /// From agents to callers.
    ToCallers,
}

/// Routing decision for a packet to the balancers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum Choice {
    /// Send one copy to this balancer after each of these delays.
    Send(SocketAddrV4, Vec<Duration>),
    /// Drop the packet; injected packet loss.
    Drop,
    /// Drop the packet; no balancer is ready.
    NoBalancer,
}

/// Balancers, sorted by GUE address, and the fault injectors of both directions.
#[derive(Debug)]
pub(super) struct Router {
    balancers: Vec<BalancerStatus>,
    rng: SmallRng,
    to_balancers: faults::Injector,
    to_callers: faults::Injector,
}

impl Router {
    pub(super) fn new(seed: u64) -> Self {
        Self {
            balancers: Vec::new(),
            rng: SmallRng::seed_from_u64(seed),
            to_balancers: faults::Injector::new(seed ^ 1),
            to_callers: faults::Injector::new(seed ^ 2),
        }
    }

    /// Replaces the list of balancers; balancers that remain keep their state.
    pub(super) fn set_balancers(&mut self, balancers: &[Balancer]) {
        for status in &mut self.balancers {
            status.listed = false;
        }
        for balancer in balancers {
            self.add(balancer);
        }
    }

    pub(super) fn listed(&self) -> impl Iterator<Item = &BalancerStatus> {
        self.balancers.iter().filter(|status| status.listed)
    }

    pub(super) fn all(&self) -> &[BalancerStatus] {
        &self.balancers
    }

    pub(super) fn set_ready(&mut self, packets: SocketAddrV4, ready: bool) {
        if let Ok(index) = self.find(packets) {
            self.balancers[index].ready = ready;
        }
    }

    pub(super) fn set_faults(
        &mut self,
        direction: Option<Direction>,
        faults: faults::Faults,
        seed: Option<u64>,
    ) {
        if direction != Some(Direction::ToCallers) {
            self.to_balancers.set(faults, seed);
        }
        if direction != Some(Direction::ToBalancers) {
            self.to_callers.set(faults, seed.map(|seed| seed ^ 1));
        }
    }

    /// Chooses a random ready balancer.
    pub(super) fn choose_balancer(&mut self) -> Choice {
        let is_eligible = |status: &&mut BalancerStatus| status.listed && status.ready;
        let eligible = self.balancers.iter_mut().filter(is_eligible).count();
        if eligible == 0 {
            return Choice::NoBalancer;
        }
        let pick = self.rng.random_range(0..eligible);
        let copies = self.to_balancers.copy_delays();
        if copies.is_empty() {
            return Choice::Drop;
        }
        let mut eligible = self.balancers.iter_mut().filter(is_eligible);
        eligible.nth(pick).map_or(Choice::NoBalancer, |status| {
            status.sent += 1;
            Choice::Send(status.packets, copies)
        })
    }

    /// Returns the delay of each copy of a response packet; empty if it is lost.
    pub(super) fn response_delays(&mut self) -> Vec<Duration> {
        self.to_callers.copy_delays()
    }

    fn add(&mut self, balancer: &Balancer) {
        let status = BalancerStatus {
            packets: balancer.packets,
            http: base_url(&balancer.http),
            ready: false,
            listed: true,
            sent: 0,
        };
        match self.find(balancer.packets) {
            Ok(index) => {
                let known = &mut self.balancers[index];
                known.ready &= known.http == status.http;
                known.http = status.http;
                known.listed = true;
            }
            Err(index) => self.balancers.insert(index, status),
        }
    }

    fn find(&self, packets: SocketAddrV4) -> Result<usize, usize> {
        self.balancers
            .binary_search_by_key(&packets, |status| status.packets)
    }
}

impl FromStr for Balancer {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (packets, http) = text
            .split_once('=')
            .ok_or_else(|| format!("invalid balancer `{text}`: expected ip:port=http://ip:port"))?;
        let packets = packets
            .parse()
            .map_err(|error| format!("invalid GUE address `{packets}`: {error}"))?;
        Ok(Self {
            packets,
            http: http.to_owned(),
        })
    }
}

fn base_url(http: &str) -> String {
    let http = http.trim_end_matches('/');
    if http.starts_with("http://") {
        http.to_owned()
    } else {
        format!("http://{http}")
    }
}
