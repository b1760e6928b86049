//! Tables of agents and balancers, and who of them is alive.
//!
//! Liveness goes by exception: each balancer states, in one numbered line,
//! that all agents it watches are alive but some. Every process infers the
//! rest from the progress of the lines that reach it, so nobody can spread a
//! death that only a cut network made.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;

use crate::{clock, ident, member};

/// Balancers that an agent sends its heartbeats to.
pub const WATCHERS: usize = 3;

/// Balancers that an agent knows, its watchers among them.
pub const MAX_KNOWN_BALANCERS: usize = 8;

/// Agents that one line can except; a balancer that misses more vouches for none.
pub const MAX_EXCEPTIONS: usize = 64;

/// Entries of each table.
pub const MAX_ENTRIES: usize = 16_384;

/// Parts of the agents' table that are compared one by one in a full sync.
pub const PARTITIONS: usize = 64;

/// Bytes of a name, service or failure domain in an entry.
pub const MAX_NAME_LEN: usize = 64;

const HEARTBEAT_TIMEOUT_PERIODS: u64 = 3;
const LINE_PERIODS: u64 = 3;
const LINE_TIMEOUT_PERIODS: u64 = 9;
const QUIET_PERIODS: u64 = 30;
const FORGET_PERIODS: u64 = 600;
const TOMBSTONE_PERIODS: u64 = 3_600;

/// Spans that the rules of the tables use.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Timing {
    /// Time between two heartbeats of an agent.
    pub period: clock::Millis,
    /// An agent without a heartbeat for longer is excepted by its watcher.
    pub heartbeat_timeout: clock::Millis,
    /// Longest time between two lines of one balancer.
    pub report_period: clock::Millis,
    /// A line without progress for longer is not fresh.
    pub report_timeout: clock::Millis,
    /// Deaths within this span count as going quiet at once.
    pub loss_window: clock::Millis,
    /// Dead entries are forgotten after this span.
    pub eviction_timeout: clock::Millis,
    /// Forgotten entries cannot come back within this span.
    pub tombstone_ttl: clock::Millis,
}

impl Timing {
    /// The spans that go with a period.
    #[must_use]
    pub const fn new(period: clock::Millis) -> Self {
        Self {
            period,
            heartbeat_timeout: clock::Millis(period.0 * HEARTBEAT_TIMEOUT_PERIODS),
            report_period: clock::Millis(period.0 * LINE_PERIODS),
            report_timeout: clock::Millis(period.0 * LINE_TIMEOUT_PERIODS),
            loss_window: clock::Millis(period.0 * QUIET_PERIODS),
            eviction_timeout: clock::Millis(period.0 * FORGET_PERIODS),
            tombstone_ttl: clock::Millis(period.0 * TOMBSTONE_PERIODS),
        }
    }
}

/// What one balancer says about the agents that it watches.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LivenessReport {
    /// The balancer.
    pub balancer: ident::NodeId,
    /// The run of the balancer.
    pub incarnation: ident::Incarnation,
    /// Grows with each line of the run.
    pub seq: u64,
    /// Whether the balancer can speak for its agents.
    pub vouching: bool,
    /// The watched agents that are not alive, sorted.
    pub except: Vec<ident::NodeId>,
}

impl LivenessReport {
    /// Whether the line says that a watched agent is alive.
    #[must_use]
    pub fn reports_alive(&self, node: ident::NodeId) -> bool {
        self.vouching && self.except.binary_search(&node).is_err()
    }
}

/// What is known of an agent's life.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Liveness {
    /// No watcher has spoken; the agent is kept as it was.
    Unknown,
    /// A watcher vouches for the agent.
    Alive,
    /// Watchers have spoken and none vouches.
    Dead,
}

/// What became of an entry that was offered to a table.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Merge {
    /// The entry is new, or replaced an older one.
    Applied,
    /// The table holds this entry or a newer one.
    Stale,
    /// The entry was forgotten, breaks a bound or belongs to no known balancer.
    Rejected,
}

/// The last heartbeat of an agent.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub struct LastHeartbeat {
    /// Sequence number within the incarnation.
    pub seq: u64,
    /// When it arrived.
    pub at: clock::Millis,
    /// Version of the service's record that is in force at the agent, as last told.
    pub version: u64,
}

