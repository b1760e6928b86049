//! One balancer's tables, and the systems that run over them.

use std::sync::Arc;

use thiserror::Error;

use crate::{
    clock,
    exchange::{self, Action},
    forward, gossip, member, membership, record, rendezvous, seal,
};

/// Why a sealed datagram was dropped.
#[derive(Debug, Error)]
pub enum Error {
    /// Longer than any datagram of a balancer or agent.
    #[error("datagram of {0} bytes is too long")]
    Long(usize),
    /// Not sealed with the fleet key.
    #[error("datagram is not sealed with the fleet key")]
    Seal(#[from] seal::Error),
    /// Not a kind that balancers take.
    #[error("datagram of kind {0:?} is not for balancers")]
    Kind(seal::Kind),
    /// Not a message of its kind.
    #[error("message cannot be read")]
    Codec(#[from] rmp_serde::decode::Error),
    /// A heartbeat that was seen before, or one of an older run.
    #[error("heartbeat was seen before")]
    Replayed,
}

/// What to do after a datagram.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Reply {
    /// Answer the heartbeat.
    Ack(exchange::Ack),
    /// Carry these out.
    Actions(Vec<Action>),
}

/// The state of one balancer.
#[derive(Debug)]
pub struct Balancer {
    tables: membership::Tables,
    gossip: gossip::Gossip,
    services: Vec<exchange::VersionedService>,
    records: Vec<exchange::Hint>,
    routes: Arc<forward::Routes>,
    routed: Option<u64>,
}

impl Balancer {
    /// A balancer that knows nobody; `seed` decides on the choice of peers.
    #[must_use]
    pub fn new(
        me: member::Balancer,
        timing: membership::Timing,
        seed: u64,
        now: clock::Millis,
    ) -> Self {
        Self {
            tables: membership::Tables::new(me, timing, now),
            gossip: gossip::Gossip::new(seed),
            services: Vec::new(),
            records: Vec::new(),
            routes: Arc::default(),
            routed: None,
        }
    }

    /// Agents and balancers.
    #[must_use]
    pub const fn tables(&self) -> &membership::Tables {
        &self.tables
    }

    /// The services in force, sorted by name.
    #[must_use]
    pub fn services(&self) -> &[exchange::VersionedService] {
        &self.services
    }

    /// The records in force, sorted by name.
    #[must_use]
    pub fn records(&self) -> &[exchange::Hint] {
        &self.records
    }

    /// The routes as of the last tick.
    #[must_use]
    pub const fn routes(&self) -> &Arc<forward::Routes> {
        &self.routes
    }

    /// Rumours that are still repeated.
    #[must_use]
    pub const fn pending_rumours(&self) -> usize {
        self.gossip.pending_rumours()
    }

    /// Puts records in force: all services, and the names and versions of
    /// all records, both sorted by name. Peers hear of what changed.
    pub fn configure(
        &mut self,
        services: Vec<exchange::VersionedService>,
        records: Vec<exchange::Hint>,
    ) {
        for hint in &records {
            if self.records.binary_search(hint).is_err() {
                self.gossip
                    .start_rumour(gossip::Topic::Record(hint.name.clone()));
            }
        }
        self.services = services;
        self.records = records;
        self.routed = None;
    }

    /// Takes a sealed datagram.
    pub fn handle_datagram(
        &mut self,
        sealer: &seal::Sealer,
        datagram: &[u8],
        now: clock::Millis,
    ) -> Result<Reply, Error> {
        if datagram.len() > exchange::MAX_DATAGRAM {
            return Err(Error::Long(datagram.len()));
        }
        match sealer.open(datagram)? {
            (seal::Kind::Heartbeat, body) => self.heartbeat(&rmp_serde::from_slice(body)?, now),
            (seal::Kind::Exchange, body) => Ok(self.exchange(&rmp_serde::from_slice(body)?, now)),
            (kind, _) => Err(Error::Kind(kind)),
        }
    }

    /// Answers a peer that asks for what differs.
    pub fn answer_sync(
        &mut self,
        request: &exchange::SyncRequest,
        now: clock::Millis,
    ) -> exchange::Sync {
        if let Some(from) = &request.from {
            self.gossip.merge_sender(&mut self.tables, from, now);
        }
        exchange::build_sync(&self.tables, request, &self.records, now)
    }

    /// Takes a peer's answer to a sync, from its HTTP address.
    pub fn apply_sync(
        &mut self,
        sync: &exchange::Sync,
        from: std::net::SocketAddrV4,
        now: clock::Millis,
    ) -> Vec<Action> {
        self.gossip
            .apply_sync(&mut self.tables, sync, &self.records, from, now)
    }

    /// States that there is no peer to sync with.
    pub fn skip_sync(&mut self, now: clock::Millis) {
        self.tables.mark_synced(now);
    }

    /// Tells the peers that this balancer is being stopped.
    pub fn leave(&mut self) {
        self.tables.leave();
        self.gossip
            .start_rumour(gossip::Topic::Balancer(self.tables.own().node));
    }

    /// Answers an agent that asks for a view.
    #[must_use]
    pub fn view(&self, request: &exchange::ViewRequest, now: clock::Millis) -> exchange::View {
        exchange::build_view(&self.tables, request, &self.services, now)
    }

    /// Runs one round: liveness, routes, rumours.
    pub fn tick(&mut self, now: clock::Millis) -> Vec<Action> {
        let actions = self.gossip.tick(&mut self.tables, &self.records, now);
        self.route();
        actions
    }

    fn heartbeat(
        &mut self,
        beat: &exchange::Heartbeat,
        now: clock::Millis,
    ) -> Result<Reply, Error> {
        self.gossip
            .handle_heartbeat(&mut self.tables, beat, &self.services, now)
            .map(Reply::Ack)
            .ok_or(Error::Replayed)
    }

    fn exchange(&mut self, exchange: &exchange::Exchange, now: clock::Millis) -> Reply {
        let actions = self
            .gossip
            .handle_exchange(&mut self.tables, exchange, &self.records, now);
        Reply::Actions(actions)
    }

    fn route(&mut self) {
        let revision = self.tables.revision();
        if self.routed == Some(revision) {
            return;
        }
        self.routed = Some(revision);
        let index = Index::new(&self.tables);
        let services = self
            .services
            .iter()
            .filter_map(|versioned| versioned.service.as_ref());
        let routes = self
            .routes
            .rebuild(services, |service| index.candidates(service));
        if !routes.is_same(&self.routes) {
            self.routes = Arc::new(routes);
        }
    }
}

/// The agents in force, sorted by service and node.
struct Index<'a> {
    members: Vec<&'a member::Member>,
}

impl<'a> Index<'a> {
    fn new(tables: &'a membership::Tables) -> Self {
        let mut members: Vec<_> = tables
            .members()
            .iter()
            .filter(|row| row.is_active())
            .map(|row| &row.member)
            .collect();
        members.sort_by(|a, b| (&a.service, a.node).cmp(&(&b.service, b.node)));
        Self { members }
    }

    fn candidates(&self, service: &record::Service) -> Vec<rendezvous::Candidate> {
        let name = &service.name;
        let start = self
            .members
            .partition_point(|member| member.service < *name);
        let members = self.members[start..]
            .iter()
            .take_while(|member| member.service == *name)
            .copied();
        forward::candidates(service, members)
    }
}
