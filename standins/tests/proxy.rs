//! Proxies before an echo.

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

const LIMIT: Duration = Duration::from_mins(1);
const SILENCE: Duration = Duration::from_millis(100);
const ROUNDS: u8 = 100;

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime starts");
    runtime.block_on(async {
        time::timeout(LIMIT, test)
            .await
            .expect("the test ends in time");
    });
}

async fn socket() -> UdpSocket {
    UdpSocket::bind((Ipv4Addr::LOCALHOST, 0))
        .await
        .expect("a socket binds")
}

/// An echo that puts `mark` before each datagram.
async fn udp_echo(mark: u8) -> SocketAddr {
    let socket = socket().await;
    let addr = socket.local_addr().expect("it is bound");
    tokio::spawn(async move {
        let mut buffer = [0; 64];
        loop {
            let (len, from) = socket.recv_from(&mut buffer).await.expect("it receives");
            let answer = [&[mark], &buffer[..len]].concat();
            socket.send_to(&answer, from).await.expect("it sends");
        }
    });
    addr
}

async fn tcp_echo() -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))
        .await
        .expect("a listener binds");
    let addr = listener.local_addr().expect("it is bound");
    tokio::spawn(async move {
        loop {
            let (socket, _peer) = listener.accept().await.expect("it accepts");
            tokio::spawn(async move {
                let (mut reader, mut writer) = socket.into_split();
                drop(tokio::io::copy(&mut reader, &mut writer).await);
            });
        }
    });
    addr
}

async fn answer(socket: &UdpSocket) -> Vec<u8> {
    let mut buffer = [0; 64];
    let (len, _from) = socket.recv_from(&mut buffer).await.expect("it receives");
    buffer[..len].to_vec()
}

async fn is_silent(socket: &UdpSocket) -> bool {
    time::timeout(SILENCE, answer(socket)).await.is_err()
}

async fn send(socket: &UdpSocket, proxy: &udp::Proxy, round: u8) {
    socket
        .send_to(&[round], proxy.addr())
        .await
        .expect("it sends");
}

/// A socket that has sent a datagram of each round.
async fn burst(proxy: &udp::Proxy) -> UdpSocket {
    let socket = socket().await;
    for round in 0..ROUNDS {
        send(&socket, proxy, round).await;
    }
    socket
}

/// The answers of a burst that brings `count` of them, in the order of their arrival.
async fn answers(proxy: &udp::Proxy, count: usize) -> Vec<Vec<u8>> {
    let socket = burst(proxy).await;
    let mut answers = Vec::new();
    while answers.len() < count {
        answers.push(answer(&socket).await);
    }
    answers
}

/// How many answers of a burst come before that of a last datagram, which is repeated.
async fn survivors(proxy: &udp::Proxy) -> usize {
    let socket = burst(proxy).await;
    let mut count = 0;
    loop {
        send(&socket, proxy, ROUNDS).await;
        while let Ok(answer) = time::timeout(SILENCE, answer(&socket)).await {
            if answer[1] == ROUNDS {
                return count;
            }
            count += 1;
        }
    }
}

fn is_whole(answers: &[Vec<u8>]) -> bool {
    let mut rounds: Vec<u8> = answers.iter().map(|answer| answer[1]).collect();
    rounds.sort_unstable();
    rounds == (0..ROUNDS).collect::<Vec<u8>>()
}

#[parameterized(
    forward = { Direction::Forward },
    backward = { Direction::Backward },
)]
fn udp_faults(way: Direction) {
    run(async move {
        let all = usize::from(ROUNDS);
        let proxy = udp::start(Some(udp_echo(1).await), 5).expect("a proxy starts");
        assert!(is_whole(&answers(&proxy, all).await));

        let drop = Faults {
            drop: 0.5,
            ..Faults::default()
        };
        proxy.set_faults(way, drop);
        let left = survivors(&proxy).await;
        assert!((20..80).contains(&left), "{left} of {ROUNDS} are left");

        let duplicate = Faults {
            duplicate: 1.0,
            ..Faults::default()
        };
        proxy.set_faults(way, duplicate);
        assert_eq!(answers(&proxy, 2 * all).await.len(), 2 * all);

        let reorder = Faults {
            reorder_ms: 20,
            ..Faults::default()
        };
        proxy.set_faults(way, reorder);
        let reordered = answers(&proxy, all).await;
        assert!(is_whole(&reordered));
        assert!(!reordered.is_sorted());

        let corrupt = Faults {
            corrupt: 1.0,
            ..Faults::default()
        };
        proxy.set_faults(way, corrupt);
        let corrupted = answers(&proxy, all).await;
        assert!(!is_whole(&corrupted) || corrupted.iter().any(|answer| answer[0] != 1));

        proxy.set_faults(way, Faults::default());
        proxy.set_blocked(way, true);
        assert!(is_silent(&burst(&proxy).await).await);
        proxy.set_blocked(way, false);
        assert!(is_whole(&answers(&proxy, all).await));
    });
}

