//! An agent's flow table, and the decision on each packet from a caller: deliver,
//! accept, pass on, forward to the owner, refuse, reset or drop.

use serde::Serialize;

use crate::{
    clock::Millis,
    header::{Header, Hop},
    ident::ServiceId,
    packet::{Flow, View},
};

/// Time after which a half-open flow, whose handshake the caller did not complete, is removed.
pub const HALF_OPEN_TIMEOUT: Millis = Millis(8_000);

/// Lifetime of a redirect since the owner's last ownership statement, see
/// [`crate::displaced`].
pub const REDIRECT_TTL: Millis = Millis(30_000);

/// Minimum interval between two queries for the owner of one flow.
pub const OWNER_QUERY_INTERVAL: Millis = Millis(100);

/// Minimum number of queries for the owner of a flow that go unanswered before it is reset: a
/// query or its answer may get lost.
const MIN_QUERIES: u32 = 3;

/// Time after its last packet after which a stray is removed.
pub const STRAY_TIMEOUT: Millis = Millis(60_000);

/// Maximum number of redirects and of strays in the table of one agent.
pub const MAX_ENTRIES: usize = 65_536;

/// A flow that is terminated by an endpoint of this agent.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Owned {
    /// The flow.
    pub flow: Flow,
    /// Arrival time of its SYN.
    pub opened: Millis,
    /// Initial sequence number of the endpoint, once it has sent its SYN-ACK.
    pub isn: Option<u32>,
    /// Whether the caller has acknowledged the endpoint's SYN-ACK.
    pub confirmed: bool,
}

/// A flow that another agent owns, according to that agent's ownership statement.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Redirect {
    /// The flow.
    pub flow: Flow,
    /// The owner.
    pub owner: Hop,
    /// The owner's service.
    pub service: ServiceId,
    /// Time at which the entry expires.
    pub until: Millis,
}

/// A flow whose packets arrive here although its owner is unknown.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Stray {
    /// The flow.
    pub flow: Flow,
    /// Arrival time of its first packet.
    pub first: Millis,
    /// Arrival time of its last packet.
    pub last: Millis,
    /// Time of the last query for its owner.
    pub asked: Millis,
    /// Number of queries for its owner.
    pub queries: u32,
}

/// Flow table of an agent: the flows that it owns, its redirects and its strays, each list
/// sorted by flow.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Table {
    owned: Vec<Owned>,
    redirects: Vec<Redirect>,
    strays: Vec<Stray>,
    /// Agents of the service that are asked for the owners of strays.
    agents: Vec<Hop>,
}

/// State of the agent that a decision depends on.
#[derive(Clone, Copy, Debug)]
pub struct LocalState {
    /// The agent itself.
    pub hop: Hop,
    /// The service of its upstream.
    pub service: ServiceId,
    /// Address of the service in its active record, if there is one.
    pub address: Option<std::net::SocketAddrV4>,
    /// Whether the upstream accepts new flows at all.
    pub accepts: bool,
    /// Whether the upstream has a free slot for a new flow.
    pub room: bool,
    /// Time within which the tables of all processes converge after a change.
    pub convergence: Millis,
}

/// Why a packet was dropped.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Serialize)]
pub enum Reason {
    /// Addressed to another agent, an earlier incarnation or another service.
    Target,
    /// The owner is unknown, and a query for it was sent within [`OWNER_QUERY_INTERVAL`].
    Stray,
    /// Opens a flow to an address other than the service's current one.
    Address,
    /// Resets an unknown flow.
    Reset,
}

/// Decision on a packet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Action {
    /// Deliver it to the flow's endpoint.
    Deliver,
    /// Create an endpoint for the new flow and deliver the packet to it.
    Accept,
    /// Pass it on to the next candidate of its chain.
    Pass(Hop),
    /// Forward it to the flow's owner.
    Forward {
        /// The owner.
        owner: Hop,
        /// The owner's service.
        service: ServiceId,
    },
    /// Query the other agents of the service for the owner, and drop the packet.
    Ask,
    /// Refuse a new flow with a TCP reset.
    Refuse,
    /// Reset a flow without an owner.
    Reset,
    /// Drop it.
    Drop(Reason),
}

