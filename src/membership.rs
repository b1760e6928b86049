//! Membership tables: the known agents and balancers, and their liveness.
//!
//! An agent sends heartbeats to a few balancers, its watchers. Each balancer
//! publishes a numbered liveness report that lists only the watched agents
//! whose heartbeats are missing; every other agent that it watches is alive.
//! Each balancer derives liveness from the reports that it receives and ignores
//! reports whose sequence number no longer grows, so a balancer that is cut off
//! by a network partition cannot make other balancers consider its agents dead.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;

use crate::{clock, ident, member};

/// Maximum number of balancers that an agent sends its heartbeats to.
pub const WATCHERS: usize = 3;

/// Maximum number of balancers that an agent knows, including its watchers.
pub const MAX_KNOWN_BALANCERS: usize = 8;

/// Maximum number of missing agents in one liveness report.
///
/// If more agents are missing, the balancer sends its report with `vouching` unset and
/// without exceptions, so that it has no effect on the liveness of any agent.
pub const MAX_EXCEPTIONS: usize = 64;

/// Maximum number of entries of each table.
pub const MAX_ENTRIES: usize = 16_384;

/// Number of partitions of the agent table; a full sync compares one digest for each.
pub const PARTITIONS: usize = 64;

/// Maximum length of a node name, service name or failure domain in an entry, in bytes.
pub const MAX_NAME_LEN: usize = 64;

const HEARTBEAT_TIMEOUT_PERIODS: u64 = 3;
const REPORT_PERIODS: u64 = 3;
const REPORT_TIMEOUT_PERIODS: u64 = 9;
const LOSS_WINDOW_PERIODS: u64 = 30;
const EVICTION_PERIODS: u64 = 600;
const TOMBSTONE_TTL_PERIODS: u64 = 3_600;

/// Periods and timeouts of the membership tables.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Timing {
    /// Interval between two heartbeats of an agent.
    pub period: clock::Millis,
    /// Time without a heartbeat after which a watcher reports an agent as missing.
    pub heartbeat_timeout: clock::Millis,
    /// Maximum interval between two liveness reports of one balancer.
    pub report_period: clock::Millis,
    /// Time without a newer report after which a balancer's report is no longer used.
    pub report_timeout: clock::Millis,
    /// Window in which the deaths of a service's agents count as one mass failure.
    pub loss_window: clock::Millis,
    /// Time after which dead agents and silent balancers are evicted from the tables.
    pub eviction_timeout: clock::Millis,
    /// Time for which a tombstone keeps the entry of an evicted agent from returning.
    pub tombstone_ttl: clock::Millis,
}

impl Timing {
    /// Derives all periods and timeouts from the heartbeat interval.
    #[must_use]
    pub const fn new(period: clock::Millis) -> Self {
        Self {
            period,
            heartbeat_timeout: clock::Millis(period.0 * HEARTBEAT_TIMEOUT_PERIODS),
            report_period: clock::Millis(period.0 * REPORT_PERIODS),
            report_timeout: clock::Millis(period.0 * REPORT_TIMEOUT_PERIODS),
            loss_window: clock::Millis(period.0 * LOSS_WINDOW_PERIODS),
            eviction_timeout: clock::Millis(period.0 * EVICTION_PERIODS),
            tombstone_ttl: clock::Millis(period.0 * TOMBSTONE_TTL_PERIODS),
        }
    }
}

/// One balancer's report about the liveness of the agents that it watches.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LivenessReport {
    /// The reporting balancer.
    pub balancer: ident::NodeId,
    /// Incarnation of the balancer's process.
    pub incarnation: ident::Incarnation,
    /// Sequence number within the incarnation.
    pub seq: u64,
    /// Whether the report may be used; false shortly after a start or a pause,
    /// while the balancer is isolated, and if too many agents are missing.
    pub vouching: bool,
    /// The watched agents whose heartbeats are missing, sorted.
    pub except: Vec<ident::NodeId>,
}

impl LivenessReport {
    /// Returns whether the report states that `node`, an agent that the balancer watches,
    /// is alive.
    #[must_use]
    pub fn reports_alive(&self, node: ident::NodeId) -> bool {
        self.vouching && self.except.binary_search(&node).is_err()
    }
}

