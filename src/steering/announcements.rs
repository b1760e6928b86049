//! Announcements of the ownership of flows to their home agents, and their withdrawal.

use std::mem;

use xxhash_rust::xxh3;

use super::{Context, Flows};
use crate::{
    chains::HOMES,
    clock::Millis,
    conntrack,
    header::Hop,
    owner_cache::{CLAIM_INTERVAL, Claim},
    packet::Flow,
    protocol::{MAX_FLOWS, Message},
    roster,
};

/// Number of agents to which an agent that shuts down hands what it knows of the flows of
/// others.
const SUCCESSORS: usize = 2;

/// Announcement to one agent of the claim to a flow.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Notice {
    to: Hop,
    claim: Claim,
    flow: Flow,
}

impl Flows {
    /// Takes the pending messages on the ownership of flows, each with its recipient:
    /// withdrawals of announcements, then announcements, at most [`MAX_FLOWS`] flows per
    /// message.
    pub fn take_notices(&mut self) -> Vec<(Hop, Message)> {
        let node = self.own_address.hop.node;
        let withdrawals = batch_withdrawals(mem::take(&mut self.withdrawals));
        let withdrawals = withdrawals.map(|(to, flows)| (to, Message::Unowned { node, flows }));
        withdrawals
            .chain(batch_notices(mem::take(&mut self.notices)))
            .collect()
    }

    /// Queues an announcement of an own flow to another agent.
    pub(super) fn notify(&mut self, to: Hop, entry: &conntrack::Entry) {
        let claim = Claim {
            owner: self.own_address,
            confirmed: entry.is_confirmed(),
        };
        let flow = entry.flow;
        self.notices.push(Notice { to, claim, flow });
    }

    /// Queues announcements to agents that have become homes of flows owned here.
    pub(super) fn update_homes(&mut self, context: &mut Context<'_>) {
        if self.homes_revision == Some(context.roster.revision()) {
            return;
        }
        self.homes_revision = Some(context.roster.revision());
        for at in 0..self.entries.len() {
            if self.entries[at].is_open() {
                self.notify_homes(context, at);
            }
        }
    }

    /// Confirms the owner of flows that stay open, so that two other agents know it even if the
    /// owner is the first home.
    pub(super) fn confirm_flows(&mut self, context: &mut Context<'_>) {
        for at in 0..self.entries.len() {
            if self.entries[at].awaits_confirmation(context.now) {
                self.confirm_flow(context, at);
            }
        }
    }

    /// Repeats the claims to recovered flows that cannot be confirmed yet, so that their homes
    /// still know them if this agent ends again.
    pub(super) fn repeat_claims(&mut self, context: &mut Context<'_>) {
        let is_due = |at| context.now.since(at) >= CLAIM_INTERVAL;
        if !self.claims_at.is_none_or(is_due) {
            return;
        }
        self.claims_at = Some(context.now);
        for at in 0..self.entries.len() {
            if self.entries[at].awaits_evidence() {
                self.entries[at].homes = conntrack::Homes::default();
                self.notify_homes(context, at);
            }
        }
    }

    /// Queues announcements of a flow to its homes that have not been notified.
    pub(super) fn notify_homes(&mut self, context: &mut Context<'_>, at: usize) {
        let mut entry = self.entries[at];
        let notified = entry.homes;
        entry.homes = conntrack::Homes::default();
        let count = if entry.announced { HOMES + 1 } else { HOMES };
        let hash = entry.flow.hash(context.seed);
        let chain = context.chains.chain(entry.origin, hash).take(count);
        for (at, candidate) in chain.enumerate() {
            let home = Some((candidate.hop.node, candidate.hop.incarnation));
            entry.homes[at] = home;
            if candidate.hop.node != self.own_address.hop.node && !notified.contains(&home) {
                self.notify(candidate.hop, &entry);
            }
        }
        self.entries[at] = entry;
    }

    /// Queues announcements of a flow to all agents of its chain, one of which may keep an
    /// earlier copy of its SYN.
    pub(super) fn notify_chain(&mut self, context: &mut Context<'_>, at: usize) {
        let entry = self.entries[at];
        let hash = entry.flow.hash(context.seed);
        let chain: Vec<_> = context.chains.chain(entry.origin, hash).collect();
        let own = self.own_address.hop.node;
        let others = chain.iter().filter(|candidate| candidate.hop.node != own);
        for candidate in others {
            self.notify(candidate.hop, &entry);
        }
    }

