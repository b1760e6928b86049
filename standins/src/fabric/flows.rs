//! Table of the fabric's current flows.

use std::sync::{PoisonError, RwLock};

use cassiacross::{packet, stream};

#[derive(Debug)]
struct Entry {
    flow: packet::Flow,
    handle: stream::Handle,
}

/// Current flows, sorted by flow.
#[derive(Debug, Default)]
pub(super) struct Flows(RwLock<Vec<Entry>>);

impl Flows {
    /// Returns the number of flows.
    pub(super) fn len(&self) -> usize {
        self.0.read().map_or(0, |flows| flows.len())
    }

    /// Returns the handle of a flow.
    pub(super) fn find(&self, flow: packet::Flow) -> Option<stream::Handle> {
        let flows = self.0.read().unwrap_or_else(PoisonError::into_inner);
        let index = flows.binary_search_by_key(&flow, |entry| entry.flow).ok()?;
        Some(flows[index].handle.clone())
    }

    /// Adds a flow unless it is known.
    pub(super) fn insert(&self, flow: packet::Flow, handle: stream::Handle) {
        let mut flows = self.0.write().unwrap_or_else(PoisonError::into_inner);
        if let Err(index) = flows.binary_search_by_key(&flow, |entry| entry.flow) {
            flows.insert(index, Entry { flow, handle });
        }
    }

    /// Removes a flow.
    pub(super) fn remove(&self, flow: packet::Flow) {
        let mut flows = self.0.write().unwrap_or_else(PoisonError::into_inner);
        if let Ok(index) = flows.binary_search_by_key(&flow, |entry| entry.flow) {
            flows.remove(index);
        }
    }
}
