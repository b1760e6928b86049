//! Packet routing of a pass-through balancer: from a packet's destination address to a
//! service and its candidate agents.

use std::net::SocketAddrV4;

use serde::{Deserialize, Serialize};

use crate::{
    chains,
    clock::Millis,
    former_services,
    ident::{DomainId, ServiceId},
    pacer, protocol, record, roster,
    segment::Segment,
    transport,
};

/// Hops in the most likely service for a packet that does not open a flow: the first and
/// second home agent of the flow, and one more agent that may have been a home before the
/// last change of the service's agents.
const OPEN_FLOW_HOPS: usize = 3;

/// Time between the first SYN of a flow and each of its copies. Callers count the copies in
/// the acknowledgement number.
const COPY_AGES: [Millis; 3] = [Millis(0), Millis(200), Millis(600)];

/// Maximum time for which a new flow waits for a free slot: callers give a SYN up 1.4 s after
/// they have sent it first.
const MAX_HOLD: Millis = Millis(1_250);

/// Part of a route's time-out for which a new flow waits at most.
const HOLD_TIMEOUT_PARTS: u64 = 3;

/// Maximum number of former services kept per address.
const MAX_FORMER: usize = 4;

/// Service to which an address routes flows.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Target {
    /// Service that receives the flows.
    pub service: ServiceId,
    /// Share of new flows, relative to the other targets of the route.
    pub weight: u32,
}

/// Route of one address that callers connect to.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Route {
    /// Destination address and port of the callers' packets.
    pub address: SocketAddrV4,
    /// Services that receive new flows.
    pub targets: Vec<Target>,
    /// Services that were targets of this address before and may still have open flows,
    /// newest first.
    pub former: Vec<ServiceId>,
    /// Priority class of the requests.
    pub class: record::Class,
    /// Target latency of a request.
    pub target: Millis,
    /// Time after which callers give a request up, if the operator has stated it. New flows
    /// wait for a free slot only on routes that have one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub timeout: Option<Millis>,
}

/// Routing configuration.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Config {
    /// Version set by the operator; a higher version replaces a lower one.
    pub version: u64,
    /// Routes, sorted by address.
    pub routes: Vec<Route>,
    /// Limits of services, sorted by service.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub limits: Vec<ServiceLimit>,
}

/// Limit of the upstreams of one service.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct ServiceLimit {
    /// The service.
    pub service: ServiceId,
    /// New flows per second that an upstream takes while it warms up.
    pub cold_rate: f64,
}

impl Eq for ServiceLimit {}

impl Config {
    /// Sorts the routes and adds the former services of the previous configuration, to
    /// which packets of open flows may still belong.
    #[must_use]
    pub fn inherit(mut self, previous: Option<&Self>) -> Self {
        self.limits.sort_by_key(|limit| limit.service);
        self.routes.sort_by_key(|route| route.address);
        self.routes.dedup_by_key(|route| route.address);
        let Some(previous) = previous else {
            return self;
        };
        for route in &mut self.routes {
            if let Some(former_route) = previous.find(route.address) {
                route.add_former(former_route);
            }
        }
        self
    }

    /// Returns the former services of the routes after an address, one page of them. `complete`
    /// states whether these are all that the routes have.
    #[must_use]
    pub fn former_page(
        &self,
        after: Option<SocketAddrV4>,
        complete: bool,
    ) -> former_services::Page {
        let start = self.routes.partition_point(|r| Some(r.address) <= after);
        let rest = self.routes[start..].iter();
        let with_former = rest.filter(|route| !route.former.is_empty());
        let mut routes: Vec<_> = with_former
            .take(former_services::MAX_ROUTES + 1)
            .map(|route| former_services::FormerRoute {
                address: route.address,
                services: route.former.clone(),
            })
            .collect();
        let more = routes.len() > former_services::MAX_ROUTES;
        routes.truncate(former_services::MAX_ROUTES);
        former_services::Page {
            after,
            routes,
            more,
            complete,
            version: self.version,
        }
    }

