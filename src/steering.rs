//! What an agent of a pass-through service does with packets: a decision over its flows.
//!
//! The upstream ends its own flows, so the agent keeps a table of those it has seen
//! there. A packet of another flow never reaches the upstream, unless the agent
//! started after the upstream and cannot know.

use std::mem;

use serde::Serialize;

use crate::{
    chains,
    clock::Millis,
    conntrack,
    header::Hop,
    header_ring,
    ident::{DomainId, NodeId},
    load, owner_cache,
    packet::Flow,
    protocol::{BestHop, Header, MAX_FLOWS, Message, Mode, ServiceHop},
    roster,
    segment::Segment,
};

/// Agents that are told of a flow: its home, and the next in case the home dies.
pub const HOMES: usize = 2;

/// Time within which a living upstream answers an opening packet.
pub const ANSWER_TIMEOUT: Millis = Millis(100);

/// Time between two probes of an upstream that does not answer.
const PROBE_PERIOD: Millis = Millis(500);

/// Shortest time without a word on any busy flow after which the upstream is probed.
const HANGING: Millis = Millis(500);

/// Quarters of the others' period after its start for which an agent may not know all
/// of them, and so declares no flow lost.
const SETTLED_QUARTERS: u64 = 5;

/// An upstream that does not answer.
#[derive(Clone, Copy, Debug, Serialize)]
struct Suspicion {
    since: Millis,
    probed: Millis,
}

#[derive(Clone, Debug)]
struct Unanswered {
    flow: Flow,
    token: u32,
    since: Millis,
    bytes: Vec<u8>,
}

/// Why a packet was dropped.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Serialize)]
pub enum DropReason {
    /// Meant for another agent or service, with no stop left.
    Target,
    /// Opens a flow, and no agent of its chain takes it.
    Full,
    /// The owner is not known, and was searched for a moment ago.
    Searched,
    /// Searched for here, and not owned.
    NotOwned,
    /// Ends a flow that is not known.
    Ended,
}

/// What to do with a packet.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Hand it to the upstream under a token.
    Deliver(u32),
    /// Send it on to the first stop of the header.
    Send(Header),
    /// Send another packet, kept from before, on to the first stop of the header.
    Resend(Header, Vec<u8>),
    /// Send it to all other agents of the service.
    Search(Header),
    /// Tell the agent that searches for its owner that it is not this one.
    Disown(Hop, Flow),
    /// Send it to its caller.
    Answer,
    /// Tell the caller that a flow is gone, with a sequence number.
    Reset(Flow, u32),
    /// Find out whether the upstream still listens.
    Probe,
    /// Drop it.
    Drop(DropReason),
}

impl DropReason {
    /// The reason's name in logs and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Target => "drop_target",
            Self::Full => "drop_full",
            Self::Searched => "drop_searched",
            Self::NotOwned => "drop_not_owned",
            Self::Ended => "drop_ended",
        }
    }
}

impl Action {
    /// The decision's name in logs and metrics.
    #[must_use]
    pub const fn name(&self) -> &'static str {
        match self {
            Self::Deliver(0) => "deliver",
            Self::Deliver(_) => "accept",
            Self::Send(header) => match header.mode {
                Mode::Owner => "forward_to_owner",
                Mode::Chain | Mode::Search => "pass_on",
            },
            Self::Resend(..) => "pass_on_unanswered",
            Self::Search(_) => "search",
            Self::Disown(..) => "disown",
            Self::Answer => "answer",
            Self::Reset(_, 0) => "refuse",
            Self::Reset(..) => "reset",
            Self::Probe => "probe",
            Self::Drop(reason) => reason.name(),
        }
    }
}

/// What a decision needs to know besides the flows.
#[derive(Debug)]
pub struct Context<'a> {
    /// Whether the upstream takes new flows.
    pub accepts: bool,
    /// Whether the agent has seen all flows of the upstream.
    pub complete: bool,
    /// The chains of the service.
    pub chains: &'a mut chains::Chains,
    /// The nodes.
    pub roster: &'a roster::Roster,
    /// Seed of the flows' hashes.
    pub seed: u64,
    /// Now.
    pub now: Millis,
}

