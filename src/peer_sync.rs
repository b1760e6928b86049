//! Synchronises membership and configuration among the nodes of pass-through services.
//!
//! Nodes exchange heartbeats, digests of failure domains, membership entries and pages of
//! the configuration. Periodic heartbeats stay within a failure domain; changes of a node's
//! entry are sent to all. The platform, the seed addresses and the peers are independent
//! sources of this state; a node uses whichever answers first.

mod configuration;

use std::net::SocketAddrV4;

use log::{info, warn};
use rand::{SeedableRng, rngs, seq::IndexedRandom};

use crate::{
    clock::Millis,
    config_transfer,
    domain_digest::{self, must_know_each_other},
    evacuation, former_services, ident, polling,
    protocol::{Heartbeat, MAX_ENTRIES, Message},
    roster, routing,
};

/// Interval between two heartbeats to the seed addresses and the addresses registered on
/// the platform that have not replied.
const CONTACT_INTERVAL: Millis = Millis(500);

/// Number of the addresses registered on the platform that are contacted at a time. Each
/// node that replies sends the entries that it knows, and one reply is enough.
const MAX_CONTACTS: usize = 3;

/// The contact interval while no other node has replied. It is short, because the hosts of
/// a fleet that comes back start one after the other, and a node without contacts asks the
/// platform.
const FIRST_CONTACT_INTERVAL: Millis = Millis(150);

/// Period of a balancer's heartbeats to agents. Agents need them to learn where to send
/// their own.
const AGENT_HEARTBEAT_PERIOD: Millis = Millis(2_000);

/// Time for which this node may lack a version that its peers have, and get no page of
/// it, before it requests the configuration from the platform.
const MAX_CONFIG_LAG: Millis = Millis(1_000);

/// Period of a node's heartbeats to nodes of other failure domains that do not understand
/// digests. It is announced to all nodes of other domains, which shows that this node
/// understands them.
const FAR_HEARTBEAT_PERIOD: Millis = Millis(20_000);

/// Interval between two probes of nodes of other failure domains that have missed a
/// report.
const PROBE_INTERVAL: Millis = Millis(200);

/// Minimum time between two requests for the entries of one failure domain.
const ENTRIES_INTERVAL: Millis = Millis(300);