/// Liveness of an agent, as derived from the reports of its watchers.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Liveness {
    /// No usable report from a watcher so far; the agent stays active.
    Unknown,
    /// At least one watcher reports the agent as alive.
    Alive,
    /// At least one watcher has a usable report, and none reports the agent as alive.
    Dead,
}

/// Result of merging an entry, a report or a tombstone into the tables.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Merge {
    /// It was new, or replaced an older one.
    Applied,
    /// It was ignored, in most cases because the table holds the same or a newer one.
    Stale,
    /// It was rejected: it exceeds a limit, a tombstone or a newer incarnation
    /// forbids it, the agent that it evicts is not dead here, or its balancer is unknown.
    Rejected,
}

/// The last heartbeat that this balancer received from an agent.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub struct LastHeartbeat {
    /// Sequence number within the incarnation.
    pub seq: u64,
    /// Time of arrival.
    pub at: clock::Millis,
    /// Version of the service's record that the agent applies, as last reported.
    pub version: u64,
}

/// Row of the agent table.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct MemberRow {
    /// The newest entry.
    pub member: member::Member,
    /// Time at which this incarnation was first seen here.
    pub learned: clock::Millis,
    /// The last heartbeat received here, if any.
    #[serde(rename = "beat")]
    pub heartbeat: Option<LastHeartbeat>,
    /// Liveness of the agent.
    pub liveness: Liveness,
    /// Time at which the agent was found dead, if it is dead.
    pub died: Option<clock::Millis>,
    /// Whether the dead agent stays active because it died in a mass failure.
    pub held: bool,
}

impl MemberRow {
    /// Returns whether hash tables and views include the agent.
    #[must_use]
    pub fn is_active(&self) -> bool {
        self.liveness != Liveness::Dead || self.held
    }

    fn has_heartbeat(&self, timing: &Timing, now: clock::Millis) -> bool {
        self.heartbeat
            .is_some_and(|beat| now.since(beat.at) <= timing.heartbeat_timeout)
    }
}

/// Row of the balancer table.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct BalancerRow {
    /// The newest entry.
    pub balancer: member::Balancer,
    /// Time at which this incarnation was first seen here.
    pub learned: clock::Millis,
    /// The balancer's last liveness report that arrived here, if any.
    #[serde(rename = "line")]
    pub report: Option<LivenessReport>,
    /// Time at which a report with a higher sequence number last replaced an earlier
    /// one of the same incarnation.
    ///
    /// The first report seen does not count: it may be old and only repeated by gossip.
    pub progress: Option<clock::Millis>,
}

impl BalancerRow {
    /// Returns whether the balancer's report was replaced by a newer one within the
    /// report timeout.
    #[must_use]
    pub fn is_fresh(&self, timing: &Timing, now: clock::Millis) -> bool {
        self.progress
            .is_some_and(|at| now.since(at) <= timing.report_timeout)
    }

    /// Returns whether the balancer counts as alive: its report is fresh, or its
    /// incarnation was first seen within the report timeout.
    #[must_use]
    pub fn is_live(&self, timing: &Timing, now: clock::Millis) -> bool {
        self.is_fresh(timing, now) || now.since(self.learned) <= timing.report_timeout
    }
}

/// Marker of an evicted agent that keeps gossip from adding its old entry again.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Tombstone {
    /// The agent.
    pub node: ident::NodeId,
    /// The last known incarnation of the agent.
    pub incarnation: ident::Incarnation,
    /// The last known change counter within the incarnation.
    pub change: u32,
}

#[derive(Clone, Copy, Debug)]
struct TombstoneRow {
    tombstone: Tombstone,
    watched: bool,
    created: clock::Millis,
}

/// The agents and balancers that one balancer knows, each table sorted by node.
#[derive(Clone, Debug)]
pub struct Tables {
    timing: Timing,
    me: ident::NodeId,
    members: Vec<MemberRow>,
    balancers: Vec<BalancerRow>,
    tombstones: Vec<TombstoneRow>,
    synced_at: Option<clock::Millis>,
    ticked_at: clock::Millis,
    reported_at: clock::Millis,
    report: LivenessReport,
    revision: u64,
}

