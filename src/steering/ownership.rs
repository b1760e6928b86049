//! Packets of flows that are not tracked here: claims of other agents, searches for the owner
//! and trials.
//!
//! A search ends by the owner, or by the knowledge that no agent of the service owns the flow.
//! An agent that does not know all flows of its upstream says so, which decides nothing.

use std::mem;

use super::{Action, Context, DropReason, Flows, ResetCause, redirect, to_next_hop};
use crate::{
    clock::Millis,
    conntrack,
    flow_recovery::{OwnedFlow, Tracking},
    ident::{Incarnation, NodeId},
    owner_cache::{Candidate, Claim, Recipients},
    packet::Flow,
    protocol::{Header, Mode, Reply, ServiceHop},
    roster,
    segment::Segment,
};

/// Time after the start of an agent, in quarters of the longest heartbeat period of the
/// service's agents, before which it does not reset flows without an owner. It may not
/// know all other agents yet: those of another failure domain take a heartbeat there and
/// the next digest.
const SETTLE_QUARTERS: u64 = 10;

/// Time without a new agent after which all agents of a service are taken to be back.
const JOIN_TIMEOUT: Millis = Millis(1_500);

/// Maximum number of searches that are answered later.
const MAX_DEFERRED: usize = 4_096;

/// Upstream to which a packet is handed to find out whether it has the flow.
enum Trial {
    /// The own one.
    Own,
    /// That of another agent.
    Other(ServiceHop),
}

impl Flows {
    /// Records the claim of another agent to these flows.
    pub fn learn_owners(
        &mut self,
        owner: ServiceHop,
        flows: &[Flow],
        confirmed: bool,
        now: Millis,
    ) {
        if owner.hop.node == self.own_address.hop.node {
            return;
        }
        let claim = Claim { owner, confirmed };
        for flow in flows {
            self.waiting_room.remove(flow);
            let found = self.find(flow);
            if !found.is_ok_and(|at| self.entries[at].is_confirmed()) {
                self.owners.learn(*flow, claim, now);
            }
        }
    }

    /// Starts tracking flows that another agent knows to be owned here, unless the upstream is
    /// known not to have them or all of its flows are tracked.
    pub fn adopt(&mut self, context: &Context<'_>, flows: &[OwnedFlow]) {
        if context.tracking.is_complete() {
            return;
        }
        let origin = context.roster.me().domain;
        for owned in flows {
            if let Err(at) = self.find(&owned.flow)
                && !self.owners.is_absent(&owned.flow)
            {
                let entry = conntrack::Entry::from_peer(*owned, origin, context.now);
                self.entries.insert(at, entry);
                self.owners.end_search(&owned.flow);
            }
        }
    }

    /// Returns the flows that an agent owns, sorted, after the flow `after`.
    pub fn known_flows(
        &self,
        owner: NodeId,
        after: Option<Flow>,
    ) -> impl Iterator<Item = OwnedFlow> {
        let flows = self.owners.flows_of(owner, after);
        flows.map(|(flow, claim)| OwnedFlow {
            flow,
            confirmed: claim.confirmed,
        })
    }

    /// Records what an agent replied to a search, or that it withdraws an announcement.
    pub fn record_reply(&mut self, node: NodeId, run: Incarnation, flow: &Flow, reply: Reply) {
        self.owners.record_reply(node, run, flow, reply);
    }

