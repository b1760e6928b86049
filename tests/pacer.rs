//! Pacing of outgoing datagrams on thin links.

use std::{
    collections::VecDeque,
    net::{Ipv4Addr, SocketAddrV4},
};

use cassiacross::{
    clock::Millis,
    pacer::{Class, Datagram, Outlet, Pacer, Verdict},
};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use yare::parameterized;

const LINK_MBPS: f64 = 2.0;
/// Bytes that a link of [`LINK_MBPS`] carries per millisecond.
const LINK_RATE: usize = 250;
const LEN: usize = 1_250;
/// Longest time for which datagrams may wait.
const BACKLOG_MS: usize = 1_000;

fn submit(pacer: &mut Pacer, class: Class, key: u64, now: u64) -> Verdict {
    let datagram = || Datagram {
        outlet: Outlet::Packets,
        to: SocketAddrV4::new(Ipv4Addr::LOCALHOST, 9),
        bytes: key.to_be_bytes().repeat(LEN / 8),
    };
    let len = datagram().bytes.len();
    pacer.submit(class, Some(key), datagram, len, Millis(now))
}

/// Takes all queued datagrams, however long the link needs for them, and returns their keys.
fn drain(pacer: &mut Pacer) -> Vec<u64> {
    let mut keys = Vec::new();
    while let Some(due) = pacer.due() {
        while let Some(datagram) = pacer.take(due) {
            let key = datagram.bytes[..8].try_into().expect("the key has 8 bytes");
            keys.push(u64::from_be_bytes(key));
        }
    }
    keys
}

#[test]
fn first_datagram_after_a_pause_is_sent_at_once() {
    let mut pacer = Pacer::new(LINK_MBPS);
    assert_eq!(submit(&mut pacer, Class::Bulk, 1, 100), Verdict::Send);
    assert_eq!(pacer.due(), None);
}

#[test]
fn more_urgent_classes_go_first() {
    let mut pacer = Pacer::new(LINK_MBPS);
    for key in 0..8 {
        submit(&mut pacer, Class::Bulk, key, 100);
    }
    submit(&mut pacer, Class::Normal, 20, 100);
    submit(&mut pacer, Class::Urgent, 21, 100);
    submit(&mut pacer, Class::Control, 22, 100);
    let sent = drain(&mut pacer);
    assert_eq!(sent[..4], [22, 21, 20, 2]);
}

#[test]
fn repeated_packet_is_dropped_while_its_original_waits() {
    let mut pacer = Pacer::new(LINK_MBPS);
    for key in 0..4 {
        submit(&mut pacer, Class::Bulk, key, 100);
    }
    assert_eq!(submit(&mut pacer, Class::Bulk, 3, 101), Verdict::Duplicate);
    assert_eq!(drain(&mut pacer), [2, 3]);
    assert_eq!(submit(&mut pacer, Class::Bulk, 3, 5_000), Verdict::Send);
}

#[test]
fn full_queue_drops_the_least_urgent_class() {
    let mut pacer = Pacer::new(LINK_MBPS);
    let mut key = 0;
    while submit(&mut pacer, Class::Bulk, key, 100) != Verdict::Full {
        key += 1;
    }
    assert_eq!(submit(&mut pacer, Class::Urgent, 900, 100), Verdict::Queued);
    assert_eq!(submit(&mut pacer, Class::Bulk, 901, 100), Verdict::Full);
    assert_eq!(pacer.evicted(), 1);
    let sent = drain(&mut pacer);
    assert_eq!(sent[0], 900);
    assert!(sent.len() * LEN <= BACKLOG_MS * LINK_RATE);
}

/// The link's own queue never holds more than a burst, so it drops nothing.
#[parameterized(
    seed_1 = { 1 }, seed_2 = { 2 }, seed_3 = { 3 },
)]
fn output_never_exceeds_the_link(seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut pacer = Pacer::new(LINK_MBPS);
    let mut queue = 0;
    for now in 0..20_000 {
        let burst = if rng.random_range(0..100) == 0 { 16 } else { 0 };
        for _ in 0..burst {
            if submit(&mut pacer, Class::Bulk, rng.random(), now) == Verdict::Send {
                queue += LEN;
            }
        }
        while pacer.take(Millis(now)).is_some() {
            queue += LEN;
        }
        assert!(queue <= 3 * LEN, "{queue} bytes wait in the link at {now}");
        queue = queue.saturating_sub(LINK_RATE);
    }
}