/// An agent in the table.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct MemberRow {
    /// The newest entry.
    pub member: member::Member,
    /// When this incarnation became known here.
    pub learned: clock::Millis,
    /// The last heartbeat that came here, if any.
    #[serde(rename = "beat")]
    pub heartbeat: Option<LastHeartbeat>,
    /// What is known of the agent's life.
    pub liveness: Liveness,
    /// When the agent was found dead, if it is.
    pub died: Option<clock::Millis>,
    /// Whether the agent stays in tables because too many went quiet with it.
    pub held: bool,
}

impl MemberRow {
    /// Whether the agent takes part in tables and views.
    #[must_use]
    pub fn is_active(&self) -> bool {
        self.liveness != Liveness::Dead || self.held
    }

    fn is_heard(&self, timing: &Timing, now: clock::Millis) -> bool {
        self.heartbeat
            .is_some_and(|beat| now.since(beat.at) <= timing.heartbeat_timeout)
    }
}

/// A balancer in the table.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct BalancerRow {
    /// The newest entry.
    pub balancer: member::Balancer,
    /// When this incarnation became known here.
    pub learned: clock::Millis,
    /// The last line that came here, if any.
    #[serde(rename = "line")]
    pub report: Option<LivenessReport>,
    /// When a line last followed another one of the same incarnation.
    pub progress: Option<clock::Millis>,
}

impl BalancerRow {
    /// Whether the balancer's line has made progress lately.
    #[must_use]
    pub fn is_fresh(&self, timing: &Timing, now: clock::Millis) -> bool {
        self.progress
            .is_some_and(|at| now.since(at) <= timing.report_timeout)
    }

    /// Whether the balancer is taken for alive, by its line or because it is new here.
    #[must_use]
    pub fn is_live(&self, timing: &Timing, now: clock::Millis) -> bool {
        self.is_fresh(timing, now) || now.since(self.learned) <= timing.report_timeout
    }
}

/// Keeps a forgotten agent's entry from coming back.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Tombstone {
    /// The agent.
    pub node: ident::NodeId,
    /// The last known run of the agent.
    pub incarnation: ident::Incarnation,
    /// The last known change within the run.
    pub change: u32,
}

#[derive(Clone, Copy, Debug)]
struct Grave {
    stone: Tombstone,
    watched: bool,
    since: clock::Millis,
}

/// All agents and balancers that one process knows, sorted by node.
#[derive(Clone, Debug)]
pub struct Tables {
    timing: Timing,
    me: ident::NodeId,
    members: Vec<MemberRow>,
    balancers: Vec<BalancerRow>,
    graves: Vec<Grave>,
    synced: Option<clock::Millis>,
    ticked: clock::Millis,
    spoke: clock::Millis,
    line: LivenessReport,
    revision: u64,
}

impl Tables {
    /// Tables of the balancer `me`, which knows nobody else yet.
    #[must_use]
    pub fn new(me: member::Balancer, timing: Timing, now: clock::Millis) -> Self {
        let line = LivenessReport {
            balancer: me.node,
            incarnation: me.incarnation,
            seq: 1,
            vouching: false,
            except: Vec::new(),
        };
        Self {
            timing,
            me: me.node,
            members: Vec::new(),
            balancers: vec![BalancerRow {
                balancer: me,
                learned: now,
                report: Some(line.clone()),
                progress: Some(now),
            }],
            graves: Vec::new(),
            synced: None,
            ticked: now,
            spoke: now,
            line,
            revision: 0,
        }
    }

    /// The spans in use.
    #[must_use]
    pub const fn timing(&self) -> &Timing {
        &self.timing
    }

    /// The agents, sorted by node.
    #[must_use]
    pub fn members(&self) -> &[MemberRow] {
        &self.members
    }

    /// The balancers with this one among them, sorted by node.
    #[must_use]
    pub fn balancers(&self) -> &[BalancerRow] {
        &self.balancers
    }

    /// One agent's row.
    #[must_use]
    pub fn member(&self, node: ident::NodeId) -> Option<&MemberRow> {
        self.find_member(node).ok().map(|at| &self.members[at])
    }

    /// One balancer's row.
    #[must_use]
    pub fn balancer(&self, node: ident::NodeId) -> Option<&BalancerRow> {
        self.find_balancer(node).ok().map(|at| &self.balancers[at])
    }

    /// This balancer's own entry.
    ///
    /// # Panics
    ///
    /// Never: the own entry is never removed.
    #[must_use]
    pub fn own(&self) -> &member::Balancer {
        &self.balancer(self.me).expect("own entry stays").balancer
    }

