//! UDP sockets with large receive buffers, and advertised addresses.

use std::{
    io,
    net::{SocketAddr, SocketAddrV4, UdpSocket},
};

/// Size of the receive buffer, in bytes.
const RECEIVE_BUFFER: usize = 4 * 1_024 * 1_024;

/// Binds a non-blocking socket whose receive buffer holds a burst of datagrams.
///
/// The buffer is 4 MiB, or less if the host's limit is lower. The first send on
/// a tokio socket created from it has to be awaited, because tokio does not
/// know yet that a new socket is writable.
pub fn bind(addr: SocketAddrV4) -> io::Result<UdpSocket> {
    let socket = UdpSocket::bind(addr)?;
    socket2::SockRef::from(&socket).set_recv_buffer_size(RECEIVE_BUFFER)?;
    socket.set_nonblocking(true)?;
    Ok(socket)
}

/// Returns the address that other hosts use for a bound socket: the `advertised` address
/// if there is one, otherwise the `bound` address.
///
/// Fails if only an IPv6 address is available.
pub fn advertised_addr(
    bound: SocketAddr,
    advertised: Option<SocketAddrV4>,
) -> io::Result<SocketAddrV4> {
    match (advertised, bound) {
        (Some(addr), _) | (None, SocketAddr::V4(addr)) => Ok(addr),
        (None, SocketAddr::V6(addr)) => {
            let message = format!("{addr} is not an IPv4 address");
            Err(io::Error::new(io::ErrorKind::InvalidInput, message))
        }
    }
}