impl Table {
    /// Decides on a packet, and records strays and confirmed flows.
    pub fn decide(
        &mut self,
        local: &LocalState,
        header: &Header,
        view: &View,
        now: Millis,
    ) -> Action {
        if !is_addressed_to(local, header) {
            return pass_on_or(header, Action::Drop(Reason::Target));
        }
        let owned = find_mut(&mut self.owned, &view.flow, |entry| &entry.flow);
        let known = owned.is_some();
        if owned.is_some_and(|entry| confirm(entry, view)) {
            return Action::Deliver;
        }
        let redirect = self.redirect(&view.flow, now);
        if let Some(redirect) = redirect.filter(|_| !header.forwarded) {
            return Action::Forward {
                owner: redirect.owner,
                service: redirect.service,
            };
        }
        if view.opening && !known {
            return decide_opening(local, header, view);
        }
        self.decide_unowned(local, header, view, now)
    }

    /// Adds a flow for which an endpoint was created.
    pub fn accept(&mut self, flow: Flow, now: Millis) {
        let entry = Owned {
            flow,
            opened: now,
            isn: None,
            confirmed: false,
        };
        insert_or_replace(&mut self.owned, entry, |entry| &entry.flow);
        remove(&mut self.strays, &flow, |entry| &entry.flow);
    }

    /// Records the initial sequence number of a flow's endpoint.
    ///
    /// Only the first call for a flow has an effect.
    pub fn record_isn(&mut self, flow: &Flow, isn: u32) {
        if let Some(owned) = find_mut(&mut self.owned, flow, |entry| &entry.flow) {
            owned.isn.get_or_insert(isn);
        }
    }

    /// Removes a flow whose endpoint has closed.
    pub fn remove_owned(&mut self, flow: &Flow) {
        remove(&mut self.owned, flow, |entry| &entry.flow);
    }

    /// Adds or renews a redirect to another agent that owns a flow.
    ///
    /// Ignored if the flow is owned and confirmed here, because the owner's statement is
    /// then outdated, or if the list of redirects is full.
    pub fn register_owner(&mut self, flow: Flow, owner: Hop, service: ServiceId, now: Millis) {
        if self.owns(&flow) || self.redirects.len() >= MAX_ENTRIES {
            return;
        }
        let entry = Redirect {
            flow,
            owner,
            service,
            until: now + REDIRECT_TTL,
        };
        insert_or_replace(&mut self.redirects, entry, |entry| &entry.flow);
        remove(&mut self.strays, &flow, |entry| &entry.flow);
    }

    /// Sets the live agents of `service`, sorted by node, and removes the redirects to owners
    /// that are not among them. An agent that was not known before may own any stray, so all
    /// strays are searched for anew.
    pub fn update_agents(&mut self, service: ServiceId, live: &[Hop]) {
        if live.iter().any(|hop| !self.agents.contains(hop)) {
            self.strays.clear();
        }
        self.agents = live.to_vec();
        let is_live = |owner: &Hop| {
            live.binary_search_by_key(&owner.node, |hop| hop.node)
                .is_ok_and(|index| live[index].incarnation == owner.incarnation)
        };
        self.redirects
            .retain(|entry| entry.service != service || is_live(&entry.owner));
    }

    /// Returns whether the flow is owned here and confirmed by its caller.
    #[must_use]
    pub fn owns(&self, flow: &Flow) -> bool {
        position(&self.owned, flow, |entry| &entry.flow)
            .is_ok_and(|index| self.owned[index].confirmed)
    }

    /// Returns the owned flows, sorted by flow.
    #[must_use]
    pub fn owned(&self) -> &[Owned] {
        &self.owned
    }

    /// Returns the redirects, sorted by flow.
    #[must_use]
    pub fn redirects(&self) -> &[Redirect] {
        &self.redirects
    }

    /// Returns the strays, sorted by flow.
    #[must_use]
    pub fn strays(&self) -> &[Stray] {
        &self.strays
    }

    /// Removes expired redirects, strays and half-open flows.
    ///
    /// Returns the expired half-open flows, whose endpoints are to be dropped without a
    /// reset to the caller.
    pub fn tick(&mut self, now: Millis) -> Vec<Flow> {
        self.redirects.retain(|entry| entry.until > now);
        self.strays.retain(|entry| entry.last + STRAY_TIMEOUT > now);
        let expired = |entry: &Owned| !entry.confirmed && entry.opened + HALF_OPEN_TIMEOUT <= now;
        let flows = self
            .owned
            .iter()
            .filter(|entry| expired(entry))
            .map(|entry| entry.flow)
            .collect();
        self.owned.retain(|entry| !expired(entry));
        flows
    }

