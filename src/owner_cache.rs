//! Where flows are that an agent's upstream does not hold: owners that stated
//! themselves, and searches for the others.

use serde::Serialize;

use crate::{
    clock::Millis,
    conntrack::{ENDED_TIMEOUT, IDLE_TIMEOUT},
    ident::NodeId,
    packet::Flow,
    protocol::ServiceHop,
};

/// Time between two searches for the owner of one flow.
const SEARCH_INTERVAL: Millis = Millis(100);

/// Owners and searches that one agent remembers, each.
const MAX_ENTRIES: usize = 65_536;

#[derive(Clone, Copy, Debug, Serialize)]
struct Redirect {
    flow: Flow,
    owner: ServiceHop,
    since: Millis,
}

#[derive(Clone, Debug, Serialize)]
struct Search {
    flow: Flow,
    last: Millis,
    ack: u32,
    unheard: Vec<NodeId>,
}

/// Owners and searches, each sorted by flow.
#[derive(Clone, Debug, Default, Serialize)]
pub struct OwnerCache {
    redirects: Vec<Redirect>,
    searches: Vec<Search>,
}

impl OwnerCache {
    /// Flows whose owner is known.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.redirects.len()
    }

    /// Whether no owner is known.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.redirects.is_empty()
    }

    /// The owner that stated a flow.
    #[must_use]
    pub fn owner(&self, flow: &Flow) -> Option<ServiceHop> {
        let at = self.redirects.binary_search_by_key(flow, |r| r.flow).ok()?;
        Some(self.redirects[at].owner)
    }

    /// Notes who owns a flow; a search for it is over.
    pub fn learn(&mut self, flow: Flow, owner: ServiceHop, now: Millis) {
        if let Ok(at) = self.searches.binary_search_by_key(&flow, |s| s.flow) {
            self.searches.remove(at);
        }
        let entry = Redirect {
            flow,
            owner,
            since: now,
        };
        match self.redirects.binary_search_by_key(&flow, |r| r.flow) {
            Ok(at) => self.redirects[at] = entry,
            Err(at) if self.redirects.len() < MAX_ENTRIES => self.redirects.insert(at, entry),
            Err(_) => {}
        }
    }

    /// Forgets who owns a flow.
    pub fn forget(&mut self, flow: &Flow) {
        if let Ok(at) = self.redirects.binary_search_by_key(flow, |r| r.flow) {
            self.redirects.remove(at);
        }
    }

    /// Begins a search among `agents`; false where one began a moment ago.
    ///
    /// `ack` is what the caller acknowledged last.
    pub fn start_search(&mut self, flow: Flow, ack: u32, agents: Vec<NodeId>, now: Millis) -> bool {
        let search = Search {
            flow,
            last: now,
            ack,
            unheard: agents,
        };
        match self.searches.binary_search_by_key(&flow, |s| s.flow) {
            Ok(at) if now.since(self.searches[at].last) < SEARCH_INTERVAL => return false,
            Ok(at) => self.searches[at] = search,
            Err(at) if self.searches.len() < MAX_ENTRIES => self.searches.insert(at, search),
            Err(_) => return false,
        }
        true
    }

    /// Notes that an agent does not own a flow that was searched for.
    pub fn record_not_owned(&mut self, node: NodeId, flow: &Flow) {
        if let Ok(at) = self.searches.binary_search_by_key(flow, |s| s.flow) {
            self.searches[at].unheard.retain(|other| *other != node);
        }
    }

    /// Ends the searches that nobody is left to answer: the flows, and what their
    /// callers acknowledged last.
    pub fn take_unowned(&mut self, is_gone: impl Fn(NodeId) -> bool) -> Vec<(Flow, u32)> {
        let nobody = |search: &mut Search| search.unheard.iter().all(|node| is_gone(*node));
        let lost = self.searches.extract_if(.., nobody);
        lost.map(|search| (search.flow, search.ack)).collect()
    }

    /// Forgets what has lapsed.
    pub fn expire(&mut self, now: Millis) {
        self.redirects
            .retain(|entry| now.since(entry.since) < IDLE_TIMEOUT);
        self.searches
            .retain(|entry| now.since(entry.last) < ENDED_TIMEOUT);
    }
}