    /// Queues announcements of all that this agent knows of open flows, before it shuts down:
    /// of its own flows to their homes, and of claims of others that are announced here since
    /// `since` to two other agents.
    pub fn hand_over(&mut self, context: &mut Context<'_>, since: Millis) {
        for at in 0..self.entries.len() {
            let entry = self.entries[at];
            if entry.is_open() && entry.is_confirmed() && !entry.announced {
                self.confirm_flow(context, at);
            }
        }
        let successors = self.successors(context);
        let claims: Vec<_> = self.owners.announced_since(since).collect();
        for (flow, claim) in claims {
            let others = successors.iter();
            let others = others.filter(|to| to.node != claim.owner.hop.node);
            let notices = others.map(|to| Notice {
                to: *to,
                claim,
                flow,
            });
            self.notices.extend(notices);
        }
    }

    /// Withdraws the announcements of all flows, because their upstream is gone.
    pub fn withdraw_all(&mut self, context: &Context<'_>) {
        let entries = self.entries.iter();
        let withdrawals = entries.flat_map(|entry| announced_homes(context, entry));
        self.withdrawals.extend(withdrawals);
    }

    fn confirm_flow(&mut self, context: &mut Context<'_>, at: usize) {
        self.entries[at].announced = true;
        self.entries[at].homes = conntrack::Homes::default();
        self.notify_homes(context, at);
    }

    /// Returns the live agents that take over the claims known here: the first ones by
    /// rendezvous hashing, so that agents that shut down in turn choose different ones.
    fn successors(&self, context: &Context<'_>) -> Vec<Hop> {
        let own = self.own_address;
        let agents = context.roster.ready_agents(own.service).into_iter();
        let others = agents.filter(|entry| entry.node != own.hop.node);
        let mut hops: Vec<_> = others.filter_map(roster::Entry::hop).collect();
        hops.sort_by_key(|hop| xxh3::xxh3_64_with_seed(&hop.node.0.to_le_bytes(), own.hop.node.0));
        hops.truncate(SUCCESSORS);
        hops
    }
}

/// Groups withdrawn flows by recipient into messages of at most [`MAX_FLOWS`] flows.
fn batch_withdrawals(mut flows: Vec<(Hop, Flow)>) -> impl Iterator<Item = (Hop, Vec<Flow>)> {
    flows.sort_by_key(|(hop, flow)| (hop.node, *flow));
    flows.dedup();
    let groups = flows.chunk_by(|a, b| a.0 == b.0);
    let chunks = groups.flat_map(|group| group.chunks(MAX_FLOWS));
    let batches = chunks.map(|chunk| {
        let flows = chunk.iter().map(|(_, flow)| *flow).collect();
        (chunk[0].0, flows)
    });
    batches.collect::<Vec<_>>().into_iter()
}

/// Groups announcements by recipient, owner and confirmation into messages of at most
/// [`MAX_FLOWS`] flows.
fn batch_notices(mut notices: Vec<Notice>) -> Vec<(Hop, Message)> {
    let key = |notice: &Notice| {
        let owner = notice.claim.owner.hop;
        (notice.to.node, owner.node, notice.claim.confirmed)
    };
    notices.sort_by_key(|notice| (key(notice), notice.flow));
    notices.dedup();
    notices
        .chunk_by(|a, b| key(a) == key(b))
        .flat_map(|group| group.chunks(MAX_FLOWS))
        .map(|group| {
            let flows = group.iter().map(|notice| notice.flow).collect();
            let claim = group[0].claim;
            let owner = claim.owner;
            let message = if claim.confirmed {
                Message::Confirmed { owner, flows }
            } else {
                Message::Own { owner, flows }
            };
            (group[0].to, message)
        })
        .collect()
}

/// Returns the other agents to which a flow was announced.
pub(super) fn announced_homes(context: &Context<'_>, entry: &conntrack::Entry) -> Vec<(Hop, Flow)> {
    let homes = entry.homes.iter().flatten();
    let peers = homes.filter_map(|(node, _)| context.roster.find(*node));
    let hops = peers.filter_map(|peer| peer.entry.hop());
    hops.map(|hop| (hop, entry.flow)).collect()
}
