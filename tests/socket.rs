//! Non-blocking UDP sockets: order of received datagrams, and no wakeups caused by
//! sending.

use std::{
    net::{Ipv4Addr, SocketAddr, SocketAddrV4, UdpSocket},
    thread,
    time::Duration,
};

use cassiacross::socket::{BURST, Socket};
use tokio::{runtime, task};
use yare::parameterized;

const LOCAL: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0);

/// Delay of the peer, so that a datagram has been sent completely before its answer
/// arrives.
const PAUSE: Duration = Duration::from_millis(1);

fn bind() -> (Socket, SocketAddrV4) {
    let socket = Socket::bind(LOCAL).expect("a port is free");
    let SocketAddr::V4(addr) = socket.local_addr().expect("socket has an address") else {
        unreachable!("socket is bound to an IPv4 address");
    };
    (socket, addr)
}

#[parameterized(
    one = { 1 },
    several = { 5 },
    more_than_a_burst = { 2 * BURST + 1 },
)]
#[test_macro(tokio::test)]
async fn datagrams_are_received_in_order(count: usize) {
    let ((from, source), (to, addr)) = (bind(), bind());
    for index in 0..count {
        from.send(&index.to_be_bytes(), addr)
            .expect("datagram is sent");
    }
    let mut received = Vec::new();
    while received.len() < count {
        to.readable().await.expect("socket becomes readable");
        let before = received.len();
        to.receive(|bytes, sender| {
            assert_eq!(sender, source);
            received.push(usize::from_be_bytes(
                bytes.try_into().expect("datagram holds an index"),
            ));
        });
        assert!(received.len() - before <= BURST);
    }
    assert_eq!(received, (0..count).collect::<Vec<_>>());
}

/// Exchanges datagrams with a slower peer and returns how often the runtime thread
/// parked.
fn park_count(datagrams: u64) -> u64 {
    let peer = UdpSocket::bind(LOCAL).expect("a port is free");
    let SocketAddr::V4(peer_addr) = peer.local_addr().expect("socket has an address") else {
        unreachable!("socket is bound to an IPv4 address");
    };
    let echo = thread::spawn(move || {
        let mut buffer = [0; 16];
        for _ in 0..datagrams {
            let (len, from) = peer.recv_from(&mut buffer).expect("datagram is received");
            thread::sleep(PAUSE);
            peer.send_to(&buffer[..len], from)
                .expect("datagram is sent");
        }
    });
    let runtime = runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.expect("runtime starts");
    let parked = runtime.block_on(async {
        let (socket, _) = bind();
        let metrics = runtime::Handle::current().metrics();
        let before = metrics.worker_park_count(0);
        let exchange = task::spawn(async move {
            for _ in 0..datagrams {
                socket
                    .send(b"datagram", peer_addr)
                    .expect("datagram is sent");
                socket.readable().await.expect("socket becomes readable");
                socket.receive(|_, _| {});
            }
        });
        exchange.await.expect("exchange task does not panic");
        metrics.worker_park_count(0) - before
    });
    echo.join().expect("echo thread does not panic");
    parked
}

#[test]
fn sending_does_not_wake_the_runtime() {
    let (few, many) = (park_count(10), park_count(110));
    assert!(
        many - few <= 110,
        "parked {few} times for 10 datagrams and {many} times for 110"
    );
}
