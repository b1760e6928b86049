//! Streams over endpoints, both ends in one process.

use std::{io, net, time::Duration};

use cassiacross::{
    clock,
    endpoint::{self, Endpoint},
    packet,
    stream::{self, Handle, Stream},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    sync::mpsc,
    task::JoinSet,
    time,
};
use yare::parameterized;

const LIMIT: Duration = Duration::from_mins(1);
const MANY: u16 = 500;

fn flow(port: u16) -> packet::Flow {
    packet::Flow {
        caller: net::SocketAddrV4::new(net::Ipv4Addr::new(10, 77, 0, 1), port),
        service: net::SocketAddrV4::new(net::Ipv4Addr::new(10, 9, 0, 1), 80),
    }
}

/// Hands packets to a flow as they arrive, until its peer is gone.
async fn feed(handle: Handle, mut packets: mpsc::UnboundedReceiver<Vec<u8>>) {
    while let Some(packet) = packets.recv().await {
        let _ = handle.deliver(&packet);
    }
}

fn start(endpoint: Endpoint) -> (Handle, Stream, mpsc::UnboundedReceiver<Vec<u8>>) {
    let (sender, receiver) = mpsc::unbounded_channel();
    let send = move |packet: &[u8]| drop(sender.send(packet.to_vec()));
    let (handle, stream) = stream::new(endpoint, clock::Clock::new(), send);
    let driver = handle.clone();
    tokio::spawn(async move { driver.run().await });
    (handle, stream, receiver)
}

/// The caller's and the service's stream of one flow.
fn pair(port: u16) -> (Stream, Stream) {
    let options = endpoint::Options::default();
    let now = clock::Millis::default();
    let seed = u64::from(port);
    let caller = Endpoint::connect(flow(port), options, seed, now);
    let service = Endpoint::accept(flow(port), options, seed + 1, now);
    let (caller, near, to_service) = start(caller);
    let (service, far, to_caller) = start(service);
    tokio::spawn(feed(service, to_service));
    tokio::spawn(feed(caller, to_caller));
    (near, far)
}

async fn echo(stream: Stream) {
    let (mut reader, mut writer) = tokio::io::split(stream);
    tokio::io::copy(&mut reader, &mut writer)
        .await
        .expect("the echo is whole");
    writer.shutdown().await.expect("the echo is shut down");
}

async fn round_trip(near: Stream, len: usize) {
    let sent: Vec<u8> = (0..=250).cycle().take(len).collect();
    let (mut reader, mut writer) = tokio::io::split(near);
    let copy = sent.clone();
    let write = async move {
        writer.write_all(&copy).await.expect("bytes are taken");
        writer.shutdown().await.expect("the stream is shut down");
    };
    let mut received = Vec::new();
    let ((), read) = tokio::join!(write, reader.read_to_end(&mut received));
    read.expect("the answer is whole");
    assert_eq!(received, sent);
}

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .expect("a runtime starts");
    runtime.block_on(async {
        time::timeout(LIMIT, test)
            .await
            .expect("the test ends in time");
    });
}

#[parameterized(
    empty = { 0 },
    short = { 10 },
    longer_than_buffers = { 300_000 },
)]
fn echo_returns_bytes(len: usize) {
    run(async move {
        let (near, far) = pair(40_000);
        tokio::spawn(echo(far));
        round_trip(near, len).await;
    });
}

#[test]
fn many_flows_run_side_by_side() {
    run(async {
        let mut flows = JoinSet::new();
        for port in 1_000..1_000 + MANY {
            let (near, far) = pair(port);
            flows.spawn(echo(far));
            flows.spawn(round_trip(near, 5_000));
        }
        while let Some(result) = flows.join_next().await {
            result.expect("each flow is whole");
        }
    });
}

#[test]
fn handshake_is_awaited() {
    run(async {
        let (mut near, mut far) = pair(40_001);
        near.established().await.expect("the caller's end opens");
        far.established().await.expect("the service's end opens");
        assert!(near.handle().inspect(Endpoint::is_established));
    });
}

#[test]
fn dropped_stream_resets_its_flow() {
    run(async {
        let (mut near, far) = pair(40_002);
        near.established().await.expect("the flow opens");
        drop(far);
        let error = near.read_u8().await.expect_err("the flow is reset");
        assert_eq!(error.kind(), io::ErrorKind::ConnectionReset);
        let error = near.write_all(b"x").await.expect_err("the flow is reset");
        assert_eq!(error.kind(), io::ErrorKind::ConnectionReset);
    });
}

#[test]
fn dropped_stream_after_shutdown_delivers_its_bytes() {
    run(async {
        let (mut near, mut far) = pair(40_003);
        far.write_all(&vec![7; 20_000])
            .await
            .expect("bytes are taken");
        far.shutdown().await.expect("the stream is shut down");
        drop(far);
        let mut received = Vec::new();
        near.read_to_end(&mut received)
            .await
            .expect("all bytes arrive");
        assert_eq!(received, vec![7; 20_000]);
    });
}

#[parameterized(
    aborted = { Handle::abort, io::ErrorKind::ConnectionAborted },
    discarded = { Handle::discard, io::ErrorKind::ConnectionAborted },
)]
fn waiting_reader_learns_of_the_end(end: fn(&Handle), expected: io::ErrorKind) {
    run(async move {
        let (mut near, _far) = pair(40_004);
        near.established().await.expect("the flow opens");
        let handle = near.handle();
        let reader = tokio::spawn(async move { near.read_u8().await });
        time::sleep(Duration::from_millis(20)).await;
        end(&handle);
        let error = reader
            .await
            .expect("the reader ends")
            .expect_err("no byte was sent");
        assert_eq!(error.kind(), expected);
        handle.run().await;
        assert!(handle.inspect(Endpoint::is_finished));
    });
}

#[test]
fn unanswered_opening_fails() {
    run(async {
        let options = endpoint::Options {
            handshake_timeout: clock::Millis(100),
            ..endpoint::Options::default()
        };
        let endpoint = Endpoint::connect(flow(40_005), options, 1, clock::Millis::default());
        let (_handle, mut near, _packets) = start(endpoint);
        let error = near.established().await.expect_err("nobody answers");
        assert_eq!(error.kind(), io::ErrorKind::TimedOut);
    });
}
