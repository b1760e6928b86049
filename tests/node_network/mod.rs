//! Network of pass-through nodes without sockets: messages arrive at once, by address.

use std::net::{Ipv4Addr, SocketAddrV4};

use cassiacross::{
    clock::Millis,
    ident::{DomainId, Incarnation, NodeId, ServiceId},
    member, peer_sync,
    protocol::Message,
    roster,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

pub const SERVICE: ServiceId = ServiceId(7);

/// Interval between two ticks of the nodes.
pub const TICK: Millis = Millis(100);

pub fn addr(node: u16) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::LOCALHOST, node)
}

/// The entry of a balancer, or of an agent of a service.
pub fn entry(node: u16, domain: u32, service: Option<ServiceId>) -> roster::Entry {
    roster::Entry {
        node: NodeId(u64::from(node)),
        incarnation: Incarnation(1),
        change: 0,
        domain: DomainId(domain),
        control: addr(node),
        leaving: false,
        deaf: false,
        upstream: service.map(|service| roster::Upstream {
            service,
            packets: addr(node),
            state: Some(member::State::Ready),
            step: 40,
        }),
    }
}

/// All nodes of a fleet and what is wrong with the links between them.
pub struct Network {
    pub nodes: Vec<peer_sync::PeerSync>,
    /// Addresses that neither send nor receive.
    pub partitioned: Vec<SocketAddrV4>,
    /// Failure domain without links to other domains.
    pub cut_domain: Option<DomainId>,
    /// Share of the messages that are lost.
    pub loss: f64,
    /// Messages that were sent from one domain to another.
    pub between_domains: Vec<Message>,
    pub now: Millis,
    rng: SmallRng,
}

impl Network {
    /// Creates nodes that know only the address of the first one.
    pub fn new(entries: Vec<roster::Entry>, seed: u64) -> Self {
        let first = entries[0].control;
        let nodes = entries
            .into_iter()
            .zip(1..)
            .map(|(entry, seed)| peer_sync::PeerSync::new(entry, vec![first], seed, Millis(0)))
            .collect();
        Self {
            nodes,
            partitioned: Vec::new(),
            cut_domain: None,
            loss: 0.0,
            between_domains: Vec::new(),
            now: Millis(0),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Runs all nodes until a time.
    pub fn run_until(&mut self, end: Millis) {
        while self.now < end {
            self.step();
        }
    }

    /// Runs all nodes for one tick.
    pub fn step(&mut self) {
        self.now = self.now + TICK;
        for node in &mut self.nodes {
            node.tick(self.now);
        }
        while self.deliver() {}
    }

    /// Delivers the messages that wait. Returns whether there were any.
    pub fn deliver(&mut self) -> bool {
        let mut messages: Vec<(roster::Entry, SocketAddrV4, Message)> = Vec::new();
        for node in &mut self.nodes {
            let me = node.roster().me().clone();
            let outgoing = node.outgoing();
            messages.extend(outgoing.map(|(to, message)| (me.clone(), to, message)));
        }
        let delivered = !messages.is_empty();
        for (from, to, message) in messages {
            self.pass(&from, to, message);
        }
        delivered
    }

    fn pass(&mut self, from: &roster::Entry, to: SocketAddrV4, message: Message) {
        let mut nodes = self.nodes.iter();
        let Some(at) = nodes.position(|node| node.roster().me().control == to) else {
            return;
        };
        let domain = self.nodes[at].roster().me().domain;
        if domain != from.domain {
            self.between_domains.push(message.clone());
        }
        let cut = domain != from.domain
            && self
                .cut_domain
                .is_some_and(|cut| cut == domain || cut == from.domain);
        let partitioned =
            self.partitioned.contains(&from.control) || self.partitioned.contains(&to);
        if !cut && !partitioned && self.rng.random::<f64>() >= self.loss {
            self.nodes[at].receive(from.control, message, self.now);
        }
    }
}
