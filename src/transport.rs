//! Sends and opens sealed (authenticated) datagrams between nodes of pass-through
//! services.

use std::{io, net::SocketAddrV4};

use log::debug;
use thiserror::Error;

use crate::{header, protocol, seal, socket::Socket};

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

/// Seals and sends datagrams, and counts the ones that could not be sent.
#[derive(Debug)]
pub struct Transport {
    sealer: seal::Sealer,
    encoded: Vec<u8>,
    sealed: Vec<u8>,
    unsent: u64,
}

impl Transport {
    /// Creates a transport that seals with the fleet's secret.
    #[must_use]
    pub fn new(secret: &str) -> Self {
        Self {
            sealer: seal::Sealer::new(secret),
            encoded: Vec::new(),
            sealed: Vec::new(),
            unsent: 0,
        }
    }

    /// Returns the seed of the flow hash, which is the same in the whole fleet.
    #[must_use]
    pub fn hash_seed(&self) -> u64 {
        self.sealer.flow_seed()
    }

    /// Returns the number of datagrams that the socket did not accept.
    #[must_use]
    pub const fn unsent(&self) -> u64 {
        self.unsent
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
    pub fn send_packet(&mut self, socket: &Socket, header: &protocol::Header, packet: &[u8]) {
        let Some(next) = header.hops.first() else {
            return;
        };
        header::encode(header, &mut self.encoded);
        self.sealer.seal(
            seal::Kind::Packet,
            &[&self.encoded, packet],
            &mut self.sealed,
        );
        let result = socket.send(&self.sealed, next.hop.addr);
        self.count_failure(&result, next.hop.addr);
    }

    /// Sends a message to another node.
    pub fn send_message(&mut self, socket: &Socket, to: SocketAddrV4, message: &protocol::Message) {
        self.encoded.clear();
        if let Err(error) = rmp_serde::encode::write(&mut self.encoded, message) {
            debug!(to:% = to, error:% = error; "cannot encode message; not sent");
            return;
        }
        self.sealer
            .seal(seal::Kind::Exchange, &[&self.encoded], &mut self.sealed);
        let result = socket.send(&self.sealed, to);
        self.count_failure(&result, to);
    }

    /// Sends a datagram without a seal.
    pub fn send_raw(&mut self, socket: &Socket, to: SocketAddrV4, bytes: &[u8]) {
        let result = socket.send(bytes, to);
        self.count_failure(&result, to);
    }

    /// Counts and logs a failed send.
    fn count_failure(&mut self, result: &io::Result<()>, to: SocketAddrV4) {
        if let Err(error) = result {
            self.unsent += 1;
            debug!(to:% = to, error:% = error; "cannot send datagram; dropped");
        }
    }
}
