//! Waiting room for new flows of one upstream: SYNs that found no free slot and may still be
//! served in time to be of use.
//!
//! Work that waits in the upstream's own queue is served in the order of arrival. The room lies
//! before it, so that urgent work goes first, and so that fresh work goes first once the room
//! has become slow (adaptive LIFO, "Fail at Scale", ACM Queue 13(8), 2015): in a short overload
//! most callers are answered in time and the others late, with the capacity that is left.

use crate::{clock::Millis, packet::Flow, protocol::Header, record::Class};

/// Maximum number of waiting SYNs.
const MAX_WAITING: usize = 256;

/// Number of admissions after which one goes to the lowest class that waits.
const LOWER_CLASS_INTERVAL: u32 = 8;

/// A waiting SYN.
#[derive(Clone, Debug, PartialEq)]
pub struct Waiting {
    /// Flow that it opens.
    pub flow: Flow,
    /// Header with which it arrived.
    pub header: Header,
    /// The packet.
    pub bytes: Vec<u8>,
    /// Priority class of its route.
    pub class: Class,
    /// Latency after which its answer is late.
    pub target: Millis,
    /// Time since which it waits.
    pub since: Millis,
    /// Time at which it is refused.
    pub until: Millis,
}

/// SYNs that wait at one agent, in the order of arrival.
#[derive(Clone, Debug, Default)]
pub struct WaitingRoom {
    waiting: Vec<Waiting>,
    /// Number of admissions since the last one of the lowest class.
    admitted: u32,
}

impl WaitingRoom {
    /// Returns the number of waiting SYNs.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no SYN waits.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns the number of SYNs that would be served before a new one of a class.
    #[must_use]
    pub fn ahead(&self, class: Class) -> u32 {
        let ahead = self.waiting.iter().filter(|other| other.class <= class);
        u32::try_from(ahead.count()).unwrap_or(u32::MAX)
    }

    /// Returns whether the SYN of a flow waits here.
    #[must_use]
    pub fn contains(&self, flow: &Flow) -> bool {
        self.waiting.iter().any(|waiting| waiting.flow == *flow)
    }

    /// Adds a SYN. Returns false if the room is full.
    pub fn push(&mut self, waiting: Waiting) -> bool {
        let has_room = self.waiting.len() < MAX_WAITING;
        if has_room {
            self.waiting.push(waiting);
        }
        has_room
    }

    /// Removes the SYN of a flow that was accepted elsewhere.
    pub fn remove(&mut self, flow: &Flow) {
        self.waiting.retain(|waiting| waiting.flow != *flow);
    }

    /// Takes the SYN to serve next.
    pub fn next(&mut self, now: Millis) -> Option<Waiting> {
        let classes = || self.waiting.iter().map(|waiting| waiting.class);
        let (highest, lowest) = (classes().min()?, classes().max()?);
        let class = if self.admitted >= LOWER_CLASS_INTERVAL {
            lowest
        } else {
            highest
        };
        self.admitted = if class == lowest {
            0
        } else {
            self.admitted + 1
        };
        let first = self.waiting.iter().position(|w| w.class == class)?;
        let is_fresh = |w: &Waiting| now.since(w.since).0 < w.target.0 / 4;
        let at = if is_fresh(&self.waiting[first]) {
            first
        } else {
            self.waiting.iter().rposition(|w| w.class == class)?
        };
        Some(self.waiting.remove(at))
    }

    /// Takes the SYNs that have waited for too long.
    pub fn take_expired(&mut self, now: Millis) -> Vec<Waiting> {
        let expired = self.waiting.extract_if(.., |waiting| waiting.until <= now);
        expired.collect()
    }

    /// Takes all SYNs, because the upstream accepts no flows any more.
    pub fn take_all(&mut self) -> Vec<Waiting> {
        std::mem::take(&mut self.waiting)
    }
}