    /// This balancer's last line.
    #[must_use]
    pub const fn report(&self) -> &LivenessReport {
        &self.line
    }

    /// Grows whenever the agents in force may have changed.
    #[must_use]
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// The tombstones, sorted by node.
    pub fn tombstones(&self) -> impl Iterator<Item = Tombstone> {
        self.graves.iter().map(|grave| grave.stone)
    }

    /// One agent's tombstone.
    #[must_use]
    pub fn tombstone(&self, node: ident::NodeId) -> Option<Tombstone> {
        self.find_grave(node).ok().map(|at| self.graves[at].stone)
    }

    /// The agents of a service that take part in tables and views, sorted by node.
    pub fn active_members<'a>(
        &'a self,
        service: &'a str,
    ) -> impl Iterator<Item = &'a member::Member> {
        self.members
            .iter()
            .filter(move |row| row.member.service == service && row.is_active())
            .map(|row| &row.member)
    }

    /// The balancers that are alive and stay, this one among them, sorted by node.
    pub fn live_balancers(&self, now: clock::Millis) -> impl Iterator<Item = &member::Balancer> {
        self.balancers
            .iter()
            .filter(move |row| row.balancer.node == self.me || row.is_live(&self.timing, now))
            .map(|row| &row.balancer)
            .filter(|balancer| !balancer.leaving)
    }

    /// Offers an agent's entry.
    pub fn merge_member(&mut self, member: &member::Member, now: clock::Millis) -> Merge {
        if !is_sound(member) || self.is_buried(member) {
            return Merge::Rejected;
        }
        let merge = match self.find_member(member.node) {
            Ok(at) => replace(&mut self.members[at], member, now),
            Err(_) if self.members.len() >= MAX_ENTRIES => Merge::Rejected,
            Err(at) => {
                self.members.insert(at, row(member.clone(), now));
                self.exhume(member.node);
                Merge::Applied
            }
        };
        self.revision += u64::from(merge == Merge::Applied);
        merge
    }

    /// Takes an agent's own heartbeat: its entry, and the proof that it is alive.
    ///
    /// Gives what became of the entry, or `None` where the heartbeat was seen
    /// before. An older run is refused: either the heartbeat is late, or the
    /// host's wall clock went back, and the agent has to start a later run.
    pub fn record_heartbeat(
        &mut self,
        member: &member::Member,
        seq: u64,
        now: clock::Millis,
    ) -> Option<Merge> {
        let merge = self.merge_member(member, now);
        let Ok(at) = self.find_member(member.node) else {
            return Some(Merge::Rejected);
        };
        let row = &mut self.members[at];
        if row.member.incarnation != member.incarnation {
            return Some(Merge::Rejected);
        }
        if row.heartbeat.is_some_and(|beat| beat.seq >= seq) {
            return None;
        }
        let version = row.heartbeat.map_or(0, |beat| beat.version);
        row.heartbeat = Some(LastHeartbeat {
            seq,
            at: now,
            version,
        });
        Some(merge)
    }

    /// Notes the version of its record that a heartbeat, just taken, tells.
    pub fn record_version(&mut self, node: ident::NodeId, version: u64) {
        if let Ok(at) = self.find_member(node)
            && let Some(beat) = &mut self.members[at].heartbeat
        {
            beat.version = version;
        }
    }

    /// The agents whose heartbeats come here, sorted by node.
    pub fn heartbeating_members(&self, now: clock::Millis) -> impl Iterator<Item = &MemberRow> {
        let heard = move |row: &&MemberRow| row.is_heard(&self.timing, now);
        self.members.iter().filter(heard)
    }

    /// The latest entry that is known of an agent, be it held or forgotten.
    #[must_use]
    pub fn latest_entry(&self, node: ident::NodeId) -> Option<Tombstone> {
        self.member(node)
            .map(|row| stone(&row.member))
            .or_else(|| self.tombstone(node))
    }

    /// Offers a balancer's entry.
    ///
    /// A foreign entry of this balancer with a later run makes this one later
    /// still, as after a step back of the wall clock.
    pub fn merge_balancer(&mut self, balancer: &member::Balancer, now: clock::Millis) -> Merge {
        if balancer.name.len() > MAX_NAME_LEN || balancer.domain.len() > MAX_NAME_LEN {
            return Merge::Rejected;
        }
        if balancer.node == self.me {
            return self.outrun(balancer.incarnation);
        }
        match self.find_balancer(balancer.node) {
            Ok(at) => replace_balancer(&mut self.balancers[at], balancer, now),
            Err(_) if self.balancers.len() >= MAX_ENTRIES => Merge::Rejected,
            Err(at) => {
                self.balancers.insert(
                    at,
                    BalancerRow {
                        balancer: balancer.clone(),
                        learned: now,
                        report: None,
                        progress: None,
                    },
                );
                Merge::Applied
            }
        }
    }

    /// Offers a balancer's line; it counts once it has followed another one.
    pub fn merge_report(&mut self, line: &LivenessReport, now: clock::Millis) -> Merge {
        if line.balancer == self.me || line.except.len() > MAX_EXCEPTIONS {
            return Merge::Stale;
        }
        let Ok(at) = self.find_balancer(line.balancer) else {
            return Merge::Rejected;
        };
        let row = &mut self.balancers[at];
        if line.incarnation != row.balancer.incarnation {
            return Merge::Rejected;
        }
        if let Some(last) = &row.report {
            if last.seq >= line.seq {
                return Merge::Stale;
            }
            row.progress = Some(now);
        }
        let mut line = line.clone();
        line.except.sort_unstable();
        row.report = Some(line);
        Merge::Applied
    }

    /// Counts a balancer's line although it has not followed another one here.
    ///
    /// For a process that joins: its peer has seen the progress.
    pub fn trust_report(&mut self, node: ident::NodeId, now: clock::Millis) {
        if let Ok(at) = self.find_balancer(node) {
            self.balancers[at].progress.get_or_insert(now);
        }
    }

    /// Takes a peer's tombstone; an agent that is taken for alive here stays.
    pub fn merge_tombstone(&mut self, stone: &Tombstone, now: clock::Millis) -> Merge {
        let version = (stone.incarnation, stone.change);
        if let Ok(at) = self.find_member(stone.node) {
            let row = &self.members[at];
            if row.liveness != Liveness::Dead || version < version_of(&row.member) {
                return Merge::Rejected;
            }
            let watched = row.member.watchers.contains(&self.me);
            self.members.remove(at);
            self.revision += 1;
            return self.bury(*stone, watched, now);
        }
        self.bury(*stone, false, now)
    }

    /// States that a full copy of a peer's tables was taken, or that there is no peer.
    ///
    /// A balancer vouches one heartbeat timeout later, when each watched agent
    /// has had the time to be heard.
    pub fn mark_synced(&mut self, now: clock::Millis) {
        self.synced.get_or_insert(now);
    }

    /// Whether a full copy was taken.
    #[must_use]
    pub const fn is_synced(&self) -> bool {
        self.synced.is_some()
    }

    /// Tells the others that this balancer is being stopped.
    pub fn leave(&mut self) {
        if let Ok(at) = self.find_balancer(self.me) {
            self.balancers[at].balancer.leaving = true;
        }
    }

    /// Brings line, liveness and forgetting up to `now`; true where this
    /// balancer has a new line to tell.
    pub fn tick(&mut self, now: clock::Millis) -> bool {
        self.notice_pause(now);
        let spoken = self.speak(now);
        let before = self.fingerprint();
        self.judge(now);
        self.hold(now);
        self.forget(now);
        self.revision += u64::from(self.fingerprint() != before);
        spoken
    }

    /// Digests of the agents' entries, one of each part; the same wherever the
    /// entries are the same.
    #[must_use]
    pub fn member_digests(&self) -> [u64; PARTITIONS] {
        let mut digests = [0; PARTITIONS];
        for row in &self.members {
            digests[partition(row.member.node)] ^= hash_member(&row.member);
        }
        digests
    }

    /// Digest of the balancers' entries, the same wherever the entries are the same.
    #[must_use]
    pub fn balancer_digest(&self) -> u64 {
        self.balancers.iter().fold(0, |digest, row| {
            let balancer = &row.balancer;
            let leaving = u64::from(balancer.leaving);
            digest ^ hash_entry(balancer.node, balancer.incarnation, leaving)
        })
    }

    /// Digest of what a view of a service shows.
    #[must_use]
    pub fn view_digest(&self, service: &str, version: u64, now: clock::Millis) -> u64 {
        let members = self
            .active_members(service)
            .fold(version, |digest, member| digest ^ hash_member(member));
        self.live_balancers(now).fold(members, |digest, balancer| {
            digest ^ hash_entry(balancer.node, balancer.incarnation, 0)
        })
    }

    /// Digest of what an agent's view of its service shows, see [`rank_balancers`].
    #[must_use]
    pub fn agent_digest(
        &self,
        agent: ident::NodeId,
        service: &str,
        version: u64,
        now: clock::Millis,
    ) -> u64 {
        let members = self
            .active_members(service)
            .fold(version, |digest, member| digest ^ hash_member(member));
        rank_balancers(agent, self.live_balancers(now), MAX_KNOWN_BALANCERS)
            .into_iter()
            .fold(members, |digest, balancer| {
                digest ^ hash_entry(balancer.node, balancer.incarnation, 0)
            })
    }

    fn fingerprint(&self) -> u64 {
        self.members
            .iter()
            .filter(|row| row.is_active())
            .fold(0, |print, row| print ^ hash_member(&row.member))
    }

    /// A process that did not run for a while has missed heartbeats through
    /// its own fault, so it waits as after a start.
    fn notice_pause(&mut self, now: clock::Millis) {
        if now.since(self.ticked) >= self.timing.heartbeat_timeout && self.synced.is_some() {
            self.synced = Some(now);
        }
        self.ticked = now;
    }

    fn speak(&mut self, now: clock::Millis) -> bool {
        let except = self.missing(now);
        let vouching = except.len() <= MAX_EXCEPTIONS
            && !self.is_cut_off(now)
            && self
                .synced
                .is_some_and(|at| now.since(at) > self.timing.heartbeat_timeout);
        let except = if vouching { except } else { Vec::new() };
        let changed = (vouching, &except) != (self.line.vouching, &self.line.except);
        let incarnation = self.own().incarnation;
        let renamed = incarnation != self.line.incarnation;
        if !changed && !renamed && now.since(self.spoke) < self.timing.report_period {
            return false;
        }
        self.spoke = now;
        self.line = LivenessReport {
            balancer: self.me,
            incarnation,
            seq: self.line.seq + 1,
            vouching,
            except,
        };
        if let Ok(at) = self.find_balancer(self.me) {
            self.balancers[at].report = Some(self.line.clone());
            self.balancers[at].progress = Some(now);
        }
        true
    }

    /// Whether neither a watched agent nor a peer is heard, so that the fault
    /// is rather on this side.
    fn is_cut_off(&self, now: clock::Millis) -> bool {
        let span = self.timing.report_period + self.timing.period;
        let mut peers = self
            .balancers
            .iter()
            .filter(|row| row.balancer.node != self.me)
            .peekable();
        let has_peers = peers.peek().is_some();
        let hears_peer = peers.any(|row| row.progress.is_some_and(|at| now.since(at) <= span));
        let hears_agent = self
            .members
            .iter()
            .any(|row| row.is_heard(&self.timing, now));
        has_peers && !hears_peer && !hears_agent
    }

    fn missing(&self, now: clock::Millis) -> Vec<ident::NodeId> {
        let quiet = self
            .members
            .iter()
            .filter(|row| row.member.watchers.contains(&self.me))
            .filter(|row| !row.is_heard(&self.timing, now))
            .map(|row| row.member.node);
        let forgotten = self
            .graves
            .iter()
            .filter(|grave| grave.watched)
            .map(|grave| grave.stone.node);
        let mut missing: Vec<_> = quiet.chain(forgotten).collect();
        missing.sort_unstable();
        missing
    }

    fn judge(&mut self, now: clock::Millis) {
        for index in 0..self.members.len() {
            let liveness = self.liveness(&self.members[index].member, now);
            let row = &mut self.members[index];
            match liveness {
                Liveness::Unknown => {}
                Liveness::Alive => {
                    row.liveness = liveness;
                    row.died = None;
                    row.held = false;
                }
                Liveness::Dead => {
                    row.liveness = liveness;
                    row.died.get_or_insert(now);
                }
            }
        }
    }

    fn liveness(&self, member: &member::Member, now: clock::Millis) -> Liveness {
        let mut liveness = Liveness::Unknown;
        for watcher in &member.watchers {
            let Some(row) = self.balancer(*watcher) else {
                continue;
            };
            let fresh = row.is_fresh(&self.timing, now);
            let Some(line) = row.report.as_ref().filter(|line| fresh && line.vouching) else {
                continue;
            };
            if line.reports_alive(member.node) {
                return Liveness::Alive;
            }
            liveness = Liveness::Dead;
        }
        liveness
    }

    /// Keeps the agents of a service in tables where more than half of the
    /// ready ones went quiet at once.
    fn hold(&mut self, now: clock::Millis) {
        let mut services: Vec<_> = self
            .members
            .iter()
            .filter(|row| row.liveness == Liveness::Dead)
            .map(|row| row.member.service.clone())
            .collect();
        services.sort_unstable();
        services.dedup();
        for service in services {
            self.hold_service(&service, now);
        }
    }

    fn hold_service(&mut self, service: &str, now: clock::Millis) {
        let quiet = self.timing.loss_window;
        let is_lost = |row: &MemberRow| {
            row.liveness == Liveness::Dead
                && (row.held || row.died.is_some_and(|at| now.since(at) <= quiet))
        };
        let ready = |row: &&mut MemberRow| {
            row.member.service == service && row.member.state == member::State::Ready
        };
        let mut counts = (0_usize, 0_usize);
        for row in self.members.iter_mut().filter(ready) {
            counts.0 += usize::from(is_lost(row));
            counts.1 += usize::from(is_lost(row) || row.liveness != Liveness::Dead);
        }
        let held = counts.0 * 2 > counts.1;
        for row in self.members.iter_mut().filter(ready) {
            row.held = held && is_lost(row);
        }
    }

    fn forget(&mut self, now: clock::Millis) {
        let timing = self.timing;
        let (forgotten, kept): (Vec<_>, Vec<_>) = std::mem::take(&mut self.members)
            .into_iter()
            .partition(|row| {
                row.died
                    .is_some_and(|at| now.since(at) > timing.eviction_timeout)
            });
        self.members = kept;
        for row in forgotten {
            let stone = stone(&row.member);
            let watched = row.member.watchers.contains(&self.me);
            self.bury(stone, watched, now);
        }
        self.graves
            .retain(|grave| now.since(grave.since) <= timing.tombstone_ttl);
        let me = self.me;
        self.balancers.retain(|row| {
            let last = row.progress.unwrap_or(row.learned);
            row.balancer.node == me || now.since(last) <= timing.eviction_timeout
        });
    }

    fn bury(&mut self, stone: Tombstone, watched: bool, now: clock::Millis) -> Merge {
        let grave = Grave {
            stone,
            watched,
            since: now,
        };
        match self.find_grave(stone.node) {
            Ok(at) => {
                let old = self.graves[at].stone;
                if (stone.incarnation, stone.change) <= (old.incarnation, old.change) {
                    return Merge::Stale;
                }
                self.graves[at] = grave;
            }
            Err(_) if self.graves.len() >= MAX_ENTRIES => return Merge::Rejected,
            Err(at) => self.graves.insert(at, grave),
        }
        Merge::Applied
    }

    fn is_buried(&self, member: &member::Member) -> bool {
        self.tombstone(member.node)
            .is_some_and(|stone| version_of(member) <= (stone.incarnation, stone.change))
    }

    fn exhume(&mut self, node: ident::NodeId) {
        if let Ok(at) = self.find_grave(node) {
            self.graves.remove(at);
        }
    }

    fn outrun(&mut self, incarnation: ident::Incarnation) -> Merge {
        let Ok(at) = self.find_balancer(self.me) else {
            return Merge::Rejected;
        };
        let own = &mut self.balancers[at].balancer;
        if incarnation <= own.incarnation {
            return Merge::Stale;
        }
        own.incarnation = ident::Incarnation(incarnation.0 + 1);
        Merge::Applied
    }

    fn find_member(&self, node: ident::NodeId) -> Result<usize, usize> {
        self.members
            .binary_search_by_key(&node, |row| row.member.node)
    }

    fn find_balancer(&self, node: ident::NodeId) -> Result<usize, usize> {
        self.balancers
            .binary_search_by_key(&node, |row| row.balancer.node)
    }

    fn find_grave(&self, node: ident::NodeId) -> Result<usize, usize> {
        self.graves
            .binary_search_by_key(&node, |grave| grave.stone.node)
    }
}

