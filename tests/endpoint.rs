//! Both ends of a TCP flow over a simulated path in virtual time.

use std::{
    net::{Ipv4Addr, SocketAddrV4},
    task::Poll,
};

use cassiacross::{
    clock,
    endpoint::{self, Delivery, Endpoint, Error},
    packet,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use yare::parameterized;

const FLOW: packet::Flow = packet::Flow {
    caller: SocketAddrV4::new(Ipv4Addr::new(10, 77, 0, 1), 40_000),
    service: SocketAddrV4::new(Ipv4Addr::new(10, 9, 0, 1), 80),
};
const TIME_LIMIT: clock::Millis = clock::Millis(600_000);

/// Impairments of the path: jitter in milliseconds, and probabilities of duplication and
/// loss.
#[derive(Clone, Copy, Default)]
struct Path {
    jitter: u64,
    duplicate: f64,
    drop: f64,
}

/// A packet in flight and the time of its arrival.
struct Packet {
    due: clock::Millis,
    to_service: bool,
    bytes: Vec<u8>,
}

/// Two endpoints and the packets in flight between them.
struct Pair {
    caller: Endpoint,
    service: Endpoint,
    in_flight: Vec<Packet>,
    now: clock::Millis,
    path: Path,
    rng: SmallRng,
}

impl Pair {
    fn new(path: Path, seed: u64) -> Self {
        let options = endpoint::Options::default();
        let now = clock::Millis(0);
        Self {
            caller: Endpoint::connect(FLOW, options, seed, now),
            service: Endpoint::accept(FLOW, options, seed + 1, now),
            in_flight: Vec::new(),
            now,
            path,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Creates two endpoints and completes the handshake.
    fn open(path: Path, seed: u64) -> Self {
        let mut pair = Self::new(path, seed);
        pair.run(|pair| pair.caller.is_established() && pair.service.is_established());
        pair
    }

    fn send(&mut self, to_service: bool, sent: Vec<Vec<u8>>) {
        for bytes in sent {
            let copies = 1 + usize::from(self.rng.random_bool(self.path.duplicate));
            for _ in 0..copies {
                if self.rng.random_bool(self.path.drop) {
                    continue;
                }
                let delay = 3 + self.rng.random_range(0..=self.path.jitter);
                self.in_flight.push(Packet {
                    due: self.now + clock::Millis(delay),
                    to_service,
                    bytes: bytes.clone(),
                });
            }
        }
    }

    /// Applies `f` to one endpoint and puts the packets that it sends on the path.
    fn with_end<T>(
        &mut self,
        on_service: bool,
        f: impl FnOnce(&mut Endpoint, clock::Millis, &mut dyn FnMut(&[u8])) -> T,
    ) -> T {
        let mut sent = Vec::new();
        let end = if on_service {
            &mut self.service
        } else {
            &mut self.caller
        };
        let result = f(end, self.now, &mut |packet| sent.push(packet.to_vec()));
        self.send(!on_service, sent);
        result
    }

    /// Advances the time by 1 ms, delivers the packets that are due and polls both ends.
    fn step(&mut self) {
        self.now = self.now + clock::Millis(1);
        let now = self.now;
        let (due, later) = std::mem::take(&mut self.in_flight)
            .into_iter()
            .partition(|packet| packet.due <= now);
        self.in_flight = later;
        let due: Vec<Packet> = due;
        for packet in due {
            self.with_end(packet.to_service, |end, now, send| {
                end.deliver(&packet.bytes, now, send)
            });
        }
        for on_service in [false, true] {
            self.with_end(on_service, |end, now, send| end.poll(now, send));
        }
    }

    /// Advances the time until the condition is met.
    fn run(&mut self, mut until: impl FnMut(&mut Self) -> bool) {
        while !until(self) {
            self.step();
            assert!(self.now < TIME_LIMIT, "the condition was not met in time");
        }
    }

    /// Sends `len` bytes from the caller, closes its direction, and returns the bytes that
    /// the service read.
    fn transfer(&mut self, len: usize) -> Vec<u8> {
        let bytes = pattern(len);
        let mut sent = 0;
        let mut received = Vec::new();
        self.run(|pair| {
            if sent < bytes.len() {
                if let Poll::Ready(len) = pair.caller.write(&bytes[sent..]) {
                    sent += len.expect("the flow accepts bytes");
                }
            } else {
                pair.caller.close();
            }
            read_available(&mut pair.service, &mut received)
        });
        received
    }
}

/// Returns `len` bytes of a repeating test pattern.
fn pattern(len: usize) -> Vec<u8> {
    (0..len)
        .map(|index| u8::try_from(index * 31 % 251).expect("remainder is below 256"))
        .collect()
}

/// Reads all available bytes; returns true if the peer has closed its direction.
fn read_available(end: &mut Endpoint, out: &mut Vec<u8>) -> bool {
    let mut buffer = [0; 4_096];
    loop {
        match end.read(&mut buffer) {
            Poll::Pending => return false,
            Poll::Ready(Ok(0)) => return true,
            Poll::Ready(Ok(len)) => out.extend_from_slice(&buffer[..len]),
            Poll::Ready(Err(error)) => panic!("read failed: {error}"),
        }
    }
}

fn read_once(end: &mut Endpoint) -> Poll<Result<usize, Error>> {
    end.read(&mut [0; 64])
}

#[parameterized(
    plain = { Path::default(), 100_000, 1 },
    reordered = { Path { jitter: 3, ..Path::default() }, 100_000, 2 },
    duplicated = { Path { duplicate: 0.2, ..Path::default() }, 100_000, 3 },
    reordered_duplicated = { Path { jitter: 5, duplicate: 0.1, drop: 0.0 }, 100_000, 4 },
    lossy = { Path { drop: 0.02, ..Path::default() }, 10_000, 5 },
    lossy_reordered = { Path { drop: 0.02, jitter: 3, duplicate: 0.05 }, 10_000, 6 },
    empty = { Path::default(), 0, 7 },
)]
fn transfer(path: Path, len: usize, seed: u64) {
    let mut pair = Pair::open(path, seed);
    assert_eq!(pair.transfer(len), pattern(len));
}

/// An application that stands still now and then, as on a busy host.
#[derive(Default)]
struct Pauses {
    until: clock::Millis,
}

impl Pauses {
    /// Returns whether the application runs now.
    fn is_running(&mut self, now: clock::Millis, rng: &mut SmallRng) -> bool {
        if now < self.until {
            return false;
        }
        if rng.random_bool(0.02) {
            self.until = now + clock::Millis(rng.random_range(1..50));
            return false;
        }
        true
    }
}

/// Sends bytes from the caller to the service, which sends them back, and returns what the
/// caller read. Writers, readers and the echo pause at random.
fn echo(pair: &mut Pair, bytes: &[u8]) -> Vec<u8> {
    let (mut sent, mut returned) = (0, 0);
    let (mut echoed, mut received) = (Vec::new(), Vec::new());
    let [mut writer, mut service, mut reader] = [(); 3].map(|()| Pauses::default());
    pair.run(|pair| {
        let now = pair.now;
        if writer.is_running(now, &mut pair.rng) {
            write_and_close(&mut pair.caller, bytes, &mut sent, true);
        }
        if service.is_running(now, &mut pair.rng) {
            let at_end = returned == echoed.len() && read_chunk(&mut pair.service, &mut echoed);
            write_and_close(&mut pair.service, &echoed, &mut returned, at_end);
        }
        reader.is_running(now, &mut pair.rng) && read_chunk(&mut pair.caller, &mut received)
    });
    received
}

/// Writes the bytes after the first `sent` ones; closes after the last one if `at_end`.
fn write_and_close(end: &mut Endpoint, bytes: &[u8], sent: &mut usize, at_end: bool) {
    if *sent < bytes.len() {
        if let Poll::Ready(len) = end.write(&bytes[*sent..]) {
            *sent += len.expect("the flow accepts bytes");
        }
    } else if at_end {
        end.close();
    }
}

/// Reads once; returns true if the peer has closed its direction.
fn read_chunk(end: &mut Endpoint, out: &mut Vec<u8>) -> bool {
    let mut buffer = [0; 4_096];
    match end.read(&mut buffer) {
        Poll::Pending => false,
        Poll::Ready(len) => {
            let len = len.expect("the flow is open");
            out.extend_from_slice(&buffer[..len]);
            len == 0
        }
    }
}

/// Without loss, reordering makes no flow wait for a timer, also when both directions carry
/// data and windows close because a reader pauses: each exchange ends before the shortest
/// retransmission timeout.
#[parameterized(
    reordered = { Path { jitter: 3, ..Path::default() } },
    duplicated = { Path { jitter: 3, duplicate: 0.2, drop: 0.0 } },
    reordered_more = { Path { jitter: 10, ..Path::default() } },
)]
fn echo_needs_no_timer_without_loss(path: Path) {
    const MIN_RETRANSMISSION_TIMEOUT: clock::Millis = clock::Millis(1_000);
    for seed in 0..100 {
        let mut pair = Pair::open(path, seed);
        assert_eq!(echo(&mut pair, &pattern(50_000)), pattern(50_000));
        assert!(
            pair.now < MIN_RETRANSMISSION_TIMEOUT,
            "{:?}, seed {seed}",
            pair.now
        );
    }
}

