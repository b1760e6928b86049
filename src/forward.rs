//! Packet forwarding in a balancer: turns an encapsulated packet from the fabric, the
//! network in front of the balancers, into a sealed datagram for the agent that the
//! service's hash table selects.

use std::{net::SocketAddrV4, sync::Arc};

use thiserror::Error;

use crate::{gue, header, ident, member, packet, record, rendezvous, seal};

/// Why a datagram from the fabric was dropped.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum Error {
    /// The datagram is not an encapsulated IPv4 packet.
    #[error("not an encapsulated IPv4 packet")]
    Gue(#[from] gue::Error),
    /// The packet is not a complete, unfragmented TCP packet.
    #[error("not a TCP packet that can be forwarded")]
    Packet(#[from] packet::Error),
    /// No service has the packet's destination address.
    #[error("no service has the destination address")]
    Service,
    /// The service has no agent that the packet could go to.
    #[error("the service has no candidate agent")]
    Candidates,
}

/// Route from a service's address to the service's hash table.
#[derive(Clone, Debug)]
pub struct Route {
    /// Destination address that callers use.
    pub address: SocketAddrV4,
    /// The service.
    pub service: ident::ServiceId,
    /// Hash table that selects the agent of a flow.
    pub table: Arc<rendezvous::Table>,
}

/// The routes of all services, sorted by address.
#[derive(Clone, Debug, Default)]
pub struct Routes {
    routes: Vec<Route>,
}

/// Buffers that are reused for each packet, to avoid allocations.
#[derive(Debug)]
pub struct Scratch {
    header: header::Header,
    encoded: Vec<u8>,
    datagram: Vec<u8>,
}

impl Routes {
    /// Returns the routes, sorted by address.
    #[must_use]
    pub fn as_slice(&self) -> &[Route] {
        &self.routes
    }

    /// Returns the route of a destination address.
    #[must_use]
    pub fn find(&self, address: SocketAddrV4) -> Option<&Route> {
        self.routes
            .binary_search_by_key(&address, |route| route.address)
            .ok()
            .map(|at| &self.routes[at])
    }

    /// Builds the routes for the active services and agents.
    ///
    /// Tables whose candidates did not change are shared with `self`. If two services
    /// have the same address, the first by name gets the route. A service keeps the
    /// routes of its former addresses, for flows that still use them, until another
    /// service has the address.
    #[must_use]
    pub fn rebuild<'a>(
        &self,
        services: impl IntoIterator<Item = &'a record::Service>,
        candidates: impl Fn(&record::Service) -> Vec<rendezvous::Candidate>,
    ) -> Self {
        let mut routes = Vec::new();
        let mut former = Vec::new();
        for service in services {
            let route = self.build_route(service, &candidates(service));
            former.extend(service.former.iter().map(|address| Route {
                address: *address,
                ..route.clone()
            }));
            routes.push(route);
        }
        routes.append(&mut former);
        routes.sort_by_key(|route| route.address);
        routes.dedup_by_key(|route| route.address);
        Self { routes }
    }

    /// Returns whether all routes equal those of `other` and share their tables.
    #[must_use]
    pub fn is_same(&self, other: &Self) -> bool {
        let same = |(a, b): (&Route, &Route)| {
            (a.address, a.service) == (b.address, b.service) && Arc::ptr_eq(&a.table, &b.table)
        };
        self.routes.len() == other.routes.len() && self.routes.iter().zip(&other.routes).all(same)
    }

    fn build_route(
        &self,
        service: &record::Service,
        candidates: &[rendezvous::Candidate],
    ) -> Route {
        let id = ident::ServiceId::of(&service.name);
        let table = self
            .find(service.address)
            .filter(|route| route.service == id)
            .filter(|route| route.table.candidates() == candidates)
            .map_or_else(
                || Arc::new(rendezvous::Table::build(id, candidates)),
                |route| Arc::clone(&route.table),
            );
        Route {
            address: service.address,
            service: id,
            table,
        }
    }
}

impl Scratch {
    /// Creates empty buffers.
    #[must_use]
    pub fn new() -> Self {
        let unspecified = SocketAddrV4::new(std::net::Ipv4Addr::UNSPECIFIED, 0);
        Self {
            header: header::Header {
                version: header::VERSION,
                service: ident::ServiceId(0),
                target: header::Hop {
                    node: ident::NodeId(0),
                    incarnation: ident::Incarnation(0),
                    addr: unspecified,
                },
                chain: Vec::with_capacity(rendezvous::CHAIN_LEN),
                fabric: unspecified,
                forwarded: false,
            },
            encoded: Vec::new(),
            datagram: Vec::new(),
        }
    }
}

impl Default for Scratch {
    fn default() -> Self {
        Self::new()
    }
}

/// Returns the candidates among a service's agents: those that are ready and have a
/// positive weight, in the order of `members`, which is by node.
///
/// If there are none, all agents are candidates, so that packets of established flows
/// still reach their owners; agents that accept no new flows refuse them on their own.
pub fn candidates<'a>(
    service: &record::Service,
    members: impl IntoIterator<Item = &'a member::Member>,
) -> Vec<rendezvous::Candidate> {
    let members: Vec<_> = members.into_iter().collect();
    let ready: Vec<_> = members
        .iter()
        .filter(|member| member.state == member::State::Ready)
        .map(|member| candidate(member, service.weight(&member.name)))
        .filter(|candidate| candidate.weight > 0.0)
        .collect();
    if ready.is_empty() {
        return members
            .iter()
            .map(|member| candidate(member, 1.0))
            .collect();
    }
    ready
}

fn candidate(member: &member::Member, weight: f64) -> rendezvous::Candidate {
    rendezvous::Candidate {
        hop: member.hop(),
        weight: weight * member::capacity(member.step),
    }
}

/// Converts a datagram from the fabric into a sealed datagram for an agent.
///
/// Returns the agent's address and the datagram, which is borrowed from `scratch`.
/// `seed` is the fleet's flow hash seed, and `fabric` is the address of the fabric, the
/// network in front of the balancers, to which the agent sends the packets for the caller.
///
/// # Errors
///
/// Returns why the datagram was dropped.
pub fn forward<'a>(
    routes: &Routes,
    sealer: &seal::Sealer,
    seed: u64,
    fabric: SocketAddrV4,
    datagram: &[u8],
    scratch: &'a mut Scratch,
) -> Result<(SocketAddrV4, &'a [u8]), Error> {
    let bytes = gue::decode(datagram)?;
    let view = packet::parse(bytes)?;
    let route = routes.find(view.flow.service).ok_or(Error::Service)?;
    let mut chain = route.table.chain(view.flow.hash(seed)).copied();
    let target = chain.next().ok_or(Error::Candidates)?;
    let header = &mut scratch.header;
    header.service = route.service;
    header.target = target;
    header.chain.clear();
    header.chain.extend(chain);
    header.fabric = fabric;
    header::encode(header, &mut scratch.encoded);
    sealer.seal(
        seal::Kind::Packet,
        &[&scratch.encoded, bytes],
        &mut scratch.datagram,
    );
    Ok((target.addr, &scratch.datagram))
}
