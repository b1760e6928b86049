//! An agent's views: its own service, and services that were assigned one of its
//! service's former addresses.

use std::net::SocketAddrV4;

use crate::{exchange, forward, header, ident, member, record, rendezvous};

/// The service that now has a former address, which flows of this agent may still use.
#[derive(Clone, Debug)]
struct Successor {
    address: SocketAddrV4,
    table: rendezvous::Table,
}

/// An agent's view of its own service, and the successors at its former addresses.
#[derive(Clone, Debug, Default)]
pub struct Views {
    service: Option<record::Service>,
    version: u64,
    digest: u64,
    members: Vec<member::Member>,
    balancers: Vec<member::Balancer>,
    table: rendezvous::Table,
    successors: Vec<Successor>,
}

impl Views {
    /// Applies a view of the agent's own service that was pulled from a balancer.
    ///
    /// An older version of the record or of a member's entry never replaces a newer one.
    /// Returns whether the record changed.
    pub fn apply_view(&mut self, view: exchange::View) -> bool {
        let newer = view.version > self.version;
        if newer {
            self.version = view.version;
            self.service = view.service;
        }
        let old = std::mem::replace(&mut self.members, view.members);
        for member in &mut self.members {
            if let Some(known) =
                find_member(&old, member.node).filter(|known| known.is_newer(member))
            {
                member.clone_from(known);
            }
        }
        self.digest = view.digest;
        if !view.balancers.is_empty() {
            self.balancers = view.balancers;
        }
        newer
    }

    /// Rebuilds the service's hash table; `me` is the agent's own entry, which replaces
    /// the pulled one because it is newer.
    pub fn rebuild(&mut self, me: &member::Member) {
        let Some(service) = &self.service else {
            self.table = rendezvous::Table::default();
            return;
        };
        let mut members = self.members.clone();
        match members.binary_search_by_key(&me.node, |member| member.node) {
            Ok(index) => members[index].clone_from(me),
            Err(index) => members.insert(index, me.clone()),
        }
        let candidates = forward::candidates(service, &members);
        self.table = rendezvous::Table::build(ident::ServiceId::of(&service.name), &candidates);
    }

    /// Sets the successor at `address`, a former address of the agent's service, by the view
    /// of the service that now has it; removes the successor if no service has the address.
    pub fn set_successor(&mut self, address: SocketAddrV4, view: &exchange::View) {
        self.successors.retain(|entry| entry.address != address);
        let Some(service) = &view.service else { return };
        let candidates = forward::candidates(service, &view.members);
        let table = rendezvous::Table::build(ident::ServiceId::of(&service.name), &candidates);
        self.successors.push(Successor { address, table });
        self.successors.sort_by_key(|entry| entry.address);
    }

    /// Returns the hash table that balancers use for a destination address.
    #[must_use]
    pub fn table(&self, address: SocketAddrV4) -> Option<&rendezvous::Table> {
        if self.address() == Some(address) {
            return Some(&self.table);
        }
        let successor = self
            .successors
            .binary_search_by_key(&address, |entry| entry.address);
        match successor {
            Ok(index) => Some(&self.successors[index].table),
            Err(_) if self.is_former(address) => Some(&self.table),
            Err(_) => None,
        }
    }

    fn is_former(&self, address: SocketAddrV4) -> bool {
        let service = self.service.as_ref();
        service.is_some_and(|service| service.former.contains(&address))
    }

    /// Returns the current address of the service.
    #[must_use]
    pub fn address(&self) -> Option<SocketAddrV4> {
        self.service.as_ref().map(|service| service.address)
    }

    /// Returns the active record of the service.
    #[must_use]
    pub const fn service(&self) -> Option<&record::Service> {
        self.service.as_ref()
    }

    /// Returns the version of the active record, 0 before the first one.
    #[must_use]
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// Returns the digest of the last pulled view.
    #[must_use]
    pub const fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns the live balancers of the last pulled view that had any, sorted by node.
    #[must_use]
    pub fn balancers(&self) -> &[member::Balancer] {
        &self.balancers
    }

    /// Returns the service's agents, sorted by node.
    #[must_use]
    pub fn members(&self) -> &[member::Member] {
        &self.members
    }

    /// Returns the service's agents as hops, sorted by node.
    #[must_use]
    pub fn hops(&self) -> Vec<header::Hop> {
        self.members.iter().map(member::Member::hop).collect()
    }
}

fn find_member(members: &[member::Member], node: ident::NodeId) -> Option<&member::Member> {
    let index = members
        .binary_search_by_key(&node, |member| member.node)
        .ok()?;
    Some(&members[index])
}
