//! Sealed datagrams between nodes of pass-through services.

use std::{io, net::SocketAddrV4};

use log::debug;
use thiserror::Error;

use crate::{header, protocol, seal, socket::Socket};

/// Why a datagram of another node was dropped.
#[derive(Debug, Error)]
pub enum Error {
    /// Not sealed by a node of this fleet.
    #[error("datagram is not sealed by a node of this fleet")]
    Seal(#[from] seal::Error),
    /// Its header cannot be read.
    #[error(transparent)]
    Header(#[from] protocol::Error),
    /// Its message cannot be read.
    #[error("message cannot be read")]
    Message(#[from] rmp_serde::decode::Error),
    /// Of a kind that these nodes do not use.
    #[error("datagram of kind {0:?} is not used here")]
    Kind(seal::Kind),
}

/// What a datagram of another node holds.
#[derive(Debug)]
pub enum Content<'a> {
    /// A packet under way.
    Packet(protocol::Header, &'a [u8]),
    /// A message.
    Message(protocol::Message),
}

/// Seals what is sent and counts what could not be.
#[derive(Debug)]
pub struct Transport {
    sealer: seal::Sealer,
    head: Vec<u8>,
    sealed: Vec<u8>,
    unsent: u64,
}

impl Transport {
    /// A post under the fleet's secret.
    #[must_use]
    pub fn new(secret: &str) -> Self {
        Self {
            sealer: seal::Sealer::new(secret),
            head: Vec::new(),
            sealed: Vec::new(),
            unsent: 0,
        }
    }

    /// Seed of the flows' hashes, the same in the whole fleet.
    #[must_use]
    pub fn hash_seed(&self) -> u64 {
        self.sealer.flow_seed()
    }

    /// Datagrams that the host did not take.
    #[must_use]
    pub const fn unsent(&self) -> u64 {
        self.unsent
    }

    /// Opens a datagram of another node.
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

    /// Sends a packet to the first stop of its header.
    pub fn send_packet(&mut self, socket: &Socket, header: &protocol::Header, packet: &[u8]) {
        let Some(stop) = header.hops.first() else {
            return;
        };
        header::encode(header, &mut self.head);
        self.sealer
            .seal(seal::Kind::Packet, &[&self.head, packet], &mut self.sealed);
        let sent = socket.send(&self.sealed, stop.hop.addr);
        self.note(&sent, stop.hop.addr);
    }

    /// Sends a message.
    pub fn send_message(&mut self, socket: &Socket, to: SocketAddrV4, message: &protocol::Message) {
        self.head.clear();
        if let Err(error) = rmp_serde::encode::write(&mut self.head, message) {
            debug!(to:% = to, error:% = error; "message cannot be written");
            return;
        }
        self.sealer
            .seal(seal::Kind::Exchange, &[&self.head], &mut self.sealed);
        let sent = socket.send(&self.sealed, to);
        self.note(&sent, to);
    }

    /// Sends bytes as they are.
    pub fn send_raw(&mut self, socket: &Socket, to: SocketAddrV4, bytes: &[u8]) {
        let sent = socket.send(bytes, to);
        self.note(&sent, to);
    }

    fn note(&mut self, sent: &io::Result<()>, to: SocketAddrV4) {
        if let Err(error) = sent {
            self.unsent += 1;
            debug!(to:% = to, error:% = error; "datagram was not sent");
        }
    }
}
