//! Cache of the agents that own flows not tracked here, pending searches for owners that
//! are not known, and flows that the own upstream is known not to have.
//!
//! An agent claims a flow when it accepts the SYN. A copy of the SYN may have reached another
//! upstream, so a claim is no proof. The owner confirms flows that stay open, and a confirmed
//! owner is the only one that the flow ever has.

use serde::Serialize;

use crate::{
    clock::Millis,
    conntrack::{ENDED_TIMEOUT, IDLE_TIMEOUT},
    header::Hop,
    ident::{Incarnation, NodeId, ServiceId},
    packet::Flow,
    protocol::{Header, Reply, RouteInfo, ServiceHop},
};

/// Minimum interval between two searches for the owner of one flow.
const SEARCH_INTERVAL: Millis = Millis(100);

/// Time after which a claim that was not confirmed expires: an owner whose run goes on has
/// confirmed, repeated or withdrawn it by then.
const CLAIM_TIMEOUT: Millis = Millis(5_000);

/// Interval at which an owner repeats the claims that it cannot confirm yet, short enough that one
/// repetition may get lost.
pub const CLAIM_INTERVAL: Millis = Millis(2_000);

/// Age of a confirmed owner from which a claim of another agent replaces it. An earlier one
/// concerns a late copy of the SYN, a later one another flow with the same addresses.
const REUSE_AGE: Millis = Millis(3_000);

/// Time after the start of an agent's run within which a flow may have been opened there
/// unnoticed, because the run was not yet known here.
const START_MARGIN: Millis = Millis(1_000);

/// Maximum number of upstreams to which packets of one flow are handed without knowing that
/// they have it.
pub const MAX_TRIALS: usize = 2;

/// Number of packets that an agent that seems to be gone has to leave unanswered.
const MIN_ASKED: u32 = 2;

/// Number of pending searches up to which a packet of each is held.
const MAX_HELD: usize = 512;

/// Maximum number of cached owners, of pending searches and of absent flows, each.
const MAX_ENTRIES: usize = 65_536;

/// Owner of a flow, according to the owner.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub struct Claim {
    /// Agent that owns the flow.
    pub owner: ServiceHop,
    /// Whether the flow was opened there, and not only its SYN accepted.
    pub confirmed: bool,
}

#[derive(Clone, Copy, Debug, Serialize)]
struct Redirect {
    flow: Flow,
    claim: Claim,
    /// Time of the last announcement.
    since: Millis,
    /// Time at which the owner, which seems to be gone, was sent a packet all the same.
    probed: Option<Millis>,
}

#[derive(Clone, Copy, Debug, Serialize)]
struct Answer {
    node: NodeId,
    incarnation: Incarnation,
    reply: Reply,
}

#[derive(Clone, Debug, Serialize)]
struct Search {
    flow: Flow,
    /// Time of the last search.
    last: Millis,
    /// Number of times that agents were asked.
    asked: u32,
    /// Last acknowledgement number of the caller.
    ack: u32,
    /// Time at which an agent claimed the flow, if one did.
    opened: Option<Millis>,
    /// Services in which the flow may be, according to all packets.
    route: RouteInfo,
    /// Last replies of the agents, sorted by node.
    answers: Vec<Answer>,
    /// Agents that were given a packet for their upstream.
    tried: Vec<NodeId>,
    /// Last packet of the flow, to go on with when agents have replied.
    #[serde(skip)]
    held: Option<(Header, Vec<u8>)>,
}

/// Agent that may own a searched flow.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// The agent.
    pub node: NodeId,
    /// Its run.
    pub incarnation: Incarnation,
    /// Time at which the run was first heard of.
    pub started: Millis,
    /// Whether the agent and its upstream are gone.
    pub gone: bool,
    /// Whether the agent itself has stated so before it ended.
    pub ended: bool,
}

/// Agents to which a packet of a searched flow is sent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Recipients {
    /// Agents that are asked whether they own the flow.
    Ask(Vec<NodeId>),
    /// Agents that do not know their flows; one of them may hand the packet to its upstream.
    Try(Vec<NodeId>),
    /// Agents that have all lost their tables: one of their upstreams has the flow, and all of
    /// them are given the packet.
    TryAll(Vec<NodeId>),
    /// None: nothing new can be learned from another packet now.
    Nobody,
}