/// A packet with data that was sent before the peer's last acknowledgement and arrives after
/// it still delivers its data.
#[test]
fn data_behind_a_newer_acknowledgement_is_kept() {
    let mut pair = Pair::open(Path::default(), 25);
    let now = pair.now;
    let mut early = Vec::new();
    let mut packets = Vec::new();
    assert_eq!(pair.service.write(b"early"), Poll::Ready(Ok(5)));
    pair.service
        .poll(now, &mut |packet| early.push(packet.to_vec()));
    assert_eq!(pair.caller.write(b"request"), Poll::Ready(Ok(7)));
    pair.caller
        .poll(now, &mut |packet| packets.push(packet.to_vec()));
    let mut answers = Vec::new();
    pair.service.deliver(&packets[0], now, &mut |packet| {
        answers.push(packet.to_vec());
    });
    for packet in answers.iter().chain(&early) {
        pair.caller.deliver(packet, now, &mut |_packet| {});
    }
    let mut received = Vec::new();
    assert!(!read_available(&mut pair.caller, &mut received));
    assert_eq!(received, b"early");
}

#[test]
fn isn_depends_on_seed() {
    let first = Pair::open(Path::default(), 11);
    let second = Pair::open(Path::default(), 11);
    let third = Pair::open(Path::default(), 12);
    assert!(first.service.local_isn().is_some());
    assert_eq!(first.service.local_isn(), second.service.local_isn());
    assert_ne!(first.service.local_isn(), third.service.local_isn());
    assert_ne!(first.service.local_isn(), first.caller.local_isn());
}

