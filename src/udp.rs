//! Sockets for packets, which arrive in bursts, and the addresses that others reach.

use std::{
    io,
    net::{SocketAddr, SocketAddrV4, UdpSocket},
};

const RECEIVE_LEN: usize = 4 * 1_024 * 1_024;

/// Binds a socket that does not block and holds a burst of datagrams.
///
/// The receive buffer is 4 MiB, or what the host grants of it. The first send
/// on a tokio socket made of it has to be awaited, since a new socket is not
/// known to be writable.
pub fn bind(addr: SocketAddrV4) -> io::Result<UdpSocket> {
    let socket = UdpSocket::bind(addr)?;
    socket2::SockRef::from(&socket).set_recv_buffer_size(RECEIVE_LEN)?;
    socket.set_nonblocking(true)?;
    Ok(socket)
}

/// Where others reach a bound address: as advertised, or else as bound.
///
/// Fails for an IPv6 address that nothing is advertised for.
pub fn advertised_addr(
    bound: SocketAddr,
    advertised: Option<SocketAddrV4>,
) -> io::Result<SocketAddrV4> {
    match (advertised, bound) {
        (Some(addr), _) | (None, SocketAddr::V4(addr)) => Ok(addr),
        (None, SocketAddr::V6(addr)) => {
            let what = format!("{addr} is not an IPv4 address");
            Err(io::Error::new(io::ErrorKind::InvalidInput, what))
        }
    }
}
