//! Former services of routes, which a node that has just started requests from its peers:
//! the platform holds only the latest configuration, and open flows of earlier ones stay with
//! the services that had them.
//!
//! A peer that does not reply says nothing about former services, and neither does one that
//! started as lately as this node. The longest-running peers are asked, until one of them knows,
//! or all of them have replied that they do not.

use std::net::SocketAddrV4;

use serde::{Deserialize, Serialize};

use crate::{clock::Millis, ident::ServiceId};

/// Maximum number of routes in one page, so that a datagram stays below 1,400 bytes.
pub const MAX_ROUTES: usize = 16;

/// Number of peers that are asked.
pub const MAX_SOURCES: usize = 8;

/// Number of peers that are asked at a time.
const MAX_REQUESTS: usize = 3;

/// Time after which a page that has not arrived is requested again.
const RETRY_INTERVAL: Millis = Millis(150);

/// Time after which a peer that did not know is asked again.
const REPEAT_INTERVAL: Millis = Millis(5_000);

/// Minimum time after the first configuration at which a node gives up waiting for a peer that
/// knows.
const TIMEOUT: Millis = Millis(1_500);

/// The same for a node that has heard only of its own failure domain.
const DOMAIN_TIMEOUT: Millis = Millis(2_000);

/// Time after the first configuration from which no flow is left of a service that a route had
/// before: it has reached its idle timeout.
const FLOW_LIFETIME: Millis = Millis(75_000);

/// Former services of one route.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct FormerRoute {
    /// Address of the route.
    pub address: SocketAddrV4,
    /// Services, newest first.
    pub services: Vec<ServiceId>,
}

/// Request for a page.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Request {
    /// Last route of the page before, `None` for the first page.
    pub after: Option<SocketAddrV4>,
}

/// Page of former services.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Page {
    /// The request's `after`.
    pub after: Option<SocketAddrV4>,
    /// Routes after it in order that have former services, at most [`MAX_ROUTES`].
    pub routes: Vec<FormerRoute>,
    /// Whether more routes follow.
    pub more: bool,
    /// Whether the sender knows all former services.
    #[serde(default)]
    pub complete: bool,
    /// Version of the sender's configuration.
    #[serde(default)]
    pub version: u64,
}

/// Live peer of a node.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Peer {
    /// Address for messages.
    pub address: SocketAddrV4,
    /// Whether it is in another failure domain.
    pub far: bool,
}

/// What a node knows of former services.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Knowledge {
    /// Not all yet: peers are still being asked.
    #[default]
    Asking,
    /// Not all, and the peers that were asked do not know either.
    Lost,
    /// All of them.
    Complete,
}

/// Progress of the pages of one peer.
#[derive(Clone, Copy, Debug)]
struct Source {
    address: SocketAddrV4,
    after: Option<SocketAddrV4>,
    requested: Option<Millis>,
    /// Whether it has sent its last page, and is asked again only after a while.
    answered: bool,
}

/// State of the requests for former services.
#[derive(Clone, Debug, Default)]
pub struct History {
    knowledge: Knowledge,
    /// Time at which the first configuration was active.
    since: Option<Millis>,
    /// Peers that are asked, in order of their address.
    sources: Vec<Source>,
}

impl History {
    /// Returns what is known.
    #[must_use]
    pub const fn knowledge(&self) -> Knowledge {
        self.knowledge
    }

    /// Records that the whole fleet starts for the first time: there are no former services but
    /// those that this node sees itself.
    pub const fn complete(&mut self) {
        self.knowledge = Knowledge::Complete;
    }

    /// Updates what is known, and returns the requests that are due, each with the peer to which
    /// it is sent. `peers` are the live peers, longest-running first, once a configuration is
    /// active.
    pub fn update(&mut self, peers: &[Peer], now: Millis) -> Vec<(SocketAddrV4, Request)> {
        let since = *self.since.get_or_insert(now);
        if now.since(since) >= FLOW_LIFETIME {
            self.knowledge = Knowledge::Complete;
        }
        if self.knowledge == Knowledge::Complete {
            return Vec::new();
        }
        let peers = &peers[..peers.len().min(MAX_SOURCES)];
        self.update_sources(peers);
        if self.is_exhausted(peers, now.since(since)) {
            self.knowledge = Knowledge::Lost;
        }
        let mut requests = Vec::new();
        for peer in peers {
            if requests.len() < MAX_REQUESTS
                && let Some(request) = self.request(peer.address, now)
            {
                requests.push((peer.address, request));
            }
        }
        requests
    }

    /// Records a page. Returns the request for the next one, if there is one. `version` is that
    /// of the own configuration: a peer that has an earlier one does not know all yet.
    pub fn receive(
        &mut self,
        from: SocketAddrV4,
        page: &Page,
        version: u64,
        now: Millis,
    ) -> Option<Request> {
        let found = self.find(from).ok()?;
        let source = &mut self.sources[found];
        if page.after != source.after {
            return None;
        }
        let last = page.routes.last().map(|route| route.address);
        if page.more && last > page.after {
            source.after = last;
            source.requested = Some(now);
            return Some(Request { after: last });
        }
        source.after = None;
        source.answered = page.version >= version;
        if page.complete && page.version >= version {
            self.knowledge = Knowledge::Complete;
        }
        None
    }

    /// Returns whether all peers that can be asked have replied, and none of them knew.
    fn is_exhausted(&self, peers: &[Peer], waited: Millis) -> bool {
        let has_far = peers.iter().any(|peer| peer.far);
        let timeout = if has_far { TIMEOUT } else { DOMAIN_TIMEOUT };
        let answered = self.sources.iter().all(|source| source.answered);
        waited >= timeout && !self.sources.is_empty() && answered
    }

    fn request(&mut self, address: SocketAddrV4, now: Millis) -> Option<Request> {
        let found = self.find(address).ok()?;
        let source = &mut self.sources[found];
        let interval = if source.answered {
            REPEAT_INTERVAL
        } else {
            RETRY_INTERVAL
        };
        let waits = source.requested.is_some_and(|at| now.since(at) < interval);
        (!waits).then(|| {
            source.requested = Some(now);
            let after = source.after;
            Request { after }
        })
    }

    fn update_sources(&mut self, peers: &[Peer]) {
        let sources = peers.iter().map(|peer| {
            let found = self.find(peer.address);
            let known = found.ok().map(|at| self.sources[at]);
            known.unwrap_or(Source {
                address: peer.address,
                after: None,
                requested: None,
                answered: false,
            })
        });
        let mut sources: Vec<_> = sources.collect();
        sources.sort_by_key(|source| source.address);
        self.sources = sources;
    }

    fn find(&self, address: SocketAddrV4) -> Result<usize, usize> {
        self.sources
            .binary_search_by_key(&address, |source| source.address)
    }
}