#[test]
fn half_close_leaves_other_direction_open() {
    let mut pair = Pair::open(Path::default(), 21);
    assert_eq!(pair.transfer(1_000).len(), 1_000);
    let reply = pattern(2_000);
    assert_eq!(pair.service.write(&reply), Poll::Ready(Ok(2_000)));
    pair.service.close();
    let mut received = Vec::new();
    pair.run(|pair| read_available(&mut pair.caller, &mut received));
    assert_eq!(received, reply);
    pair.run(|pair| pair.caller.is_finished() && pair.service.is_finished());
    assert_eq!(pair.caller.error(), None);
    assert_eq!(pair.service.error(), None);
    assert!(pair.now < clock::Millis(15_000));
}

/// Guards against a FIN that is lost because it overtakes data: the last packets of the
/// caller arrive reordered, and no retransmission timer runs.
#[parameterized(
    in_order = { 2_000, &[0, 1] },
    fin_with_data_first = { 2_000, &[1, 0] },
    fin_first = { 0, &[0] },
    reversed = { 6_000, &[4, 3, 2, 1, 0] },
    fin_in_between = { 6_000, &[1, 4, 0, 3, 2] },
    fin_twice = { 2_000, &[1, 1, 0] },
)]
fn fin_ahead_of_data_is_kept(len: usize, order: &[usize]) {
    let mut pair = Pair::open(Path::default(), 24);
    let mut sent = Vec::new();
    let bytes = pattern(len);
    let now = pair.now;
    assert_eq!(pair.caller.write(&bytes), Poll::Ready(Ok(len)));
    pair.caller.close();
    pair.caller
        .poll(now, &mut |packet| sent.push(packet.to_vec()));
    for index in order {
        let _ = pair.service.deliver(&sent[*index], now, &mut |_packet| {});
    }
    let mut received = Vec::new();
    assert!(read_available(&mut pair.service, &mut received));
    assert_eq!(received, bytes);
}

