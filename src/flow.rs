//! What an agent does with a caller's packet: a decision over its tables of flows.

use serde::Serialize;

use crate::{
    clock::Millis,
    header::{Header, Hop},
    ident::ServiceId,
    packet::{Flow, View},
};

/// Time after which an opened flow that the caller did not confirm is forgotten.
pub const HALF_OPEN_TIMEOUT: Millis = Millis(8_000);

/// Time for which a redirect holds after its owner last stated it.
pub const REDIRECT_TTL: Millis = Millis(30_000);

/// Time between two questions for the owner of one flow.
pub const OWNER_QUERY_INTERVAL: Millis = Millis(100);

/// Time for which a stray is remembered after its last packet.
pub const STRAY_TIMEOUT: Millis = Millis(60_000);

/// Redirects and strays that one agent remembers.
pub const MAX_ENTRIES: usize = 65_536;

/// A flow that this agent's endpoint ends.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Owned {
    /// The flow.
    pub flow: Flow,
    /// When its opening packet came.
    pub opened: Millis,
    /// Initial sequence number of the endpoint, once it has answered.
    pub isn: Option<u32>,
    /// Whether the caller has acknowledged the endpoint's answer.
    pub confirmed: bool,
}

/// A flow that another agent has stated to own.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Redirect {
    /// The flow.
    pub flow: Flow,
    /// Its owner.
    pub owner: Hop,
    /// The owner's service.
    pub service: ServiceId,
    /// When the entry ends.
    pub until: Millis,
}

/// A flow whose owner is not known here although its packets arrive.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Stray {
    /// The flow.
    pub flow: Flow,
    /// Its first packet.
    pub first: Millis,
    /// Its last packet.
    pub last: Millis,
    /// The last question for its owner.
    pub asked: Millis,
}

/// The flows that an agent knows of, each table sorted by flow.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Table {
    owned: Vec<Owned>,
    redirects: Vec<Redirect>,
    strays: Vec<Stray>,
}

/// What an agent is at the time of a decision.
#[derive(Clone, Copy, Debug)]
pub struct LocalState {
    /// The agent itself.
    pub hop: Hop,
    /// The service of its upstream.
    pub service: ServiceId,
    /// The service's address in force here.
    pub address: Option<std::net::SocketAddrV4>,
    /// Whether the upstream takes new flows at all.
    pub accepts: bool,
    /// Whether a new flow would find a free slot.
    pub room: bool,
    /// Time that the tables of all processes take to agree.
    pub convergence: Millis,
}

/// Why a packet was dropped.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Serialize)]
pub enum Reason {
    /// Meant for another agent, an earlier run or another service.
    Target,
    /// The owner is not known, and has been asked for a moment ago.
    Stray,
    /// Opens a flow to an address that the service does not have.
    Address,
    /// Resets a flow that is not known.
    Reset,
}

/// What to do with a packet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Action {
    /// Hand it to the flow's endpoint.
    Deliver,
    /// Open an endpoint and hand it over.
    Accept,
    /// Send it to the next candidate of its chain.
    Pass(Hop),
    /// Send it to the owner, which serves `service`.
    Forward {
        /// The owner.
        owner: Hop,
        /// The owner's service.
        service: ServiceId,
    },
    /// Ask the other agents of the service for the owner, and drop the packet.
    Ask,
    /// Refuse a new flow with a reset.
    Refuse,
    /// Reset a flow that nobody owns.
    Reset,
    /// Drop it.
    Drop(Reason),
}

impl Table {
    /// Decides on a packet; notes strays and confirmations.
    pub fn decide(
        &mut self,
        local: &LocalState,
        header: &Header,
        view: &View,
        now: Millis,
    ) -> Action {
        if !is_for(local, header) {
            return pass_or(header, Action::Drop(Reason::Target));
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
            return open(local, header, view);
        }
        self.unknown(local, header, view, now)
    }

    /// Adds a flow that an endpoint was opened for.
    pub fn accept(&mut self, flow: Flow, now: Millis) {
        let entry = Owned {
            flow,
            opened: now,
            isn: None,
            confirmed: false,
        };
        upsert(&mut self.owned, entry, |entry| &entry.flow);
        remove(&mut self.strays, &flow, |entry| &entry.flow);
    }

    /// Notes the initial sequence number of a flow's endpoint.
    pub fn record_isn(&mut self, flow: &Flow, isn: u32) {
        if let Some(owned) = find_mut(&mut self.owned, flow, |entry| &entry.flow) {
            owned.isn.get_or_insert(isn);
        }
    }

    /// Forgets a flow whose endpoint has ended.
    pub fn remove_owned(&mut self, flow: &Flow) {
        remove(&mut self.owned, flow, |entry| &entry.flow);
    }

