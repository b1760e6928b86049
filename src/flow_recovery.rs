//! Recovery of the flow table of an agent that was restarted beside its running upstream.
//!
//! The homes of a flow know its owner, so a restarted agent requests its flows, page by page,
//! from all live agents of its service. Once each of them has sent its last page, the recovery is
//! complete if the agent's last run handed over its flows before it ended. If that run crashed,
//! flows may be unknown to all: those whose announcement was lost, or whose homes crashed with
//! it. That nobody claims a flow for this agent then does not show that its upstream lacks it.

use serde::{Deserialize, Serialize};

use crate::{
    clock::Millis,
    ident::{Incarnation, NodeId, ServiceId},
    packet::Flow,
    roster::{self, PreviousRun},
};

/// Maximum number of flows in one page, so that a datagram stays below 1,400 bytes.
pub const MAX_FLOWS: usize = 32;

/// Time after which a page that has not arrived is requested again.
const RETRY_INTERVAL: Millis = Millis(200);

/// Time after the start of the agent at which a recovery that is not complete ends.
const TIMEOUT: Millis = Millis(5_000);

/// Time before the start of this agent from which another one must have been up to have been
/// told of all flows.
const OLD_PEER_AGE: Millis = Millis(6_000);

/// Number of other agents of the service that may have crashed without a loss of flows: each
/// flow that is handed over is known to two of them.
const MAX_CRASHES: usize = 1;

/// Largest number of the report with which an upstream that has just started may reach its
/// agent for the first time.
const MAX_FIRST_REPORT: u64 = 8;

/// Request for a page of the flows that the sender owns.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Request {
    /// Agent that owns the flows.
    pub owner: NodeId,
    /// Last flow of the page before, `None` for the first page.
    pub after: Option<Flow>,
}

/// Flow that the receiver owns.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OwnedFlow {
    /// The flow.
    pub flow: Flow,
    /// Whether it was opened there, and not only its SYN accepted.
    pub confirmed: bool,
}

/// Page of the flows that an agent owns according to another one.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Page {
    /// Agent that sends the page.
    pub node: NodeId,
    /// Its run.
    pub incarnation: Incarnation,
    /// The request's `after`.
    pub after: Option<Flow>,
    /// Flows after it in order, at most [`MAX_FLOWS`].
    pub flows: Vec<OwnedFlow>,
    /// Whether more flows follow.
    pub more: bool,
    /// Time since the start of the sender.
    pub uptime: Millis,
    /// How the owner's last run ended, if the sender knew it.
    pub predecessor: Option<PreviousRun>,
    /// Number of other agents of the service that have recently crashed, as far as the
    /// sender knows.
    pub crashes: usize,
}

/// What an agent knows of the flows of its upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub enum Tracking {
    /// All of them.
    Complete,
    /// All that the other agents knew when they were asked. What is handed over to them at that
    /// moment may be missing.
    Recovered,
    /// Not all yet: the others are still being asked.
    Recovering,
    /// Not all, and the other agents cannot tell.
    Partial,
    /// Not all, and all other agents have lost their tables at the same time.
    Lost,
}

impl Tracking {
    /// Returns whether a flow that is not tracked belongs to another upstream, unless another
    /// agent states that it belongs to this one.
    #[must_use]
    pub const fn is_complete(self) -> bool {
        matches!(self, Self::Complete | Self::Recovered)
    }

    /// Returns whether the upstream may have flows that nobody can tell of.
    #[must_use]
    pub const fn is_partial(self) -> bool {
        matches!(self, Self::Partial | Self::Lost)
    }
}

/// First status report of the upstream after the start of the agent.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct FirstReport {
    /// Number of the report in the upstream's run.
    pub seq: u64,
    /// Age of the upstream according to the wall clock.
    pub age: Millis,
    /// Period of the upstream's reports.
    pub period: Millis,
}

/// Progress of the pages of one agent.
#[derive(Clone, Copy, Debug, Serialize)]
struct Source {
    node: NodeId,
    incarnation: Incarnation,
    after: Option<Flow>,
    requested: Option<Millis>,
    done: bool,
}

/// State of a recovery.
#[derive(Clone, Debug, Serialize)]
pub struct Recovery {
    tracking: Tracking,
    /// Time at which the recovery ended.
    ended: Option<Millis>,
    first_report: Option<FirstReport>,
    /// Agents that are asked, sorted by node.
    sources: Vec<Source>,
    /// Whether any agent has been up since well before this one.
    has_old_peer: bool,
    /// How the last run of this agent ended, if any other agent knew it. A crash that one has
    /// seen counts even if another one has missed the run that crashed.
    predecessor: Option<PreviousRun>,
    /// Largest number of crashed agents that was reported.
    crashes: usize,
}

impl Recovery {
    /// Creates the state of an agent that starts now. If the whole fleet starts for the first
    /// time, there is nothing to recover.
    #[must_use]
    pub const fn new(first_start: bool) -> Self {
        Self {
            tracking: if first_start {
                Tracking::Complete
            } else {
                Tracking::Recovering
            },
            ended: None,
            first_report: None,
            sources: Vec::new(),
            has_old_peer: false,
            predecessor: None,
            crashes: 0,
        }
    }