#[test]
fn udp_pause_holds_datagrams_back() {
    run(async {
        let proxy = udp::start(Some(udp_echo(1).await), 5).expect("a proxy starts");
        let socket = socket().await;
        proxy.set_paused(true);
        send(&socket, &proxy, 7).await;
        assert!(is_silent(&socket).await);
        proxy.set_paused(false);
        assert_eq!(answer(&socket).await, [1, 7]);
    });
}

#[test]
fn udp_target_can_come_late_and_change() {
    run(async {
        let proxy = udp::start(None, 5).expect("a proxy starts");
        assert!(is_silent(&burst(&proxy).await).await);
        for mark in [1, 2] {
            proxy.retarget(udp_echo(mark).await);
            let answers = answers(&proxy, usize::from(ROUNDS)).await;
            assert!(is_whole(&answers));
            assert!(answers.iter().all(|answer| answer[0] == mark));
        }
    });
}

async fn connect(proxy: &tcp::Proxy) -> TcpStream {
    TcpStream::connect(proxy.addr())
        .await
        .expect("the proxy accepts")
}

/// One byte there and back.
async fn ping(socket: &mut TcpStream) -> io::Result<u8> {
    socket.write_all(b"x").await?;
    socket.read_u8().await
}

/// Whether a byte brings neither an answer nor an end.
async fn is_frozen(socket: &mut TcpStream) -> bool {
    time::timeout(SILENCE, ping(socket)).await.is_err()
}

#[parameterized(
    cut = { Mode::Close, io::ErrorKind::UnexpectedEof },
    reset = { Mode::Reset, io::ErrorKind::ConnectionReset },
)]
fn tcp_end(mode: Mode, expected: io::ErrorKind) {
    run(async move {
        let proxy = tcp::start(Some(tcp_echo().await)).expect("a proxy starts");
        let mut open = connect(&proxy).await;
        assert_eq!(ping(&mut open).await.expect("it is relayed"), b'x');
        proxy.set_mode(mode);
        let error = open.read_u8().await.expect_err("it is ended");
        assert_eq!(error.kind(), expected);
        let mut new = connect(&proxy).await;
        ping(&mut new).await.expect_err("it is ended");
        proxy.set_mode(Mode::Relay);
        let mut later = connect(&proxy).await;
        assert_eq!(ping(&mut later).await.expect("it is relayed"), b'x');
    });
}

#[test]
fn tcp_freeze_goes_by() {
    run(async {
        let proxy = tcp::start(Some(tcp_echo().await)).expect("a proxy starts");
        let mut open = connect(&proxy).await;
        assert_eq!(ping(&mut open).await.expect("it is relayed"), b'x');
        proxy.set_mode(Mode::Freeze);
        assert!(is_frozen(&mut open).await);
        let mut new = connect(&proxy).await;
        assert!(is_frozen(&mut new).await);
        proxy.set_mode(Mode::Relay);
        for socket in [&mut open, &mut new] {
            assert_eq!(socket.read_u8().await.expect("it is relayed"), b'x');
        }
    });
}

#[test]
fn tcp_connections_that_are_forgotten_stay_silent() {
    run(async {
        let proxy = tcp::start(Some(tcp_echo().await)).expect("a proxy starts");
        let mut old = connect(&proxy).await;
        assert_eq!(ping(&mut old).await.expect("it is relayed"), b'x');
        proxy.freeze_open();
        assert!(is_frozen(&mut old).await);
        let mut new = connect(&proxy).await;
        assert_eq!(ping(&mut new).await.expect("it is relayed"), b'x');
        assert!(is_frozen(&mut old).await);
    });
}

#[test]
fn tcp_target_can_come_late() {
    run(async {
        let proxy = tcp::start(None).expect("a proxy starts");
        let mut early = connect(&proxy).await;
        ping(&mut early).await.expect_err("there is no target");
        proxy.retarget(tcp_echo().await);
        proxy.set_delay(Duration::from_millis(5));
        let mut late = connect(&proxy).await;
        assert_eq!(ping(&mut late).await.expect("it is relayed"), b'x');
    });
}
