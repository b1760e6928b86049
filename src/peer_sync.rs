//! Synchronises membership and configuration among the nodes of pass-through services.
//!
//! Nodes exchange heartbeats, membership entries and pages of the configuration. The
//! platform, the seed addresses and the peers are independent sources of this state; a
//! node uses whichever answers first.

use std::net::SocketAddrV4;

use log::{info, warn};
use rand::{Rng, SeedableRng, rngs};

use crate::{
    clock::Millis,
    config_transfer, platform_sync,
    protocol::{Heartbeat, MAX_ENTRIES, Message},
    roster, routing,
};

/// Interval between two heartbeats to the seed addresses and the addresses registered on
/// the platform that have not replied.
const CONTACT_INTERVAL: Millis = Millis(500);

/// Period of a balancer's heartbeats to agents. Agents need them to learn where to send
/// their own.
const AGENT_HEARTBEAT_PERIOD: Millis = Millis(2_000);

/// Time for which this node may lack a version that its peers have, and get no page of
/// it, before it requests the configuration from the platform.
const MAX_CONFIG_LAG: Millis = Millis(1_000);

/// Membership and configuration state of one node.
#[derive(Debug)]
pub struct PeerSync {
    roster: roster::Roster,
    config: Option<routing::Config>,
    encoded_config: config_transfer::Encoded,
    seeds: Vec<SocketAddrV4>,
    platform_addresses: Vec<SocketAddrV4>,
    contacted_at: Option<Millis>,
    heartbeat_at: Option<Millis>,
    agent_heartbeat_at: Option<Millis>,
    download: config_transfer::Download,
    behind_since: Option<Millis>,
    newest_version: u64,
    rng: rngs::SmallRng,
    outbox: Vec<(SocketAddrV4, Message)>,
}

impl PeerSync {
    /// Creates the state of a node that knows only its seed addresses. `seed` initialises
    /// the random choice of peers.
    #[must_use]
    pub fn new(me: roster::Entry, seeds: Vec<SocketAddrV4>, seed: u64, now: Millis) -> Self {
        Self {
            roster: roster::Roster::new(me, now),
            config: None,
            encoded_config: config_transfer::Encoded::default(),
            seeds,
            platform_addresses: Vec::new(),
            contacted_at: None,
            heartbeat_at: None,
            agent_heartbeat_at: None,
            download: config_transfer::Download::default(),
            behind_since: None,
            newest_version: 0,
            rng: rngs::SmallRng::seed_from_u64(seed),
            outbox: Vec::new(),
        }
    }

    /// Returns the roster.
    #[must_use]
    pub const fn roster(&self) -> &roster::Roster {
        &self.roster
    }

    /// Returns the active configuration.
    #[must_use]
    pub const fn config(&self) -> Option<&routing::Config> {
        self.config.as_ref()
    }

    /// Returns the version of the active configuration, 0 for none.
    #[must_use]
    pub fn config_version(&self) -> u64 {
        self.config.as_ref().map_or(0, |config| config.version)
    }

