//! Packet steering of a pass-through agent: decides per packet whether to deliver,
//! forward, answer or drop it.
//!
//! In a pass-through service the upstream terminates its TCP flows itself, so the agent
//! tracks the flows it has seen there. A packet of a flow that is not tracked is not
//! delivered to the upstream, except if another agent states that this one owns the flow, or
//! as one of a few trials while the agent is missing flows because it started after the
//! upstream.
//!
//! The agent whose upstream terminates a flow is the owner of the flow. Balancers do not
//! know the owner: they send a packet to the first agents of the flow's candidate chain,
//! its home agents, to which the owner has announced itself. If none of them knows the
//! owner, the last one sends the packet to all other agents of the service (see
//! `ownership`).

mod action;
mod announcements;
mod opening;
mod ownership;

pub use action::{Action, DropReason, ResetCause};

use crate::{
    chains,
    clock::Millis,
    conntrack,
    failure_detector::{self, Evidence},
    flow_recovery::Tracking,
    header::Hop,
    header_ring, load, owner_cache,
    packet::Flow,
    protocol::{Header, Mode, Reply, ServiceHop},
    roster,
    segment::Segment,
    slow_start, waiting_room,
};

/// Lower bound of the time without a packet on any flow with an outstanding request after
/// which the upstream is probed.
const MIN_HANG_TIMEOUT: Millis = Millis(500);

/// Inputs of a decision besides the tracked flows.
#[derive(Debug)]
pub struct Context<'a> {
    /// Whether the upstream accepts new flows.
    pub accepts: bool,
    /// What the agent knows of the flows of the upstream.
    pub tracking: Tracking,
    /// Candidate chains of the service.
    pub chains: &'a mut chains::Chains,
    /// Known nodes.
    pub roster: &'a roster::Roster,
    /// Limit on new flows while the upstream warms up.
    pub slow_start: &'a mut slow_start::SlowStart,
    /// Seed of the flow hash.
    pub seed: u64,
    /// Current time.
    pub now: Millis,
}

/// Flow state of one agent. The tables of tracked flows and of owners are sorted by flow.
#[derive(Debug)]
pub struct Flows {
    own_address: ServiceHop,
    load: load::Load,
    entries: Vec<conntrack::Entry>,
    owners: owner_cache::OwnerCache,
    headers: header_ring::HeaderRing,
    pending_syns: Vec<opening::PendingSyn>,
    waiting_room: waiting_room::WaitingRoom,
    failure: failure_detector::FailureDetector,
    notices: Vec<announcements::Notice>,
    /// Announcements of flows that were not opened here, to take back.
    withdrawals: Vec<(Hop, Flow)>,
    /// Searched flows of which this agent could not say anything yet, with the agents that
    /// search for them.
    deferred: Vec<(Hop, Flow)>,
    /// Roster revision for which the homes were determined.
    homes_revision: Option<u64>,
    /// Time at which the claims to recovered flows were repeated.
    claims_at: Option<Millis>,
    service_times: Vec<Millis>,
}

impl Flows {
    /// Creates an empty table for the agent `me`.
    #[must_use]
    pub fn new(me: ServiceHop) -> Self {
        Self {
            own_address: me,
            load: load::Load::new(1),
            entries: Vec::new(),
            owners: owner_cache::OwnerCache::default(),
            headers: header_ring::HeaderRing::new(),
            pending_syns: Vec::new(),
            waiting_room: waiting_room::WaitingRoom::default(),
            failure: failure_detector::FailureDetector::default(),
            notices: Vec::new(),
            withdrawals: Vec::new(),
            deferred: Vec::new(),
            homes_revision: None,
            claims_at: None,
            service_times: Vec::new(),
        }
    }

