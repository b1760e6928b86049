//! Messages between agents on who owns a flow, and the recovery of the own flows after a
//! restart.

use std::net::SocketAddrV4;

use log::info;

use super::{AgentCore, Output};
use crate::{
    clock::Millis,
    flow_recovery,
    ident::{Incarnation, NodeId},
    packet::Flow,
    protocol::{Message, Reply, ServiceHop},
};

/// Time for which crashes of other agents are reported to one that recovers its flows.
const CRASH_SPAN: Millis = Millis(10_000);

impl AgentCore {
    /// Handles a message of another node.
    pub fn handle_message(&mut self, from: SocketAddrV4, message: Message, now: Millis) {
        self.now = now;
        match message {
            Message::Own { owner, flows } => self.learn_owners(owner, &flows, false),
            Message::Confirmed { owner, flows } => self.learn_owners(owner, &flows, true),
            Message::Unowned { node, flows } => {
                let run = self.peers.roster().find(node);
                let run = run.map(|peer| peer.entry.incarnation).unwrap_or_default();
                for flow in flows {
                    self.record_reply(node, run, flow, Reply::NotOwned);
                }
            }
            Message::Searched {
                node,
                incarnation,
                flow,
                reply,
            } => self.record_reply(node, incarnation, flow, reply),
            Message::WantFlows(request) => self.send_flows(from, request),
            Message::OwnedFlows(page) => self.receive_flows(from, &page),
            message => self.peers.receive(from, message, now),
        }
    }

    /// Announces all known owners of flows to other agents before this one shuts down.
    pub(super) fn hand_over(&mut self, since: Millis) {
        self.decide(|flows, context| flows.hand_over(context, since));
    }

    /// Requests the flows of the upstream from other agents while they are not known.
    pub(super) fn recover_flows(&mut self) {
        let now = self.now;
        let roster = self.peers.roster();
        let requests = self.recovery.requests(roster, self.service, now);
        let known = requests.into_iter().filter_map(|(node, request)| {
            let address = roster.find(node)?.entry.control;
            Some((address, request))
        });
        let messages: Vec<_> = known.collect();
        let settled = self.flows.may_judge(roster, now);
        for (to, request) in messages {
            self.outputs
                .push(Output::Message(to, Message::WantFlows(request)));
        }
        if self.recovery.update(settled, now) {
            info!(
                tracking:? = self.recovery.tracking(),
                flows = self.flows.entries().len(),
                after_ms = now.0;
                "recovery of the flow table ended"
            );
        }
    }

    /// Records the reply of another agent to a search, and goes on with the search.
    fn record_reply(&mut self, node: NodeId, run: Incarnation, flow: Flow, reply: Reply) {
        self.flows.record_reply(node, run, &flow, reply);
        let next = self.decide(|flows, context| flows.continue_search(context, &flow));
        if let Some(action) = next {
            self.log_decision(Some(flow), &action);
            self.perform(action, &mut []);
        }
    }

    fn learn_owners(&mut self, owner: ServiceHop, flows: &[Flow], confirmed: bool) {
        let is_own = owner.hop.node == self.peers.roster().me().node;
        if is_own && confirmed {
            let adopted = flows.iter().map(|flow| flow_recovery::OwnedFlow {
                flow: *flow,
                confirmed,
            });
            let adopted: Vec<_> = adopted.collect();
            self.decide(|table, context| table.adopt(context, &adopted));
        } else {
            let now = self.now;
            self.flows.learn_owners(owner, flows, confirmed, now);
        }
    }

    /// Sends a page of the flows that another agent owns.
    fn send_flows(&mut self, to: SocketAddrV4, request: flow_recovery::Request) {
        let now = self.now;
        let roster = self.peers.roster();
        let me = roster.me();
        let owner = roster.find(request.owner);
        let mut flows: Vec<_> = self
            .flows
            .known_flows(request.owner, request.after)
            .take(flow_recovery::MAX_FLOWS + 1)
            .collect();
        let more = flows.len() > flow_recovery::MAX_FLOWS;
        flows.truncate(flow_recovery::MAX_FLOWS);
        let page = flow_recovery::Page {
            node: me.node,
            incarnation: me.incarnation,
            after: request.after,
            flows,
            more,
            uptime: now,
            predecessor: owner.and_then(|peer| peer.previous),
            crashes: roster.recent_crashes(self.service, request.owner, CRASH_SPAN, now),
        };
        self.outputs
            .push(Output::Message(to, Message::OwnedFlows(page)));
    }

    fn receive_flows(&mut self, from: SocketAddrV4, page: &flow_recovery::Page) {
        if !self.recovery.is_running() {
            return;
        }
        self.decide(|flows, context| flows.adopt(context, &page.flows));
        let now = self.now;
        let me = self.peers.roster().me().node;
        if let Some(request) = self.recovery.receive(page, me, now) {
            self.outputs
                .push(Output::Message(from, Message::WantFlows(request)));
        }
    }
}
