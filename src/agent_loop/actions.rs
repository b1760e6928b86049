//! Carries out the decisions of an agent: delivers, forwards and answers packets, and probes
//! the upstream.

use std::{
    io,
    net::{Ipv4Addr, SocketAddr, SocketAddrV4},
    time::Duration,
};

use log::debug;
use tokio::{net::TcpStream, time};

use super::AgentLoop;
use crate::{ident, pacer, protocol, socket, steering, transport};

/// Timeout of a connection probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);

/// Priority of packets that an agent forwards to another one.
const FORWARDED: transport::Priority = transport::Priority {
    class: pacer::Class::Normal,
    key: None,
};

impl AgentLoop {
    /// Carries out the action of a decision on `packet`.
    pub(super) fn perform(&mut self, action: steering::Action, packet: &mut [u8]) {
        match action {
            steering::Action::Deliver(token) => {
                (self.codec.stamp)(packet, token);
                let upstream = self.settings.upstream;
                self.transport
                    .send_local(&self.upstream_socket, upstream, packet);
            }
            steering::Action::Send(header) => {
                (self.codec.stamp)(packet, 0);
                self.forward(&header, packet);
            }
            steering::Action::Resend(header, bytes) => self.forward(&header, &bytes),
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
                self.send_message(requester.addr, &message);
            }
            steering::Action::ReplyOwner(requester, flow, claim) => {
                let message = protocol::Message::Confirmed {
                    owner: claim.owner,
                    flows: vec![flow],
                };
                self.send_message(requester.addr, &message);
            }
            steering::Action::Reset(flow, seq, _) => {
                let reset = (self.codec.reset)(&flow, seq);
                self.send_to_caller(*flow.caller.ip(), &reset, pacer::Class::Control);
            }
            steering::Action::Probe => self.probe(),
            steering::Action::Drop(_) | steering::Action::Answer => {}
        }
    }

    /// Sends a packet to each of the agents, and on along its chain.
    fn send_search(
        &mut self,
        mut header: protocol::Header,
        nodes: &[ident::NodeId],
        packet: &mut [u8],
    ) {
        (self.codec.stamp)(packet, 0);
        let roster = self.peers.roster();
        let known = nodes
            .iter()
            .filter_map(|node| roster.find(*node)?.entry.hop());
        let hops: Vec<_> = known.collect();
        if header.hops.len() > 1 {
            let mut rest = header.clone();
            rest.mode = protocol::Mode::Chain;
            rest.hops.remove(0);
            self.forward(&rest, packet);
        }
        for hop in hops {
            header.hops = vec![protocol::ServiceHop {
                service: self.service,
                hop,
            }];
            self.forward(&header, packet);
        }
    }

    /// Forwards a packet to another agent.
    fn forward(&mut self, header: &protocol::Header, packet: &[u8]) {
        let now = self.clock.now();
        let sockets = single_socket(&self.packet_socket);
        self.transport
            .send_packet(sockets, header, packet, FORWARDED, now);
    }

    pub(super) fn send_message(&mut self, to: SocketAddrV4, message: &protocol::Message) {
        let now = self.clock.now();
        let sockets = single_socket(&self.packet_socket);
        self.transport.send_message(sockets, to, message, now);
    }

    /// Sends a packet to a caller.
    pub(super) fn send_to_caller(&mut self, ip: Ipv4Addr, bytes: &[u8], class: pacer::Class) {
        let to = SocketAddrV4::new(ip, self.settings.packets.port());
        let now = self.clock.now();
        let sockets = single_socket(&self.packet_socket);
        self.transport
            .send_to_caller(sockets, to, bytes, class, now);
    }

    /// Opens a connection to the upstream in a separate task. Only a refused connection
    /// proves that the upstream no longer listens.
    fn probe(&self) {
        let upstream = SocketAddr::V4(self.settings.upstream);
        let probe_results = self.probe_results.clone();
        tokio::spawn(async move {
            let listens = match time::timeout(PROBE_TIMEOUT, TcpStream::connect(upstream)).await {
                Ok(Ok(_stream)) => true,
                Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => false,
                Ok(Err(error)) => {
                    debug!(error:% = error; "upstream probe was inconclusive");
                    return;
                }
                Err(_elapsed) => {
                    debug!("upstream probe timed out");
                    return;
                }
            };
            if probe_results.send(listens).await.is_err() {
                debug!("agent stopped before its upstream probe finished");
            }
        });
    }

    /// Records service times, and sends pending announcements and messages.
    pub(super) fn flush(&mut self) {
        for service_time in self.flows.drain_service_times() {
            self.telemetry.observe_service_time(service_time);
        }
        for (hop, message) in self.flows.take_notices() {
            self.send_message(hop.addr, &message);
        }
        let now = self.clock.now();
        let sockets = single_socket(&self.packet_socket);
        for (to, message) in self.peers.outgoing() {
            self.transport.send_message(sockets, to, &message, now);
        }
        self.transport.send_due(sockets, now);
    }
}

const fn single_socket(socket: &socket::Socket) -> transport::Sockets<'_> {
    transport::Sockets {
        packets: socket,
        messages: socket,
    }
}