/// Flow that no agent of the service owns.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Unowned {
    /// The flow.
    pub flow: Flow,
    /// Last acknowledgement number of its caller.
    pub ack: u32,
    /// First agent that has not replied because it is gone, if any.
    pub gone: Option<NodeId>,
}

/// Flow that the own upstream does not have.
#[derive(Clone, Copy, Debug, Serialize)]
struct Absence {
    flow: Flow,
    /// Time at which the upstream showed it last.
    since: Millis,
}

/// Cached owners, pending searches and absent flows, each sorted by flow.
#[derive(Clone, Debug, Default, Serialize)]
pub struct OwnerCache {
    redirects: Vec<Redirect>,
    searches: Vec<Search>,
    absences: Vec<Absence>,
}

impl OwnerCache {
    /// Returns the number of flows whose owner is known.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.redirects.len()
    }

    /// Returns whether no owner is known.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.redirects.is_empty()
    }

    /// Returns the last claim to a flow.
    #[must_use]
    pub fn claim(&self, flow: &Flow) -> Option<Claim> {
        let at = self.find_redirect(flow).ok()?;
        Some(self.redirects[at].claim)
    }

    /// Returns the flows that an agent owns, sorted, after the flow `after`.
    pub fn flows_of(
        &self,
        owner: NodeId,
        after: Option<Flow>,
    ) -> impl Iterator<Item = (Flow, Claim)> {
        let start = self.redirects.partition_point(|r| Some(r.flow) <= after);
        let rest = self.redirects[start..].iter();
        rest.filter(move |r| r.claim.owner.hop.node == owner)
            .map(|r| (r.flow, r.claim))
    }

    /// Returns the claims that were announced since a point in time.
    pub fn announced_since(&self, since: Millis) -> impl Iterator<Item = (Flow, Claim)> {
        let recent = self.redirects.iter().filter(move |r| r.since >= since);
        recent.map(|r| (r.flow, r.claim))
    }

    /// Records a claim to a flow, if the cache is not full, and ends a pending search for it.
    /// A claim that is not confirmed replaces a confirmed one only if it concerns a new flow
    /// with the same addresses.
    pub fn learn(&mut self, flow: Flow, claim: Claim, now: Millis) {
        self.end_search(&flow);
        let entry = Redirect {
            flow,
            claim,
            since: now,
            probed: None,
        };
        match self.find_redirect(&flow) {
            Ok(at) => {
                let known = &mut self.redirects[at];
                let outdated = now.since(known.since) >= REUSE_AGE;
                if claim.confirmed || !known.claim.confirmed || outdated {
                    *known = entry;
                }
            }
            Err(at) if self.redirects.len() < MAX_ENTRIES => self.redirects.insert(at, entry),
            Err(_) => {}
        }
    }

    /// Returns whether a packet is still to be sent to an owner that seems to be gone. Lost
    /// heartbeats alone do not show that: it also has to leave a packet unanswered.
    pub fn probe_owner(&mut self, flow: &Flow, now: Millis) -> bool {
        let Ok(at) = self.find_redirect(flow) else {
            return false;
        };
        let probed = *self.redirects[at].probed.get_or_insert(now);
        now.since(probed) < SEARCH_INTERVAL
    }

    /// Ends the search for the owner of a flow, which is known now.
    pub fn end_search(&mut self, flow: &Flow) {
        if let Ok(at) = self.find_search(flow) {
            self.searches.remove(at);
        }
    }

    /// Removes the owner of a flow.
    pub fn forget(&mut self, flow: &Flow) {
        if let Ok(at) = self.find_redirect(flow) {
            self.redirects.remove(at);
        }
    }

    /// Starts or repeats a search for the owner of a flow among the other agents of the
    /// service. Returns whether a packet may be sent now: the last search is less recent than
    /// `SEARCH_INTERVAL`, and not too many are pending.
    ///
    /// `ack` is the last acknowledgement number of the caller.
    pub fn start_search(&mut self, flow: Flow, ack: u32, route: &RouteInfo, now: Millis) -> bool {
        match self.find_search(&flow) {
            Ok(at) => {
                let search = &mut self.searches[at];
                search.ack = ack;
                search.widen(route);
                if now.since(search.last) < SEARCH_INTERVAL {
                    return false;
                }
                search.last = now;
                search.asked += 1;
            }
            Err(_) if self.searches.len() >= MAX_ENTRIES => return false,
            Err(at) => {
                let opened = self.find_redirect(&flow).ok();
                let search = Search {
                    flow,
                    last: now,
                    asked: 1,
                    ack,
                    opened: opened.map(|at| self.redirects[at].since),
                    route: route.clone(),
                    answers: Vec::new(),
                    tried: Vec::new(),
                    held: None,
                };
                self.searches.insert(at, search);
            }
        }
        true
    }

    /// Returns to whom the next packet of a searched flow is sent.
    ///
    /// Agents that have replied that they do not own the flow are not asked again. Once all
    /// others are gone or do not know, up to [`MAX_TRIALS`] upstreams are tried in all, and then
    /// all of them if every agent has lost its table.
    #[must_use]
    pub fn recipients(&self, own: ServiceId, flow: &Flow, candidates: &[Candidate]) -> Recipients {
        let Ok(at) = self.find_search(flow) else {
            return Recipients::Nobody;
        };
        let search = &self.searches[at];
        let open = candidates
            .iter()
            .filter(|candidate| !search.excludes(candidate));
        let (trials, unheard): (Vec<&Candidate>, Vec<&Candidate>) = open
            .filter(|candidate| !search.tried.contains(&candidate.node))
            .partition(|candidate| search.may_try(candidate));
        let nodes = |candidates: &[&Candidate]| {
            let nodes = candidates.iter().map(|candidate| candidate.node);
            nodes.collect::<Vec<_>>()
        };
        let waits = unheard.iter().any(|candidate| !candidate.gone);
        if !trials.is_empty() && !waits && search.trials() < search.max_trials(own) {
            Recipients::Try(nodes(&trials))
        } else if !waits && search.is_lost_by_all(candidates) && !search.route.partial {
            let lost = candidates
                .iter()
                .filter(|candidate| search.may_be_lost(candidate));
            Recipients::TryAll(lost.map(|candidate| candidate.node).collect())
        } else if !unheard.is_empty() {
            Recipients::Ask(nodes(&unheard))
        } else {
            Recipients::Nobody
        }
    }

    /// Returns whether a packet of a searched flow may be handed to one more upstream, that of
    /// the agent `node`.
    #[must_use]
    pub fn may_try(&self, own: ServiceId, node: NodeId, flow: &Flow) -> bool {
        self.find_search(flow).is_ok_and(|at| {
            let search = &self.searches[at];
            search.trials() < search.max_trials(own) && !search.tried.contains(&node)
        })
    }

    /// Holds the last packet of a searched flow.
    pub fn hold(&mut self, flow: &Flow, header: &Header, bytes: &[u8]) {
        let is_full = self.searches.len() > MAX_HELD;
        if let Ok(at) = self.find_search(flow) {
            let packet = (!is_full).then(|| (header.clone(), bytes.to_vec()));
            self.searches[at].held = packet;
        }
    }

    /// Returns the held packet of a searched flow, unless an upstream that was given one may
    /// still answer.
    #[must_use]
    pub fn held(&self, flow: &Flow) -> Option<(Header, Vec<u8>)> {
        let search = &self.searches[self.find_search(flow).ok()?];
        let has_returned = |node: &NodeId| {
            let mut answers = search.answers.iter();
            answers.any(|answer| answer.node == *node && answer.reply == Reply::Returned)
        };
        let held = search.held.clone();
        held.filter(|_| search.tried.iter().all(has_returned))
    }

    /// Records that an agent was given a packet of a flow for its upstream.
    pub fn record_trial(&mut self, flow: &Flow, node: NodeId) {
        if let Ok(at) = self.find_search(flow) {
            let tried = &mut self.searches[at].tried;
            if !tried.contains(&node) {
                tried.push(node);
            }
        }
    }

    /// Records what an agent replied to a search, or that it withdraws an announcement.
    /// Forgets it if it was cached as the owner and says that it is not.
    pub fn record_reply(&mut self, node: NodeId, run: Incarnation, flow: &Flow, reply: Reply) {
        let is_denied = matches!(reply, Reply::NotOwned | Reply::Returned);
        let claim = self.claim(flow);
        if is_denied && claim.is_some_and(|claim| claim.owner.hop.node == node) {
            self.forget(flow);
        }
        if let Ok(at) = self.find_search(flow) {
            self.searches[at].record(Answer {
                node,
                incarnation: run,
                reply,
            });
        }
    }

    /// Ends the searches that are decided: every candidate has replied that it does not own
    /// the flow or is gone, and the flow is in no other service of its route.
    ///
    /// `own` is the own service, `is_certain` returns whether the own upstream is known not to
    /// have a flow.
    pub fn take_unowned(
        &mut self,
        own: ServiceId,
        candidates: &[Candidate],
        is_certain: impl Fn(&Flow) -> bool,
    ) -> Vec<Unowned> {
        let is_decided = |search: &mut Search| {
            search.open_elsewhere(own) == 0
                && search.is_excluded_by_all(candidates)
                && is_certain(&search.flow)
        };
        let unowned = self.searches.extract_if(.., is_decided);
        unowned
            .map(|search| Unowned {
                flow: search.flow,
                ack: search.ack,
                gone: search.first_gone(candidates),
            })
            .collect()
    }

    /// Returns whether every candidate of the own service has replied that it does not own a
    /// searched flow or is gone.
    #[must_use]
    pub fn is_excluded(&self, flow: &Flow, candidates: &[Candidate]) -> bool {
        let found = self.find_search(flow);
        found.is_ok_and(|at| self.searches[at].is_excluded_by_all(candidates))
    }

    /// Returns whether any search is pending.
    #[must_use]
    pub const fn is_searching(&self) -> bool {
        !self.searches.is_empty()
    }

    /// Returns the searched flows that the own upstream is known not to have, sorted.
    pub fn searched_absent(&self) -> impl Iterator<Item = Flow> {
        let flows = self.searches.iter().map(|search| search.flow);
        flows.filter(|flow| self.is_absent(flow))
    }

    /// Returns whether the own upstream is known not to have a flow.
    #[must_use]
    pub fn is_absent(&self, flow: &Flow) -> bool {
        self.find_absence(flow).is_ok()
    }

    /// Records that the own upstream does not have a flow, if the cache is not full.
    pub fn record_absent(&mut self, flow: Flow, now: Millis) {
        let entry = Absence { flow, since: now };
        match self.find_absence(&flow) {
            Ok(at) => self.absences[at] = entry,
            Err(at) if self.absences.len() < MAX_ENTRIES => self.absences.insert(at, entry),
            Err(_) => {}
        }
    }

    /// Records that the own upstream has a flow or gets its SYN.
    pub fn record_present(&mut self, flow: &Flow) {
        if let Ok(at) = self.find_absence(flow) {
            self.absences.remove(at);
        }
    }

    /// Removes expired owners, searches and absent flows. `is_live` returns whether the run of an
    /// agent that made a claim goes on: one that has ended could neither confirm nor withdraw it.
    pub fn expire(&mut self, is_live: impl Fn(&Hop) -> bool, now: Millis) {
        self.absences
            .retain(|entry| now.since(entry.since) < IDLE_TIMEOUT);
        self.redirects.retain(|entry| {
            let age = now.since(entry.since);
            let is_open = || entry.claim.confirmed || !is_live(&entry.claim.owner.hop);
            age < CLAIM_TIMEOUT || (age < IDLE_TIMEOUT && is_open())
        });
        self.searches
            .retain(|entry| now.since(entry.last) < ENDED_TIMEOUT);
    }

    fn find_redirect(&self, flow: &Flow) -> Result<usize, usize> {
        self.redirects.binary_search_by_key(flow, |r| r.flow)
    }

    fn find_search(&self, flow: &Flow) -> Result<usize, usize> {
        self.searches.binary_search_by_key(flow, |s| s.flow)
    }

    fn find_absence(&self, flow: &Flow) -> Result<usize, usize> {
        self.absences
            .binary_search_by_key(flow, |absence| absence.flow)
    }
}