    /// Notes that another agent owns a flow.
    ///
    /// A flow owned and confirmed here stays; the other statement is older.
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
        upsert(&mut self.redirects, entry, |entry| &entry.flow);
        remove(&mut self.strays, &flow, |entry| &entry.flow);
    }

    /// Forgets redirects of `service` to owners that are not among `live`, sorted by node.
    pub fn retain_owners(&mut self, service: ServiceId, live: &[Hop]) {
        let is_live = |owner: &Hop| {
            live.binary_search_by_key(&owner.node, |hop| hop.node)
                .is_ok_and(|index| live[index].incarnation == owner.incarnation)
        };
        self.redirects
            .retain(|entry| entry.service != service || is_live(&entry.owner));
    }

    /// Whether the flow is owned here and confirmed by its caller.
    #[must_use]
    pub fn owns(&self, flow: &Flow) -> bool {
        position(&self.owned, flow, |entry| &entry.flow)
            .is_ok_and(|index| self.owned[index].confirmed)
    }

    /// The flows owned here, sorted.
    #[must_use]
    pub fn owned(&self) -> &[Owned] {
        &self.owned
    }

    /// The redirects held here, sorted by flow.
    #[must_use]
    pub fn redirects(&self) -> &[Redirect] {
        &self.redirects
    }

    /// The strays held here, sorted by flow.
    #[must_use]
    pub fn strays(&self) -> &[Stray] {
        &self.strays
    }

    /// Forgets what has lapsed; gives the half-open flows to drop in silence.
    pub fn tick(&mut self, now: Millis) -> Vec<Flow> {
        self.redirects.retain(|entry| entry.until > now);
        self.strays.retain(|entry| entry.last + STRAY_TIMEOUT > now);
        let lapsed = |entry: &Owned| !entry.confirmed && entry.opened + HALF_OPEN_TIMEOUT <= now;
        let flows = self
            .owned
            .iter()
            .filter(|entry| lapsed(entry))
            .map(|entry| entry.flow)
            .collect();
        self.owned.retain(|entry| !lapsed(entry));
        flows
    }

    fn redirect(&self, flow: &Flow, now: Millis) -> Option<&Redirect> {
        let index = position(&self.redirects, flow, |entry| &entry.flow).ok()?;
        Some(&self.redirects[index]).filter(|entry| entry.until > now)
    }

    fn unknown(&mut self, local: &LocalState, header: &Header, view: &View, now: Millis) -> Action {
        if let Some(next) = header.chain.first() {
            return Action::Pass(*next);
        }
        if view.reset {
            return Action::Drop(Reason::Reset);
        }
        self.stray(view.flow, local.convergence, now)
    }

    fn stray(&mut self, flow: Flow, convergence: Millis, now: Millis) -> Action {
        let Some(stray) = find_mut(&mut self.strays, &flow, |entry| &entry.flow) else {
            if self.strays.len() < MAX_ENTRIES {
                let entry = Stray {
                    flow,
                    first: now,
                    last: now,
                    asked: now,
                };
                upsert(&mut self.strays, entry, |entry| &entry.flow);
            }
            return Action::Ask;
        };
        stray.last = now;
        if now.since(stray.first) > convergence {
            return Action::Reset;
        }
        if now.since(stray.asked) < OWNER_QUERY_INTERVAL {
            return Action::Drop(Reason::Stray);
        }
        stray.asked = now;
        Action::Ask
    }
}

fn is_for(local: &LocalState, header: &Header) -> bool {
    header.target.node == local.hop.node
        && header.target.incarnation == local.hop.incarnation
        && header.service == local.service
}

fn pass_or(header: &Header, otherwise: Action) -> Action {
    header
        .chain
        .first()
        .map_or(otherwise, |next| Action::Pass(*next))
}

fn open(local: &LocalState, header: &Header, view: &View) -> Action {
    let fits = local.address == Some(view.flow.service);
    let takes = local.accepts && fits;
    if takes && (local.room || header.chain.is_empty()) {
        return Action::Accept;
    }
    let last = if fits {
        Action::Refuse
    } else {
        Action::Drop(Reason::Address)
    };
    pass_or(header, last)
}

fn confirm(owned: &mut Owned, view: &View) -> bool {
    if owned.confirmed || view.opening {
        return true;
    }
    let (Some(isn), Some(ack)) = (owned.isn, view.ack) else {
        // A reset without ACK fits the half-open flow as far as can be told.
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

fn upsert<T>(table: &mut Vec<T>, entry: T, key: impl Fn(&T) -> &Flow) {
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