    /// Handles a packet of a flow that is not tracked: forwards it to the known owner, passes
    /// it on or searches for the owner.
    pub(super) fn route_untracked(
        &mut self,
        context: &mut Context<'_>,
        mut header: Header,
        segment: &Segment,
        bytes: &[u8],
    ) -> Action {
        let flow = segment.inbound();
        if matches!(header.mode, Mode::Search | Mode::Trial) {
            return self.answer_search(context, header, &flow);
        }
        let is_claimed = header.mode == Mode::Owner;
        if let Some(action) = self.follow_claim(context, &header, segment) {
            return action;
        }
        let may_have = context.tracking != Tracking::Complete && !self.owners.is_absent(&flow);
        if may_have && is_claimed && !segment.reset {
            return self.deliver_trial(header, flow);
        }
        if segment.reset {
            return Action::Drop(DropReason::Ended);
        }
        if let Some(claimant) = header.requester.filter(|_| is_claimed) {
            self.withdrawals.push((claimant, flow));
            header.requester = None;
        }
        header.requester.get_or_insert(self.own_address.hop);
        if header.hops.len() > 1 && !self.is_last_of_service(&header) {
            return to_next_hop(header);
        }
        self.search(context, header, segment, bytes)
    }

    /// Forwards a packet to the owner that has announced itself. Resets the flow if that one is
    /// confirmed and gone. If it is gone and not confirmed, another agent that took a copy of
    /// the SYN may own the flow.
    fn follow_claim(
        &mut self,
        context: &Context<'_>,
        header: &Header,
        segment: &Segment,
    ) -> Option<Action> {
        let flow = segment.inbound();
        let claim = self.owners.claim(&flow)?;
        let node = claim.owner.hop.node;
        let is_gone = context.roster.is_gone(node, context.now);
        let is_lost = is_gone && claim.confirmed && !segment.reset;
        let peer = context.roster.find(node);
        let has_ended = peer.is_some_and(roster::Peer::has_ended);
        if is_lost && (has_ended || !self.owners.probe_owner(&flow, context.now)) {
            let cause = ResetCause::Unowned(Some(node));
            return Some(if self.may_reset(context) {
                Action::Reset(flow, segment.ack, cause)
            } else {
                Action::Drop(DropReason::Searched)
            });
        }
        if (is_gone && !claim.confirmed) || header.mode == Mode::Owner {
            return None;
        }
        let mut header = header.clone();
        header.requester.get_or_insert(self.own_address.hop);
        Some(Action::Send(redirect(header, claim.owner, Mode::Owner)))
    }

    /// Replies to a search, or hands the packet of a trial to the upstream.
    fn answer_search(&mut self, context: &Context<'_>, header: Header, flow: &Flow) -> Action {
        let Some(requester) = header.requester else {
            return Action::Drop(DropReason::Target);
        };
        let is_other = |claim: &Claim| claim.owner.hop.node != requester.node;
        let claim = self.owners.claim(flow).filter(is_other);
        if let Some(claim) = claim.filter(|claim| claim.confirmed) {
            return Action::ReplyOwner(requester, *flow, claim);
        }
        let may_own = self.may_own(context, flow);
        let trial = context.tracking.is_partial();
        if may_own && trial && header.mode == Mode::Trial {
            return self.deliver_trial(header, *flow);
        }
        let is_live = |claim: Claim| !context.roster.is_gone(claim.owner.hop.node, context.now);
        let reply = if self.owners.is_absent(flow) {
            Reply::Returned
        } else if may_own && context.tracking == Tracking::Lost {
            Reply::Lost
        } else if may_own {
            Reply::Unknown { trial }
        } else if claim.is_some_and(is_live) {
            Reply::Unknown { trial: false }
        } else {
            Reply::NotOwned
        };
        let is_pending = context.tracking == Tracking::Recovering && may_own;
        if is_pending && self.deferred.len() < MAX_DEFERRED {
            self.deferred.push((requester, *flow));
        }
        Action::ReplySearch(requester, *flow, reply)
    }

    /// Answers the searches that came while the flows of the upstream were being recovered.
    pub(super) fn answer_deferred(&mut self, context: &Context<'_>) {
        if context.tracking == Tracking::Recovering {
            return;
        }
        for (requester, flow) in mem::take(&mut self.deferred) {
            match self.find(&flow) {
                Ok(at) => {
                    let entry = self.entries[at];
                    self.notify(requester, &entry);
                }
                Err(_) if !context.tracking.is_partial() => {
                    self.withdrawals.push((requester, flow));
                }
                Err(_) => {}
            }
        }
    }

