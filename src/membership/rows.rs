//! Rows of the membership tables, and which of two entries of one node takes precedence.

use serde::{Deserialize, Serialize};

use super::Timing;
use crate::{clock, ident, member};

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

    pub(super) fn has_heartbeat(&self, timing: &Timing, now: clock::Millis) -> bool {
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

/// Row of the tombstone table.
#[derive(Clone, Copy, Debug)]
pub(super) struct TombstoneRow {
    pub(super) tombstone: Tombstone,
    /// Whether this balancer was a watcher of the agent.
    pub(super) watched: bool,
    pub(super) created: clock::Millis,
}

pub(super) const fn tombstone_of(member: &member::Member) -> Tombstone {
    Tombstone {
        node: member.node,
        incarnation: member.incarnation,
        change: member.change,
    }
}

pub(super) const fn version_of(member: &member::Member) -> (ident::Incarnation, u32) {
    (member.incarnation, member.change)
}

pub(super) fn new_row(member: member::Member, now: clock::Millis) -> MemberRow {
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
pub(super) fn replace(old: &mut MemberRow, member: &member::Member, now: clock::Millis) -> Merge {
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

pub(super) fn replace_balancer(
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
