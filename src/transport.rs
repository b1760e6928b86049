//! Sends and opens sealed (authenticated) datagrams between nodes of pass-through
//! services, and paces all datagrams that leave the host.

use std::{mem, net::SocketAddrV4};

use log::debug;
use serde::Serialize;
use thiserror::Error;

use crate::{
    clock::Millis,
    header,
    pacer::{self, Class, Outlet, Verdict},
    protocol, seal,
    socket::Socket,
    traffic::{Cause, Traffic},
};

/// Error in opening a datagram.
#[derive(Debug, Error)]
pub enum Error {
    /// The seal is missing or was made with another fleet's key.
    #[error("datagram is not sealed with this fleet's key")]
    Seal(#[from] seal::Error),
    /// The packet header cannot be decoded.
    #[error(transparent)]
    Header(#[from] protocol::Error),
    /// The message cannot be decoded.
    #[error("cannot decode message")]
    Message(#[from] rmp_serde::decode::Error),
    /// The datagram has a kind that pass-through nodes do not use.
    #[error("unexpected datagram kind {0:?}")]
    Kind(seal::Kind),
}

/// Content of an opened datagram.
#[derive(Debug)]
pub enum Content<'a> {
    /// Forwarded packet with its header.
    Packet(protocol::Header, &'a [u8]),
    /// Message between nodes.
    Message(protocol::Message),
}

/// Sockets of a node. An agent uses the same one for both.
#[derive(Clone, Copy, Debug)]
pub struct Sockets<'a> {
    /// Socket for packets.
    pub packets: &'a Socket,
    /// Socket for messages between nodes.
    pub messages: &'a Socket,
}

/// How urgently a packet is sent, and how its repetitions are recognised.
#[derive(Clone, Copy, Debug)]
pub struct Priority {
    /// Class of the packet.
    pub class: Class,
    /// Equal for all repetitions of a packet, `None` if each is sent.
    pub key: Option<u64>,
}

/// Number of datagrams that were not sent, by reason.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Unsent {
    /// The socket did not accept them.
    pub failed: u64,
    /// They repeated a packet that waited for the link.
    pub repeated: u64,
    /// Too many datagrams waited for the link.
    pub overflowed: u64,
}

/// Seals, paces and sends datagrams, and counts the ones that are not sent.
#[derive(Debug)]
pub struct Transport {
    sealer: seal::Sealer,
    pacer: pacer::Pacer,
    encoded: Vec<u8>,
    sealed: Vec<u8>,
    unsent: Unsent,
    traffic: Traffic,
}

impl Transport {
    /// Creates a transport that seals with the fleet's secret, on a host whose link has
    /// this rate in Mbit/s.
    #[must_use]
    pub fn new(secret: &str, link_mbps: f64) -> Self {
        Self {
            sealer: seal::Sealer::new(secret),
            pacer: pacer::Pacer::new(link_mbps),
            encoded: Vec::new(),
            sealed: Vec::new(),
            unsent: Unsent::default(),
            traffic: Traffic::default(),
        }
    }

    /// Returns the seed of the flow hash, which is the same in the whole fleet.
    #[must_use]
    pub fn hash_seed(&self) -> u64 {
        self.sealer.flow_seed()
    }

    /// Returns the number of datagrams that were not sent.
    #[must_use]
    pub const fn unsent(&self) -> Unsent {
        Unsent {
            overflowed: self.unsent.overflowed + self.pacer.evicted(),
            ..self.unsent
        }
    }

    /// Returns what was sent, or waits for the link, by cause.
    #[must_use]
    pub const fn traffic(&self) -> &Traffic {
        &self.traffic
    }

    /// Returns the time that the waiting datagrams take up the link.
    #[must_use]
    pub fn link_delay(&self) -> Millis {
        self.pacer.delay()
    }

    /// Returns the time at which the next waiting datagram can be sent, or `None` if none
    /// waits.
    #[must_use]
    pub fn due(&self) -> Option<Millis> {
        self.pacer.due()
    }

