//! Connection tracking: the state of one TCP flow of the upstream, derived from its
//! packets.

use serde::Serialize;

use crate::{
    chains::HOMES,
    clock::Millis,
    flow_recovery::OwnedFlow,
    ident::{DomainId, Incarnation, NodeId},
    load,
    packet::Flow,
    segment::Segment,
};

/// Time after the opening of a flow within which its first request is expected. Until
/// then the flow reserves a slot.
const FIRST_REQUEST_TIMEOUT: Millis = Millis(100);

/// Timeout of a half-open flow, whose handshake the caller has not completed.
const HALF_OPEN_TIMEOUT: Millis = Millis(3_000);

/// Time for which a closed flow is kept, so that late packets are still matched to it.
pub const ENDED_TIMEOUT: Millis = Millis(5_000);

/// Idle timeout of tracked flows and of cached flow owners.
pub const IDLE_TIMEOUT: Millis = Millis(75_000);

/// Time after which an unanswered request no longer counts as load.
const REQUEST_TIMEOUT: Millis = Millis(15_000);

/// Age from which a flow counts as one that stays open, whose owner is confirmed to its homes
/// and to one more agent.
const CONFIRM_AGE: Millis = Millis(1_000);

/// Agents to which the owner of a flow has announced itself, with their incarnations: the
/// homes, and one more if the owner is confirmed.
pub type Homes = [Option<(NodeId, Incarnation)>; HOMES + 1];

#[derive(Clone, Copy, Debug, Serialize)]
struct Request {
    /// Time of its last data.
    since: Millis,
    /// Whether a slot of the upstream was free when it started.
    alone: bool,
    /// Number of requests that were running when it started, itself included.
    running: u32,
}

/// A tracked flow of the upstream.
#[expect(
    clippy::struct_excessive_bools,
    reason = "the flags are independent of each other"
)]
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Entry {
    /// Caller and service address of the flow.
    pub flow: Flow,
    /// Failure domain in which the caller's last packet arrived.
    pub origin: DomainId,
    /// Sequence number for a reset of the flow: the last acknowledgement number of the caller, or
    /// one of the upstream's. `None` while no packet has shown it.
    pub reset_seq: Option<u32>,
    /// Agents that know the owner of the flow.
    pub homes: Homes,
    /// Whether the owner has been confirmed to them.
    pub announced: bool,
    /// Time at which the flow was opened or first seen.
    opened: Millis,
    /// Time of the last packet.
    last: Millis,
    /// Initial sequence number of the upstream, from its SYN-ACK.
    isn: Option<u32>,
    /// Whether the caller has completed the handshake.
    confirmed: bool,
    /// Whether the flow is known from another agent only: no packet of the upstream has shown
    /// it yet.
    recovered: bool,
    /// Whether the first request is still expected.
    fresh: bool,
    /// Sequence number after the caller's last data.
    sent: Option<u32>,
    /// Outstanding request.
    request: Option<Request>,
    /// Whether the caller has sent a FIN.
    caller_done: bool,
    /// Whether the upstream has sent a FIN.
    upstream_done: bool,
    /// Time at which the flow was reset or closed by both ends.
    ended: Option<Millis>,
}

impl Entry {
    /// Creates the entry of a flow whose SYN is being delivered to the upstream.
    #[must_use]
    pub const fn new(flow: Flow, origin: DomainId, now: Millis) -> Self {
        Self {
            flow,
            origin,
            reset_seq: None,
            homes: [None; HOMES + 1],
            announced: false,
            opened: now,
            last: now,
            isn: None,
            confirmed: false,
            recovered: false,
            fresh: true,
            sent: None,
            request: None,
            caller_done: false,
            upstream_done: false,
            ended: None,
        }
    }

    /// Creates the entry of a flow whose SYN this agent did not see, from a packet of the
    /// upstream.
    #[must_use]
    pub fn from_upstream(segment: &Segment, origin: DomainId, now: Millis) -> Self {
        Self {
            reset_seq: Some(segment.seq),
            isn: segment.syn_ack.then_some(segment.seq),
            confirmed: !segment.syn_ack,
            fresh: false,
            sent: Some(segment.ack),
            ..Self::new(segment.outbound(), origin, now)
        }
    }

    /// Creates the entry of a flow that another agent knows to be owned here, since before the
    /// start of this agent.
    #[must_use]
    pub fn from_peer(owned: OwnedFlow, origin: DomainId, now: Millis) -> Self {
        Self {
            opened: now - CONFIRM_AGE,
            confirmed: owned.confirmed,
            recovered: true,
            fresh: false,
            ..Self::new(owned.flow, origin, now)
        }
    }

    /// Returns whether the flow is known from another agent only.
    #[must_use]
    pub const fn is_recovered(&self) -> bool {
        self.recovered
    }

    /// Returns whether the owner of the flow is to be confirmed to its homes now: the flow is
    /// open and stays so.
    #[must_use]
    pub fn awaits_confirmation(&self, now: Millis) -> bool {
        let is_old = now.since(self.opened) >= CONFIRM_AGE;
        !self.announced && self.confirmed && self.is_open() && is_old
    }

