//! Turns the decisions of an agent into what is sent.

use super::{AgentCore, Output};
use crate::{ident, pacer, protocol, steering};

impl AgentCore {
    /// Carries out the action of a decision on `packet`.
    pub(super) fn perform(&mut self, action: steering::Action, packet: &mut [u8]) {
        match action {
            steering::Action::Deliver(token) => self.deliver(token, packet.to_vec()),
            steering::Action::DeliverHeld(token, bytes) => self.deliver(token, bytes),
            steering::Action::Send(header) => {
                (self.codec.stamp)(packet, 0);
                let output = Output::Forward(header, packet.to_vec());
                self.outputs.push(output);
            }
            steering::Action::Resend(header, bytes) => {
                self.outputs.push(Output::Forward(header, bytes));
            }
            steering::Action::Search(header, nodes) => {
                self.send_search(header, &nodes, packet);
            }
            steering::Action::ReplySearch(requester, flow, reply) => {
                let me = self.peers.roster().me();
                let message = protocol::Message::Searched {
                    node: me.node,
                    incarnation: me.incarnation,
                    flow,
                    reply,
                };
                self.outputs.push(Output::Message(requester.addr, message));
            }
            steering::Action::ReplyOwner(requester, flow, claim) => {
                let message = protocol::Message::Confirmed {
                    owner: claim.owner,
                    flows: vec![flow],
                };
                self.outputs.push(Output::Message(requester.addr, message));
            }
            steering::Action::Reset(flow, seq, _) => {
                let reset = (self.codec.reset)(&flow, seq);
                let caller = *flow.caller.ip();
                let output = Output::Answer(caller, reset, pacer::Class::Control);
                self.outputs.push(output);
            }
            steering::Action::Probe => self.outputs.push(Output::Probe),
            steering::Action::Hold | steering::Action::Drop(_) | steering::Action::Answer => {}
        }
    }

    fn deliver(&mut self, token: u32, mut packet: Vec<u8>) {
        (self.codec.stamp)(&mut packet, token);
        self.outputs.push(Output::Deliver(packet));
    }

    /// Sends a packet to each of the agents, and on along its chain.
    fn send_search(
        &mut self,
        mut header: protocol::Header,
        nodes: &[ident::NodeId],
        packet: &mut [u8],
    ) {
        (self.codec.stamp)(packet, 0);
        if header.hops.len() > 1 {
            let mut rest = header.clone();
            rest.mode = protocol::Mode::Chain;
            rest.hops.remove(0);
            self.outputs.push(Output::Forward(rest, packet.to_vec()));
        }
        let roster = self.peers.roster();
        let entry = |node: &ident::NodeId| {
            let me = roster.me();
            let peer = || roster.find(*node).map(|peer| &peer.entry);
            if me.node == *node { Some(me) } else { peer() }
        };
        let known = nodes.iter().filter_map(|node| entry(node)?.hop());
        for hop in known {
            header.hops = vec![protocol::ServiceHop {
                service: self.service,
                hop,
            }];
            let output = Output::Forward(header.clone(), packet.to_vec());
            self.outputs.push(output);
        }
    }

    /// Records service times, and adds pending announcements and messages to the outputs.
    pub(super) fn flush(&mut self) {
        for service_time in self.flows.drain_service_times() {
            self.telemetry.observe_service_time(service_time);
        }
        let notices = self.flows.take_notices().into_iter();
        let notices = notices.map(|(hop, message)| Output::Message(hop.addr, message));
        self.outputs.extend(notices);
        let messages = self.peers.outgoing();
        let messages = messages.map(|(to, message)| Output::Message(to, message));
        self.outputs.extend(messages);
    }
}