    /// Drains the messages to send, each with its destination.
    pub fn outgoing(&mut self) -> std::vec::Drain<'_, (SocketAddrV4, Message)> {
        self.outbox.drain(..)
    }

    /// Modifies this node's entry and sends it to the other nodes at once if it changed.
    pub fn update_self(&mut self, change: impl FnOnce(&mut roster::Entry)) {
        if self.roster.update(change) {
            self.broadcast();
        }
    }

    /// Sets the balancer addresses that are registered on the platform; the next tick
    /// contacts them.
    pub fn set_platform_addresses(&mut self, addresses: Vec<SocketAddrV4>) {
        self.platform_addresses = addresses;
        self.contacted_at = None;
    }

    /// Activates a configuration if its version is newer. Returns false if it is not.
    ///
    /// Peers learn of the version from the heartbeats, which are sent at once.
    pub fn apply_config(&mut self, config: routing::Config) -> bool {
        if config.version <= self.config_version() {
            return false;
        }
        let config = config.inherit(self.config.as_ref());
        let encoded = rmp_serde::to_vec(&config).unwrap_or_else(|error| {
            warn!(error:% = error; "cannot encode configuration; peers do not get it from here");
            Vec::new()
        });
        self.encoded_config = config_transfer::Encoded::new(encoded);
        if self.encoded_config.is_too_large() {
            warn!(version = config.version; "configuration is too large for peers; they read it from the platform");
        }
        info!(version = config.version, routes = config.routes.len(); "configuration activated");
        self.newest_version = self.newest_version.max(config.version);
        self.config = Some(config);
        self.download = config_transfer::Download::default();
        self.behind_since = None;
        self.broadcast();
        true
    }

    /// Processes a received message.
    pub fn receive(&mut self, from: SocketAddrV4, message: Message, now: Millis) {
        match message {
            Message::Beat(heartbeat) => self.receive_heartbeat(&heartbeat, now),
            Message::Roster(entries) => self.receive_entries(&entries, now),
            Message::WantPages(request) => self.send_pages(from, &request),
            Message::ConfigPage(page) => self.receive_page(from, page, now),
            Message::Own { .. } | Message::Unowned { .. } => {}
        }
    }

    /// Runs the periodic work: updates liveness, sends heartbeats, contacts addresses
    /// that have not replied and requests a newer configuration.
    pub fn tick(&mut self, now: Millis) {
        self.roster.tick(now);
        if is_due(self.contacted_at, CONTACT_INTERVAL, now) {
            self.contacted_at = Some(now);
            self.contact_addresses();
        }
        let period = self.roster.period();
        if is_due(self.heartbeat_at, period, now) {
            self.heartbeat_at = Some(now);
            let agents = is_due(self.agent_heartbeat_at, AGENT_HEARTBEAT_PERIOD, now);
            if agents {
                self.agent_heartbeat_at = Some(now);
            }
            self.send_heartbeats(agents);
        }
        if self.newest_version > self.config_version() {
            self.behind_since.get_or_insert(now);
            if self.download.is_due(now) {
                self.request_pages(now);
            }
        }
    }

    /// Returns what this node has to poll from the platform.
    #[must_use]
    pub fn polling(&self, now: Millis) -> platform_sync::Polling {
        let progress = self.download.progressed_at();
        let behind = self.behind_since.is_some_and(|since| {
            now.since(progress.map_or(since, |at| at.max(since))) >= MAX_CONFIG_LAG
        });
        let is_balancer = self.roster.me().upstream.is_none();
        platform_sync::Polling {
            config: is_balancer && (self.config.is_none() || behind || self.roster.is_watcher()),
            peers_now: self.roster.lacks_contacts(),
        }
    }

    /// Merges the entry of the sender, and introduces known nodes to it if it is new.
    fn receive_heartbeat(&mut self, heartbeat: &Heartbeat, now: Millis) {
        let merge = self
            .roster
            .merge(&heartbeat.entry, heartbeat.period, true, now);
        self.roster
            .record_config(heartbeat.entry.node, heartbeat.config);
        self.newest_version = self.newest_version.max(heartbeat.config);
        match merge {
            roster::Merge::New => {
                info!(
                    node = heartbeat.entry.node.0,
                    control:% = heartbeat.entry.control;
                    "node discovered"
                );
                self.introduce_peers(&heartbeat.entry);
            }
            roster::Merge::Changed | roster::Merge::Same | roster::Merge::Old => {}
        }
    }

    /// Merges entries received from another node, and sends a heartbeat to each node that
    /// is new here.
    fn receive_entries(&mut self, entries: &[roster::Entry], now: Millis) {
        for entry in entries {
            let merge = self
                .roster
                .merge(entry, roster::HEARTBEAT_PERIOD, false, now);
            if merge == roster::Merge::New && must_know_each_other(entry, self.roster.me()) {
                let heartbeat = self.agent_heartbeat();
                self.outbox.push((entry.control, heartbeat));
            }
        }
    }

    /// Sends a heartbeat and the entries of known live nodes to a node that is new here.
    fn introduce_peers(&mut self, entry: &roster::Entry) {
        let heartbeat = if uses_agent_period(self.roster.me(), entry) {
            self.agent_heartbeat()
        } else {
            self.heartbeat()
        };
        self.outbox.push((entry.control, heartbeat));
        let others: Vec<_> = self
            .roster
            .peers()
            .iter()
            .filter(|peer| peer.direct && !peer.silent && !peer.entry.leaving)
            .map(|peer| peer.entry.clone())
            .filter(|other| other.node != entry.node)
            .filter(|other| must_know_each_other(entry, other))
            .collect();
        for chunk in others.chunks(MAX_ENTRIES) {
            self.outbox
                .push((entry.control, Message::Roster(chunk.to_vec())));
        }
    }

    /// Sends a heartbeat to the seed and platform addresses from which no live node has
    /// replied.
    fn contact_addresses(&mut self) {
        let known: Vec<_> = self
            .roster
            .peers()
            .iter()
            .filter(|peer| !peer.silent && peer.direct)
            .map(|peer| peer.entry.control)
            .collect();
        let mut addresses: Vec<_> = self
            .seeds
            .iter()
            .chain(&self.platform_addresses)
            .copied()
            .collect();
        addresses.sort_unstable();
        addresses.dedup();
        let own = self.roster.me().control;
        addresses.retain(|address| *address != own && !known.contains(address));
        let heartbeat = self.heartbeat();
        for address in addresses {
            self.outbox.push((address, heartbeat.clone()));
        }
    }

    /// Sends a heartbeat at once to all nodes that must know this one.
    fn broadcast(&mut self) {
        self.send_heartbeats(true);
    }

    /// Sends a heartbeat to all nodes that must know this one. A balancer leaves out
    /// agents unless `agents` is set.
    fn send_heartbeats(&mut self, agents: bool) {
        let heartbeat = self.heartbeat();
        let agent_heartbeat = self.agent_heartbeat();
        let me = self.roster.me();
        let recipients: Vec<_> = self
            .roster
            .peers()
            .iter()
            .filter(|peer| must_know_each_other(&peer.entry, me))
            .filter(|peer| agents || !uses_agent_period(me, &peer.entry))
            .map(|peer| (peer.entry.control, uses_agent_period(me, &peer.entry)))
            .collect();
        for (address, to_agent) in recipients {
            let heartbeat = if to_agent {
                &agent_heartbeat
            } else {
                &heartbeat
            };
            self.outbox.push((address, heartbeat.clone()));
        }
    }

    fn heartbeat(&self) -> Message {
        self.heartbeat_with_period(self.roster.period())
    }

    /// Creates a heartbeat that announces the longer period of a balancer's heartbeats to
    /// agents.
    fn agent_heartbeat(&self) -> Message {
        self.heartbeat_with_period(AGENT_HEARTBEAT_PERIOD.max(self.roster.period()))
    }

    fn heartbeat_with_period(&self, period: Millis) -> Message {
        Message::Beat(Heartbeat {
            entry: self.roster.me().clone(),
            period,
            config: self.config_version(),
        })
    }

    /// Requests missing pages of the newest version from a node that has it.
    fn request_pages(&mut self, now: Millis) {
        if let Some(source) = self.choose_source() {
            let request = self.download.request(source, self.newest_version, now);
            self.outbox.push((source, Message::WantPages(request)));
        }
    }

    /// Chooses a random live node that has the newest version: an agent in the same
    /// failure domain if there is one, since a balancer's link carries the packets of many
    /// upstreams. Any node is chosen after a request without an answer.
    fn choose_source(&mut self) -> Option<SocketAddrV4> {
        let domain = self.roster.me().domain;
        let rank = |entry: &roster::Entry| (entry.domain != domain, entry.upstream.is_none());
        let mut sources: Vec<_> = self
            .roster
            .peers()
            .iter()
            .filter(|peer| !peer.silent && peer.direct && peer.config >= self.newest_version)
            .map(|peer| &peer.entry)
            .collect();
        if !self.download.is_stalled() {
            let best = sources.iter().map(|entry| rank(entry)).min();
            sources.retain(|entry| Some(rank(entry)) == best);
        }
        let at = self.rng.random_range(0..sources.len().max(1));
        sources.get(at).map(|entry| entry.control)
    }

    /// Sends the requested pages, if this node has the version or a later one.
    fn send_pages(&mut self, to: SocketAddrV4, request: &config_transfer::Request) {
        let pages = self.encoded_config.answer(request, self.config_version());
        let messages = pages.into_iter().map(Message::ConfigPage);
        self.outbox.extend(messages.map(|message| (to, message)));
    }

    /// Stores a page of a newer configuration, and requests the next ones from its sender
    /// or activates the configuration once it is complete.
    fn receive_page(&mut self, from: SocketAddrV4, page: config_transfer::Page, now: Millis) {
        let version = page.version;
        if version <= self.config_version() {
            return;
        }
        match self.download.receive(from, page, now) {
            config_transfer::Progress::Waiting => {}
            config_transfer::Progress::Next => {
                let request = self.download.request(from, version, now);
                self.outbox.push((from, Message::WantPages(request)));
            }
            config_transfer::Progress::Complete(encoded) => self.activate(version, &encoded),
        }
    }

    /// Decodes and activates a configuration received from peers.
    fn activate(&mut self, version: u64, encoded: &[u8]) {
        self.download = config_transfer::Download::default();
        match rmp_serde::from_slice(encoded) {
            Ok(config) => {
                self.apply_config(config);
            }
            Err(error) => {
                warn!(
                    version = version,
                    error:% = error;
                    "cannot decode configuration received from peers; discarded"
                );
            }
        }
    }
}

/// Returns whether two nodes have to know each other: a balancer has to know all nodes,
/// an agent all balancers and the agents of its service.
fn must_know_each_other(a: &roster::Entry, b: &roster::Entry) -> bool {
    match (a.service(), b.service()) {
        (Some(a), Some(b)) => a == b,
        _ => true,
    }
}

/// Returns whether `me` sends heartbeats to `other` at the longer period: a balancer to
/// an agent.
const fn uses_agent_period(me: &roster::Entry, other: &roster::Entry) -> bool {
    me.upstream.is_none() && other.upstream.is_some()
}

fn is_due(last: Option<Millis>, period: Millis, now: Millis) -> bool {
    last.is_none_or(|last| now.since(last) >= period)
}