/// Chooses the balancers that an agent sends its heartbeats to: the
/// [`WATCHERS`] best of [`rank_balancers`].
pub fn select_watchers<'a>(
    agent: ident::NodeId,
    balancers: impl IntoIterator<Item = &'a member::Balancer>,
) -> Vec<ident::NodeId> {
    rank_balancers(agent, balancers, WATCHERS)
        .into_iter()
        .map(|balancer| balancer.node)
        .collect()
}

/// Ranks the balancers for an agent and gives the first `limit`.
///
/// Rendezvous hashing (Thaler and Ravishankar, 1998) ranks the balancers; the
/// best of each failure domain come first, then the best of the rest. Leaving
/// balancers are left out. The first ones of a result are the same as those of
/// a result with a smaller limit.
pub fn rank_balancers<'a>(
    agent: ident::NodeId,
    balancers: impl IntoIterator<Item = &'a member::Balancer>,
    limit: usize,
) -> Vec<&'a member::Balancer> {
    let mut ranked: Vec<_> = balancers
        .into_iter()
        .filter(|balancer| !balancer.leaving)
        .map(|balancer| (rank(agent, balancer.node), balancer))
        .collect();
    ranked.sort_unstable_by_key(|(rank, balancer)| (std::cmp::Reverse(*rank), balancer.node));
    let mut domains = Vec::new();
    let (mut chosen, rest): (Vec<_>, Vec<_>) = ranked
        .into_iter()
        .map(|(_, balancer)| balancer)
        .partition(|balancer| {
            let first = !domains.contains(&balancer.domain.as_str());
            if first {
                domains.push(&balancer.domain);
            }
            first
        });
    chosen.extend(rest);
    chosen.truncate(limit);
    chosen
}