    /// Verifies and decodes a datagram of another node.
    pub fn open<'a>(&self, datagram: &'a [u8]) -> Result<Content<'a>, Error> {
        match self.sealer.open(datagram)? {
            (seal::Kind::Packet, body) => {
                let (header, packet) = protocol::decode(body)?;
                Ok(Content::Packet(header, packet))
            }
            (seal::Kind::Exchange, body) => Ok(Content::Message(rmp_serde::from_slice(body)?)),
            (kind, _) => Err(Error::Kind(kind)),
        }
    }

    /// Sends a packet to the first hop of its header.
    pub fn send_packet(
        &mut self,
        sockets: Sockets<'_>,
        header: &protocol::Header,
        packet: &[u8],
        priority: Priority,
        now: Millis,
    ) {
        let Some(next) = header.hops.first() else {
            return;
        };
        header::encode(header, &mut self.encoded);
        let parts: [&[u8]; 2] = [&self.encoded, packet];
        self.sealer
            .seal(seal::Kind::Packet, &parts, &mut self.sealed);
        let datagram = mem::take(&mut self.sealed);
        self.traffic.record(Cause::Packet, datagram.len());
        self.submit(
            sockets,
            Outlet::Packets,
            next.hop.addr,
            &datagram,
            priority,
            now,
        );
        self.sealed = datagram;
    }

    /// Sends a message to another node.
    pub fn send_message(
        &mut self,
        sockets: Sockets<'_>,
        to: SocketAddrV4,
        message: &protocol::Message,
        now: Millis,
    ) {
        self.encoded.clear();
        if let Err(error) = rmp_serde::encode::write(&mut self.encoded, message) {
            debug!(to:% = to, error:% = error; "cannot encode message; not sent");
            return;
        }
        self.sealer
            .seal(seal::Kind::Exchange, &[&self.encoded], &mut self.sealed);
        let priority = Priority {
            class: message_class(message),
            key: None,
        };
        let datagram = mem::take(&mut self.sealed);
        self.traffic.record(Cause::of(message), datagram.len());
        self.submit(sockets, Outlet::Messages, to, &datagram, priority, now);
        self.sealed = datagram;
    }

    /// Sends a packet without a seal to a caller.
    pub fn send_to_caller(
        &mut self,
        sockets: Sockets<'_>,
        to: SocketAddrV4,
        packet: &[u8],
        class: Class,
        now: Millis,
    ) {
        let priority = Priority { class, key: None };
        self.traffic.record(Cause::Answer, packet.len());
        self.submit(sockets, Outlet::Packets, to, packet, priority, now);
    }

    /// Sends a packet to the upstream on this host, which takes nothing of the link.
    pub fn send_local(&mut self, socket: &Socket, to: SocketAddrV4, packet: &[u8]) {
        self.send_now(socket, to, packet);
    }

    /// Sends the waiting datagrams that the link can take now.
    pub fn send_due(&mut self, sockets: Sockets<'_>, now: Millis) {
        while let Some(datagram) = self.pacer.take(now) {
            let socket = outlet_socket(sockets, datagram.outlet);
            self.send_now(socket, datagram.to, &datagram.bytes);
        }
    }

    /// Sends a datagram, or lets it wait until the link can take it.
    fn submit(
        &mut self,
        sockets: Sockets<'_>,
        outlet: Outlet,
        to: SocketAddrV4,
        bytes: &[u8],
        priority: Priority,
        now: Millis,
    ) {
        let datagram = || pacer::Datagram {
            outlet,
            to,
            bytes: bytes.to_vec(),
        };
        let Priority { class, key } = priority;
        match self.pacer.submit(class, key, datagram, bytes.len(), now) {
            Verdict::Send => self.send_now(outlet_socket(sockets, outlet), to, bytes),
            Verdict::Queued => {}
            Verdict::Duplicate => self.unsent.repeated += 1,
            Verdict::Full => self.unsent.overflowed += 1,
        }
    }

    /// Sends a datagram at once. Counts and logs a failure.
    fn send_now(&mut self, socket: &Socket, to: SocketAddrV4, bytes: &[u8]) {
        if let Err(error) = socket.send(bytes, to) {
            self.unsent.failed += 1;
            debug!(to:% = to, error:% = error; "cannot send datagram; dropped");
        }
    }
}

const fn outlet_socket(sockets: Sockets<'_>, outlet: Outlet) -> &Socket {
    match outlet {
        Outlet::Packets => sockets.packets,
        Outlet::Messages => sockets.messages,
    }
}

/// Pages of the configuration must not delay packets; all other messages go first.
const fn message_class(message: &protocol::Message) -> Class {
    match message {
        protocol::Message::ConfigPage(_) => Class::Bulk,
        _ => Class::Control,
    }
}
