//! Byte streams over user-space TCP endpoints, with both ends in one process.

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

const TIME_LIMIT: Duration = Duration::from_mins(1);
const FLOWS: u16 = 500;

fn flow(port: u16) -> packet::Flow {
    packet::Flow {
        caller: net::SocketAddrV4::new(net::Ipv4Addr::new(10, 77, 0, 1), port),
        service: net::SocketAddrV4::new(net::Ipv4Addr::new(10, 9, 0, 1), 80),
    }
}

/// Delivers packets to a flow until its peer is dropped.
async fn deliver_all(handle: Handle, mut packets: mpsc::UnboundedReceiver<Vec<u8>>) {
    while let Some(packet) = packets.recv().await {
        let _ = handle.deliver(&packet);
    }
}

/// Starts the driver of an endpoint and returns a channel with the packets that it sends.
fn start(endpoint: Endpoint) -> (Handle, Stream, mpsc::UnboundedReceiver<Vec<u8>>) {
    let (sender, receiver) = mpsc::unbounded_channel();
    let send = move |packet: &[u8]| drop(sender.send(packet.to_vec()));
    let (handle, stream) = stream::new(endpoint, clock::Clock::new(), send);
    let driver = handle.clone();
    tokio::spawn(async move { driver.run().await });
    (handle, stream, receiver)
}

/// Creates the caller's and the service's stream of one flow.
fn pair(port: u16) -> (Stream, Stream) {
    let options = endpoint::Options::default();
    let now = clock::Millis::default();
    let seed = u64::from(port);
    let caller = Endpoint::connect(flow(port), options, seed, now);
    let service = Endpoint::accept(flow(port), options, seed + 1, now);
    let (caller, caller_stream, to_service) = start(caller);
    let (service, service_stream, to_caller) = start(service);
    tokio::spawn(deliver_all(service, to_service));
    tokio::spawn(deliver_all(caller, to_caller));
    (caller_stream, service_stream)
}

/// Sends all received bytes back.
async fn echo(stream: Stream) {
    let (mut reader, mut writer) = tokio::io::split(stream);
    tokio::io::copy(&mut reader, &mut writer)
        .await
        .expect("all bytes are echoed");
    writer.shutdown().await.expect("shutdown succeeds");
}

/// Sends `len` bytes and checks that they are echoed.
async fn round_trip(caller_stream: Stream, len: usize) {
    let sent: Vec<u8> = (0..=250).cycle().take(len).collect();
    let (mut reader, mut writer) = tokio::io::split(caller_stream);
    let copy = sent.clone();
    let write = async move {
        writer.write_all(&copy).await.expect("write succeeds");
        writer.shutdown().await.expect("shutdown succeeds");
    };
    let mut received = Vec::new();
    let ((), read) = tokio::join!(write, reader.read_to_end(&mut received));
    read.expect("all bytes are read");
    assert_eq!(received, sent);
}

/// Runs a test on a multi-threaded runtime with a time limit.
fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .expect("a runtime starts");
    runtime.block_on(async {
        time::timeout(TIME_LIMIT, test)
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
        let (caller_stream, service_stream) = pair(40_000);
        tokio::spawn(echo(service_stream));
        round_trip(caller_stream, len).await;
    });
}

#[test]
fn many_flows_run_concurrently() {
    run(async {
        let mut flows = JoinSet::new();
        for port in 1_000..1_000 + FLOWS {
            let (caller_stream, service_stream) = pair(port);
            flows.spawn(echo(service_stream));
            flows.spawn(round_trip(caller_stream, 5_000));
        }
        while let Some(result) = flows.join_next().await {
            result.expect("each flow completes");
        }
    });
}

#[test]
fn established_waits_for_the_handshake() {
    run(async {
        let (mut caller_stream, mut service_stream) = pair(40_001);
        caller_stream
            .established()
            .await
            .expect("the caller's end is established");
        service_stream
            .established()
            .await
            .expect("the service's end is established");
        assert!(caller_stream.handle().inspect(Endpoint::is_established));
    });
}

#[test]
fn dropped_stream_resets_its_flow() {
    run(async {
        let (mut caller_stream, service_stream) = pair(40_002);
        caller_stream
            .established()
            .await
            .expect("the flow is established");
        drop(service_stream);
        let error = caller_stream
            .read_u8()
            .await
            .expect_err("the flow is reset");
        assert_eq!(error.kind(), io::ErrorKind::ConnectionReset);
        let error = caller_stream
            .write_all(b"x")
            .await
            .expect_err("the flow is reset");
        assert_eq!(error.kind(), io::ErrorKind::ConnectionReset);
    });
}

#[test]
fn dropped_stream_after_shutdown_delivers_its_bytes() {
    run(async {
        let (mut caller_stream, mut service_stream) = pair(40_003);
        service_stream
            .write_all(&vec![7; 20_000])
            .await
            .expect("write succeeds");
        service_stream.shutdown().await.expect("shutdown succeeds");
        drop(service_stream);
        let mut received = Vec::new();
        caller_stream
            .read_to_end(&mut received)
            .await
            .expect("all bytes arrive");
        assert_eq!(received, vec![7; 20_000]);
    });
}

#[parameterized(
    aborted = { Handle::abort, io::ErrorKind::ConnectionAborted },
    discarded = { Handle::discard, io::ErrorKind::ConnectionAborted },
)]
fn pending_read_fails_when_the_flow_ends(end: fn(&Handle), expected: io::ErrorKind) {
    run(async move {
        let (mut caller_stream, _service_stream) = pair(40_004);
        caller_stream
            .established()
            .await
            .expect("the flow is established");
        let handle = caller_stream.handle();
        let reader = tokio::spawn(async move { caller_stream.read_u8().await });
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
fn unanswered_syn_times_out() {
    run(async {
        let options = endpoint::Options {
            handshake_timeout: clock::Millis(100),
            ..endpoint::Options::default()
        };
        let endpoint = Endpoint::connect(flow(40_005), options, 1, clock::Millis::default());
        let (_handle, mut caller_stream, _packets) = start(endpoint);
        let error = caller_stream
            .established()
            .await
            .expect_err("no peer answers");
        assert_eq!(error.kind(), io::ErrorKind::TimedOut);
    });
}