impl Tables {
    /// Creates the tables of the balancer `me`, with no other entries.
    #[must_use]
    pub fn new(me: member::Balancer, timing: Timing, now: clock::Millis) -> Self {
        let report = LivenessReport {
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
                report: Some(report.clone()),
                progress: Some(now),
            }],
            tombstones: Vec::new(),
            synced_at: None,
            ticked_at: now,
            reported_at: now,
            report,
            revision: 0,
        }
    }

    /// Returns the periods and timeouts in use.
    #[must_use]
    pub const fn timing(&self) -> &Timing {
        &self.timing
    }

    /// Returns the agents, sorted by node.
    #[must_use]
    pub fn members(&self) -> &[MemberRow] {
        &self.members
    }

    /// Returns the balancers including this one, sorted by node.
    #[must_use]
    pub fn balancers(&self) -> &[BalancerRow] {
        &self.balancers
    }

    /// Returns the row of an agent.
    #[must_use]
    pub fn member(&self, node: ident::NodeId) -> Option<&MemberRow> {
        self.find_member(node).ok().map(|at| &self.members[at])
    }

    /// Returns the row of a balancer.
    #[must_use]
    pub fn balancer(&self, node: ident::NodeId) -> Option<&BalancerRow> {
        self.find_balancer(node).ok().map(|at| &self.balancers[at])
    }

    /// Returns this balancer's own entry.
    ///
    /// # Panics
    ///
    /// Never: the own entry is never removed.
    #[must_use]
    pub fn own(&self) -> &member::Balancer {
        &self
            .balancer(self.me)
            .expect("own entry is never removed")
            .balancer
    }

    /// Returns this balancer's last liveness report.
    #[must_use]
    pub const fn report(&self) -> &LivenessReport {
        &self.report
    }

    /// Returns a counter that grows whenever the active agents or their entries may have
    /// changed.
    #[must_use]
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the tombstones, sorted by node.
    pub fn tombstones(&self) -> impl Iterator<Item = Tombstone> {
        self.tombstones.iter().map(|row| row.tombstone)
    }

    /// Returns the tombstone of an agent.
    #[must_use]
    pub fn tombstone(&self, node: ident::NodeId) -> Option<Tombstone> {
        self.find_tombstone(node)
            .ok()
            .map(|at| self.tombstones[at].tombstone)
    }

    /// Returns the active agents of a service, sorted by node.
    pub fn active_members<'a>(
        &'a self,
        service: &'a str,
    ) -> impl Iterator<Item = &'a member::Member> {
        self.members
            .iter()
            .filter(move |row| row.member.service == service && row.is_active())
            .map(|row| &row.member)
    }

    /// Returns the balancers that are alive and not leaving, sorted by node.
    ///
    /// This balancer counts as alive.
    pub fn live_balancers(&self, now: clock::Millis) -> impl Iterator<Item = &member::Balancer> {
        self.balancers
            .iter()
            .filter(move |row| row.balancer.node == self.me || row.is_live(&self.timing, now))
            .map(|row| &row.balancer)
            .filter(|balancer| !balancer.leaving)
    }

    /// Merges an agent's entry.
    pub fn merge_member(&mut self, member: &member::Member, now: clock::Millis) -> Merge {
        if !is_valid(member) || self.is_tombstoned(member) {
            return Merge::Rejected;
        }
        let merge = match self.find_member(member.node) {
            Ok(at) => replace(&mut self.members[at], member, now),
            Err(_) if self.members.len() >= MAX_ENTRIES => Merge::Rejected,
            Err(at) => {
                self.members.insert(at, new_row(member.clone(), now));
                self.remove_tombstone(member.node);
                Merge::Applied
            }
        };
        self.revision += u64::from(merge == Merge::Applied);
        merge
    }

    /// Merges the entry of a heartbeat and records the heartbeat's arrival.
    ///
    /// Returns the result of merging the entry, or `None` if the sequence number
    /// was already seen. A heartbeat of an older incarnation is rejected: either it
    /// was delayed, or the host's wall clock went back and the agent has to choose a
    /// greater incarnation.
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

    /// Records the version of the service's record from a heartbeat that was just merged.
    pub fn record_version(&mut self, node: ident::NodeId, version: u64) {
        if let Ok(at) = self.find_member(node)
            && let Some(beat) = &mut self.members[at].heartbeat
        {
            beat.version = version;
        }
    }

    /// Returns the agents that sent this balancer a heartbeat within the heartbeat
    /// timeout, sorted by node.
    pub fn heartbeating_members(&self, now: clock::Millis) -> impl Iterator<Item = &MemberRow> {
        let heard = move |row: &&MemberRow| row.has_heartbeat(&self.timing, now);
        self.members.iter().filter(heard)
    }

    /// Returns incarnation and change counter of an agent's latest known entry, from
    /// the table or else from its tombstone.
    #[must_use]
    pub fn latest_entry(&self, node: ident::NodeId) -> Option<Tombstone> {
        self.member(node)
            .map(|row| tombstone_of(&row.member))
            .or_else(|| self.tombstone(node))
    }

    /// Merges a balancer's entry.
    ///
    /// An entry of this balancer with a greater incarnation comes from an earlier
    /// process whose wall clock was ahead; this balancer then raises its own
    /// incarnation above it.
    pub fn merge_balancer(&mut self, balancer: &member::Balancer, now: clock::Millis) -> Merge {
        if balancer.name.len() > MAX_NAME_LEN || balancer.domain.len() > MAX_NAME_LEN {
            return Merge::Rejected;
        }
        if balancer.node == self.me {
            return self.raise_incarnation(balancer.incarnation);
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

    /// Merges a balancer's liveness report.
    ///
    /// The first report of an incarnation is stored but not used; the balancer's
    /// reports are used once a second one has arrived. A report of this balancer, or with
    /// more than [`MAX_EXCEPTIONS`] exceptions, is ignored as stale.
    pub fn merge_report(&mut self, report: &LivenessReport, now: clock::Millis) -> Merge {
        if report.balancer == self.me || report.except.len() > MAX_EXCEPTIONS {
            return Merge::Stale;
        }
        let Ok(at) = self.find_balancer(report.balancer) else {
            return Merge::Rejected;
        };
        let row = &mut self.balancers[at];
        if report.incarnation != row.balancer.incarnation {
            return Merge::Rejected;
        }
        if let Some(last) = &row.report {
            if last.seq >= report.seq {
                return Merge::Stale;
            }
            row.progress = Some(now);
        }
        let mut report = report.clone();
        report.except.sort_unstable();
        row.report = Some(report);
        Merge::Applied
    }

    /// Makes a balancer's stored report usable without waiting for a second one.
    ///
    /// A joining process calls this for the reports of its first sync, because the
    /// peer has already seen their sequence numbers grow.
    pub fn trust_report(&mut self, node: ident::NodeId, now: clock::Millis) {
        if let Ok(at) = self.find_balancer(node) {
            self.balancers[at].progress.get_or_insert(now);
        }
    }

    /// Merges a peer's tombstone and removes the agent's entry if the agent is dead here.
    ///
    /// The tombstone is rejected if the agent is not dead here, or if its entry is newer.
    pub fn merge_tombstone(&mut self, tombstone: &Tombstone, now: clock::Millis) -> Merge {
        let version = (tombstone.incarnation, tombstone.change);
        if let Ok(at) = self.find_member(tombstone.node) {
            let row = &self.members[at];
            if row.liveness != Liveness::Dead || version < version_of(&row.member) {
                return Merge::Rejected;
            }
            let watched = row.member.watchers.contains(&self.me);
            self.members.remove(at);
            self.revision += 1;
            return self.add_tombstone(*tombstone, watched, now);
        }
        self.add_tombstone(*tombstone, false, now)
    }

    /// Marks the tables as synced: a peer's tables were merged, or there is no peer.
    ///
    /// The balancer's reports are marked as vouching from one heartbeat timeout later,
    /// when each watched agent has had time to send a heartbeat.
    pub fn mark_synced(&mut self, now: clock::Millis) {
        self.synced_at.get_or_insert(now);
    }

    /// Returns whether the tables were marked as synced.
    #[must_use]
    pub const fn is_synced(&self) -> bool {
        self.synced_at.is_some()
    }

    /// Marks this balancer's own entry as leaving, because the process is being stopped.
    pub fn leave(&mut self) {
        if let Ok(at) = self.find_balancer(self.me) {
            self.balancers[at].balancer.leaving = true;
        }
    }

    /// Updates the own report and the liveness of all agents, and evicts expired entries.
    ///
    /// Returns whether this balancer has a new report to publish.
    pub fn tick(&mut self, now: clock::Millis) -> bool {
        self.detect_pause(now);
        let reported = self.update_report(now);
        let before = self.active_digest();
        self.update_liveness(now);
        self.update_holds(now);
        self.evict(now);
        self.revision += u64::from(self.active_digest() != before);
        reported
    }

    /// Returns one digest of the agents' entries per partition.
    ///
    /// Processes with the same entries have the same digests.
    #[must_use]
    pub fn member_digests(&self) -> [u64; PARTITIONS] {
        let mut digests = [0; PARTITIONS];
        for row in &self.members {
            digests[partition(row.member.node)] ^= hash_member(&row.member);
        }
        digests
    }

    /// Returns a digest of the balancers' entries, equal in processes with the same entries.
    #[must_use]
    pub fn balancer_digest(&self) -> u64 {
        self.balancers.iter().fold(0, |digest, row| {
            let balancer = &row.balancer;
            let leaving = u64::from(balancer.leaving);
            digest ^ hash_entry(balancer.node, balancer.incarnation, leaving)
        })
    }

    /// Returns a digest of a service's view: the record's version, the active agents
    /// and the live balancers.
    #[must_use]
    pub fn view_digest(&self, service: &str, version: u64, now: clock::Millis) -> u64 {
        let members = self
            .active_members(service)
            .fold(version, |digest, member| digest ^ hash_member(member));
        self.live_balancers(now).fold(members, |digest, balancer| {
            digest ^ hash_entry(balancer.node, balancer.incarnation, 0)
        })
    }

    /// Returns a digest of an agent's view of its own service, with the balancers that
    /// [`rank_balancers`] selects for the agent.
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

    fn active_digest(&self) -> u64 {
        self.members
            .iter()
            .filter(|row| row.is_active())
            .fold(0, |digest, row| digest ^ hash_member(&row.member))
    }

    /// Restarts the wait for heartbeats if this process was paused, for example by the
    /// operating system.
    ///
    /// A process that did not run for a heartbeat timeout has missed heartbeats
    /// itself, so its reports are not vouching until another heartbeat timeout has
    /// passed, as after a start.
    fn detect_pause(&mut self, now: clock::Millis) {
        if now.since(self.ticked_at) >= self.timing.heartbeat_timeout && self.synced_at.is_some() {
            self.synced_at = Some(now);
        }
        self.ticked_at = now;
    }

    /// Replaces the own report if it changed or the report period has passed.
    ///
    /// Returns whether it was replaced.
    fn update_report(&mut self, now: clock::Millis) -> bool {
        let except = self.missing_members(now);
        let vouching = except.len() <= MAX_EXCEPTIONS
            && !self.is_isolated(now)
            && self
                .synced_at
                .is_some_and(|at| now.since(at) > self.timing.heartbeat_timeout);
        let except = if vouching { except } else { Vec::new() };
        let changed = (vouching, &except) != (self.report.vouching, &self.report.except);
        let incarnation = self.own().incarnation;
        let raised = incarnation != self.report.incarnation;
        if !changed && !raised && now.since(self.reported_at) < self.timing.report_period {
            return false;
        }
        self.reported_at = now;
        self.report = LivenessReport {
            balancer: self.me,
            incarnation,
            seq: self.report.seq + 1,
            vouching,
            except,
        };
        if let Ok(at) = self.find_balancer(self.me) {
            self.balancers[at].report = Some(self.report.clone());
            self.balancers[at].progress = Some(now);
        }
        true
    }

    /// Returns whether there are peers, but neither their reports nor heartbeats arrive.
    ///
    /// The fault is then more likely on this host's side, so the report must not vouch.
    fn is_isolated(&self, now: clock::Millis) -> bool {
        let timeout = self.timing.report_period + self.timing.period;
        let mut peers = self
            .balancers
            .iter()
            .filter(|row| row.balancer.node != self.me)
            .peekable();
        let has_peers = peers.peek().is_some();
        let has_reports = peers.any(|row| row.progress.is_some_and(|at| now.since(at) <= timeout));
        let has_heartbeats = self
            .members
            .iter()
            .any(|row| row.has_heartbeat(&self.timing, now));
        has_peers && !has_reports && !has_heartbeats
    }

    /// Returns the watched agents without a recent heartbeat, including evicted ones, which
    /// peers may still have in their tables.
    fn missing_members(&self, now: clock::Millis) -> Vec<ident::NodeId> {
        let silent = self
            .members
            .iter()
            .filter(|row| row.member.watchers.contains(&self.me))
            .filter(|row| !row.has_heartbeat(&self.timing, now))
            .map(|row| row.member.node);
        let evicted = self
            .tombstones
            .iter()
            .filter(|row| row.watched)
            .map(|row| row.tombstone.node);
        let mut missing: Vec<_> = silent.chain(evicted).collect();
        missing.sort_unstable();
        missing
    }

    fn update_liveness(&mut self, now: clock::Millis) {
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
            let Some(report) = row
                .report
                .as_ref()
                .filter(|report| fresh && report.vouching)
            else {
                continue;
            };
            if report.reports_alive(member.node) {
                return Liveness::Alive;
            }
            liveness = Liveness::Dead;
        }
        liveness
    }

    /// Updates for each service whether its dead agents are held, that is, stay active.
    ///
    /// They are held if more than half of the service's ready agents died within the loss
    /// window, which counts as a mass failure.
    fn update_holds(&mut self, now: clock::Millis) {
        let mut services: Vec<_> = self
            .members
            .iter()
            .filter(|row| row.liveness == Liveness::Dead)
            .map(|row| row.member.service.clone())
            .collect();
        services.sort_unstable();
        services.dedup();
        for service in services {
            self.update_service_hold(&service, now);
        }
    }

    fn update_service_hold(&mut self, service: &str, now: clock::Millis) {
        let window = self.timing.loss_window;
        let is_recent_loss = |row: &MemberRow| {
            row.liveness == Liveness::Dead
                && (row.held || row.died.is_some_and(|at| now.since(at) <= window))
        };
        let ready = |row: &&mut MemberRow| {
            row.member.service == service && row.member.state == member::State::Ready
        };
        // The recent losses, and all ready agents without those that died earlier.
        let mut counts = (0_usize, 0_usize);
        for row in self.members.iter_mut().filter(ready) {
            counts.0 += usize::from(is_recent_loss(row));
            counts.1 += usize::from(is_recent_loss(row) || row.liveness != Liveness::Dead);
        }
        let held = counts.0 * 2 > counts.1;
        for row in self.members.iter_mut().filter(ready) {
            row.held = held && is_recent_loss(row);
        }
    }

    fn evict(&mut self, now: clock::Millis) {
        let timing = self.timing;
        let (evicted, kept): (Vec<_>, Vec<_>) = std::mem::take(&mut self.members)
            .into_iter()
            .partition(|row| {
                row.died
                    .is_some_and(|at| now.since(at) > timing.eviction_timeout)
            });
        self.members = kept;
        for row in evicted {
            let tombstone = tombstone_of(&row.member);
            let watched = row.member.watchers.contains(&self.me);
            self.add_tombstone(tombstone, watched, now);
        }
        self.tombstones
            .retain(|row| now.since(row.created) <= timing.tombstone_ttl);
        let me = self.me;
        self.balancers.retain(|row| {
            let last = row.progress.unwrap_or(row.learned);
            row.balancer.node == me || now.since(last) <= timing.eviction_timeout
        });
    }

    fn add_tombstone(&mut self, tombstone: Tombstone, watched: bool, now: clock::Millis) -> Merge {
        let row = TombstoneRow {
            tombstone,
            watched,
            created: now,
        };
        match self.find_tombstone(tombstone.node) {
            Ok(at) => {
                let old = self.tombstones[at].tombstone;
                if (tombstone.incarnation, tombstone.change) <= (old.incarnation, old.change) {
                    return Merge::Stale;
                }
                self.tombstones[at] = row;
            }
            Err(_) if self.tombstones.len() >= MAX_ENTRIES => return Merge::Rejected,
            Err(at) => self.tombstones.insert(at, row),
        }
        Merge::Applied
    }

    fn is_tombstoned(&self, member: &member::Member) -> bool {
        self.tombstone(member.node).is_some_and(|tombstone| {
            version_of(member) <= (tombstone.incarnation, tombstone.change)
        })
    }

    fn remove_tombstone(&mut self, node: ident::NodeId) {
        if let Ok(at) = self.find_tombstone(node) {
            self.tombstones.remove(at);
        }
    }

    fn raise_incarnation(&mut self, incarnation: ident::Incarnation) -> Merge {
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

    fn find_tombstone(&self, node: ident::NodeId) -> Result<usize, usize> {
        self.tombstones
            .binary_search_by_key(&node, |row| row.tombstone.node)
    }
}

/// Selects the balancers that an agent sends its heartbeats to: the first
/// [`WATCHERS`] of [`rank_balancers`].
pub fn select_watchers<'a>(
    agent: ident::NodeId,
    balancers: impl IntoIterator<Item = &'a member::Balancer>,
) -> Vec<ident::NodeId> {
    rank_balancers(agent, balancers, WATCHERS)
        .into_iter()
        .map(|balancer| balancer.node)
        .collect()
}