    /// Adds the former services that another node knows. Returns whether any was new.
    pub fn add_former(&mut self, routes: &[former_services::FormerRoute]) -> bool {
        let mut changed = false;
        for former in routes {
            let found = self
                .routes
                .binary_search_by_key(&former.address, |route| route.address);
            if let Ok(at) = found {
                let route = &mut self.routes[at];
                let before = route.former.len();
                route.add_services(former.services.iter().copied());
                changed |= route.former.len() != before;
            }
        }
        changed
    }

    /// Returns the number of new flows per second that an upstream of a service takes while it
    /// warms up, if the operator has limited it.
    #[must_use]
    pub fn cold_rate(&self, service: ServiceId) -> Option<f64> {
        let found = self
            .limits
            .binary_search_by_key(&service, |limit| limit.service);
        found.ok().map(|at| self.limits[at].cold_rate)
    }

    /// Returns the route of an address.
    #[must_use]
    pub fn find(&self, address: SocketAddrV4) -> Option<&Route> {
        self.routes
            .binary_search_by_key(&address, |route| route.address)
            .ok()
            .map(|at| &self.routes[at])
    }
}

impl Route {
    /// Adds the targets and former services of the previous route that are not targets
    /// any more.
    fn add_former(&mut self, previous: &Self) {
        let services = previous.targets.iter().map(|target| target.service);
        self.add_services(services.chain(previous.former.iter().copied()));
    }

    /// Adds former services that are not targets.
    fn add_services(&mut self, services: impl Iterator<Item = ServiceId>) {
        for service in services {
            let current = self.targets.iter().any(|target| target.service == service);
            if !current && !self.former.contains(&service) {
                self.former.push(service);
            }
        }
        self.former.truncate(MAX_FORMER);
    }

    /// Returns the maximum expected latency at which a new flow is still accepted: the
    /// target latency for urgent work and half of it for other work, so that urgent work
    /// still finds capacity under overload.
    fn max_wait(&self) -> Millis {
        match self.class {
            record::Class::Urgent => self.target,
            record::Class::Normal | record::Class::Bulk => Millis(self.target.0 / 2),
        }
    }

    /// Returns how long a new flow may wait for a free slot: a part of the time-out, and no
    /// longer than its caller waits for the answer to its SYN.
    fn hold(&self, age: Millis) -> Option<protocol::Hold> {
        let limit = Millis(self.timeout?.0 / HOLD_TIMEOUT_PARTS).min(MAX_HOLD);
        let is_useful = limit > self.max_wait();
        is_useful.then_some(protocol::Hold {
            class: self.class,
            target: self.target,
            limit,
            repeated: age > Millis(0),
        })
    }

    /// Picks the target service of a flow by its hash, in proportion to the weights.
    fn pick_service(&self, hash: u64) -> Option<ServiceId> {
        let total: u64 = self.targets.iter().map(|target| weight(*target)).sum();
        let mut point = (hash >> 32).checked_rem(total)?;
        for target in &self.targets {
            if point < weight(*target) {
                return Some(target.service);
            }
            point -= weight(*target);
        }
        None
    }

    /// Returns the services to which a packet of an open flow may belong, most likely
    /// first.
    fn candidate_services(&self, picked: ServiceId) -> impl Iterator<Item = ServiceId> {
        let targets = self.targets.iter().map(|target| target.service);
        std::iter::once(picked)
            .chain(targets.filter(move |service| *service != picked))
            .chain(self.former.iter().copied())
    }
}

const fn weight(target: Target) -> u64 {
    target.weight as u64
}

/// Reason for not forwarding a caller's packet.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Refusal {
    /// No configuration has been received yet.
    NoConfig,
    /// No route matches the destination address.
    NoRoute,
    /// The route has no target service with agents.
    NoAgents,
    /// All agents of the route's service that accept new flows are in evacuated failure
    /// domains.
    Evacuated,
}

impl Refusal {
    /// Returns the name of the reason in logs and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::NoConfig => "drop_unconfigured",
            Self::NoRoute => "refuse_route",
            Self::NoAgents => "drop_no_agents",
            Self::Evacuated => "refuse_evacuated",
        }
    }
}

/// Candidate chains of all services, built on first use and sorted by service.
#[derive(Debug, Default)]
pub struct Tables {
    chains: Vec<chains::Chains>,
    revision: Option<u64>,
}

