//! Non-blocking UDP sockets of pass-through nodes.

use std::{
    io,
    net::{SocketAddr, SocketAddrV4, UdpSocket},
};

use log::debug;
use tokio::io::{Interest, unix::AsyncFd};

use crate::udp;

/// Size of the receive buffer in bytes.
pub const MAX_LEN: usize = 2_048;

/// Maximum number of datagrams received at a time, so that other sockets are not starved.
pub const BURST: usize = 64;

/// UDP socket registered with the async runtime.
///
/// The socket is registered for read readiness only. With write readiness, the runtime
/// would wake the process after each datagram that has been sent. A datagram that the
/// host does not accept at once is dropped with an error.
#[derive(Debug)]
pub struct Socket(AsyncFd<UdpSocket>);

impl Socket {
    /// Binds a socket to an address.
    pub fn bind(addr: SocketAddrV4) -> io::Result<Self> {
        let socket = udp::bind(addr)?;
        // SAFETY: the socket owns its descriptor and keeps it open until it is dropped,
        // and nothing in this module takes it out or replaces it.
        let socket = unsafe { AsyncFd::register_with_interest(socket, Interest::READABLE) }?;
        Ok(Self(socket))
    }

    /// Waits until a datagram may be available.
    pub async fn readable(&self) -> io::Result<()> {
        self.0.readable().await.map(drop)
    }

    /// Receives the available datagrams, at most [`BURST`], and passes each with its
    /// source address to `handle`.
    pub fn receive(&self, mut handle: impl FnMut(&mut [u8], SocketAddrV4)) {
        let mut buffer = [0; MAX_LEN];
        for _ in 0..BURST {
            let read = |socket: &UdpSocket| socket.recv_from(&mut buffer);
            match self.0.try_io(Interest::READABLE, read) {
                Ok((len, SocketAddr::V4(from))) => handle(&mut buffer[..len], from),
                Ok((_, SocketAddr::V6(_))) => {}
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
                Err(error) => {
                    debug!(error:% = error; "cannot receive datagram");
                    return;
                }
            }
        }
    }

    /// Sends a datagram without waiting.
    pub fn send(&self, bytes: &[u8], to: SocketAddrV4) -> io::Result<()> {
        self.0.get_ref().send_to(bytes, to).map(drop)
    }

    /// Returns the address to which the socket is bound.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.0.get_ref().local_addr()
    }
}