    /// Returns whether the owner of the flow cannot be confirmed yet: another agent knows only
    /// that its SYN was accepted, by an earlier run.
    #[must_use]
    pub const fn awaits_evidence(&self) -> bool {
        self.recovered && !self.confirmed && self.is_open()
    }

    /// Returns whether the caller has completed the handshake with this upstream.
    #[must_use]
    pub const fn is_confirmed(&self) -> bool {
        self.confirmed
    }

    /// Returns whether the flow is open: neither reset nor closed by both ends.
    #[must_use]
    pub const fn is_open(&self) -> bool {
        self.ended.is_none()
    }

    /// Returns whether a request is outstanding.
    #[must_use]
    pub const fn is_busy(&self) -> bool {
        self.request.is_some()
    }

    /// Returns the time of the flow's last packet.
    #[must_use]
    pub const fn last_packet(&self) -> Millis {
        self.last
    }

    /// Returns whether the first request of the flow is still expected.
    #[must_use]
    pub fn awaits_request(&self, now: Millis) -> bool {
        self.fresh && now.since(self.opened) < FIRST_REQUEST_TIMEOUT
    }

    /// Returns whether a caller's packet belongs to this flow, and marks the flow as
    /// confirmed once the caller acknowledges the upstream's initial sequence number.
    ///
    /// If two agents accepted copies of the same SYN, this first acknowledgement shows
    /// which of them the caller is connected to.
    pub const fn confirm(&mut self, segment: &Segment) -> bool {
        if self.confirmed || self.recovered || segment.syn || segment.reset {
            return true;
        }
        let Some(isn) = self.isn else {
            return false;
        };
        self.confirmed = segment.ack == isn.wrapping_add(1);
        self.confirmed
    }

    /// Updates the flow for a caller's packet that is delivered to the upstream. New data
    /// starts a request, or restarts the timer of the outstanding one.
    pub fn record_inbound(&mut self, segment: &Segment, load: &mut load::Load, now: Millis) {
        self.last = now;
        if segment.syn {
            return;
        }
        self.reset_seq = Some(segment.ack);
        let len = u32::try_from(segment.len).unwrap_or(0);
        let end = segment.seq.wrapping_add(len);
        let is_new_data = self.sent.is_none_or(|sent| is_after(end, sent));
        if segment.len > 0 && is_new_data {
            self.sent = Some(end);
            self.fresh = false;
            if let Some(request) = &mut self.request {
                request.since = now;
            } else {
                let alone = load.begin();
                self.request = Some(Request {
                    since: now,
                    alone,
                    running: load.busy(),
                });
            }
        }
        self.caller_done |= segment.fin;
        self.record_close(segment, load, now);
    }

    /// Updates the flow for a packet of the upstream. Returns the service time if the
    /// packet starts the answer to a request.
    pub fn record_outbound(
        &mut self,
        segment: &Segment,
        load: &mut load::Load,
        now: Millis,
    ) -> Option<Millis> {
        self.last = now;
        self.reset_seq.get_or_insert(segment.seq);
        if segment.syn_ack {
            self.isn = Some(segment.seq);
            return None;
        }
        self.confirmed |= !segment.reset;
        self.recovered &= segment.reset;
        if !segment.reset && self.sent.is_none() {
            self.sent = Some(segment.ack);
        }
        let request = self.request.take_if(|_| segment.len > 0);
        let service_time = request.map(|request| {
            let service_time = now.since(request.since);
            load.complete(request.alone.then_some(service_time));
            load.adapt(request.running, service_time, now);
            service_time
        });
        self.upstream_done |= segment.fin;
        self.record_close(segment, load, now);
        service_time
    }

    /// Removes an unanswered request from the load.
    pub const fn cancel_request(&mut self, load: &mut load::Load) {
        if self.request.take().is_some() {
            load.cancel();
        }
    }

    /// Returns whether the entry has expired. Cancels the request if it has timed out or
    /// the entry has expired.
    pub fn expire(&mut self, load: &mut load::Load, now: Millis) -> bool {
        let timed_out = |request: &Request| now.since(request.since) >= REQUEST_TIMEOUT;
        let is_half_open = !self.confirmed && !self.recovered;
        let half_open = is_half_open && now.since(self.opened) >= HALF_OPEN_TIMEOUT;
        let ended = self.ended.is_some_and(|at| now.since(at) >= ENDED_TIMEOUT);
        let expired = half_open || ended || now.since(self.last) >= IDLE_TIMEOUT;
        if expired || self.request.as_ref().is_some_and(timed_out) {
            self.cancel_request(load);
        }
        expired
    }

    /// Records the end of the flow on a reset or once both ends have sent a FIN.
    fn record_close(&mut self, segment: &Segment, load: &mut load::Load, now: Millis) {
        if segment.reset || (self.caller_done && self.upstream_done) {
            self.ended.get_or_insert(now);
        }
        if self.ended.is_some() {
            self.cancel_request(load);
        }
    }
}

/// Returns whether sequence number `a` comes after `b` (RFC 1982 serial number
/// arithmetic).
const fn is_after(a: u32, b: u32) -> bool {
    let ahead = a.wrapping_sub(b);
    ahead != 0 && ahead < 1 << 31
}