/// The part of the agents' table that a node's entry belongs to.
#[must_use]
#[expect(
    clippy::cast_possible_truncation,
    reason = "the remainder is below the number of parts"
)]
pub const fn partition(node: ident::NodeId) -> usize {
    (node.0 % PARTITIONS as u64) as usize
}

fn rank(agent: ident::NodeId, balancer: ident::NodeId) -> u64 {
    xxh3::xxh3_64_with_seed(&balancer.0.to_le_bytes(), agent.0)
}

fn is_sound(member: &member::Member) -> bool {
    let texts = [&member.name, &member.service, &member.domain];
    texts.iter().all(|text| text.len() <= MAX_NAME_LEN) && member.watchers.len() <= WATCHERS
}

const fn stone(member: &member::Member) -> Tombstone {
    Tombstone {
        node: member.node,
        incarnation: member.incarnation,
        change: member.change,
    }
}

const fn version_of(member: &member::Member) -> (ident::Incarnation, u32) {
    (member.incarnation, member.change)
}

fn row(member: member::Member, now: clock::Millis) -> MemberRow {
    MemberRow {
        member,
        learned: now,
        heartbeat: None,
        liveness: Liveness::Unknown,
        died: None,
        held: false,
    }
}

/// Draining outranks each other state of the same incarnation, so that
/// processes agree whichever entry they hear first.
fn replace(old: &mut MemberRow, member: &member::Member, now: clock::Millis) -> Merge {
    let order = |member: &member::Member| {
        let draining = member.state == member::State::Draining;
        (member.incarnation, draining, member.change)
    };
    if order(member) <= order(&old.member) {
        return Merge::Stale;
    }
    if member.incarnation == old.member.incarnation {
        old.member = member.clone();
    } else {
        *old = row(member.clone(), now);
    }
    Merge::Applied
}

fn replace_balancer(
    old: &mut BalancerRow,
    balancer: &member::Balancer,
    now: clock::Millis,
) -> Merge {
    let order = |balancer: &member::Balancer| (balancer.incarnation, balancer.leaving);
    if order(balancer) <= order(&old.balancer) {
        return Merge::Stale;
    }
    if balancer.incarnation != old.balancer.incarnation {
        old.learned = now;
        old.report = None;
        old.progress = None;
    }
    old.balancer = balancer.clone();
    Merge::Applied
}

fn hash_member(member: &member::Member) -> u64 {
    hash_entry(member.node, member.incarnation, u64::from(member.change))
}

fn hash_entry(node: ident::NodeId, incarnation: ident::Incarnation, change: u64) -> u64 {
    let mut key = [0; 24];
    key[..8].copy_from_slice(&node.0.to_le_bytes());
    key[8..16].copy_from_slice(&incarnation.0.to_le_bytes());
    key[16..].copy_from_slice(&change.to_le_bytes());
    xxh3::xxh3_64(&key)
}
