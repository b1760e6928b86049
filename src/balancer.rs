//! Control plane of one balancer: membership tables, gossip and the routes built from them.

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
    /// Longer than [`exchange::MAX_DATAGRAM`].
    #[error("datagram of {0} bytes is too long")]
    Long(usize),
    /// The seal is malformed or its tag does not match the fleet key.
    #[error("datagram is not sealed with the fleet key")]
    Seal(#[from] seal::Error),
    /// A kind that balancers do not process.
    #[error("datagram kind {0:?} is not processed by balancers")]
    Kind(seal::Kind),
    /// The body does not decode as a message of the datagram's kind.
    #[error("message cannot be decoded")]
    Codec(#[from] rmp_serde::decode::Error),
    /// A heartbeat whose sequence number was already seen.
    #[error("heartbeat sequence number was already seen")]
    Replayed,
}

/// Result of processing a datagram.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Reply {
    /// Acknowledgement to send to the agent.
    Ack(exchange::Ack),
    /// Requests of the gossip code, which the daemon carries out.
    Actions(Vec<Action>),
}

/// Control-plane state of one balancer.
#[derive(Debug)]
pub struct Balancer {
    tables: membership::Tables,
    gossip: gossip::Gossip,
    services: Vec<exchange::VersionedService>,
    records: Vec<exchange::RecordVersion>,
    routes: Arc<forward::Routes>,
    routed_revision: Option<u64>,
}

impl Balancer {
    /// Creates a balancer without peers and agents; `seed` seeds the random choice of
    /// gossip peers.
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
            routed_revision: None,
        }
    }

    /// Returns the membership tables.
    #[must_use]
    pub const fn tables(&self) -> &membership::Tables {
        &self.tables
    }

    /// Returns the active services, sorted by name.
    #[must_use]
    pub fn services(&self) -> &[exchange::VersionedService] {
        &self.services
    }

    /// Returns the names and versions of all records, sorted by name.
    #[must_use]
    pub fn records(&self) -> &[exchange::RecordVersion] {
        &self.records
    }

    /// Returns the routes as of the last tick.
    #[must_use]
    pub const fn routes(&self) -> &Arc<forward::Routes> {
        &self.routes
    }

    /// Returns the number of rumours that are still to be sent.
    #[must_use]
    pub const fn pending_rumours(&self) -> usize {
        self.gossip.pending_rumours()
    }

    /// Replaces the active services and the names and versions of all records, both
    /// sorted by name, and queues a rumour for each changed record.
    pub fn configure(
        &mut self,
        services: Vec<exchange::VersionedService>,
        records: Vec<exchange::RecordVersion>,
    ) {
        for record in &records {
            if self.records.binary_search(record).is_err() {
                self.gossip
                    .start_rumour(gossip::Topic::Record(record.name.clone()));
            }
        }
        self.services = services;
        self.records = records;
        self.routed_revision = None;
    }

    /// Opens and processes a sealed datagram.
    ///
    /// # Errors
    ///
    /// Returns why the datagram was dropped.
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
            (seal::Kind::Heartbeat, body) => {
                self.handle_heartbeat(&rmp_serde::from_slice(body)?, now)
            }
            (seal::Kind::Exchange, body) => {
                Ok(self.handle_exchange(&rmp_serde::from_slice(body)?, now))
            }
            (kind, _) => Err(Error::Kind(kind)),
        }
    }

    /// Merges the entry of a requesting peer and builds the response to its sync request.
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

    /// Merges the sync response of the peer with the HTTP address `from`.
    pub fn apply_sync(
        &mut self,
        sync: &exchange::Sync,
        from: std::net::SocketAddrV4,
        now: clock::Millis,
    ) -> Vec<Action> {
        self.gossip
            .apply_sync(&mut self.tables, sync, &self.records, from, now)
    }

    /// Marks the tables as synced without a sync, because there is no peer.
    pub fn skip_sync(&mut self, now: clock::Millis) {
        self.tables.mark_synced(now);
    }

    /// Marks this balancer as leaving and queues a rumour about its entry, before a shutdown.
    pub fn leave(&mut self) {
        self.tables.leave();
        self.gossip
            .start_rumour(gossip::Topic::Balancer(self.tables.own().node));
    }

    /// Builds the response to a view request.
    #[must_use]
    pub fn view(&self, request: &exchange::ViewRequest, now: clock::Millis) -> exchange::View {
        exchange::build_view(&self.tables, request, &self.services, now)
    }

    /// Runs one gossip round, updates liveness and rebuilds the routes if necessary.
    ///
    /// Returns the datagrams to send.
    pub fn tick(&mut self, now: clock::Millis) -> Vec<Action> {
        let actions = self.gossip.tick(&mut self.tables, &self.records, now);
        self.update_routes();
        actions
    }

    fn handle_heartbeat(
        &mut self,
        heartbeat: &exchange::Heartbeat,
        now: clock::Millis,
    ) -> Result<Reply, Error> {
        self.gossip
            .handle_heartbeat(&mut self.tables, heartbeat, &self.services, now)
            .map(Reply::Ack)
            .ok_or(Error::Replayed)
    }

    fn handle_exchange(&mut self, exchange: &exchange::Exchange, now: clock::Millis) -> Reply {
        let actions = self
            .gossip
            .handle_exchange(&mut self.tables, exchange, &self.records, now);
        Reply::Actions(actions)
    }

    fn update_routes(&mut self) {
        let revision = self.tables.revision();
        if self.routed_revision == Some(revision) {
            return;
        }
        self.routed_revision = Some(revision);
        let index = ServiceIndex::new(&self.tables);
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

/// The active agents, sorted by service and node.
struct ServiceIndex<'a> {
    members: Vec<&'a member::Member>,
}

impl<'a> ServiceIndex<'a> {
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