    /// Returns what is known of the upstream's flows.
    #[must_use]
    pub fn tracking(&self) -> Tracking {
        let cannot_complete = || {
            let answered = !self.sources.is_empty() && self.sources.iter().all(|s| s.done);
            answered && !self.has_old_peer && !self.is_reliable()
        };
        let is_lost = !self.has_old_peer && self.predecessor.is_none();
        match self.tracking {
            Tracking::Recovering if cannot_complete() && is_lost => Tracking::Lost,
            Tracking::Recovering if cannot_complete() => Tracking::Partial,
            Tracking::Partial if is_lost => Tracking::Lost,
            tracking => tracking,
        }
    }

    /// Returns whether flows are still being requested.
    #[must_use]
    pub fn is_running(&self) -> bool {
        self.tracking == Tracking::Recovering
    }

    /// Records that all flows of the upstream are tracked, because it started after the agent
    /// or because flows that were opened before cannot be open any more.
    pub fn complete(&mut self, now: Millis) {
        self.tracking = Tracking::Complete;
        self.ended.get_or_insert(now);
    }

    /// Records the first report of the upstream.
    pub const fn record_report(&mut self, report: FirstReport) {
        if self.first_report.is_none() {
            self.first_report = Some(report);
        }
    }

    /// Returns the requests that are due, each with the agent to which it is sent.
    pub fn requests(
        &mut self,
        roster: &roster::Roster,
        service: ServiceId,
        now: Millis,
    ) -> Vec<(NodeId, Request)> {
        if !self.is_running() {
            return Vec::new();
        }
        self.update_sources(roster, service, now);
        let owner = roster.me().node;
        let is_due = |source: &&mut Source| {
            let waits = source
                .requested
                .is_some_and(|at| now.since(at) < RETRY_INTERVAL);
            !source.done && !waits
        };
        let due = self.sources.iter_mut().filter(is_due);
        due.map(|source| {
            source.requested = Some(now);
            let after = source.after;
            (source.node, Request { owner, after })
        })
        .collect()
    }

    /// Records a page. Returns the request for the next page, if there is one. Pages that were
    /// not requested are ignored.
    pub fn receive(&mut self, page: &Page, owner: NodeId, now: Millis) -> Option<Request> {
        let found = self
            .sources
            .binary_search_by_key(&page.node, |source| source.node);
        let source = &mut self.sources[found.ok()?];
        if source.done || source.incarnation != page.incarnation || source.after != page.after {
            return None;
        }
        self.has_old_peer |= page.uptime > now + OLD_PEER_AGE;
        self.predecessor = self.predecessor.max(page.predecessor);
        self.crashes = self.crashes.max(page.crashes);
        let last = page.flows.last().map(|owned| owned.flow);
        if !page.more || last <= page.after {
            source.done = true;
            return None;
        }
        source.after = last;
        source.requested = Some(now);
        Some(Request { owner, after: last })
    }

    /// Ends the recovery if it is decided. `settled` states whether all live agents of the
    /// service are known. Returns whether it has ended now.
    pub fn update(&mut self, settled: bool, now: Millis) -> bool {
        if !self.is_running() {
            return false;
        }
        let answered = settled && self.sources.iter().all(|source| source.done);
        let decided = answered && (self.first_report.is_some() || self.is_reliable());
        if !decided && now < TIMEOUT {
            return false;
        }
        self.ended = Some(now);
        self.tracking = if answered && self.is_reliable() {
            Tracking::Recovered
        } else {
            Tracking::Partial
        };
        true
    }

    /// Returns whether no flow of the upstream can be unknown to all agents that were asked: the
    /// last run handed over its flows, or there was none and the upstream is new.
    ///
    /// An upstream repeats a report at once while it is not acknowledged, and pauses for a period
    /// after that. One that is younger than a period has thus not been acknowledged by an earlier
    /// run of the agent, which accepts no flows before.
    fn is_reliable(&self) -> bool {
        let is_new = |report: FirstReport| {
            let is_unanswered = report.age.0 < report.period.0 * 3 / 4;
            report.seq <= MAX_FIRST_REPORT && is_unanswered && self.predecessor.is_none()
        };
        let has_crashed = self.predecessor == Some(PreviousRun::Crashed);
        let known = self.has_old_peer && !has_crashed && self.crashes <= MAX_CRASHES;
        known || self.first_report.is_some_and(is_new)
    }

    /// Adds the live agents of the service, and starts anew with those that were restarted.
    fn update_sources(&mut self, roster: &roster::Roster, service: ServiceId, now: Millis) {
        let peers = roster.peers().iter();
        let live = peers.filter(|peer| {
            let entry = &peer.entry;
            let of_service = entry.service() == Some(service);
            of_service && !peer.silent && !entry.leaving && !roster.is_gone(entry.node, now)
        });
        let sources = live.map(|peer| {
            let (node, incarnation) = (peer.entry.node, peer.entry.incarnation);
            let found = self.sources.binary_search_by_key(&node, |s| s.node);
            let known = found.ok().map(|at| self.sources[at]);
            known
                .filter(|source| source.incarnation == incarnation)
                .unwrap_or(Source {
                    node,
                    incarnation,
                    after: None,
                    requested: None,
                    done: false,
                })
        });
        self.sources = sources.collect();
    }
}
