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
    platform_sync,
    protocol::{Heartbeat, MAX_ENTRIES, Message, PAGE_LEN},
    roster, routing,
};

/// Interval between two heartbeats to the seed addresses and the addresses registered on
/// the platform that have not replied.
const CONTACT_INTERVAL: Millis = Millis(500);

/// Period of a balancer's heartbeats to agents. Agents need them to learn where to send
/// their own.
const AGENT_HEARTBEAT_PERIOD: Millis = Millis(2_000);

/// Interval between two requests for a newer configuration.
const REQUEST_INTERVAL: Millis = Millis(300);

/// Time for which this node may lack a version that its peers have before it requests the
/// configuration from the platform.
const MAX_CONFIG_LAG: Millis = Millis(1_000);

/// Maximum number of pages of a configuration.
const MAX_PAGES: u16 = 1_024;

#[derive(Debug)]
struct ConfigAssembly {
    version: u64,
    pages: Vec<Option<Vec<u8>>>,
}

/// Membership and configuration state of one node.
#[derive(Debug)]
pub struct PeerSync {
    roster: roster::Roster,
    config: Option<routing::Config>,
    encoded_config: Vec<u8>,
    seeds: Vec<SocketAddrV4>,
    platform_addresses: Vec<SocketAddrV4>,
    contacted_at: Option<Millis>,
    heartbeat_at: Option<Millis>,
    agent_heartbeat_at: Option<Millis>,
    assembly: Option<ConfigAssembly>,
    requested_at: Option<Millis>,
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
            encoded_config: Vec::new(),
            seeds,
            platform_addresses: Vec::new(),
            contacted_at: None,
            heartbeat_at: None,
            agent_heartbeat_at: None,
            assembly: None,
            requested_at: None,
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
        self.encoded_config = rmp_serde::to_vec(&config).unwrap_or_default();
        info!(version = config.version, routes = config.routes.len(); "configuration activated");
        self.newest_version = self.newest_version.max(config.version);
        self.config = Some(config);
        self.assembly = None;
        self.requested_at = None;
        self.behind_since = None;
        self.broadcast();
        true
    }

    /// Processes a received message.
    pub fn receive(&mut self, from: SocketAddrV4, message: Message, now: Millis) {
        match message {
            Message::Beat(heartbeat) => self.receive_heartbeat(&heartbeat, now),
            Message::Roster(entries) => self.receive_entries(&entries, now),
            Message::Want(version) => self.send_pages(from, version),
            Message::Page {
                version,
                index,
                total,
                bytes,
            } => self.receive_page(version, index, total, bytes),
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
            if is_due(self.requested_at, REQUEST_INTERVAL, now) {
                self.requested_at = Some(now);
                self.request_config();
            }
        }
    }

    /// Returns what this node has to poll from the platform.
    #[must_use]
    pub fn polling(&self, now: Millis) -> platform_sync::Polling {
        let behind = self
            .behind_since
            .is_some_and(|since| now.since(since) >= MAX_CONFIG_LAG);
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

    /// Requests the configuration from a random live node: in half of the cases from one
    /// in the same failure domain, if there is one.
    fn request_config(&mut self) {
        let me = self.roster.me().domain;
        let alive: Vec<_> = self
            .roster
            .peers()
            .iter()
            .filter(|peer| !peer.silent && peer.direct)
            .collect();
        let near: Vec<_> = alive
            .iter()
            .filter(|peer| peer.entry.domain == me)
            .copied()
            .collect();
        let candidates = if near.is_empty() || self.rng.random_bool(0.5) {
            &alive
        } else {
            &near
        };
        if candidates.is_empty() {
            return;
        }
        let to = candidates[self.rng.random_range(0..candidates.len())]
            .entry
            .control;
        let version = self.config_version() + 1;
        self.outbox.push((to, Message::Want(version)));
    }

    /// Sends all pages of the configuration, if this node has the requested version or a
    /// later one.
    fn send_pages(&mut self, to: SocketAddrV4, version: u64) {
        if self.config_version() < version {
            return;
        }
        let pages: Vec<_> = self.encoded_config.chunks(PAGE_LEN).collect();
        let total = u16::try_from(pages.len()).unwrap_or(u16::MAX);
        let version = self.config_version();
        for (index, bytes) in (0..total).zip(pages) {
            let page = Message::Page {
                version,
                index,
                total,
                bytes: bytes.to_vec(),
            };
            self.outbox.push((to, page));
        }
    }

    /// Stores a page of a newer configuration, and activates the configuration once all
    /// pages have been received.
    fn receive_page(&mut self, version: u64, index: u16, total: u16, bytes: Vec<u8>) {
        if version <= self.config_version() || total > MAX_PAGES || index >= total {
            return;
        }
        let matches = self
            .assembly
            .as_ref()
            .is_some_and(|a| a.version == version && a.pages.len() == usize::from(total));
        if !matches {
            self.assembly = Some(ConfigAssembly {
                version,
                pages: vec![None; usize::from(total)],
            });
        }
        let Some(assembly) = &mut self.assembly else {
            return;
        };
        assembly.pages[usize::from(index)] = Some(bytes);
        if assembly.pages.iter().any(Option::is_none) {
            return;
        }
        let encoded: Vec<u8> = assembly.pages.iter().flatten().flatten().copied().collect();
        self.assembly = None;
        match rmp_serde::from_slice(&encoded) {
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
