//! Former services of routes, which a balancer that has just started requests from its peers:
//! the platform holds only the latest configuration, and open flows of earlier ones stay with
//! the services that had them.

use std::net::SocketAddrV4;

use serde::{Deserialize, Serialize};

use crate::{clock::Millis, ident::ServiceId};

/// Maximum number of routes in one page, so that a datagram stays below 1,400 bytes.
pub const MAX_ROUTES: usize = 16;

/// Time after which a page that has not arrived is requested again, from another node.
const RETRY_INTERVAL: Millis = Millis(150);

/// Time after the first configuration at which a node that got no answer stops asking.
const TIMEOUT: Millis = Millis(1_500);

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
}

/// Progress of the request for former services.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Time at which the first configuration was activated.
    since: Option<Millis>,
    requested: Option<Millis>,
    after: Option<SocketAddrV4>,
    done: bool,
}

impl History {
    /// Records that a configuration is active.
    pub fn start(&mut self, now: Millis) {
        self.since.get_or_insert(now);
    }

    /// Returns whether the former services are known, or nobody has told them in time.
    #[must_use]
    pub fn is_settled(&self, now: Millis) -> bool {
        let is_late = |since| now.since(since) >= TIMEOUT;
        self.done || self.since.is_some_and(is_late)
    }

    /// Returns the request that is due, if any.
    pub fn request(&mut self, now: Millis) -> Option<Request> {
        let waits = self
            .requested
            .is_some_and(|at| now.since(at) < RETRY_INTERVAL);
        if self.since.is_none() || self.is_settled(now) || waits {
            return None;
        }
        self.requested = Some(now);
        let after = self.after;
        Some(Request { after })
    }

    /// Records a page. Returns the request for the next one, if there is one.
    pub fn receive(&mut self, page: &Page, now: Millis) -> Option<Request> {
        if self.done || page.after != self.after {
            return None;
        }
        let last = page.routes.last().map(|route| route.address);
        if !page.more || last <= page.after {
            self.done = true;
            return None;
        }
        self.after = last;
        self.requested = Some(now);
        Some(Request { after: last })
    }
}
