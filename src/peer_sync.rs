//! What each node of pass-through services does to know the others and the
//! configuration, whichever of platform, seeds and peers answers first.

use std::net::SocketAddrV4;

use log::{info, warn};
use rand::{Rng, SeedableRng, rngs};

use crate::{
    clock::Millis,
    platform_sync,
    protocol::{Heartbeat, MAX_ENTRIES, Message, PAGE_LEN},
    roster, routing,
};

/// Time between two statements to addresses that nothing was heard from.
const CALL_PERIOD: Millis = Millis(500);

/// Time between a balancer's statements to agents, which need them to know
/// where to send theirs.
const AGENT_PERIOD: Millis = Millis(2_000);

/// Time after which a wanted configuration is asked for again.
const WANT_PERIOD: Millis = Millis(300);

/// Time for which a version that peers have may be missing here before the platform
/// is asked for it.
const BEHIND: Millis = Millis(1_000);

/// The most pages that a configuration may have.
const MAX_PAGES: u16 = 1_024;

#[derive(Debug)]
struct Assembly {
    version: u64,
    pages: Vec<Option<Vec<u8>>>,
}

/// One node's knowledge of the others.
#[derive(Debug)]
pub struct PeerSync {
    roster: roster::Roster,
    config: Option<routing::Config>,
    encoded: Vec<u8>,
    seeds: Vec<SocketAddrV4>,
    calls: Vec<SocketAddrV4>,
    called: Option<Millis>,
    stated: Option<Millis>,
    stated_agents: Option<Millis>,
    assembly: Option<Assembly>,
    wanted: Option<Millis>,
    behind: Option<Millis>,
    newest: u64,
    rng: rngs::SmallRng,
    out: Vec<(SocketAddrV4, Message)>,
}

impl PeerSync {
    /// A node that knows nobody but its seeds' addresses.
    #[must_use]
    pub fn new(me: roster::Entry, seeds: Vec<SocketAddrV4>, seed: u64, now: Millis) -> Self {
        Self {
            roster: roster::Roster::new(me, now),
            config: None,
            encoded: Vec::new(),
            seeds,
            calls: Vec::new(),
            called: None,
            stated: None,
            stated_agents: None,
            assembly: None,
            wanted: None,
            behind: None,
            newest: 0,
            rng: rngs::SmallRng::seed_from_u64(seed),
            out: Vec::new(),
        }
    }

    /// The nodes.
    #[must_use]
    pub const fn roster(&self) -> &roster::Roster {
        &self.roster
    }

    /// The configuration in force.
    #[must_use]
    pub const fn config(&self) -> Option<&routing::Config> {
        self.config.as_ref()
    }

    /// Version of the configuration in force, 0 for none.
    #[must_use]
    pub fn config_version(&self) -> u64 {
        self.config.as_ref().map_or(0, |config| config.version)
    }