    fn deliver_trial(&mut self, header: Header, flow: Flow) -> Action {
        let token = self.headers.push(flow, header);
        Action::Deliver(token)
    }

    /// Returns whether the upstream may have a flow that is not tracked.
    fn may_own(&self, context: &Context<'_>, flow: &Flow) -> bool {
        !context.tracking.is_complete() && !self.owners.is_absent(flow)
    }

    /// Returns whether no agent of this service follows in the chain.
    fn is_last_of_service(&self, header: &Header) -> bool {
        let service = self.own_address.service;
        header.hops[1..].iter().all(|hop| hop.service != service)
    }

    /// Searches for the owner of a flow by sending the packet to the other agents of the
    /// service, which reply to this agent. The packet also goes on to the agents of the
    /// route's other services.
    fn search(
        &mut self,
        context: &mut Context<'_>,
        mut header: Header,
        segment: &Segment,
        bytes: &[u8],
    ) -> Action {
        let flow = segment.inbound();
        let own = self.own_address;
        let candidates = self.candidates(context);
        let due = self
            .owners
            .start_search(flow, segment.ack, &header.route, context.now);
        if self.is_excluded(context, &flow, &candidates) {
            header.route.excluded.push(own.service);
        }
        header.requester = Some(own.hop);
        self.owners.hold(&flow, &header, bytes);
        let recipients = self.owners.recipients(own.service, &flow, &candidates);
        if due && let Recipients::Ask(nodes) = &recipients {
            header.mode = Mode::Search;
            return Action::Search(header, nodes.clone());
        }
        let is_lost = self.has_lost_all(context, &flow, &candidates);
        if due
            && is_lost
            && let Recipients::TryAll(mut nodes) = recipients
        {
            nodes.push(own.hop.node);
            header.mode = Mode::Trial;
            return Action::Search(header, nodes);
        }
        if due && let Some(trial) = self.choose_trial(context, &header, &flow, &candidates) {
            return match trial {
                Trial::Own => self.deliver_trial(header, flow),
                Trial::Other(hop) => Action::Send(redirect(header, hop, Mode::Trial)),
            };
        }
        if header.hops.len() > 1 {
            return to_next_hop(header);
        }
        Action::Drop(DropReason::Searched)
    }

    /// Goes on with a search after a reply: hands the held packet to an agent that may try, if
    /// all others have replied.
    pub fn continue_search(&mut self, context: &mut Context<'_>, flow: &Flow) -> Option<Action> {
        let (header, bytes) = self.owners.held(flow)?;
        let candidates = self.candidates(context);
        Some(
            match self.choose_trial(context, &header, flow, &candidates)? {
                Trial::Own => {
                    let token = self.headers.push(*flow, header);
                    Action::DeliverHeld(token, bytes)
                }
                Trial::Other(hop) => Action::Resend(redirect(header, hop, Mode::Trial), bytes),
            },
        )
    }

    /// Chooses the agent whose upstream is tried next, if any may be tried, and records it.
    fn choose_trial(
        &mut self,
        context: &mut Context<'_>,
        header: &Header,
        flow: &Flow,
        candidates: &[Candidate],
    ) -> Option<Trial> {
        let own = self.own_address;
        let mut nodes = match self.owners.recipients(own.service, flow, candidates) {
            Recipients::Ask(_) => return None,
            Recipients::Try(nodes) => nodes,
            Recipients::TryAll(_) | Recipients::Nobody => Vec::new(),
        };
        if self.may_try(context, flow) {
            nodes.push(own.hop.node);
        }
        let hop = likeliest(context, header, flow, &nodes)?;
        self.owners.record_trial(flow, hop.hop.node);
        Some(if hop.hop.node == own.hop.node {
            Trial::Own
        } else {
            Trial::Other(hop)
        })
    }

