//! Which balancer gets a packet.

use std::{net::SocketAddrV4, str::FromStr, time::Duration};

use rand::{Rng, SeedableRng, rngs::SmallRng};
use serde::{Deserialize, Serialize};

use crate::faults;

/// A balancer as the fabric is told of it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Balancer {
    /// Where the balancer takes GUE datagrams.
    pub packets: SocketAddrV4,
    /// Base URL of its HTTP calls.
    pub http: String,
}

/// A balancer as the fabric sees it.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct BalancerStatus {
    /// Where the balancer takes GUE datagrams.
    pub packets: SocketAddrV4,
    /// Base URL of its HTTP calls.
    pub http: String,
    /// Whether its last `/ready` was answered with 200.
    pub ready: bool,
    /// Whether the fabric is told of it still.
    pub listed: bool,
    /// Packets that it was sent.
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

/// What became of a packet towards the balancers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum Choice {
    /// Copies go to this balancer after these delays.
    Send(SocketAddrV4, Vec<Duration>),
    /// The packet is lost on the way.
    Lost,
    /// No balancer is ready.
    Nowhere,
}

/// Balancers, sorted by address, and the faults of both directions.
#[derive(Debug)]
pub(super) struct Router {
    balancers: Vec<BalancerStatus>,
    rng: SmallRng,
    up: faults::Injector,
    down: faults::Injector,
}

impl Router {
    pub(super) fn new(seed: u64) -> Self {
        Self {
            balancers: Vec::new(),
            rng: SmallRng::seed_from_u64(seed),
            up: faults::Injector::new(seed ^ 1),
            down: faults::Injector::new(seed ^ 2),
        }
    }

    /// Replaces the list; balancers that stay keep their state.
    pub(super) fn list(&mut self, balancers: &[Balancer]) {
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
            self.up.set(faults, seed);
        }
        if direction != Some(Direction::ToBalancers) {
            self.down.set(faults, seed.map(|seed| seed ^ 1));
        }
    }

    /// Picks a balancer at random among those that are ready.
    pub(super) fn choose(&mut self) -> Choice {
        let is_open = |status: &&mut BalancerStatus| status.listed && status.ready;
        let open = self.balancers.iter_mut().filter(is_open).count();
        if open == 0 {
            return Choice::Nowhere;
        }
        let pick = self.rng.random_range(0..open);
        let copies = self.up.copy_delays();
        if copies.is_empty() {
            return Choice::Lost;
        }
        let mut open = self.balancers.iter_mut().filter(is_open);
        open.nth(pick).map_or(Choice::Nowhere, |status| {
            status.sent += 1;
            Choice::Send(status.packets, copies)
        })
    }

    /// The delays of the copies of an answer.
    pub(super) fn answer(&mut self) -> Vec<Duration> {
        self.down.copy_delays()
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
            .ok_or_else(|| format!("`{text}` is not of the form ip:port=http://ip:port"))?;
        let packets = packets
            .parse()
            .map_err(|error| format!("`{packets}`: {error}"))?;
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