    fn redirect(&self, flow: &Flow, now: Millis) -> Option<&Redirect> {
        let index = position(&self.redirects, flow, |entry| &entry.flow).ok()?;
        Some(&self.redirects[index]).filter(|entry| entry.until > now)
    }

    /// Decides on a packet that neither belongs to an owned flow nor opens a new one.
    fn decide_unowned(
        &mut self,
        local: &LocalState,
        header: &Header,
        view: &View,
        now: Millis,
    ) -> Action {
        if let Some(next) = header.chain.first() {
            return Action::Pass(*next);
        }
        if view.reset {
            return Action::Drop(Reason::Reset);
        }
        self.decide_stray(view.flow, local.convergence, now)
    }

    fn decide_stray(&mut self, flow: Flow, convergence: Millis, now: Millis) -> Action {
        let Some(stray) = find_mut(&mut self.strays, &flow, |entry| &entry.flow) else {
            if self.strays.len() < MAX_ENTRIES {
                let entry = Stray {
                    flow,
                    first: now,
                    last: now,
                    asked: now,
                    queries: 1,
                };
                insert_or_replace(&mut self.strays, entry, |entry| &entry.flow);
            }
            return Action::Ask;
        };
        stray.last = now;
        if now.since(stray.first) > convergence && stray.queries >= MIN_QUERIES {
            return Action::Reset;
        }
        if now.since(stray.asked) < OWNER_QUERY_INTERVAL {
            return Action::Drop(Reason::Stray);
        }
        stray.asked = now;
        stray.queries += 1;
        Action::Ask
    }
}

fn is_addressed_to(local: &LocalState, header: &Header) -> bool {
    header.target.node == local.hop.node
        && header.target.incarnation == local.hop.incarnation
        && header.service == local.service
}

fn pass_on_or(header: &Header, otherwise: Action) -> Action {
    header
        .chain
        .first()
        .map_or(otherwise, |next| Action::Pass(*next))
}

fn decide_opening(local: &LocalState, header: &Header, view: &View) -> Action {
    let matches = local.address == Some(view.flow.service);
    let accepts = local.accepts && matches;
    if accepts && (local.room || header.chain.is_empty()) {
        return Action::Accept;
    }
    let fallback = if matches {
        Action::Refuse
    } else {
        Action::Drop(Reason::Address)
    };
    pass_on_or(header, fallback)
}

/// Returns whether a packet belongs to an owned flow, and marks the flow as confirmed if
/// the packet acknowledges the endpoint's SYN-ACK.
fn confirm(owned: &mut Owned, view: &View) -> bool {
    if owned.confirmed || view.opening {
        return true;
    }
    let (Some(isn), Some(ack)) = (owned.isn, view.ack) else {
        // Without the endpoint's ISN or an acknowledgement number a reset cannot be
        // verified; it is taken as valid for the half-open flow.
        return view.reset;
    };
    if ack != isn.wrapping_add(1) {
        return false;
    }
    owned.confirmed = true;
    true
}

fn position<T>(table: &[T], flow: &Flow, key: impl Fn(&T) -> &Flow) -> Result<usize, usize> {
    table.binary_search_by(|entry| key(entry).cmp(flow))
}

fn find_mut<'a, T>(
    table: &'a mut [T],
    flow: &Flow,
    key: impl Fn(&T) -> &Flow,
) -> Option<&'a mut T> {
    let index = position(table, flow, key).ok()?;
    table.get_mut(index)
}

fn insert_or_replace<T>(table: &mut Vec<T>, entry: T, key: impl Fn(&T) -> &Flow) {
    match position(table, key(&entry), &key) {
        Ok(index) => table[index] = entry,
        Err(index) => table.insert(index, entry),
    }
}

fn remove<T>(table: &mut Vec<T>, flow: &Flow, key: impl Fn(&T) -> &Flow) {
    if let Ok(index) = position(table, flow, key) {
        table.remove(index);
    }
}
