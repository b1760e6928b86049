//! Paces outgoing datagrams to the rate of the host's link.
//!
//! A thin link drops datagrams of a burst that exceeds its short queue, and callers then
//! repeat packets that take up the link again. The pacer is a token bucket with a bounded
//! queue: what the link cannot take yet waits here, the most urgent class first, and a
//! repeated packet is dropped while its original still waits.

use std::{collections::VecDeque, future, net::SocketAddrV4, time::Instant};

use tokio::time;

use crate::clock::Millis;

/// Bytes of the IPv4 and UDP headers of a datagram.
const DATAGRAM_OVERHEAD: usize = 28;

/// Share of the link that is used; the rest is for what this process does not send.
const LINK_SHARE: f64 = 0.95;

/// Time for which the link may be used in advance after a pause.
const BURST: Millis = Millis(5);

/// Size of the smallest burst in bytes, so that one datagram of any size can be sent.
const MIN_BURST: f64 = 1_500.0;

/// Maximum time that the queued datagrams take up the link.
const MAX_BACKLOG: Millis = Millis(1_000);

/// Number of classes.
const CLASSES: usize = 4;

/// Class of a datagram, most urgent first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Class {
    /// Messages between nodes, and resets.
    Control,
    /// Packets of urgent work.
    Urgent,
    /// Packets of other work.
    Normal,
    /// Packets of work that may wait.
    Bulk,
}

/// Socket through which a datagram is sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outlet {
    /// Socket for packets.
    Packets,
    /// Socket for messages between nodes.
    Messages,
}

/// A datagram with its destination.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Datagram {
    /// Socket through which it is sent.
    pub outlet: Outlet,
    /// Destination.
    pub to: SocketAddrV4,
    /// Content.
    pub bytes: Vec<u8>,
}

/// What to do with a submitted datagram.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// Send it now.
    Send,
    /// It waits in the queue.
    Queued,
    /// Its original still waits in the queue; dropped.
    Duplicate,
    /// The queue is full of datagrams of its own or a more urgent class; dropped.
    Full,
}

#[derive(Clone, Debug)]
struct Queued {
    /// Identifies the packet and its repetitions, `None` if each is sent.
    key: Option<u64>,
    datagram: Datagram,
}

/// Token bucket with a queue for each class.
#[derive(Clone, Debug)]
pub struct Pacer {
    /// Rate in bytes per millisecond.
    rate: f64,
    /// Bytes that may be sent now; negative after a datagram that exceeded them.
    tokens: f64,
    refilled: Millis,
    queues: [VecDeque<Queued>; CLASSES],
    /// Bytes in all queues.
    backlog: usize,
    evicted: u64,
}

impl Pacer {
    /// Creates a pacer for a link of this rate in Mbit/s.
    #[must_use]
    pub fn new(link_mbps: f64) -> Self {
        let rate = link_mbps * 125.0 * LINK_SHARE;
        Self {
            rate,
            tokens: 0.0,
            refilled: Millis(0),
            queues: Default::default(),
            backlog: 0,
            evicted: 0,
        }
    }

    /// Submits a datagram of `len` bytes. `datagram` is called to copy it only if it is
    /// queued; one that is to be sent now or dropped is not copied.
    pub fn submit(
        &mut self,
        class: Class,
        key: Option<u64>,
        datagram: impl FnOnce() -> Datagram,
        len: usize,
        now: Millis,
    ) -> Verdict {
        self.refill(now);
        if self.backlog == 0 && self.tokens > 0.0 {
            self.spend(len);
            return Verdict::Send;
        }
        if key.is_some() && self.is_queued(key) {
            return Verdict::Duplicate;
        }
        if !self.make_room(class, len) {
            return Verdict::Full;
        }
        self.backlog += len;
        let datagram = datagram();
        self.queues[class as usize].push_back(Queued { key, datagram });
        Verdict::Queued
    }

    /// Takes the next queued datagram if the link can take it now.
    pub fn take(&mut self, now: Millis) -> Option<Datagram> {
        self.refill(now);
        if self.tokens <= 0.0 {
            return None;
        }
        let next = self.queues.iter_mut().find_map(VecDeque::pop_front)?;
        let len = next.datagram.bytes.len();
        self.backlog -= len;
        self.spend(len);
        Some(next.datagram)
    }

    /// Returns the time at which the next queued datagram can be sent, or `None` if none
    /// is queued.
    #[must_use]
    pub fn due(&self) -> Option<Millis> {
        let wait = Millis::from_f64(1.0 + (-self.tokens).max(0.0) / self.rate);
        (self.backlog > 0).then(|| self.refilled + wait)
    }

    /// Returns the time that the queued datagrams take up the link.
    #[must_use]
    pub fn delay(&self) -> Millis {
        Millis::from_f64(to_float(self.backlog) / self.rate)
    }

    /// Returns the number of queued datagrams that were dropped in favour of more urgent
    /// ones.
    #[must_use]
    pub const fn evicted(&self) -> u64 {
        self.evicted
    }

    fn refill(&mut self, now: Millis) {
        let burst = (self.rate * BURST.to_f64()).max(MIN_BURST);
        let earned = now.since(self.refilled).to_f64() * self.rate;
        self.tokens = (self.tokens + earned).min(burst);
        self.refilled = now;
    }

    fn spend(&mut self, len: usize) {
        self.tokens -= to_float(len + DATAGRAM_OVERHEAD);
    }

    fn is_queued(&self, key: Option<u64>) -> bool {
        self.queues.iter().flatten().any(|queued| queued.key == key)
    }

    /// Drops the newest datagrams of less urgent classes until one of `len` bytes fits
    /// into the queue. Returns whether it fits.
    fn make_room(&mut self, class: Class, len: usize) -> bool {
        let limit = self.rate * MAX_BACKLOG.to_f64();
        while to_float(self.backlog + len) > limit {
            let mut lower = self.queues[class as usize + 1..].iter_mut().rev();
            let Some(dropped) = lower.find_map(VecDeque::pop_back) else {
                return false;
            };
            self.backlog -= dropped.datagram.bytes.len();
            self.evicted += 1;
        }
        true
    }
}

/// Waits until a point in time, or for ever if there is none.
pub async fn wait_until(point: Option<Instant>) {
    match point {
        Some(point) => time::sleep_until(point.into()).await,
        None => future::pending().await,
    }
}

#[expect(clippy::cast_precision_loss, reason = "sizes are small")]
const fn to_float(bytes: usize) -> f64 {
    bytes as f64
}
