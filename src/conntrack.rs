//! A flow that an agent's upstream holds, as seen from its packets.

use serde::Serialize;

use crate::{
    clock::Millis,
    ident::{DomainId, Incarnation, NodeId},
    load,
    packet::Flow,
    segment::Segment,
    steering::HOMES,
};

/// Time within which a new flow's first request is expected.
const FIRST_REQUEST: Millis = Millis(100);

/// Time after which an opened flow that the caller did not confirm is forgotten.
const HALF_OPEN_LIMIT: Millis = Millis(3_000);

/// Time for which an ended flow is remembered, since late packets still belong to it.
pub const ENDED_TIMEOUT: Millis = Millis(5_000);

/// Time without packets after which a flow, or who owns it, is forgotten.
pub const IDLE_TIMEOUT: Millis = Millis(75_000);

/// Time after which a request that has no answer no longer counts as load.
const BUSY_LIMIT: Millis = Millis(15_000);

/// Agents that have been told of a flow, each under its run.
pub type Homes = [Option<(NodeId, Incarnation)>; HOMES];

#[derive(Clone, Copy, Debug, Serialize)]
struct Request {
    since: Millis,
    alone: bool,
}

/// A flow that the upstream holds.
#[expect(
    clippy::struct_excessive_bools,
    reason = "each end closes by itself, and the other two hold at any time"
)]
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Entry {
    /// The flow.
    pub flow: Flow,
    /// The failure domain in which its last packet arrived.
    pub origin: DomainId,
    /// The last number that the caller acknowledged.
    pub ack: u32,
    /// The agents that know who holds the flow.
    pub homes: Homes,
    opened: Millis,
    last: Millis,
    isn: Option<u32>,
    confirmed: bool,
    fresh: bool,
    sent: Option<u32>,
    request: Option<Request>,
    caller_done: bool,
    upstream_done: bool,
    ended: Option<Millis>,
}

impl Entry {
    /// A flow whose opening packet goes to the upstream now.
    #[must_use]
    pub const fn new(flow: Flow, origin: DomainId, now: Millis) -> Self {
        Self {
            flow,
            origin,
            ack: 0,
            homes: [None; HOMES],
            opened: now,
            last: now,
            isn: None,
            confirmed: false,
            fresh: true,
            sent: None,
            request: None,
            caller_done: false,
            upstream_done: false,
            ended: None,
        }
    }

    /// A flow that shows for the first time by a packet of the upstream.
    #[must_use]
    pub fn from_upstream(segment: &Segment, origin: DomainId, now: Millis) -> Self {
        Self {
            ack: segment.seq,
            isn: segment.syn_ack.then_some(segment.seq),
            confirmed: !segment.syn_ack,
            fresh: false,
            ..Self::new(segment.outbound(), origin, now)
        }
    }

    /// Whether the caller has acknowledged that it speaks to this upstream.
    #[must_use]
    pub const fn is_confirmed(&self) -> bool {
        self.confirmed
    }

    /// Whether neither end has closed the flow for good.
    #[must_use]
    pub const fn is_open(&self) -> bool {
        self.ended.is_none()
    }

    /// Whether a request is in hand.
    #[must_use]
    pub const fn is_busy(&self) -> bool {
        self.request.is_some()
    }

    /// When the last packet of the flow passed.
    #[must_use]
    pub const fn last_packet(&self) -> Millis {
        self.last
    }

    /// Whether the flow's first request is still to come.
    #[must_use]
    pub fn awaits_request(&self, now: Millis) -> bool {
        self.fresh && now.since(self.opened) < FIRST_REQUEST
    }

    /// Whether a caller's packet belongs to the flow as the upstream holds it.
    ///
    /// Of two agents that took one opening packet, the caller's first acknowledgement
    /// tells which one it speaks to.
    pub const fn confirm(&mut self, segment: &Segment) -> bool {
        if self.confirmed || segment.syn || segment.reset {
            return true;
        }
        let Some(isn) = self.isn else {
            return false;
        };
        self.confirmed = segment.ack == isn.wrapping_add(1);
        self.confirmed
    }

    /// Notes a caller's packet that goes to the upstream.
    pub fn record_inbound(&mut self, segment: &Segment, load: &mut load::Load, now: Millis) {
        self.last = now;
        if segment.syn {
            return;
        }
        self.ack = segment.ack;
        let len = u32::try_from(segment.len).unwrap_or(0);
        let end = segment.seq.wrapping_add(len);
        let news = self.sent.is_none_or(|sent| is_after(end, sent));
        if segment.len > 0 && news {
            self.sent = Some(end);
            self.fresh = false;
            if let Some(request) = &mut self.request {
                request.since = now;
            } else {
                let alone = load.begin();
                self.request = Some(Request { since: now, alone });
            }
        }
        self.caller_done |= segment.fin;
        self.note_end(segment, load, now);
    }

    /// Notes a packet of the upstream; gives how long it took for a request, if this
    /// is the answer.
    pub fn record_outbound(
        &mut self,
        segment: &Segment,
        load: &mut load::Load,
        now: Millis,
    ) -> Option<Millis> {
        self.last = now;
        if segment.syn_ack {
            self.isn = Some(segment.seq);
            return None;
        }
        self.confirmed = true;
        let request = self.request.take_if(|_| segment.len > 0);
        let took = request.map(|request| {
            let took = now.since(request.since);
            load.complete(request.alone.then_some(took));
            took
        });
        self.upstream_done |= segment.fin;
        self.note_end(segment, load, now);
        took
    }

    /// Takes a request that has no answer out of the load.
    pub const fn cancel_request(&mut self, load: &mut load::Load) {
        if self.request.take().is_some() {
            load.cancel();
        }
    }

    /// Whether the flow can be forgotten; a request that waits too long is cancelled.
    pub fn expire(&mut self, load: &mut load::Load, now: Millis) -> bool {
        let stuck = |request: &Request| now.since(request.since) >= BUSY_LIMIT;
        let half_open = !self.confirmed && now.since(self.opened) >= HALF_OPEN_LIMIT;
        let ended = self.ended.is_some_and(|at| now.since(at) >= ENDED_TIMEOUT);
        let lapsed = half_open || ended || now.since(self.last) >= IDLE_TIMEOUT;
        if lapsed || self.request.as_ref().is_some_and(stuck) {
            self.cancel_request(load);
        }
        lapsed
    }

    fn note_end(&mut self, segment: &Segment, load: &mut load::Load, now: Millis) {
        if segment.reset || (self.caller_done && self.upstream_done) {
            self.ended.get_or_insert(now);
        }
        if self.ended.is_some() {
            self.cancel_request(load);
        }
    }
}

/// Whether sequence number `a` comes after `b` (RFC 1982 arithmetic).
const fn is_after(a: u32, b: u32) -> bool {
    let ahead = a.wrapping_sub(b);
    ahead != 0 && ahead < 1 << 31
}