/// Packets of an upload that have not been acknowledged, with the time of the next repetition.
#[derive(Clone, Copy)]
struct Pending {
    key: u64,
    repeat_at: u64,
    interval: u64,
}

const WINDOW: usize = 16;
const PACKETS: u64 = 34;
/// First interval between two repetitions, which doubles each time.
const REPEAT_MS: u64 = 200;
const MAX_REPEAT_MS: u64 = 1_600;

/// Callers that upload over one link, each with a window of packets in flight.
struct Uploads {
    pending: Vec<Vec<Pending>>,
    next: Vec<u64>,
    sent: u64,
}

impl Uploads {
    fn new(callers: usize) -> Self {
        Self {
            pending: vec![Vec::new(); callers],
            next: vec![0; callers],
            sent: 0,
        }
    }

    fn is_done(&self) -> bool {
        let empty = self.pending.iter().all(Vec::is_empty);
        empty && self.next.iter().all(|next| *next == PACKETS)
    }

    /// Returns the keys of the packets that callers send now.
    fn send(&mut self, now: u64) -> Vec<u64> {
        let mut keys = Vec::new();
        for (caller, (pending, next)) in self.pending.iter_mut().zip(&mut self.next).enumerate() {
            for packet in pending.iter_mut().filter(|packet| packet.repeat_at <= now) {
                packet.interval = (packet.interval * 2).min(MAX_REPEAT_MS);
                packet.repeat_at = now + packet.interval;
                keys.push(packet.key);
            }
            while pending.len() < WINDOW && *next < PACKETS {
                let key = caller as u64 * PACKETS + *next;
                let (repeat_at, interval) = (now + REPEAT_MS, REPEAT_MS);
                pending.push(Pending {
                    key,
                    repeat_at,
                    interval,
                });
                keys.push(key);
                *next += 1;
            }
        }
        self.sent += keys.len() as u64;
        keys
    }

    fn acknowledge(&mut self, key: u64) {
        for pending in &mut self.pending {
            pending.retain(|packet| packet.key != key);
        }
    }
}

/// Plays uploads over a link that drops what exceeds a queue of four datagrams. Returns the time
/// until all have ended and the number of packets that the link dropped.
fn play_uploads(callers: usize, mut pacer: Option<Pacer>) -> (u64, u64) {
    let mut uploads = Uploads::new(callers);
    let mut link: VecDeque<u64> = VecDeque::new();
    let (mut credit, mut dropped) = (0, 0);
    for now in 0..120_000 {
        let mut leaving = Vec::new();
        for key in uploads.send(now) {
            let verdict = pacer
                .as_mut()
                .map_or(Verdict::Send, |pacer| submit(pacer, Class::Bulk, key, now));
            leaving.extend((verdict == Verdict::Send).then_some(key));
        }
        while let Some(datagram) = pacer.as_mut().and_then(|pacer| pacer.take(Millis(now))) {
            let key = datagram.bytes[..8].try_into().expect("the key has 8 bytes");
            leaving.push(u64::from_be_bytes(key));
        }
        for key in leaving {
            if link.len() < 4 {
                link.push_back(key);
            } else {
                dropped += 1;
            }
        }
        credit = if link.is_empty() {
            0
        } else {
            credit + LINK_RATE
        };
        while credit >= LEN
            && let Some(key) = link.pop_front()
        {
            credit -= LEN;
            uploads.acknowledge(key);
        }
        if uploads.is_done() {
            return (now, dropped);
        }
    }
    panic!("the uploads do not end");
}

/// Pattern: windows of several uploads reach a thin link at the same time. Without pacing the link
/// drops most of each window, and the callers wait for their timers.
#[parameterized(
    one = { 1 }, two = { 2 }, four = { 4 }, eight = { 8 },
)]
fn concurrent_uploads_use_the_whole_link(callers: usize) {
    let (paced, dropped) = play_uploads(callers, Some(Pacer::new(LINK_MBPS)));
    let (unpaced, lost) = play_uploads(callers, None);
    let bound = callers as u64 * PACKETS * LEN as u64 / LINK_RATE as u64;
    println!("{callers}: bound {bound} ms, paced {paced} ms, unpaced {unpaced} ms");
    assert_eq!(dropped, 0);
    assert!(lost > 0);
    assert!(paced <= bound * 5 / 4, "{paced} ms, bound {bound} ms");
    assert!(unpaced > paced);
}
