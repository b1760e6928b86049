//! Ring buffer of the headers of packets that were delivered to the upstream.
//!
//! If the upstream returns a packet, the agent needs its header to forward it to the next
//! hop.

use crate::{packet::Flow, protocol::Header};

/// Number of headers that are kept.
const CAPACITY: usize = 1_024;

#[derive(Clone, Debug)]
struct Pending {
    token: u32,
    flow: Flow,
    header: Header,
}

/// Headers of the last packets, indexed by token.
#[derive(Debug)]
pub struct HeaderRing {
    slots: Vec<Option<Pending>>,
    next: u32,
}

impl HeaderRing {
    /// Creates an empty ring.
    #[must_use]
    pub fn new() -> Self {
        Self {
            slots: vec![None; CAPACITY],
            next: 1,
        }
    }

    /// Stores the header of a packet and returns its token, which is never 0.
    pub fn push(&mut self, flow: Flow, header: Header) -> u32 {
        let token = self.next;
        self.next = self.next.checked_add(1).unwrap_or(1);
        self.slots[slot_index(token)] = Some(Pending {
            token,
            flow,
            header,
        });
        token
    }

    /// Removes and returns the header stored under a token, or `None` if it has been
    /// overwritten or belongs to another flow.
    pub fn take(&mut self, token: u32, flow: &Flow) -> Option<Header> {
        let matches = |pending: &mut Pending| pending.token == token && pending.flow == *flow;
        let pending = self.slots[slot_index(token)].take_if(matches)?;
        Some(pending.header)
    }

    /// Removes and returns the header of the last packet of a flow, or `None` if it has been
    /// overwritten.
    pub fn take_last(&mut self, flow: &Flow) -> Option<Header> {
        let pending = self.slots.iter().flatten();
        let of_flow = pending.filter(|pending| pending.flow == *flow);
        let token = of_flow.map(|pending| pending.token).max()?;
        self.take(token, flow)
    }
}

impl Default for HeaderRing {
    fn default() -> Self {
        Self::new()
    }
}

const fn slot_index(token: u32) -> usize {
    token as usize % CAPACITY
}