#[test]
fn unread_bytes_remain_readable_after_the_flow_ends() {
    let mut pair = Pair::open(Path::default(), 22);
    assert_eq!(pair.service.write(&pattern(500)), Poll::Ready(Ok(500)));
    pair.caller.close();
    pair.service.close();
    pair.run(|pair| pair.caller.is_finished());
    let mut received = Vec::new();
    assert!(read_available(&mut pair.caller, &mut received));
    assert_eq!(received, pattern(500));
}

#[test]
fn close_before_handshake_closes_cleanly() {
    let mut pair = Pair::new(Path::default(), 23);
    pair.caller.close();
    let mut received = Vec::new();
    pair.run(|pair| {
        pair.service.is_established() && read_available(&mut pair.service, &mut received)
    });
    assert_eq!(pair.service.error(), None);
}

#[parameterized(caller = { false }, service = { true })]
fn reset_reaches_peer(by_service: bool) {
    let mut pair = Pair::open(Path::default(), 31);
    pair.with_end(by_service, Endpoint::abort);
    let (own, peer) = if by_service {
        (&mut pair.service, &mut pair.caller)
    } else {
        (&mut pair.caller, &mut pair.service)
    };
    assert_eq!(read_once(own), Poll::Ready(Err(Error::Aborted)));
    assert_eq!(read_once(peer), Poll::Pending);
    pair.run(|pair| pair.caller.is_finished() && pair.service.is_finished());
    let peer = if by_service {
        &mut pair.caller
    } else {
        &mut pair.service
    };
    assert_eq!(read_once(peer), Poll::Ready(Err(Error::Reset)));
    assert_eq!(peer.write(b"x"), Poll::Ready(Err(Error::Reset)));
    assert_eq!(peer.poll_at(clock::Millis(0)), None);
}

#[parameterized(closed = { true, None }, open = { false, Some(Error::Reset) })]
fn release_without_close_resets_flow(closed: bool, expected: Option<Error>) {
    let mut pair = Pair::open(Path::default(), 32);
    if closed {
        pair.service.close();
    }
    pair.with_end(true, Endpoint::release);
    pair.caller.close();
    pair.run(|pair| pair.caller.is_finished());
    assert_eq!(pair.caller.error(), expected);
}

#[test]
fn silent_peer_times_out() {
    let mut pair = Pair::open(Path::default(), 41);
    pair.path.drop = 1.0;
    pair.run(|pair| pair.caller.is_finished());
    assert_eq!(
        read_once(&mut pair.caller),
        Poll::Ready(Err(Error::Timeout))
    );
    let limit = endpoint::Options::default().timeout;
    assert!(pair.now < limit + limit);
}

