//! Agents of a service: which of them accept new flows, and which are gone.

use super::{Entry, HEARTBEAT_PERIOD, Peer, PreviousRun, Roster, Upstream};
use crate::{clock::Millis, ident, member};

impl Roster {
    /// Sets the failure domains whose upstreams get no new flows, sorted.
    pub fn set_evacuated(&mut self, domains: &[ident::DomainId]) {
        if self.evacuated != domains {
            self.evacuated = domains.to_vec();
            self.revision += 1;
        }
    }

    /// Returns whether the upstreams of a failure domain get no new flows.
    #[must_use]
    pub fn is_evacuated(&self, domain: ident::DomainId) -> bool {
        self.evacuated.binary_search(&domain).is_ok()
    }

    /// Returns whether a service has agents that would accept new flows if their failure
    /// domains were not evacuated, and no others.
    #[must_use]
    pub fn is_all_evacuated(&self, service: ident::ServiceId) -> bool {
        !self.evacuated.is_empty()
            && self.ready_agents(service).is_empty()
            && self
                .agents(service)
                .any(|entry| self.is_evacuated(entry.domain) && is_ready(entry))
    }

    /// Returns whether an agent is considered gone, so that the flows of its upstream are
    /// lost: it became silent while most other agents of the service did not, or it
    /// announced that no upstream is running and then shuts down or misses a heartbeat.
    ///
    /// An agent that announced its own shutdown while its upstream keeps running is not gone,
    /// however long it stays away: its upstream still has its flows. A node that is not in
    /// the table is not considered gone, a balancer always is.
    #[must_use]
    pub fn is_gone(&self, node: ident::NodeId, now: Millis) -> bool {
        let Some(peer) = self.find(node) else {
            return false;
        };
        let Some(upstream) = peer.entry.upstream else {
            return true;
        };
        let deregistered = upstream.state.is_none();
        let silent = peer.silent && !self.is_mostly_silent(upstream.service);
        let missed = peer.has_missed(now);
        match (peer.entry.leaving, deregistered) {
            (true, true) => true,
            (false, true) => silent || missed,
            (true, false) => false,
            (false, false) => silent,
        }
    }

    /// Returns whether more than half of a service's agents are silent, which indicates a
    /// fault of this node's own connectivity rather than of the agents.
    pub(super) fn is_mostly_silent(&self, service: ident::ServiceId) -> bool {
        let agents = || {
            let agents = self.rows.iter();
            agents.filter(|peer| peer.entry.service() == Some(service) && !peer.entry.leaving)
        };
        let silent = agents().filter(|peer| peer.silent).count();
        silent * 2 > agents().count()
    }

    /// Returns the agents of a service, including this node.
    pub fn agents(&self, service: ident::ServiceId) -> impl Iterator<Item = &Entry> {
        std::iter::once(&self.me)
            .chain(self.rows.iter().map(|peer| &peer.entry))
            .filter(move |entry| entry.service() == Some(service))
    }

    /// Returns the number of other agents of a service, without `except`, whose last run
    /// ended less than `span` ago without an announcement.
    #[must_use]
    pub fn recent_crashes(
        &self,
        service: ident::ServiceId,
        except: ident::NodeId,
        span: Millis,
        now: Millis,
    ) -> usize {
        let has_crashed = |peer: &&Peer| {
            let restarted = peer.previous == Some(PreviousRun::Crashed);
            let recently = restarted && now.since(peer.started) < span;
            recently || (peer.silent && !peer.entry.leaving)
        };
        let rows = self.rows.iter();
        rows.filter(|peer| peer.entry.service() == Some(service) && peer.entry.node != except)
            .filter(has_crashed)
            .count()
    }

    /// Returns the longest heartbeat period that an agent of a service has announced, at
    /// least [`HEARTBEAT_PERIOD`].
    #[must_use]
    pub fn max_period(&self, service: ident::ServiceId) -> Millis {
        let peers = self.rows.iter();
        let agents = peers.filter(|peer| peer.entry.service() == Some(service));
        let periods = agents.map(|peer| peer.period);
        periods
            .max()
            .unwrap_or(HEARTBEAT_PERIOD)
            .max(HEARTBEAT_PERIOD)
    }

    /// Returns the agents of a service that accept new flows, including this node, without
    /// those of evacuated failure domains.
    ///
    /// Silent agents are left out unless more than half of the service's agents are
    /// silent.
    #[must_use]
    pub fn ready_agents(&self, service: ident::ServiceId) -> Vec<&Entry> {
        let ready = |entry: &Entry| {
            entry.service() == Some(service) && is_ready(entry) && !self.is_evacuated(entry.domain)
        };
        let keep_silent = self.is_mostly_silent(service);
        let mut entries: Vec<_> = self
            .rows
            .iter()
            .filter(|peer| ready(&peer.entry) && (keep_silent || !peer.silent))
            .map(|peer| &peer.entry)
            .collect();
        if ready(&self.me) {
            entries.push(&self.me);
        }
        entries.sort_by_key(|entry| entry.node);
        entries
    }
}

/// Returns whether an agent accepts new flows, unless its failure domain is evacuated.
fn is_ready(entry: &Entry) -> bool {
    let is_ready = |upstream: Upstream| upstream.state == Some(member::State::Ready);
    !entry.leaving && entry.upstream.is_some_and(is_ready)
}
