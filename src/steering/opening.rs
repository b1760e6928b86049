//! Decisions on packets that open a flow: accept, pass on or refuse.

use super::{Action, Context, DropReason, Flows, ResetCause, next_hop_or, redirect, to_next_hop};
use crate::{
    clock::Millis,
    conntrack,
    failure_detector::Evidence,
    packet::Flow,
    protocol::{BestHop, Header, Mode},
    segment::Segment,
    waiting_room::Waiting,
};

/// Time within which a live upstream answers a SYN.
const ANSWER_TIMEOUT: Millis = Millis(100);

/// SYN that was delivered to the upstream and is not answered yet.
#[derive(Clone, Debug)]
pub(super) struct PendingSyn {
    pub(super) flow: Flow,
    token: u32,
    since: Millis,
    bytes: Vec<u8>,
}

impl Flows {
    /// Handles a SYN: accepts the flow if a slot is free, otherwise forwards the SYN. The
    /// last agent of the chain sends it to the candidate with the shortest expected wait,
    /// or resets the flow if even that wait is too long.
    pub(super) fn open_flow(
        &mut self,
        context: &mut Context<'_>,
        mut header: Header,
        segment: &Segment,
        bytes: &[u8],
    ) -> Action {
        let flow = segment.inbound();
        if self.waiting_room.contains(&flow) {
            return Action::Drop(DropReason::Waiting);
        }
        let is_warm = context.slow_start.may_accept(context.now);
        let accepts = context.accepts && is_warm && !self.failure.is_suspected();
        let expected = self.expected_requests(context.now);
        if accepts && self.load.has_free_slot(expected) {
            return self.accept_flow(context, header, flow, bytes);
        }
        let own = accepts.then(|| BestHop {
            candidate: self.own_address,
            wait: self.expected_wait(&header, expected),
        });
        header.best = shorter_wait(header.best, own);
        if header.hops.len() > 1 {
            return to_next_hop(header);
        }
        let is_copy = header.route.hold.is_some_and(|hold| hold.repeated);
        if is_copy && header.best.is_some_and(|best| best.wait > header.max_wait) {
            return Action::Drop(DropReason::Waiting);
        }
        match header.best.take() {
            None if context.roster.is_all_evacuated(self.own_address.service) => {
                Action::Reset(flow, 0, ResetCause::Refused)
            }
            None => Action::Drop(DropReason::Full),
            Some(best) if best.wait > hold_limit(&header) => {
                Action::Reset(flow, 0, ResetCause::Refused)
            }
            Some(best) if best.candidate.hop.node == self.own_address.hop.node => {
                if best.wait > header.max_wait {
                    self.hold_flow(context, header, flow, bytes)
                } else {
                    self.accept_flow(context, header, flow, bytes)
                }
            }
            Some(best) => Action::Send(redirect(header, best.candidate, Mode::Chain)),
        }
    }

    /// Starts tracking a flow and delivers its SYN to the upstream.
    fn accept_flow(
        &mut self,
        context: &mut Context<'_>,
        header: Header,
        flow: Flow,
        bytes: &[u8],
    ) -> Action {
        context.slow_start.record_accepted(context.now);
        let entry = conntrack::Entry::new(flow, header.origin, context.now);
        let at = match self.find(&flow) {
            Ok(at) => {
                self.entries[at] = entry;
                at
            }
            Err(at) => {
                self.entries.insert(at, entry);
                at
            }
        };
        self.notify_homes(context, at);
        if header.route.hold.is_some_and(|hold| hold.repeated) {
            self.notify_chain(context, at);
        }
        self.owners.forget(&flow);
        self.owners.record_present(&flow);
        let token = self.headers.push(flow, header);
        self.pending_syns.push(PendingSyn {
            flow,
            token,
            since: context.now,
            bytes: bytes.to_vec(),
        });
        Action::Deliver(token)
    }

    /// Returns the expected latency of a new flow: behind what the upstream has, and if that is
    /// too long, behind what waits here as well.
    fn expected_wait(&self, header: &Header, expected: u32) -> Millis {
        let wait = self.load.expected_wait(expected);
        match header.route.hold {
            Some(hold) if wait > header.max_wait => {
                let ahead = self.waiting_room.ahead(hold.class);
                self.load.expected_wait(expected + ahead)
            }
            _ => wait,
        }
    }