impl Search {
    /// Adds the services that another packet names. Whether a balancer knows all services is
    /// judged by the last packet.
    fn widen(&mut self, route: &RouteInfo) {
        add_missing(&mut self.route.services, &route.services);
        add_missing(&mut self.route.excluded, &route.excluded);
        self.route.partial = route.partial;
    }

    /// Returns the number of other services in which the flow may be.
    fn open_elsewhere(&self, own: ServiceId) -> usize {
        let services = self.route.services.iter();
        let open =
            services.filter(|service| **service != own && !self.route.excluded.contains(*service));
        open.count() + usize::from(self.route.partial)
    }

    /// Returns the maximum number of upstreams to try: fewer if the flow may be in other
    /// services, where agents count by themselves.
    fn max_trials(&self, own: ServiceId) -> usize {
        MAX_TRIALS.saturating_sub(self.open_elsewhere(own))
    }

    fn record(&mut self, answer: Answer) {
        let found = self.answers.binary_search_by_key(&answer.node, |a| a.node);
        match found {
            Ok(at) => self.answers[at] = answer,
            Err(at) => self.answers.insert(at, answer),
        }
    }

    /// Returns the reply of an agent's current run.
    fn reply(&self, candidate: &Candidate) -> Option<Reply> {
        let found = self
            .answers
            .binary_search_by_key(&candidate.node, |answer| answer.node);
        let answer = self.answers[found.ok()?];
        (answer.incarnation >= candidate.incarnation).then_some(answer.reply)
    }

