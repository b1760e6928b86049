//! Tests the fault-injecting UDP and TCP proxies in front of echo servers.

use std::{
    io,
    net::{Ipv4Addr, SocketAddr},
    time::Duration,
};

use standins::{
    faults::Faults,
    proxy::{
        tcp::{self, Mode},
        udp::{self, Direction},
    },
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream, UdpSocket},
    time,
};
use yare::parameterized;

const TEST_TIMEOUT: Duration = Duration::from_mins(1);
const QUIET_TIMEOUT: Duration = Duration::from_millis(100);
const BURST_LEN: u8 = 100;

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("building the runtime succeeds");
    runtime.block_on(async {
        time::timeout(TEST_TIMEOUT, test)
            .await
            .expect("the test completes before the timeout");
    });
}

async fn socket() -> UdpSocket {
    UdpSocket::bind((Ipv4Addr::LOCALHOST, 0))
        .await
        .expect("binding a socket succeeds")
}

/// Starts a UDP echo server that prefixes each datagram with `mark`.
async fn udp_echo(mark: u8) -> SocketAddr {
    let socket = socket().await;
    let addr = socket.local_addr().expect("the socket has an address");
    tokio::spawn(async move {
        let mut buffer = [0; 64];
        loop {
            let (len, from) = socket
                .recv_from(&mut buffer)
                .await
                .expect("receiving a datagram succeeds");
            let response = [&[mark], &buffer[..len]].concat();
            socket
                .send_to(&response, from)
                .await
                .expect("sending a datagram succeeds");
        }
    });
    addr
}

async fn tcp_echo() -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))
        .await
        .expect("binding a listener succeeds");
    let addr = listener.local_addr().expect("the socket has an address");
    tokio::spawn(async move {
        loop {
            let (socket, _peer) = listener
                .accept()
                .await
                .expect("accepting a connection succeeds");
            tokio::spawn(async move {
                let (mut reader, mut writer) = socket.into_split();
                drop(tokio::io::copy(&mut reader, &mut writer).await);
            });
        }
    });
    addr
}

async fn receive(socket: &UdpSocket) -> Vec<u8> {
    let mut buffer = [0; 64];
    let (len, _from) = socket
        .recv_from(&mut buffer)
        .await
        .expect("receiving a datagram succeeds");
    buffer[..len].to_vec()
}

async fn receives_nothing(socket: &UdpSocket) -> bool {
    time::timeout(QUIET_TIMEOUT, receive(socket)).await.is_err()
}

async fn send(socket: &UdpSocket, proxy: &udp::Proxy, number: u8) {
    socket
        .send_to(&[number], proxy.addr())
        .await
        .expect("sending a datagram succeeds");
}

/// Sends 100 numbered datagrams and returns the sending socket.
async fn burst(proxy: &udp::Proxy) -> UdpSocket {
    let socket = socket().await;
    for number in 0..BURST_LEN {
        send(&socket, proxy, number).await;
    }
    socket
}

/// Sends a burst and returns the first `count` responses, in the order of their arrival.
async fn responses(proxy: &udp::Proxy, count: usize) -> Vec<Vec<u8>> {
    let socket = burst(proxy).await;
    let mut responses = Vec::new();
    while responses.len() < count {
        responses.push(receive(&socket).await);
    }
    responses
}

/// Sends a burst and counts the responses before the response to a final marker datagram, which is
/// repeated until it is answered.
async fn count_responses(proxy: &udp::Proxy) -> usize {
    let socket = burst(proxy).await;
    let mut count = 0;
    loop {
        send(&socket, proxy, BURST_LEN).await;
        while let Ok(response) = time::timeout(QUIET_TIMEOUT, receive(&socket)).await {
            if response[1] == BURST_LEN {
                return count;
            }
            count += 1;
        }
    }
}

fn is_complete(responses: &[Vec<u8>]) -> bool {
    let mut numbers: Vec<u8> = responses.iter().map(|response| response[1]).collect();
    numbers.sort_unstable();
    numbers == (0..BURST_LEN).collect::<Vec<u8>>()
}

#[parameterized(
    forward = { Direction::Forward },
    backward = { Direction::Backward },
)]
fn udp_faults(direction: Direction) {
    run(async move {
        let all = usize::from(BURST_LEN);
        let proxy = udp::start(Some(udp_echo(1).await), 5).expect("starting the proxy succeeds");
        assert!(is_complete(&responses(&proxy, all).await));

        let drop = Faults {
            drop: 0.5,
            ..Faults::default()
        };
        proxy.set_faults(direction, drop);
        let arrived = count_responses(&proxy).await;
        assert!(
            (20..80).contains(&arrived),
            "{arrived} of {BURST_LEN} datagrams arrived"
        );

        let duplicate = Faults {
            duplicate: 1.0,
            ..Faults::default()
        };
        proxy.set_faults(direction, duplicate);
        assert_eq!(responses(&proxy, 2 * all).await.len(), 2 * all);

        let reorder = Faults {
            reorder_ms: 20,
            ..Faults::default()
        };
        proxy.set_faults(direction, reorder);
        let reordered = responses(&proxy, all).await;
        assert!(is_complete(&reordered));
        assert!(!reordered.is_sorted());

        let corrupt = Faults {
            corrupt: 1.0,
            ..Faults::default()
        };
        proxy.set_faults(direction, corrupt);
        let corrupted = responses(&proxy, all).await;
        assert!(!is_complete(&corrupted) || corrupted.iter().any(|response| response[0] != 1));

        proxy.set_faults(direction, Faults::default());
        proxy.set_blocked(direction, true);
        assert!(receives_nothing(&burst(&proxy).await).await);
        proxy.set_blocked(direction, false);
        assert!(is_complete(&responses(&proxy, all).await));
    });
}

