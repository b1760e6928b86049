//! A balancer's way of a pass-through packet: from its destination to a chain of agents.

use std::net::SocketAddrV4;

use serde::{Deserialize, Serialize};

use crate::{
    chains,
    clock::Millis,
    ident::{DomainId, ServiceId},
    protocol, record, roster,
    segment::Segment,
};

/// Stops of a packet that opens nothing: its home, the home's second, and one more
/// that may have been home before the last change of the service's agents.
const KNOWN_STOPS: usize = 3;

/// Former services of an address that are remembered.
const MAX_FORMER: usize = 4;

/// A service that an address leads to.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Target {
    /// The service.
    pub service: ServiceId,
    /// Its share of new flows, relative to the other targets.
    pub weight: u32,
}

/// An address that callers use.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Route {
    /// The address.
    pub address: SocketAddrV4,
    /// Where new flows go.
    pub targets: Vec<Target>,
    /// Services that open flows of this address may still belong to, newest first.
    pub former: Vec<ServiceId>,
    /// How urgent the work is.
    pub class: record::Class,
    /// Time within which a request should be answered.
    pub target: Millis,
}

/// All routes in one version, sorted by address.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Config {
    /// The operator's version; a higher one replaces a lower one.
    pub version: u64,
    /// The routes.
    pub routes: Vec<Route>,
}

impl Config {
    /// Sorts the routes and carries over what open flows need of the version before.
    #[must_use]
    pub fn inherit(mut self, before: Option<&Self>) -> Self {
        self.routes.sort_by_key(|route| route.address);
        self.routes.dedup_by_key(|route| route.address);
        let Some(before) = before else {
            return self;
        };
        for route in &mut self.routes {
            if let Some(old) = before.find(route.address) {
                route.remember(old);
            }
        }
        self
    }

    /// The route of an address.
    #[must_use]
    pub fn find(&self, address: SocketAddrV4) -> Option<&Route> {
        self.routes
            .binary_search_by_key(&address, |route| route.address)
            .ok()
            .map(|at| &self.routes[at])
    }
}

impl Route {
    fn remember(&mut self, old: &Self) {
        let services = old.targets.iter().map(|target| target.service);
        for service in services.chain(old.former.iter().copied()) {
            let current = self.targets.iter().any(|target| target.service == service);
            if !current && !self.former.contains(&service) {
                self.former.push(service);
            }
        }
        self.former.truncate(MAX_FORMER);
    }

    /// How long new work may wait: urgent work up to its target, other work half
    /// as long, so that urgent work still finds room when there is too much of all.
    fn patience(&self) -> Millis {
        match self.class {
            record::Class::Urgent => self.target,
            record::Class::Normal | record::Class::Bulk => Millis(self.target.0 / 2),
        }
    }

    /// The target of a new flow by its hash.
    fn pick(&self, hash: u64) -> Option<ServiceId> {
        let total: u64 = self.targets.iter().map(|target| weight(*target)).sum();
        let mut left = (hash >> 32).checked_rem(total)?;
        for target in &self.targets {
            if left < weight(*target) {
                return Some(target.service);
            }
            left -= weight(*target);
        }
        None
    }

    /// The services that packets of open flows may belong to, the likeliest first.
    fn services(&self, picked: ServiceId) -> impl Iterator<Item = ServiceId> {
        let targets = self.targets.iter().map(|target| target.service);
        std::iter::once(picked)
            .chain(targets.filter(move |service| *service != picked))
            .chain(self.former.iter().copied())
    }
}

const fn weight(target: Target) -> u64 {
    target.weight as u64
}

/// Why a caller's packet was not sent on.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Refusal {
    /// There is no configuration yet.
    NoConfig,
    /// No route has the destination.
    NoRoute,
    /// The service has no agent.
    NoAgents,
}

impl Refusal {
    /// The reason's name in logs and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::NoConfig => "drop_unconfigured",
            Self::NoRoute => "refuse_route",
            Self::NoAgents => "drop_no_agents",
        }
    }
}

/// The chains of all services as one balancer sees them, sorted by service.
#[derive(Debug, Default)]
pub struct Tables {
    chains: Vec<chains::Chains>,
    revision: Option<u64>,
}

impl Tables {
    /// Drops the chains where the roster has changed.
    pub fn refresh(&mut self, roster: &roster::Roster) {
        if self.revision != Some(roster.revision()) {
            self.chains.clear();
            self.revision = Some(roster.revision());
        }
    }

    /// The chains of a service.
    pub fn chains(&mut self, service: ServiceId, roster: &roster::Roster) -> &mut chains::Chains {
        let found = self
            .chains
            .binary_search_by_key(&service, chains::Chains::service);
        let at = found.unwrap_or_else(|at| {
            self.chains.insert(at, chains::Chains::new(service, roster));
            at
        });
        &mut self.chains[at]
    }
}

/// The header that a caller's packet travels under.
///
/// A packet that opens a flow goes along the chain of one service; each copy of it
/// starts one stop later, in case the first one is dead. Any other packet goes to
/// the homes of its flow in all services that the flow may belong to.
pub fn build_header(
    config: Option<&Config>,
    tables: &mut Tables,
    roster: &roster::Roster,
    seed: u64,
    segment: &Segment,
) -> Result<protocol::Header, Refusal> {
    let config = config.ok_or(Refusal::NoConfig)?;
    let route = config.find(segment.to).ok_or(Refusal::NoRoute)?;
    let hash = segment.inbound().hash(seed);
    let picked = route.pick(hash).ok_or(Refusal::NoAgents)?;
    let origin = roster.me().domain;
    let stops = if segment.syn {
        opening(tables.chains(picked, roster), origin, hash, segment.ack)
    } else {
        known(route, picked, tables, roster, origin, hash)
    };
    if stops.is_empty() {
        return Err(Refusal::NoAgents);
    }
    Ok(protocol::Header {
        version: protocol::VERSION,
        mode: protocol::Mode::Chain,
        origin,
        hops: stops,
        max_wait: route.patience(),
        best: None,
        requester: None,
    })
}

fn opening(
    chains: &mut chains::Chains,
    origin: DomainId,
    hash: u64,
    copy: u32,
) -> Vec<protocol::ServiceHop> {
    let mut stops: Vec<_> = chains.chain(origin, hash).collect();
    if !stops.is_empty() {
        let len = stops.len();
        stops.rotate_left(usize::try_from(copy).unwrap_or(0) % len);
    }
    stops
}

fn known(
    route: &Route,
    picked: ServiceId,
    tables: &mut Tables,
    roster: &roster::Roster,
    origin: DomainId,
    hash: u64,
) -> Vec<protocol::ServiceHop> {
    let mut stops = Vec::with_capacity(KNOWN_STOPS + 1);
    for service in route.services(picked) {
        let most = if service == picked { KNOWN_STOPS } else { 1 };
        stops.extend(
            tables
                .chains(service, roster)
                .chain(origin, hash)
                .take(most),
        );
    }
    stops.truncate(protocol::MAX_HOPS);
    stops
}