    /// Takes the messages to send.
    pub fn outgoing(&mut self) -> std::vec::Drain<'_, (SocketAddrV4, Message)> {
        self.out.drain(..)
    }

    /// Changes this node's entry; the others hear of it at once.
    pub fn update_self(&mut self, change: impl FnOnce(&mut roster::Entry)) {
        if self.roster.update(change) {
            self.state_all();
        }
    }

    /// Takes the addresses of balancers that the platform knows.
    pub fn set_contacts(&mut self, addresses: Vec<SocketAddrV4>) {
        self.calls = addresses;
        self.called = None;
    }

    /// Puts a configuration in force if it is newer; false where it is not.
    ///
    /// Peers hear of the version with the next statement, which goes out at once.
    pub fn apply_config(&mut self, config: routing::Config) -> bool {
        if config.version <= self.config_version() {
            return false;
        }
        let config = config.inherit(self.config.as_ref());
        self.encoded = rmp_serde::to_vec(&config).unwrap_or_default();
        info!(version = config.version, routes = config.routes.len(); "configuration in force");
        self.newest = self.newest.max(config.version);
        self.config = Some(config);
        self.assembly = None;
        self.wanted = None;
        self.behind = None;
        self.state_all();
        true
    }

    /// Takes a message.
    pub fn receive(&mut self, from: SocketAddrV4, message: Message, now: Millis) {
        match message {
            Message::Beat(beat) => self.beat(&beat, now),
            Message::Roster(entries) => self.entries(&entries, now),
            Message::Want(version) => self.send_pages(from, version),
            Message::Page {
                version,
                index,
                total,
                bytes,
            } => self.page(version, index, total, bytes),
            Message::Own { .. } | Message::Unowned { .. } => {}
        }
    }

    /// Runs one round: liveness, statements, calls to silent addresses.
    pub fn tick(&mut self, now: Millis) {
        self.roster.tick(now);
        if is_due(self.called, CALL_PERIOD, now) {
            self.called = Some(now);
            self.call();
        }
        let period = self.roster.period();
        if is_due(self.stated, period, now) {
            self.stated = Some(now);
            let agents = is_due(self.stated_agents, AGENT_PERIOD, now);
            if agents {
                self.stated_agents = Some(now);
            }
            self.state(agents);
        }
        if self.newest > self.config_version() {
            self.behind.get_or_insert(now);
            if is_due(self.wanted, WANT_PERIOD, now) {
                self.wanted = Some(now);
                self.want();
            }
        }
    }

    /// What this node has to ask the platform for.
    #[must_use]
    pub fn polling(&self, now: Millis) -> platform_sync::Polling {
        let behind = self.behind.is_some_and(|since| now.since(since) >= BEHIND);
        let is_balancer = self.roster.me().upstream.is_none();
        platform_sync::Polling {
            config: is_balancer && (self.config.is_none() || behind || self.roster.is_watcher()),
            peers_now: self.roster.lacks_contacts(),
        }
    }

    fn beat(&mut self, beat: &Heartbeat, now: Millis) {
        let merge = self.roster.merge(&beat.entry, beat.period, true, now);
        self.newest = self.newest.max(beat.config);
        match merge {
            roster::Merge::New => {
                info!(node = beat.entry.node.0, control:% = beat.entry.control; "node is there");
                self.welcome(&beat.entry);
            }
            roster::Merge::Changed | roster::Merge::Same | roster::Merge::Old => {}
        }
    }

    fn entries(&mut self, entries: &[roster::Entry], now: Millis) {
        for entry in entries {
            let merge = self
                .roster
                .merge(entry, roster::HEARTBEAT_PERIOD, false, now);
            if merge == roster::Merge::New && concern(entry, self.roster.me()) {
                let beat = self.rare_beat();
                self.out.push((entry.control, beat));
            }
        }
    }

    /// Tells a node that is new here who is there, and that this node is.
    fn welcome(&mut self, entry: &roster::Entry) {
        let beat = if is_rare(self.roster.me(), entry) {
            self.rare_beat()
        } else {
            self.own_beat()
        };
        self.out.push((entry.control, beat));
        let others: Vec<_> = self
            .roster
            .peers()
            .iter()
            .filter(|row| row.direct && !row.silent && !row.entry.leaving)
            .map(|row| row.entry.clone())
            .filter(|other| other.node != entry.node)
            .filter(|other| concern(entry, other))
            .collect();
        for chunk in others.chunks(MAX_ENTRIES) {
            self.out
                .push((entry.control, Message::Roster(chunk.to_vec())));
        }
    }

    fn call(&mut self) {
        let known: Vec<_> = self
            .roster
            .peers()
            .iter()
            .filter(|row| !row.silent && row.direct)
            .map(|row| row.entry.control)
            .collect();
        let mut addresses: Vec<_> = self.seeds.iter().chain(&self.calls).copied().collect();
        addresses.sort_unstable();
        addresses.dedup();
        let own = self.roster.me().control;
        addresses.retain(|address| *address != own && !known.contains(address));
        let beat = self.own_beat();
        for address in addresses {
            self.out.push((address, beat.clone()));
        }
    }

    fn state_all(&mut self) {
        self.state(true);
    }

    fn state(&mut self, agents: bool) {
        let beat = self.own_beat();
        let rare = self.rare_beat();
        let me = self.roster.me();
        let to: Vec<_> = self
            .roster
            .peers()
            .iter()
            .filter(|row| concern(&row.entry, me))
            .filter(|row| agents || !is_rare(me, &row.entry))
            .map(|row| (row.entry.control, is_rare(me, &row.entry)))
            .collect();
        for (address, is_rare) in to {
            let beat = if is_rare { &rare } else { &beat };
            self.out.push((address, beat.clone()));
        }
    }

    fn own_beat(&self) -> Message {
        self.beat_each(self.roster.period())
    }

    fn rare_beat(&self) -> Message {
        self.beat_each(AGENT_PERIOD.max(self.roster.period()))
    }

    fn beat_each(&self, period: Millis) -> Message {
        Message::Beat(Heartbeat {
            entry: self.roster.me().clone(),
            period,
            config: self.config_version(),
        })
    }

    /// Asks a random live node for the configuration, preferably one nearby.
    fn want(&mut self) {
        let me = self.roster.me().domain;
        let live: Vec<_> = self
            .roster
            .peers()
            .iter()
            .filter(|row| !row.silent && row.direct)
            .collect();
        let near: Vec<_> = live
            .iter()
            .filter(|row| row.entry.domain == me)
            .copied()
            .collect();
        let among = if near.is_empty() || self.rng.random_bool(0.5) {
            &live
        } else {
            &near
        };
        if among.is_empty() {
            return;
        }
        let to = among[self.rng.random_range(0..among.len())].entry.control;
        let version = self.config_version() + 1;
        self.out.push((to, Message::Want(version)));
    }

    fn send_pages(&mut self, to: SocketAddrV4, version: u64) {
        if self.config_version() < version {
            return;
        }
        let pages: Vec<_> = self.encoded.chunks(PAGE_LEN).collect();
        let total = u16::try_from(pages.len()).unwrap_or(u16::MAX);
        let version = self.config_version();
        for (index, bytes) in (0..total).zip(pages) {
            let page = Message::Page {
                version,
                index,
                total,
                bytes: bytes.to_vec(),
            };
            self.out.push((to, page));
        }
    }

    fn page(&mut self, version: u64, index: u16, total: u16, bytes: Vec<u8>) {
        if version <= self.config_version() || total > MAX_PAGES || index >= total {
            return;
        }
        let fits = self
            .assembly
            .as_ref()
            .is_some_and(|a| a.version == version && a.pages.len() == usize::from(total));
        if !fits {
            self.assembly = Some(Assembly {
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
        let whole: Vec<u8> = assembly.pages.iter().flatten().flatten().copied().collect();
        self.assembly = None;
        match rmp_serde::from_slice(&whole) {
            Ok(config) => {
                self.apply_config(config);
            }
            Err(error) => {
                warn!(version = version, error:% = error; "a peer's configuration cannot be read");
            }
        }
    }
}

/// Whether two nodes have to know each other: balancers all, agents those of their service.
fn concern(a: &roster::Entry, b: &roster::Entry) -> bool {
    match (a.service(), b.service()) {
        (Some(a), Some(b)) => a == b,
        _ => true,
    }
}

/// Whether `me` states itself to `other` only now and then: a balancer to an agent.
const fn is_rare(me: &roster::Entry, other: &roster::Entry) -> bool {
    me.upstream.is_none() && other.upstream.is_some()
}

fn is_due(last: Option<Millis>, period: Millis, now: Millis) -> bool {
    last.is_none_or(|last| now.since(last) >= period)
}