#[test]
fn udp_pause_delays_datagrams() {
    run(async {
        let proxy = udp::start(Some(udp_echo(1).await), 5).expect("starting the proxy succeeds");
        let socket = socket().await;
        proxy.set_paused(true);
        send(&socket, &proxy, 7).await;
        assert!(receives_nothing(&socket).await);
        proxy.set_paused(false);
        assert_eq!(receive(&socket).await, [1, 7]);
    });
}

#[test]
fn udp_target_set_after_start_and_changed() {
    run(async {
        let proxy = udp::start(None, 5).expect("starting the proxy succeeds");
        assert!(receives_nothing(&burst(&proxy).await).await);
        for mark in [1, 2] {
            proxy.retarget(udp_echo(mark).await);
            let responses = responses(&proxy, usize::from(BURST_LEN)).await;
            assert!(is_complete(&responses));
            assert!(responses.iter().all(|response| response[0] == mark));
        }
    });
}

async fn connect(proxy: &tcp::Proxy) -> TcpStream {
    TcpStream::connect(proxy.addr())
        .await
        .expect("the proxy accepts the connection")
}

/// Sends one byte and returns the echoed byte.
async fn ping(socket: &mut TcpStream) -> io::Result<u8> {
    socket.write_all(b"x").await?;
    socket.read_u8().await
}

/// Returns whether a byte is neither echoed nor causes the connection to close.
async fn is_frozen(socket: &mut TcpStream) -> bool {
    time::timeout(QUIET_TIMEOUT, ping(socket)).await.is_err()
}

#[parameterized(
    cut = { Mode::Close, io::ErrorKind::UnexpectedEof },
    reset = { Mode::Reset, io::ErrorKind::ConnectionReset },
)]
fn tcp_connections_are_closed(mode: Mode, expected: io::ErrorKind) {
    run(async move {
        let proxy = tcp::start(Some(tcp_echo().await)).expect("starting the proxy succeeds");
        let mut open = connect(&proxy).await;
        assert_eq!(ping(&mut open).await.expect("the byte is relayed"), b'x');
        proxy.set_mode(mode);
        let error = open.read_u8().await.expect_err("the connection is closed");
        assert_eq!(error.kind(), expected);
        let mut new = connect(&proxy).await;
        ping(&mut new).await.expect_err("the connection is closed");
        proxy.set_mode(Mode::Relay);
        let mut later = connect(&proxy).await;
        assert_eq!(ping(&mut later).await.expect("the byte is relayed"), b'x');
    });
}

#[test]
fn tcp_frozen_connections_resume() {
    run(async {
        let proxy = tcp::start(Some(tcp_echo().await)).expect("starting the proxy succeeds");
        let mut open = connect(&proxy).await;
        assert_eq!(ping(&mut open).await.expect("the byte is relayed"), b'x');
        proxy.set_mode(Mode::Freeze);
        assert!(is_frozen(&mut open).await);
        let mut new = connect(&proxy).await;
        assert!(is_frozen(&mut new).await);
        proxy.set_mode(Mode::Relay);
        for socket in [&mut open, &mut new] {
            assert_eq!(socket.read_u8().await.expect("the byte is relayed"), b'x');
        }
    });
}

#[test]
fn tcp_freeze_open_keeps_connections_frozen() {
    run(async {
        let proxy = tcp::start(Some(tcp_echo().await)).expect("starting the proxy succeeds");
        let mut old = connect(&proxy).await;
        assert_eq!(ping(&mut old).await.expect("the byte is relayed"), b'x');
        proxy.freeze_open();
        assert!(is_frozen(&mut old).await);
        let mut new = connect(&proxy).await;
        assert_eq!(ping(&mut new).await.expect("the byte is relayed"), b'x');
        assert!(is_frozen(&mut old).await);
    });
}

#[test]
fn tcp_target_set_after_start() {
    run(async {
        let proxy = tcp::start(None).expect("starting the proxy succeeds");
        let mut early = connect(&proxy).await;
        ping(&mut early)
            .await
            .expect_err("the proxy closes the connection without a target");
        proxy.retarget(tcp_echo().await);
        proxy.set_delay(Duration::from_millis(5));
        let mut late = connect(&proxy).await;
        assert_eq!(ping(&mut late).await.expect("the byte is relayed"), b'x');
    });
}