impl Tables {
    /// Drops all chains if the roster has changed since they were built.
    pub fn refresh(&mut self, roster: &roster::Roster) {
        if self.revision != Some(roster.revision()) {
            self.chains.clear();
            self.revision = Some(roster.revision());
        }
    }

    /// Returns the chains of a service.
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

/// Builds the encapsulation header of a caller's packet.
///
/// A packet that opens a flow is sent along the chain of one service. Each retransmitted
/// copy of it starts one hop later, in case the first agent has failed, and what its caller
/// has waited already counts towards the maximum latency. Any other packet
/// is sent to the home agents of its flow in all services to which the flow may belong.
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
    let picked = route.pick_service(hash).ok_or(Refusal::NoAgents)?;
    let origin = roster.me().domain;
    let mut info = protocol::RouteInfo::default();
    let (hops, age) = if segment.syn {
        if roster.is_all_evacuated(picked) {
            return Err(Refusal::Evacuated);
        }
        let copy = usize::try_from(segment.ack).unwrap_or(usize::MAX);
        let hops = syn_hops(tables.chains(picked, roster), origin, hash, copy);
        let age = COPY_AGES[copy.min(COPY_AGES.len() - 1)];
        info.hold = route.hold(age);
        (hops, age)
    } else {
        info.services = other_services(route, picked, tables, roster);
        let hops = flow_hops(route, picked, tables, roster, origin, hash);
        (hops, Millis(0))
    };
    if hops.is_empty() {
        return Err(Refusal::NoAgents);
    }
    Ok(protocol::Header {
        version: protocol::VERSION,
        mode: protocol::Mode::Chain,
        origin,
        hops,
        max_wait: route.max_wait() - age,
        best: None,
        requester: None,
        route: info,
    })
}

/// Returns the priority of a caller's packet on the link. Packets without payload are
/// small and keep flows going, so they are never behind others.
#[must_use]
pub fn priority(config: Option<&Config>, seed: u64, segment: &Segment) -> transport::Priority {
    if segment.len == 0 {
        return transport::Priority {
            class: pacer::Class::Urgent,
            key: None,
        };
    }
    let route = config.and_then(|config| config.find(segment.to));
    let class = match route.map(|route| route.class) {
        Some(record::Class::Urgent) => pacer::Class::Urgent,
        Some(record::Class::Normal) | None => pacer::Class::Normal,
        Some(record::Class::Bulk) => pacer::Class::Bulk,
    };
    let position = u64::from(segment.seq);
    transport::Priority {
        class,
        key: Some(segment.inbound().hash(seed ^ position)),
    }
}

/// Returns the whole chain of a flow, rotated by the number of the SYN copy.
fn syn_hops(
    chains: &mut chains::Chains,
    origin: DomainId,
    hash: u64,
    copy: usize,
) -> Vec<protocol::ServiceHop> {
    let mut hops: Vec<_> = chains.chain(origin, hash).collect();
    if !hops.is_empty() {
        let len = hops.len();
        hops.rotate_left(copy % len);
    }
    hops
}

/// Returns the services with agents in which an open flow may be, if there are several.
fn other_services(
    route: &Route,
    picked: ServiceId,
    tables: &mut Tables,
    roster: &roster::Roster,
) -> Vec<ServiceId> {
    let candidates = route.candidate_services(picked);
    let mut services: Vec<_> = candidates
        .filter(|service| !tables.chains(*service, roster).is_empty())
        .collect();
    if services.len() < 2 {
        services.clear();
    }
    services
}

/// Returns the agents that may own an open flow, or know its owner, in each candidate
/// service.
fn flow_hops(
    route: &Route,
    picked: ServiceId,
    tables: &mut Tables,
    roster: &roster::Roster,
    origin: DomainId,
    hash: u64,
) -> Vec<protocol::ServiceHop> {
    let mut hops = Vec::with_capacity(OPEN_FLOW_HOPS + 1);
    for service in route.candidate_services(picked) {
        let limit = if service == picked { OPEN_FLOW_HOPS } else { 1 };
        hops.extend(
            tables
                .chains(service, roster)
                .chain(origin, hash)
                .take(limit),
        );
    }
    hops.truncate(protocol::MAX_HOPS);
    hops
}
