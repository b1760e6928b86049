//! Datagram sockets of nodes of pass-through services.

use std::{
    io,
    net::{SocketAddr, SocketAddrV4, UdpSocket},
};

use log::debug;
use tokio::io::{Interest, unix::AsyncFd};

use crate::udp;

/// Bytes of the longest datagram that is read.
pub const MAX_LEN: usize = 2_048;

/// Datagrams that are read from one socket before the others get their turn.
pub const BURST: usize = 64;

/// A socket of the runtime.
///
/// The runtime waits for datagrams only, not for room to send: it would wake the
/// process after each datagram that has left. What the host does not take at once
/// is not sent.
#[derive(Debug)]
pub struct Socket(AsyncFd<UdpSocket>);

impl Socket {
    /// Binds a socket.
    pub fn bind(addr: SocketAddrV4) -> io::Result<Self> {
        let socket = udp::bind(addr)?;
        // SAFETY: the socket owns its descriptor, keeps it until it is dropped, and
        // nothing here takes it out or replaces it.
        let socket = unsafe { AsyncFd::register_with_interest(socket, Interest::READABLE) }?;
        Ok(Self(socket))
    }

    /// Waits until something has arrived.
    pub async fn readable(&self) -> io::Result<()> {
        self.0.readable().await.map(drop)
    }

    /// Reads what has arrived, [`BURST`] datagrams at most.
    pub fn receive(&self, mut take: impl FnMut(&mut [u8], SocketAddrV4)) {
        let mut buffer = [0; MAX_LEN];
        for _ in 0..BURST {
            let read = |socket: &UdpSocket| socket.recv_from(&mut buffer);
            match self.0.try_io(Interest::READABLE, read) {
                Ok((len, SocketAddr::V4(from))) => take(&mut buffer[..len], from),
                Ok((_, SocketAddr::V6(_))) => {}
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
                Err(error) => {
                    debug!(error:% = error; "datagram was not received");
                    return;
                }
            }
        }
    }

    /// Sends a datagram.
    pub fn send(&self, bytes: &[u8], to: SocketAddrV4) -> io::Result<()> {
        self.0.get_ref().send_to(bytes, to).map(drop)
    }

    /// Where it is bound.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.0.get_ref().local_addr()
    }
}