/// Recipients of a heartbeat among the nodes that have to know the sender.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Scope {
    All,
    /// Nodes of the own failure domain, and those of others that do not understand digests.
    Unreported,
    /// Nodes of the own failure domain.
    Domain,
    /// Nodes of the own failure domain, for a balancer without the agents.
    DomainBalancers,
}

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
    far_heartbeat_at: Option<Millis>,
    probed_at: Option<Millis>,
    /// Number of suspected nodes of the own failure domain at the last tick.
    suspects: usize,
    /// Times of the last requests for entries, sorted by failure domain.
    entries_at: Vec<(ident::DomainId, Millis)>,
    download: config_transfer::Download,
    behind_since: Option<Millis>,
    newest_version: u64,
    history: former_services::History,
    evacuations: evacuation::View,
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
            far_heartbeat_at: None,
            probed_at: None,
            suspects: 0,
            entries_at: Vec::new(),
            download: config_transfer::Download::default(),
            behind_since: None,
            newest_version: 0,
            history: former_services::History::default(),
            evacuations: evacuation::View::default(),
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
            self.send_heartbeats(Scope::All);
        }
    }

    /// Sends this node's entry to the other nodes once more.
    pub fn announce_self(&mut self) {
        self.send_heartbeats(Scope::All);
    }

    /// Returns the evacuations in force.
    #[must_use]
    pub const fn evacuations(&self) -> &evacuation::Evacuations {
        self.evacuations.active()
    }

    /// Records the evacuations that were read from the platform, and tells the other nodes at
    /// once if they have changed.
    pub fn apply_evacuations(&mut self, read: evacuation::Evacuations) {
        let changed = self.evacuations.record_read(read);
        self.activate_evacuations(changed);
        if changed {
            self.send_heartbeats(Scope::All);
        }
    }

    fn merge_evacuations(&mut self, other: &evacuation::Evacuations) {
        let changed = self.evacuations.merge(other);
        self.activate_evacuations(changed);
    }

    fn activate_evacuations(&mut self, changed: bool) {
        let active = self.evacuations.active();
        self.roster.set_evacuated(&active.domains);
        if changed {
            info!(
                version = active.version, domains:? = active.domains;
                "evacuated failure domains changed"
            );
            self.send_heartbeats(Scope::Domain);
        }
    }

    /// Sets the balancer addresses that are registered on the platform; the next tick
    /// contacts them.
    pub fn set_platform_addresses(&mut self, addresses: Vec<SocketAddrV4>) {
        self.platform_addresses = addresses;
        self.contacted_at = None;
    }

    /// Processes a received message.
    pub fn receive(&mut self, from: SocketAddrV4, message: Message, now: Millis) {
        match message {
            Message::Beat(heartbeat) => self.receive_heartbeat(&heartbeat, now),
            Message::Roster(entries) => self.receive_entries(&entries, now),
            Message::WantPages(request) => self.send_pages(from, &request),
            Message::ConfigPage(page) => self.receive_page(from, page, now),
            Message::Digest(digest) => self.receive_digest(from, &digest, now),
            Message::WantEntries(services) => self.send_entries(from, &services, now),
            Message::Alive(entries) => self.receive_alive(&entries, now),
            Message::Ping => self.outbox.push((from, self.heartbeat())),
            Message::WantFormer(request) => self.send_former(from, request),
            Message::Former(page) => self.receive_former(from, &page, now),
            Message::Own { .. }
            | Message::Unowned { .. }
            | Message::Confirmed { .. }
            | Message::Searched { .. }
            | Message::WantFlows(_)
            | Message::OwnedFlows(_) => {}
        }
    }

    /// Runs the periodic work: updates liveness, sends heartbeats, contacts addresses
    /// that have not replied and requests a newer configuration.
    pub fn tick(&mut self, now: Millis) {
        self.roster.tick(now);
        let contact_interval = if self.roster.lacks_contacts() {
            FIRST_CONTACT_INTERVAL
        } else {
            CONTACT_INTERVAL
        };
        if is_due(self.contacted_at, contact_interval, now) {
            self.contacted_at = Some(now);
            self.contact_addresses();
        }
        let suspects = self.roster.suspects(now);
        let has_new_suspects = suspects > self.suspects;
        self.suspects = suspects;
        if is_due(self.heartbeat_at, self.roster.period(), now) {
            self.heartbeat_at = Some(now);
            let scope = self.take_due_scope(now);
            self.send_heartbeats(scope);
            self.send_digests(now);
        } else if has_new_suspects {
            self.send_digests(now);
        }
        if is_due(self.probed_at, PROBE_INTERVAL, now) {
            self.probed_at = Some(now);
            self.probe_unreported(now);
        }
        if self.newest_version > self.config_version() {
            self.behind_since.get_or_insert(now);
            if self.download.is_due(now) {
                self.request_pages(now);
            }
        }
        self.request_former(now);
    }

    /// Returns the recipients to which a heartbeat is due, and records that it is sent.
    fn take_due_scope(&mut self, now: Millis) -> Scope {
        if is_due(self.far_heartbeat_at, FAR_HEARTBEAT_PERIOD, now) {
            self.far_heartbeat_at = Some(now);
            self.agent_heartbeat_at = Some(now);
            return Scope::Unreported;
        }
        if is_due(self.agent_heartbeat_at, AGENT_HEARTBEAT_PERIOD, now) {
            self.agent_heartbeat_at = Some(now);
            return Scope::Domain;
        }
        Scope::DomainBalancers
    }

    /// Returns what this node has to poll from the platform.
    #[must_use]
    pub fn polling(&self, now: Millis) -> polling::Polling {
        let progress = self.download.progressed_at();
        let behind = self.behind_since.is_some_and(|since| {
            now.since(progress.map_or(since, |at| at.max(since))) >= MAX_CONFIG_LAG
        });
        let is_balancer = self.roster.me().upstream.is_none();
        let is_watcher = is_balancer && self.roster.is_watcher();
        let addresses = if self.roster.lacks_contacts() {
            polling::Addresses::Now
        } else if is_watcher {
            polling::Addresses::Periodic
        } else {
            polling::Addresses::Idle
        };
        polling::Polling {
            config: is_watcher || (is_balancer && (self.config.is_none() || behind)),
            addresses,
        }
    }

    /// Merges the entry of the sender. If it is new, it gets a heartbeat, and the entries of
    /// known nodes unless it knows the fleet already.
    fn receive_heartbeat(&mut self, heartbeat: &Heartbeat, now: Millis) {
        self.merge_evacuations(&heartbeat.evacuations);
        let period = self.expected_period(heartbeat);
        let merge = self.roster.merge(&heartbeat.entry, period, true, now);
        let node = heartbeat.entry.node;
        self.roster.record_config(node, heartbeat.config);
        if is_far(heartbeat) {
            self.roster.record_digests(node);
        }
        self.newest_version = self.newest_version.max(heartbeat.config);
        match merge {
            roster::Merge::New => {
                info!(
                    node = node.0,
                    control:% = heartbeat.entry.control;
                    "node discovered"
                );
                self.outbox
                    .push((heartbeat.entry.control, self.heartbeat_to(&heartbeat.entry)));
                if !is_far(heartbeat) {
                    self.introduce_peers(&heartbeat.entry);
                }
            }
            roster::Merge::Superseded => self.report_superseded(&heartbeat.entry),
            roster::Merge::Changed | roster::Merge::Same | roster::Merge::Old => {}
        }
    }

    /// Sends a node whose incarnation is behind the known one its known entry, from which it
    /// takes a later incarnation.
    fn report_superseded(&mut self, entry: &roster::Entry) {
        if let Some(known) = self.roster.find(entry.node) {
            let message = Message::Roster(vec![known.entry.clone()]);
            self.outbox.push((entry.control, message));
        }
    }

    /// Returns the time until a node should be heard or reported again.
    fn expected_period(&self, heartbeat: &Heartbeat) -> Millis {
        if is_far(heartbeat) {
            self.roster.period()
        } else {
            heartbeat.period
        }
    }

    /// Merges entries received from another node, and sends a heartbeat to each node that
    /// is new here.
    fn receive_entries(&mut self, entries: &[roster::Entry], now: Millis) {
        for entry in entries {
            let run = self.roster.me().incarnation;
            let merge = self
                .roster
                .merge(entry, roster::HEARTBEAT_PERIOD, false, now);
            if self.roster.me().incarnation != run {
                warn!(
                    incarnation = self.roster.me().incarnation.0;
                    "wall clock was set back since the last start; took a later incarnation"
                );
                self.send_heartbeats(Scope::All);
            }
            if merge == roster::Merge::New && must_know_each_other(entry, self.roster.me()) {
                self.outbox.push((entry.control, self.heartbeat_to(entry)));
            }
        }
    }

    /// Sends the entries of known live nodes to a node that is new here, and of agents that
    /// have left a running upstream, which still has its flows.
    fn introduce_peers(&mut self, entry: &roster::Entry) {
        let others: Vec<_> = self
            .roster
            .peers()
            .iter()
            .filter(|peer| {
                let alive = peer.direct && !peer.silent && !peer.entry.leaving;
                alive || peer.has_left_upstream()
            })
            .map(|peer| peer.entry.clone())
            .filter(|other| other.node != entry.node)
            .filter(|other| must_know_each_other(entry, other))
            .collect();
        for chunk in others.chunks(MAX_ENTRIES) {
            self.outbox
                .push((entry.control, Message::Roster(chunk.to_vec())));
        }
    }

    /// Sends a heartbeat to the seed addresses, and to some of those registered on the
    /// platform, from which no live node has replied.
    fn contact_addresses(&mut self) {
        let live = self.roster.peers().iter();
        let live = live.filter(|peer| !peer.silent && peer.direct);
        let known: Vec<_> = live.map(|peer| peer.entry.control).collect();
        let own = self.roster.me().control;
        let is_unknown = |address: &SocketAddrV4| *address != own && !known.contains(address);
        let registered = self.platform_addresses.iter().copied();
        let registered: Vec<_> = registered.filter(is_unknown).collect();
        let seeds = self.seeds.iter().copied().filter(is_unknown);
        let mut addresses: Vec<_> = seeds
            .chain(
                registered
                    .choose_multiple(&mut self.rng, MAX_CONTACTS)
                    .copied(),
            )
            .collect();
        addresses.sort_unstable();
        addresses.dedup();
        let heartbeat = self.heartbeat();
        for address in addresses {
            self.outbox.push((address, heartbeat.clone()));
        }
    }

    /// Sends a heartbeat to the nodes in scope that must know this one.
    fn send_heartbeats(&mut self, scope: Scope) {
        let me = self.roster.me();
        let in_scope = |peer: &roster::Peer| {
            let is_near = peer.entry.domain == me.domain;
            match scope {
                Scope::All => true,
                Scope::Unreported => is_near || !peer.digests,
                Scope::Domain => is_near,
                Scope::DomainBalancers => is_near && !uses_agent_period(me, &peer.entry),
            }
        };
        let peers = self.roster.peers().iter();
        let heartbeats: Vec<_> = peers
            .filter(|peer| in_scope(peer) && must_know_each_other(&peer.entry, me))
            .map(|peer| (peer.entry.control, self.heartbeat_to(&peer.entry)))
            .collect();
        self.outbox.extend(heartbeats);
    }

    /// Sends the digest of this balancer's failure domain to the nodes of other domains to
    /// which it reports.
    fn send_digests(&mut self, now: Millis) {
        let reports = domain_digest::reports(&self.roster, self.config_version(), now);
        let evacuations = self.evacuations.active();
        let messages = reports.into_iter().map(|(to, mut digest)| {
            digest.evacuations = evacuations.clone();
            (to, Message::Digest(digest))
        });
        self.outbox.extend(messages);
    }

    /// Applies the digest of another failure domain, and requests the entries of the groups
    /// that differ.
    fn receive_digest(&mut self, from: SocketAddrV4, digest: &domain_digest::Digest, now: Millis) {
        if digest.domain == self.roster.me().domain {
            return;
        }
        self.merge_evacuations(&digest.evacuations);
        let differing = digest.apply(&mut self.roster, now);
        self.roster.record_config(digest.reporter, digest.config);
        self.newest_version = self.newest_version.max(digest.config);
        if !differing.is_empty() && self.take_entries_request(digest.domain, now) {
            self.outbox.push((from, Message::WantEntries(differing)));
        }
    }

    /// Returns whether the entries of a failure domain may be requested now, and records
    /// the request if so.
    fn take_entries_request(&mut self, domain: ident::DomainId, now: Millis) -> bool {
        match self
            .entries_at
            .binary_search_by_key(&domain, |(domain, _)| *domain)
        {
            Ok(at) => {
                let due = now.since(self.entries_at[at].1) >= ENTRIES_INTERVAL;
                if due {
                    self.entries_at[at].1 = now;
                }
                due
            }
            Err(at) => {
                self.entries_at.insert(at, (domain, now));
                true
            }
        }
    }

    /// Sends the live entries of the own failure domain in the requested groups.
    fn send_entries(
        &mut self,
        to: SocketAddrV4,
        services: &[Option<ident::ServiceId>],
        now: Millis,
    ) {
        let me = self.roster.me();
        let peers = self.roster.peers().iter();
        let alive = peers
            .filter(|peer| peer.entry.domain == me.domain && !peer.is_suspect(now))
            .map(|peer| &peer.entry);
        let entries: Vec<_> = std::iter::once(me)
            .chain(alive)
            .filter(|entry| services.contains(&entry.service()))
            .cloned()
            .collect();
        for chunk in entries.chunks(MAX_ENTRIES) {
            self.outbox.push((to, Message::Alive(chunk.to_vec())));
        }
    }

    /// Merges the entries that another failure domain reports alive, and sends a heartbeat
    /// to each node that is new here.
    fn receive_alive(&mut self, entries: &[roster::Entry], now: Millis) {
        let period = self.roster.period();
        for entry in entries {
            let merge = self.roster.merge(entry, period, true, now);
            if merge == roster::Merge::New {
                info!(node = entry.node.0, control:% = entry.control; "node reported");
                self.outbox.push((entry.control, self.heartbeat_to(entry)));
            }
        }
    }

    /// Asks the nodes of other failure domains that have missed a report for a heartbeat.
    fn probe_unreported(&mut self, now: Millis) {
        let unreported = self.roster.unreported(now);
        let pings = unreported.map(|entry| (entry.control, Message::Ping));
        self.outbox.extend(pings);
    }

    fn heartbeat(&self) -> Message {
        self.heartbeat_with_period(self.roster.period())
    }

    /// Creates a heartbeat that announces the time until the next one to this recipient.
    fn heartbeat_to(&self, recipient: &roster::Entry) -> Message {
        let me = self.roster.me();
        let period = if recipient.domain != me.domain {
            FAR_HEARTBEAT_PERIOD
        } else if uses_agent_period(me, recipient) {
            AGENT_HEARTBEAT_PERIOD.max(self.roster.period())
        } else {
            self.roster.period()
        };
        self.heartbeat_with_period(period)
    }

    fn heartbeat_with_period(&self, period: Millis) -> Message {
        Message::Beat(Heartbeat {
            entry: self.roster.me().clone(),
            period,
            config: self.config_version(),
            evacuations: self.evacuations.active().clone(),
        })
    }
}

/// Returns whether the sender of a heartbeat knows the fleet: it knows that this node
/// belongs to another failure domain, which it has learned from the entries of others.
fn is_far(heartbeat: &Heartbeat) -> bool {
    heartbeat.period == FAR_HEARTBEAT_PERIOD
}

/// Returns whether `me` sends heartbeats to `other` at the longer period: a balancer to
/// an agent.
const fn uses_agent_period(me: &roster::Entry, other: &roster::Entry) -> bool {
    me.upstream.is_none() && other.upstream.is_some()
}

fn is_due(last: Option<Millis>, period: Millis, now: Millis) -> bool {
    last.is_none_or(|last| now.since(last) >= period)
}