/// The flows that an agent knows of, each table sorted by flow.
#[derive(Debug)]
pub struct Flows {
    me: ServiceHop,
    load: load::Load,
    held: Vec<conntrack::Entry>,
    directory: owner_cache::OwnerCache,
    ring: header_ring::HeaderRing,
    unanswered: Vec<Unanswered>,
    suspicion: Option<Suspicion>,
    notices: Vec<(Hop, Flow)>,
    placed: Option<u64>,
    served: Vec<Millis>,
}

impl Flows {
    /// No flows yet, at the agent that `me` names.
    #[must_use]
    pub fn new(me: ServiceHop) -> Self {
        Self {
            me,
            load: load::Load::new(1),
            held: Vec::new(),
            directory: owner_cache::OwnerCache::default(),
            ring: header_ring::HeaderRing::new(),
            unanswered: Vec::new(),
            suspicion: None,
            notices: Vec::new(),
            placed: None,
            served: Vec::new(),
        }
    }

    /// Takes the times that the upstream took for requests since the last call.
    pub fn drain_service_times(&mut self) -> std::vec::Drain<'_, Millis> {
        self.served.drain(..)
    }

    /// The upstream's load.
    #[must_use]
    pub const fn load(&self) -> &load::Load {
        &self.load
    }

    /// The upstream's load, to change it.
    pub const fn load_mut(&mut self) -> &mut load::Load {
        &mut self.load
    }

    /// The flows that the upstream holds.
    #[must_use]
    pub fn entries(&self) -> &[conntrack::Entry] {
        &self.held
    }

    /// Flows whose owner elsewhere is known here.
    #[must_use]
    pub const fn redirects(&self) -> usize {
        self.directory.len()
    }

    /// Takes the agent's own stop, which changes when its run is numbered anew.
    pub const fn set_self(&mut self, me: ServiceHop) {
        self.me = me;
    }

    /// Time for which the upstream has not answered.
    #[must_use]
    pub fn unresponsive_for(&self, now: Millis) -> Option<Millis> {
        self.suspicion.map(|suspicion| now.since(suspicion.since))
    }

    /// Takes the upstream as living again.
    pub const fn clear_suspicion(&mut self) {
        self.suspicion = None;
    }

    /// Decides on a caller's packet that a balancer or another agent sent.
    pub fn inbound(
        &mut self,
        around: &mut Context<'_>,
        header: Header,
        segment: &Segment,
        bytes: &[u8],
    ) -> Action {
        let target = header.hops[0];
        if target.service != self.me.service || target.hop.node != self.me.hop.node {
            return pass_or(header, Action::Drop(DropReason::Target));
        }
        let flow = segment.inbound();
        if let Ok(at) = self.position(&flow)
            && self.held[at].confirm(segment)
        {
            return self.deliver_owned(at, &header, segment, around.now);
        }
        if segment.syn {
            return self.open(around, header, segment, bytes);
        }
        self.unknown(around, header, segment)
    }

    /// Decides on a packet that the upstream sent or returned.
    ///
    /// Only what answers a packet shows that the upstream lives: it may still close
    /// idle flows when it takes nothing any more.
    pub fn outbound(&mut self, around: &mut Context<'_>, segment: &Segment) -> Action {
        if segment.bounced || segment.syn_ack || segment.len > 0 {
            self.suspicion = None;
        }
        if segment.bounced {
            return self.bounced(around, segment);
        }
        let flow = segment.outbound();
        match self.position(&flow) {
            Ok(at) => self.note_answer(at, segment, around.now),
            Err(at) if !around.complete => {
                let origin = around.roster.me().domain;
                let learned = conntrack::Entry::from_upstream(segment, origin, around.now);
                self.held.insert(at, learned);
            }
            Err(_) => {}
        }
        Action::Answer
    }

    /// Takes another agent's statement that it owns flows.
    pub fn learn_owners(&mut self, owner: ServiceHop, flows: &[Flow], now: Millis) {
        if owner.hop.node == self.me.hop.node {
            return;
        }
        for flow in flows {
            let held = self.position(flow);
            if !held.is_ok_and(|at| self.held[at].is_confirmed()) {
                self.directory.learn(*flow, owner, now);
            }
        }
    }

    /// Takes another agent's statement that it does not own flows that were searched for.
    pub fn record_not_owned(&mut self, node: NodeId, flows: &[Flow]) {
        for flow in flows {
            self.directory.record_not_owned(node, flow);
        }
    }

    /// Statements to send: each agent that is to know of flows, and a message to it.
    pub fn take_notices(&mut self) -> Vec<(Hop, Message)> {
        let mut notices = mem::take(&mut self.notices);
        notices.sort_by_key(|(hop, flow)| (hop.node, *flow));
        notices.dedup();
        notices
            .chunk_by(|a, b| a.0 == b.0)
            .flat_map(|run| run.chunks(MAX_FLOWS))
            .map(|run| {
                let flows = run.iter().map(|(_, flow)| *flow).collect();
                let owner = self.me;
                (run[0].0, Message::Own { owner, flows })
            })
            .collect()
    }

    /// Runs one round: what has lapsed, who must hear of flows, who did not answer.
    pub fn tick(&mut self, around: &mut Context<'_>, out: &mut Vec<Action>) {
        let now = around.now;
        self.lapse(now);
        self.place(around);
        self.settle(around, out);
        let late: Vec<_> = self
            .unanswered
            .extract_if(.., |entry| now.since(entry.since) >= ANSWER_TIMEOUT)
            .collect();
        for entry in late {
            self.unheard(entry, out, now);
        }
        if self.is_hanging(now) {
            self.suspect(now);
        }
        if let Some(suspicion) = &mut self.suspicion
            && now.since(suspicion.probed) >= PROBE_PERIOD
        {
            suspicion.probed = now;
            out.push(Action::Probe);
        }
    }

    /// Gives up all flows of an upstream that is gone; each caller is told.
    pub fn reset_all(&mut self, out: &mut Vec<Action>) {
        let open = self.held.iter().filter(|held| held.is_open());
        out.extend(open.map(|held| Action::Reset(held.flow, held.ack)));
        self.held.clear();
        self.unanswered.clear();
        self.suspicion = None;
        self.load = load::Load::new(self.load.slots());
    }

    fn position(&self, flow: &Flow) -> Result<usize, usize> {
        self.held.binary_search_by(|entry| entry.flow.cmp(flow))
    }

    fn deliver_owned(
        &mut self,
        at: usize,
        header: &Header,
        segment: &Segment,
        now: Millis,
    ) -> Action {
        if let Some(asker) = header.requester.filter(|hop| hop.node != self.me.hop.node) {
            self.notices.push((asker, self.held[at].flow));
        }
        self.held[at].origin = header.origin;
        self.held[at].record_inbound(segment, &mut self.load, now);
        Action::Deliver(0)
    }

    fn note_answer(&mut self, at: usize, segment: &Segment, now: Millis) {
        if segment.syn_ack {
            let flow = self.held[at].flow;
            self.unanswered.retain(|entry| entry.flow != flow);
        }
        let took = self.held[at].record_outbound(segment, &mut self.load, now);
        self.served.extend(took);
    }

    fn open(
        &mut self,
        around: &mut Context<'_>,
        mut header: Header,
        segment: &Segment,
        bytes: &[u8],
    ) -> Action {
        let flow = segment.inbound();
        let takes = around.accepts && self.suspicion.is_none();
        let expected = self.expected(around.now);
        if takes && self.load.has_free_slot(expected) {
            return self.accept(around, header, segment, bytes);
        }
        let own = takes.then(|| BestHop {
            candidate: self.me,
            wait: self.load.expected_wait(expected),
        });
        header.best = better(header.best, own);
        if header.hops.len() > 1 {
            return next(header);
        }
        match header.best.take() {
            None => Action::Drop(DropReason::Full),
            Some(best) if best.wait > header.max_wait => Action::Reset(flow, 0),
            Some(best) if best.candidate.hop.node == self.me.hop.node => {
                self.accept(around, header, segment, bytes)
            }
            Some(best) => Action::Send(directed(header, best.candidate, Mode::Chain)),
        }
    }

    fn accept(
        &mut self,
        around: &mut Context<'_>,
        header: Header,
        segment: &Segment,
        bytes: &[u8],
    ) -> Action {
        let flow = segment.inbound();
        let mut held = conntrack::Entry::new(flow, header.origin, around.now);
        held.homes = self.notify(around, &flow, header.origin, held.homes);
        match self.position(&flow) {
            Ok(at) => self.held[at] = held,
            Err(at) => self.held.insert(at, held),
        }
        self.directory.forget(&flow);
        let token = self.ring.push(flow, header);
        self.unanswered.push(Unanswered {
            flow,
            token,
            since: around.now,
            bytes: bytes.to_vec(),
        });
        Action::Deliver(token)
    }

    fn unknown(
        &mut self,
        around: &mut Context<'_>,
        mut header: Header,
        segment: &Segment,
    ) -> Action {
        let flow = segment.inbound();
        if header.mode != Mode::Search
            && let Some(owner) = self.directory.owner(&flow)
        {
            if around.roster.is_gone(owner.hop.node, around.now) {
                self.directory.forget(&flow);
                return Action::Reset(flow, segment.ack);
            }
            if header.mode != Mode::Owner {
                header.requester.get_or_insert(self.me.hop);
                return Action::Send(directed(header, owner, Mode::Owner));
            }
        }
        if !around.complete && !segment.reset {
            let token = self.ring.push(flow, header);
            return Action::Deliver(token);
        }
        if header.mode == Mode::Search {
            return header
                .requester
                .map_or(Action::Drop(DropReason::NotOwned), |asker| {
                    Action::Disown(asker, flow)
                });
        }
        if segment.reset {
            return Action::Drop(DropReason::Ended);
        }
        header.requester.get_or_insert(self.me.hop);
        if header.hops.len() > 1 {
            return next(header);
        }
        self.search(around, header, segment)
    }

    /// Searches for the owner among all agents; this agent hears who it is, or is not.
    fn search(&mut self, around: &Context<'_>, header: Header, segment: &Segment) -> Action {
        let agents = around.roster.agents(self.me.service);
        let others = agents
            .map(|entry| entry.node)
            .filter(|node| *node != self.me.hop.node)
            .collect();
        let flow = segment.inbound();
        if !self
            .directory
            .start_search(flow, segment.ack, others, around.now)
        {
            return Action::Drop(DropReason::Searched);
        }
        Action::Search(Header {
            mode: Mode::Search,
            requester: Some(self.me.hop),
            ..header
        })
    }

    /// Gives up flows that no agent of the service owns; each caller is told.
    fn settle(&mut self, around: &Context<'_>, out: &mut Vec<Action>) {
        let balancers = || {
            let mut rows = around.roster.peers().iter();
            rows.any(|row| row.direct && row.entry.upstream.is_none())
        };
        let isolated = around.roster.is_isolated(around.now);
        let period = around.roster.max_period(self.me.service);
        let settled = Millis(period.0 * SETTLED_QUARTERS / 4);
        if around.now < settled || !balancers() || isolated {
            return;
        }
        let lost = self
            .directory
            .take_unowned(|node| around.roster.is_gone(node, around.now));
        out.extend(lost.into_iter().map(|(flow, ack)| Action::Reset(flow, ack)));
    }

    fn bounced(&mut self, around: &mut Context<'_>, segment: &Segment) -> Action {
        let flow = segment.inbound();
        let pending = self.ring.take(segment.token, &flow);
        if segment.syn {
            self.unanswered.retain(|entry| entry.flow != flow);
            self.forget(&flow);
            let Some(mut header) = pending else {
                return Action::Drop(DropReason::Full);
            };
            if header.hops.len() > 1 {
                return next(header);
            }
            return match header.best.take() {
                Some(best) if best.candidate.hop.node != self.me.hop.node => {
                    Action::Send(directed(header, best.candidate, Mode::Chain))
                }
                _ => Action::Drop(DropReason::Full),
            };
        }
        if let Ok(at) = self.position(&flow) {
            let held = self.held[at];
            self.forget(&flow);
            if !held.is_open() || segment.reset {
                return Action::Drop(DropReason::Ended);
            }
            if held.is_confirmed() {
                return Action::Reset(flow, segment.ack);
            }
        }
        let Some(header) = pending else {
            return Action::Drop(DropReason::NotOwned);
        };
        around.complete = true;
        self.unknown(around, header, segment)
    }

    fn forget(&mut self, flow: &Flow) {
        if let Ok(at) = self.position(flow) {
            self.held.remove(at).cancel_request(&mut self.load);
        }
    }

    /// New flows whose first request has not come yet.
    fn expected(&self, now: Millis) -> u32 {
        let fresh = self.held.iter().filter(|held| held.awaits_request(now));
        u32::try_from(fresh.count()).unwrap_or(u32::MAX)
    }

    /// Passes an opening packet on that the upstream left without an answer.
    fn unheard(&mut self, entry: Unanswered, out: &mut Vec<Action>, now: Millis) {
        self.suspect(now);
        self.forget(&entry.flow);
        let Some(header) = self.ring.take(entry.token, &entry.flow) else {
            return;
        };
        if let Action::Send(header) = pass_or(header, Action::Drop(DropReason::Full)) {
            out.push(Action::Resend(header, entry.bytes));
        }
    }

    /// Notes that the upstream does not answer; the next round probes it.
    fn suspect(&mut self, now: Millis) {
        self.suspicion.get_or_insert(Suspicion {
            since: now,
            probed: Millis(0),
        });
    }

    /// Whether requests are in hand and nothing was heard of any flow for long.
    fn is_hanging(&self, now: Millis) -> bool {
        let busy = self.held.iter().filter(|held| held.is_busy());
        let newest = busy.map(conntrack::Entry::last_packet).max();
        let limit = Millis(self.load.mean_time().0.saturating_mul(10)).max(HANGING);
        newest.is_some_and(|last| now.since(last) > limit)
    }

    fn lapse(&mut self, now: Millis) {
        let load = &mut self.load;
        self.held.retain_mut(|held| !held.expire(load, now));
        self.directory.expire(now);
    }

    /// Tells agents that have become homes of flows owned here.
    fn place(&mut self, around: &mut Context<'_>) {
        if self.placed == Some(around.roster.revision()) {
            return;
        }
        self.placed = Some(around.roster.revision());
        for at in 0..self.held.len() {
            let held = self.held[at];
            if held.is_open() {
                self.held[at].homes = self.notify(around, &held.flow, held.origin, held.homes);
            }
        }
    }

    fn notify(
        &mut self,
        around: &mut Context<'_>,
        flow: &Flow,
        origin: DomainId,
        told: conntrack::Homes,
    ) -> conntrack::Homes {
        let mut homes = [None; HOMES];
        let chain = around.chains.chain(origin, flow.hash(around.seed));
        for (home, stop) in homes.iter_mut().zip(chain) {
            let key = (stop.hop.node, stop.hop.incarnation);
            *home = Some(key);
            if stop.hop.node != self.me.hop.node && !told.contains(home) {
                self.notices.push((stop.hop, *flow));
            }
        }
        homes
    }
}

fn better(a: Option<BestHop>, b: Option<BestHop>) -> Option<BestHop> {
    match (a, b) {
        (Some(a), Some(b)) => Some(if b.wait < a.wait { b } else { a }),
        (a, b) => a.or(b),
    }
}

fn directed(mut header: Header, to: ServiceHop, mode: Mode) -> Header {
    header.mode = mode;
    header.hops.clear();
    header.hops.push(to);
    header.best = None;
    header
}

fn next(mut header: Header) -> Action {
    header.hops.remove(0);
    Action::Send(header)
}

fn pass_or(header: Header, otherwise: Action) -> Action {
    if header.hops.len() > 1 && header.mode == Mode::Chain {
        next(header)
    } else {
        otherwise
    }
}