    /// Keeps a SYN until a slot is free.
    fn hold_flow(
        &mut self,
        context: &Context<'_>,
        header: Header,
        flow: Flow,
        bytes: &[u8],
    ) -> Action {
        let Some(hold) = header.route.hold else {
            return Action::Reset(flow, 0, ResetCause::Refused);
        };
        let waiting = Waiting {
            flow,
            bytes: bytes.to_vec(),
            class: hold.class,
            target: hold.target,
            since: context.now,
            until: context.now + hold.limit,
            header,
        };
        if self.waiting_room.push(waiting) {
            Action::Hold
        } else {
            Action::Reset(flow, 0, ResetCause::Refused)
        }
    }

    /// Accepts waiting SYNs while slots are free.
    pub fn admit_waiting(&mut self, context: &mut Context<'_>, actions: &mut Vec<Action>) {
        while !self.waiting_room.is_empty() && self.may_accept(context) {
            let Some(waiting) = self.waiting_room.next(context.now) else {
                return;
            };
            let Waiting {
                header,
                flow,
                bytes,
                ..
            } = waiting;
            if let Action::Deliver(token) = self.accept_flow(context, header, flow, &bytes) {
                actions.push(Action::DeliverHeld(token, bytes));
            }
        }
    }

    /// Refuses the SYNs that have waited for too long, and all of them if the upstream accepts
    /// no flows any more.
    pub(super) fn refuse_expired(&mut self, context: &Context<'_>, actions: &mut Vec<Action>) {
        let refused = if context.accepts {
            self.waiting_room.take_expired(context.now)
        } else {
            self.waiting_room.take_all()
        };
        let resets = refused.into_iter();
        actions.extend(resets.map(|w| Action::Reset(w.flow, 0, ResetCause::Expired)));
    }

    /// Returns whether one more flow would find a free slot.
    fn may_accept(&self, context: &Context<'_>) -> bool {
        let is_warm = context.slow_start.may_accept(context.now);
        let accepts = context.accepts && is_warm && !self.failure.is_suspected();
        accepts && self.load.has_lookahead(self.expected_requests(context.now))
    }

    /// Adds the actions for SYNs that the upstream did not answer in time.
    pub(super) fn pass_on_unanswered(&mut self, context: &Context<'_>, actions: &mut Vec<Action>) {
        let now = context.now;
        let overdue: Vec<_> = self
            .pending_syns
            .extract_if(.., |syn| now.since(syn.since) >= ANSWER_TIMEOUT)
            .collect();
        for syn in overdue {
            self.handle_unanswered(context, syn, actions);
        }
    }

    /// Returns the number of new flows whose first request is still expected.
    fn expected_requests(&self, now: Millis) -> u32 {
        let awaiting = self
            .entries
            .iter()
            .filter(|entry| entry.awaits_request(now));
        u32::try_from(awaiting.count()).unwrap_or(u32::MAX)
    }

    /// Forwards a SYN that the upstream did not answer to the next hop.
    fn handle_unanswered(
        &mut self,
        context: &Context<'_>,
        syn: PendingSyn,
        actions: &mut Vec<Action>,
    ) {
        self.failure.suspect(Evidence::UnansweredSyn, context.now);
        self.abandon(context, &syn.flow);
        let Some(header) = self.headers.take(syn.token, &syn.flow) else {
            return;
        };
        if let Action::Send(header) = next_hop_or(header, Action::Drop(DropReason::Full)) {
            actions.push(Action::Resend(header, syn.bytes));
        }
    }
}

/// Returns the maximum expected latency at which a new flow is not refused.
fn hold_limit(header: &Header) -> Millis {
    let limit = header.route.hold.map(|hold| hold.limit);
    header.max_wait.max(limit.unwrap_or_default())
}

/// Returns the candidate with the shorter expected wait.
fn shorter_wait(a: Option<BestHop>, b: Option<BestHop>) -> Option<BestHop> {
    match (a, b) {
        (Some(a), Some(b)) => Some(if b.wait < a.wait { b } else { a }),
        (a, b) => a.or(b),
    }
}
