//! Membership tables: the known agents and balancers, and their liveness.
//!
//! An agent sends heartbeats to a few balancers, its watchers. Each balancer
//! publishes a numbered liveness report that lists only the watched agents
//! whose heartbeats are missing; every other agent that it watches is alive.
//! Each balancer derives liveness from the reports that it receives and ignores
//! reports whose sequence number no longer grows, so a balancer that is cut off
//! by a network partition cannot make other balancers consider its agents dead.

mod digests;
mod liveness;
mod rows;
mod watchers;

use crate::{clock, ident, member};

pub use self::{
    digests::partition,
    rows::{BalancerRow, LastHeartbeat, Liveness, LivenessReport, MemberRow, Merge, Tombstone},
    watchers::{rank_balancers, select_watchers},
};

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

/// [`Timing::heartbeat_timeout`] in heartbeat periods, as for the following.
const HEARTBEAT_TIMEOUT_PERIODS: u64 = 3;
/// [`Timing::report_period`].
const REPORT_PERIODS: u64 = 3;
/// [`Timing::report_timeout`].
const REPORT_TIMEOUT_PERIODS: u64 = 9;
/// [`Timing::loss_window`].
const LOSS_WINDOW_PERIODS: u64 = 30;
/// [`Timing::eviction_timeout`].
const EVICTION_PERIODS: u64 = 600;
/// [`Timing::tombstone_ttl`].
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

/// The agents and balancers that one balancer knows, each table sorted by node.
#[derive(Clone, Debug)]
pub struct Tables {
    timing: Timing,
    me: ident::NodeId,
    members: Vec<MemberRow>,
    balancers: Vec<BalancerRow>,
    tombstones: Vec<rows::TombstoneRow>,
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
            Ok(at) => rows::replace(&mut self.members[at], member, now),
            Err(_) if self.members.len() >= MAX_ENTRIES => Merge::Rejected,
            Err(at) => {
                self.members.insert(at, rows::new_row(member.clone(), now));
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
            .map(|row| rows::tombstone_of(&row.member))
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
            Ok(at) => rows::replace_balancer(&mut self.balancers[at], balancer, now),
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
            if row.liveness != Liveness::Dead || version < rows::version_of(&row.member) {
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

    fn add_tombstone(&mut self, tombstone: Tombstone, watched: bool, now: clock::Millis) -> Merge {
        let row = rows::TombstoneRow {
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
            rows::version_of(member) <= (tombstone.incarnation, tombstone.change)
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

fn is_valid(member: &member::Member) -> bool {
    let fields = [&member.name, &member.service, &member.domain];
    fields.iter().all(|field| field.len() <= MAX_NAME_LEN) && member.watchers.len() <= WATCHERS
}