    /// Returns whether a packet of a searched flow may be handed to the own upstream.
    fn may_try(&self, context: &Context<'_>, flow: &Flow) -> bool {
        let own = self.own_address;
        context.tracking.is_partial()
            && self.may_own(context, flow)
            && self.owners.may_try(own.service, own.hop.node, flow)
    }

    /// Returns whether all agents of the service have lost their tables at the same time, and
    /// all of them are back: none has joined lately. The upstream that has the flow is then
    /// one of theirs.
    fn has_lost_all(&self, context: &Context<'_>, flow: &Flow, candidates: &[Candidate]) -> bool {
        let is_settled = |candidate: &Candidate| {
            candidate.gone || context.now.since(candidate.started) >= JOIN_TIMEOUT
        };
        let own_lost = context.tracking == Tracking::Lost || self.owners.is_absent(flow);
        own_lost && self.may_reset(context) && candidates.iter().all(is_settled)
    }

    /// Returns whether no agent of this service owns a searched flow.
    fn is_excluded(&self, context: &Context<'_>, flow: &Flow, candidates: &[Candidate]) -> bool {
        self.may_reset(context)
            && !self.may_own(context, flow)
            && self.owners.is_excluded(flow, candidates)
    }

    /// Returns the other agents of the service.
    fn candidates(&self, context: &Context<'_>) -> Vec<Candidate> {
        let service = self.own_address.service;
        let peers = context.roster.peers().iter();
        let agents = peers.filter(|peer| peer.entry.service() == Some(service));
        agents
            .map(|peer| Candidate {
                node: peer.entry.node,
                incarnation: peer.entry.incarnation,
                started: peer.started,
                gone: context.roster.is_gone(peer.entry.node, context.now),
                ended: peer.has_ended(),
            })
            .collect()
    }

    /// Resets flows that no agent of the service owns.
    pub(super) fn reset_unowned(&mut self, context: &Context<'_>, actions: &mut Vec<Action>) {
        if !self.owners.is_searching() || !self.may_reset(context) {
            return;
        }
        let candidates = self.candidates(context);
        let absent: Vec<_> = self.owners.searched_absent().collect();
        let is_certain =
            |flow: &Flow| context.tracking.is_complete() || absent.binary_search(flow).is_ok();
        let service = self.own_address.service;
        let lost = self.owners.take_unowned(service, &candidates, is_certain);
        let untracked = lost
            .into_iter()
            .filter(|unowned| self.find(&unowned.flow).is_err());
        actions.extend(untracked.map(|unowned| {
            let cause = ResetCause::Unowned(unowned.gone);
            Action::Reset(unowned.flow, unowned.ack, cause)
        }));
    }

    /// Returns whether this agent may reset flows of others.
    fn may_reset(&self, context: &Context<'_>) -> bool {
        self.may_judge(context.roster, context.now)
    }

    /// Returns whether this agent knows all other agents of the service. It may not shortly
    /// after its start, while it has had no heartbeat from a balancer, and while it is
    /// isolated.
    #[must_use]
    pub fn may_judge(&self, roster: &roster::Roster, now: Millis) -> bool {
        let period = roster.max_period(self.own_address.service);
        let settle_time = Millis(period.0 * SETTLE_QUARTERS / 4);
        now >= settle_time && roster.hears_balancer() && !roster.is_isolated(now)
    }
}

/// Returns the agent among `nodes` that is first in the flow's chain, or any of them.
fn likeliest(
    context: &mut Context<'_>,
    header: &Header,
    flow: &Flow,
    nodes: &[NodeId],
) -> Option<ServiceHop> {
    let hash = flow.hash(context.seed);
    let mut chain = context.chains.chain(header.origin, hash);
    let ranked = chain.find(|hop| nodes.contains(&hop.hop.node));
    ranked.or_else(|| {
        let node = *nodes.first()?;
        let me = context.roster.me();
        let entry = if me.node == node {
            me
        } else {
            &context.roster.find(node)?.entry
        };
        Some(ServiceHop {
            service: entry.service()?,
            hop: entry.hop()?,
        })
    })
}