    /// Drains the service times of the requests answered since the last call.
    pub fn drain_service_times(&mut self) -> std::vec::Drain<'_, Millis> {
        self.service_times.drain(..)
    }

    /// Returns the load of the upstream.
    #[must_use]
    pub const fn load(&self) -> &load::Load {
        &self.load
    }

    /// Returns the load of the upstream for modification.
    pub const fn load_mut(&mut self) -> &mut load::Load {
        &mut self.load
    }

    /// Returns the tracked flows of the upstream.
    #[must_use]
    pub fn entries(&self) -> &[conntrack::Entry] {
        &self.entries
    }

    /// Returns the number of flows for which another agent is known as the owner.
    #[must_use]
    pub const fn redirects(&self) -> usize {
        self.owners.len()
    }

    /// Sets this agent's own address, which changes when the agent takes a new incarnation
    /// number.
    pub const fn set_self(&mut self, me: ServiceHop) {
        self.own_address = me;
    }

    /// Returns whether new flows wait for a free slot.
    #[must_use]
    pub const fn has_waiting(&self) -> bool {
        !self.waiting_room.is_empty()
    }

    /// Returns the failure detector of the upstream.
    #[must_use]
    pub const fn failure(&self) -> &failure_detector::FailureDetector {
        &self.failure
    }

    /// Records whether the upstream accepted a connection probe.
    pub fn record_probe(&mut self, listens: bool, now: Millis) {
        self.failure.record_probe(listens, now);
    }

    /// Decides what to do with a caller's packet that a balancer or another agent
    /// forwarded.
    pub fn inbound(
        &mut self,
        context: &mut Context<'_>,
        header: Header,
        segment: &Segment,
        bytes: &[u8],
    ) -> Action {
        let target = header.hops[0];
        if target.service != self.own_address.service
            || target.hop.node != self.own_address.hop.node
        {
            return next_hop_or(header, Action::Drop(DropReason::Target));
        }
        let flow = segment.inbound();
        if let Ok(at) = self.find(&flow)
            && self.entries[at].confirm(segment)
        {
            return self.deliver_owned(context, at, &header, segment);
        }
        if segment.syn {
            return self.open_flow(context, header, segment, bytes);
        }
        self.route_untracked(context, header, segment, bytes)
    }

    /// Decides what to do with a packet that the upstream sent or returned as
    /// undeliverable.
    ///
    /// Only packets that respond to a caller (a SYN-ACK, data or a returned packet) show
    /// that the upstream is responsive: a hung upstream may still close idle flows.
    pub fn outbound(
        &mut self,
        context: &mut Context<'_>,
        segment: &Segment,
        bytes: &[u8],
    ) -> Action {
        if segment.bounced || segment.syn_ack || segment.len > 0 {
            self.failure.record_response();
        }
        if segment.bounced {
            return self.handle_returned(context, segment, bytes);
        }
        let flow = segment.outbound();
        let found = self.find(&flow);
        let is_open_here = found.is_ok_and(|at| self.entries[at].is_confirmed());
        if segment.reset && !is_open_here {
            return self.withhold_reset(context, &flow);
        }
        match found {
            Ok(at) => self.record_answer(at, segment, context.now),
            Err(at) if context.tracking != Tracking::Complete && shows_ownership(segment) => {
                self.learn_flow(context, at, segment);
            }
            Err(_) => {}
        }
        Action::Answer
    }

    /// Runs the periodic work: expires entries, announces flows to new home agents,
    /// resets flows without an owner and handles unanswered SYNs. Adds the resulting
    /// actions to `actions`.
    pub fn tick(&mut self, context: &mut Context<'_>, actions: &mut Vec<Action>) {
        let now = context.now;
        self.expire(context);
        self.update_homes(context);
        self.confirm_flows(context);
        self.repeat_claims(context);
        self.answer_deferred(context);
        self.admit_waiting(context, actions);
        self.refuse_expired(context, actions);
        self.reset_unowned(context, actions);
        self.pass_on_unanswered(context, actions);
        if self.is_hanging(now) {
            self.failure.suspect(Evidence::NoTraffic, now);
        }
        if self.failure.take_probe(now) {
            actions.push(Action::Probe);
        }
    }

    /// Drops all flows of a failed upstream and adds a reset for the caller of each open
    /// one. The caller of a half-open one may have opened the flow elsewhere, and that of one
    /// whose sequence number is unknown is told when it sends its next packet.
    pub fn reset_all(&mut self, actions: &mut Vec<Action>) {
        let entries = self.entries.iter();
        let open = entries.filter(|entry| entry.is_open() && entry.is_confirmed());
        let numbered = open.filter_map(|entry| Some((entry.flow, entry.reset_seq?)));
        let cause = ResetCause::UpstreamLost;
        actions.extend(numbered.map(|(flow, seq)| Action::Reset(flow, seq, cause)));
        self.entries.clear();
        self.pending_syns.clear();
        self.failure = failure_detector::FailureDetector::default();
        self.load = self.load.restarted();
    }

    /// Returns the index of a tracked flow, or the index at which it would be inserted.
    fn find(&self, flow: &Flow) -> Result<usize, usize> {
        self.entries.binary_search_by(|entry| entry.flow.cmp(flow))
    }

    /// Delivers a packet of a tracked flow, and queues an announcement if another agent
    /// searches for its owner.
    fn deliver_owned(
        &mut self,
        context: &mut Context<'_>,
        at: usize,
        header: &Header,
        segment: &Segment,
    ) -> Action {
        if let Some(requester) = header
            .requester
            .filter(|hop| hop.node != self.own_address.hop.node)
        {
            self.notify(requester, &self.entries[at].clone());
        }
        if self.entries[at].origin != header.origin {
            self.entries[at].origin = header.origin;
            self.notify_homes(context, at);
        }
        self.entries[at].record_inbound(segment, &mut self.load, context.now);
        Action::Deliver(0)
    }

    fn record_answer(&mut self, at: usize, segment: &Segment, now: Millis) {
        if segment.syn_ack {
            let flow = self.entries[at].flow;
            self.pending_syns.retain(|entry| entry.flow != flow);
        }
        let service_time = self.entries[at].record_outbound(segment, &mut self.load, now);
        self.service_times.extend(service_time);
    }

    /// Starts tracking a flow that was opened before this agent started, and queues
    /// announcements to its homes and to the agent that forwarded its last packet.
    fn learn_flow(&mut self, context: &mut Context<'_>, at: usize, segment: &Segment) {
        let flow = segment.outbound();
        let pending = self.headers.take_last(&flow);
        let own_domain = context.roster.me().domain;
        let origin = pending.as_ref().map_or(own_domain, |header| header.origin);
        let entry = conntrack::Entry::from_upstream(segment, origin, context.now);
        if let Some(requester) = pending.and_then(|header| header.requester) {
            self.notify(requester, &entry);
        }
        self.entries.insert(at, entry);
        self.notify_homes(context, at);
        self.owners.record_present(&flow);
        self.owners.end_search(&flow);
    }

    /// Handles a packet that the upstream returned. A SYN is forwarded to the next hop. A
    /// packet of a tracked flow resets it, because the upstream no longer has it. A
    /// packet of an untracked flow is routed as if all flows were tracked, because it does
    /// not belong to this upstream.
    fn handle_returned(
        &mut self,
        context: &mut Context<'_>,
        segment: &Segment,
        bytes: &[u8],
    ) -> Action {
        let flow = segment.inbound();
        let pending = self.headers.take(segment.token, &flow);
        if segment.syn {
            self.pending_syns.retain(|entry| entry.flow != flow);
            self.abandon(context, &flow);
            let Some(mut header) = pending else {
                return Action::Drop(DropReason::Full);
            };
            if header.hops.len() > 1 {
                return to_next_hop(header);
            }
            return match header.best.take() {
                Some(best) if best.candidate.hop.node != self.own_address.hop.node => {
                    Action::Send(redirect(header, best.candidate, Mode::Chain))
                }
                _ => Action::Drop(DropReason::Full),
            };
        }
        if let Ok(at) = self.find(&flow) {
            let entry = self.entries[at];
            self.remove(&flow);
            if entry.is_recovered() {
                let withdrawals = announcements::announced_homes(context, &entry);
                self.withdrawals.extend(withdrawals);
            }
            if !entry.is_open() || segment.reset {
                return Action::Drop(DropReason::Ended);
            }
            if entry.is_confirmed() && !entry.is_recovered() {
                return Action::Reset(flow, segment.ack, ResetCause::Returned);
            }
        }
        self.owners.record_absent(flow, context.now);
        let Some(header) = pending else {
            return Action::Drop(DropReason::NotOwned);
        };
        self.route_untracked(context, header, segment, bytes)
    }

    /// Handles a reset by the upstream of a flow that is not tracked or was not opened here:
    /// it shows that the upstream does not have the flow, not that no other upstream has it.
    fn withhold_reset(&mut self, context: &Context<'_>, flow: &Flow) -> Action {
        self.pending_syns.retain(|entry| entry.flow != *flow);
        self.abandon(context, flow);
        self.owners.record_absent(*flow, context.now);
        let pending = self.headers.take_last(flow);
        let tried = pending.filter(|header| header.mode == Mode::Trial);
        let requester = tried.and_then(|header| header.requester);
        requester.map_or(Action::Drop(DropReason::NotTracked), |requester| {
            Action::ReplySearch(requester, *flow, Reply::Returned)
        })
    }

    fn remove(&mut self, flow: &Flow) {
        if let Ok(at) = self.find(flow) {
            self.entries.remove(at).cancel_request(&mut self.load);
        }
    }

    /// Returns whether requests are outstanding but no packet has passed on their flows
    /// for ten mean service times, or `MIN_HANG_TIMEOUT` if that is longer.
    fn is_hanging(&self, now: Millis) -> bool {
        let busy = self.entries.iter().filter(|entry| entry.is_busy());
        let newest = busy.map(conntrack::Entry::last_packet).max();
        let limit = Millis(self.load.mean_time().0.saturating_mul(10)).max(MIN_HANG_TIMEOUT);
        newest.is_some_and(|last| now.since(last) > limit)
    }

    /// Removes expired entries, and withdraws the announcements of flows that were not
    /// opened here or whose owner was confirmed.
    fn expire(&mut self, context: &Context<'_>) {
        let load = &mut self.load;
        let is_expired = |entry: &mut conntrack::Entry| entry.expire(load, context.now);
        let expired = self.entries.extract_if(.., is_expired);
        let known = expired.filter(|entry| !entry.is_confirmed() || entry.announced);
        let withdrawals = known.flat_map(|entry| announcements::announced_homes(context, &entry));
        self.withdrawals.extend(withdrawals);
        let is_live = |owner: &Hop| {
            let peer = context.roster.find(owner.node);
            peer.is_some_and(|peer| !peer.silent && peer.entry.incarnation == owner.incarnation)
        };
        self.owners.expire(is_live, context.now);
    }

    /// Removes a flow that the upstream did not accept, and withdraws its announcement.
    fn abandon(&mut self, context: &Context<'_>, flow: &Flow) {
        if let Ok(at) = self.find(flow)
            && !self.entries[at].is_confirmed()
        {
            let withdrawals = announcements::announced_homes(context, &self.entries[at]);
            self.withdrawals.extend(withdrawals);
        }
        self.remove(flow);
    }
}

/// Returns whether a packet of the upstream shows that it has the flow. An acknowledgement
/// alone does not: a flow that has ended is acknowledged too.
const fn shows_ownership(segment: &Segment) -> bool {
    segment.syn_ack || segment.fin || segment.len > 0
}

/// Replaces the hops of a header by a single one.
fn redirect(mut header: Header, to: ServiceHop, mode: Mode) -> Header {
    header.mode = mode;
    header.hops.clear();
    header.hops.push(to);
    header.best = None;
    header
}

/// Forwards a packet to the second hop of its header, which becomes the first.
fn to_next_hop(mut header: Header) -> Action {
    header.hops.remove(0);
    Action::Send(header)
}

/// Forwards a packet to the next hop of its chain, or returns `fallback` if there is
/// none.
fn next_hop_or(header: Header, fallback: Action) -> Action {
    if header.hops.len() > 1 && header.mode == Mode::Chain {
        to_next_hop(header)
    } else {
        fallback
    }
}