#[test]
fn keep_alive_preserves_idle_flow() {
    let mut pair = Pair::open(Path::default(), 42);
    pair.run(|pair| pair.now > clock::Millis(300_000));
    assert!(pair.caller.is_established() && pair.service.is_established());
    assert_eq!(pair.transfer(100), pattern(100));
}

#[test]
fn half_open_flow_expires_without_a_packet() {
    let mut pair = Pair::new(Path::default(), 43);
    pair.run(|pair| pair.service.local_isn().is_some());
    assert!(pair.service.is_half_open());
    let mut now = pair.now;
    let mut last = Vec::new();
    while let Some(due) = pair.service.poll_at(now) {
        now = due.max(now + clock::Millis(1));
        last.clear();
        pair.service
            .poll(now, &mut |packet| last.push(packet.to_vec()));
    }
    assert!(pair.service.is_finished());
    assert!(last.is_empty());
}

#[test]
fn unmatched_packets_are_ignored() {
    let mut pair = Pair::open(Path::default(), 51);
    let mut other = Endpoint::accept(
        FLOW,
        endpoint::Options::default(),
        99,
        clock::Millis::default(),
    );
    let mut sent = Vec::new();
    assert_eq!(pair.caller.write(b"x"), Poll::Ready(Ok(1)));
    pair.caller
        .poll(pair.now, &mut |packet| sent.push(packet.to_vec()));
    let delivery = other.deliver(&sent[0], pair.now, &mut |_packet| {
        panic!("a packet was sent in reply to an unmatched one")
    });
    assert_eq!(delivery, Delivery::Unmatched);
    assert!(other.is_half_open());
}

/// Two agents accept the same SYN, and the SYN-ACK of `first` arrives first: the other
/// endpoint must not reset the flow and ends without a packet.
#[parameterized(second_answers_late = { 0 }, first_answers_late = { 1 })]
fn second_acceptor_does_not_disturb_flow(first: usize) {
    let options = endpoint::Options::default();
    let now = clock::Millis(0);
    let mut caller = Endpoint::connect(FLOW, options, 1, now);
    let mut acceptors = [
        Endpoint::accept(FLOW, options, 2, now),
        Endpoint::accept(FLOW, options, 3, now),
    ];
    let mut syn = Vec::new();
    caller.poll(now, &mut |packet| syn.push(packet.to_vec()));
    let mut replies = [Vec::new(), Vec::new()];
    for (acceptor, replies) in acceptors.iter_mut().zip(&mut replies) {
        acceptor.deliver(&syn[0], now, &mut |packet| {
            replies.push(packet.to_vec());
        });
    }
    assert_ne!(acceptors[0].local_isn(), acceptors[1].local_isn());

    let second = 1 - first;
    let mut sent = Vec::new();
    for index in [first, second] {
        caller.deliver(&replies[index][0], now, &mut |packet| {
            sent.push(packet.to_vec());
        });
    }
    assert!(caller.is_established());
    for packet in &sent {
        let delivery = acceptors[second].deliver(packet, now, &mut |_packet| {
            panic!("a packet was sent in reply to an acknowledgement for the other endpoint")
        });
        assert_eq!(delivery, Delivery::Unmatched);
        assert_eq!(
            acceptors[first].deliver(packet, now, &mut |_packet| {}),
            Delivery::Processed
        );
    }
    assert!(acceptors[first].is_established());
    assert!(acceptors[second].is_half_open());

    let expiry = now + options.handshake_timeout;
    acceptors[second].poll(expiry, &mut |_packet| {
        panic!("a packet was sent after the handshake timeout")
    });
    assert!(acceptors[second].is_finished());
    assert_eq!(caller.write(b"kept"), Poll::Ready(Ok(4)));
    let mut data = Vec::new();
    caller.poll(now, &mut |packet| data.push(packet.to_vec()));
    acceptors[first].deliver(&data[0], now, &mut |_packet| {});
    assert_eq!(read_once(&mut acceptors[first]), Poll::Ready(Ok(4)));
}