/// Ranks the balancers for an agent and returns the first `limit`.
///
/// The rank comes from rendezvous hashing (Thaler and Ravishankar, 1998). The
/// best balancer of each failure domain comes first, then the others by rank.
/// Leaving balancers are skipped. A smaller limit returns a prefix of the result
/// for a greater one.
pub fn rank_balancers<'a>(
    agent: ident::NodeId,
    balancers: impl IntoIterator<Item = &'a member::Balancer>,
    limit: usize,
) -> Vec<&'a member::Balancer> {
    let mut ranked: Vec<_> = balancers
        .into_iter()
        .filter(|balancer| !balancer.leaving)
        .map(|balancer| (hash_rank(agent, balancer.node), balancer))
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

/// Returns the partition of the agent table that a node's entry belongs to.
#[must_use]
#[expect(
    clippy::cast_possible_truncation,
    reason = "the remainder is below the number of partitions"
)]
pub const fn partition(node: ident::NodeId) -> usize {
    (node.0 % PARTITIONS as u64) as usize
}

fn hash_rank(agent: ident::NodeId, balancer: ident::NodeId) -> u64 {
    xxh3::xxh3_64_with_seed(&balancer.0.to_le_bytes(), agent.0)
}

fn is_valid(member: &member::Member) -> bool {
    let fields = [&member.name, &member.service, &member.domain];
    fields.iter().all(|field| field.len() <= MAX_NAME_LEN) && member.watchers.len() <= WATCHERS
}

const fn tombstone_of(member: &member::Member) -> Tombstone {
    Tombstone {
        node: member.node,
        incarnation: member.incarnation,
        change: member.change,
    }
}

const fn version_of(member: &member::Member) -> (ident::Incarnation, u32) {
    (member.incarnation, member.change)
}

fn new_row(member: member::Member, now: clock::Millis) -> MemberRow {
    MemberRow {
        member,
        learned: now,
        heartbeat: None,
        liveness: Liveness::Unknown,
        died: None,
        held: false,
    }
}

/// Replaces an agent's entry if the new one takes precedence.
///
/// Draining takes precedence over every other state of the same incarnation, so
/// that processes agree regardless of the order in which entries arrive.
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
        *old = new_row(member.clone(), now);
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
