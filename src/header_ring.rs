//! The way on of packets that were handed to an upstream and may be returned.

use crate::{packet::Flow, protocol::Header};

/// Packets whose way on is remembered.
const LEN: usize = 1_024;

#[derive(Clone, Debug)]
struct Pending {
    token: u32,
    flow: Flow,
    header: Header,
}

/// The last packets, by token.
#[derive(Debug)]
pub struct HeaderRing {
    places: Vec<Option<Pending>>,
    next: u32,
}

impl HeaderRing {
    /// An empty ring.
    #[must_use]
    pub fn new() -> Self {
        Self {
            places: vec![None; LEN],
            next: 1,
        }
    }

    /// Remembers a packet's header; gives its token, which is never 0.
    pub fn push(&mut self, flow: Flow, header: Header) -> u32 {
        let token = self.next;
        self.next = self.next.checked_add(1).unwrap_or(1);
        self.places[place(token)] = Some(Pending {
            token,
            flow,
            header,
        });
        token
    }

    /// Takes the header of a packet of a flow, if it is still remembered.
    pub fn take(&mut self, token: u32, flow: &Flow) -> Option<Header> {
        let fits = |pending: &mut Pending| pending.token == token && pending.flow == *flow;
        let pending = self.places[place(token)].take_if(fits)?;
        Some(pending.header)
    }
}

impl Default for HeaderRing {
    fn default() -> Self {
        Self::new()
    }
}

const fn place(token: u32) -> usize {
    token as usize % LEN
}