    /// Returns whether an agent does not own the flow. One that does not know its earlier
    /// flows has seen those that were opened after its start.
    fn excludes(&self, candidate: &Candidate) -> bool {
        match self.reply(candidate) {
            Some(Reply::NotOwned | Reply::Returned) => true,
            Some(Reply::Unknown { .. } | Reply::Lost) => self
                .opened
                .is_some_and(|opened| opened > candidate.started + START_MARGIN),
            None => false,
        }
    }

    /// Returns whether no candidate owns the flow. One that seems to be gone without a word has
    /// to leave two packets unanswered as well.
    fn is_excluded_by_all(&self, candidates: &[Candidate]) -> bool {
        let is_gone =
            |candidate: &Candidate| candidate.gone && (candidate.ended || self.asked >= MIN_ASKED);
        let mut candidates = candidates.iter();
        candidates.all(|candidate| is_gone(candidate) || self.excludes(candidate))
    }

    /// Returns whether an agent may hand a packet to its upstream.
    fn may_try(&self, candidate: &Candidate) -> bool {
        let reply = self.reply(candidate);
        matches!(reply, Some(Reply::Unknown { trial: true } | Reply::Lost))
    }

    /// Returns whether the upstream of an agent that has lost its table may have the flow.
    fn may_be_lost(&self, candidate: &Candidate) -> bool {
        !candidate.gone && self.reply(candidate) == Some(Reply::Lost)
    }

    /// Returns whether all agents have lost their tables, or know that they do not own the
    /// flow because their upstreams have returned it.
    fn is_lost_by_all(&self, candidates: &[Candidate]) -> bool {
        let mut live = candidates.iter().filter(|candidate| !candidate.gone);
        live.all(|candidate| matches!(self.reply(candidate), Some(Reply::Lost | Reply::Returned)))
    }

    /// Returns the number of upstreams that were tried, by request of any agent.
    fn trials(&self) -> usize {
        let answers = self.answers.iter();
        let returned = answers
            .filter(|answer| answer.reply == Reply::Returned && !self.tried.contains(&answer.node));
        self.tried.len() + returned.count()
    }

    fn first_gone(&self, candidates: &[Candidate]) -> Option<NodeId> {
        let mut candidates = candidates.iter();
        let gone = candidates.find(|candidate| candidate.gone && self.reply(candidate).is_none());
        gone.map(|candidate| candidate.node)
    }
}

fn add_missing(services: &mut Vec<ServiceId>, others: &[ServiceId]) {
    for other in others {
        if !services.contains(other) {
            services.push(*other);
        }
    }
}
