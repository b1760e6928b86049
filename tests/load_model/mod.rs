//! Load model of one pass-through service, without network: seeded callers that repeat and
//! retry, the steering of real agents, and upstreams with slots and cold starts.
//!
//! Time is in tenths of a millisecond, so that network delays below a millisecond count.

mod caller;
mod fleet;
mod ideal;

use std::{cmp::Reverse, collections::BinaryHeap};

use cassiacross::{protocol, record::Class, segment::Segment};
use rand::{Rng, SeedableRng, rngs::SmallRng};

pub use ideal::ideal;

/// Ticks of the model in one millisecond.
pub const MILLI: u64 = 10;

/// One kind of request.
#[derive(Clone, Copy, Debug)]
pub struct Kind {
    pub class: Class,
    /// Requests per second, before the pattern's burst.
    pub rate: f64,
    /// Mean service time on an upstream of speed 1, in milliseconds.
    pub work: f64,
    /// Target latency in milliseconds.
    pub target: u64,
    /// Deadline in milliseconds.
    pub deadline: u64,
}

/// A load, and what happens to the fleet meanwhile. Times are in milliseconds.
#[derive(Clone, Debug)]
pub struct Pattern {
    pub kinds: Vec<Kind>,
    /// Factor of the service time of each upstream.
    pub slowness: Vec<f64>,
    pub slots: u32,
    /// Requests that an upstream queues behind its slots before it sheds them.
    pub queue: usize,
    /// Time for which a started upstream is slow, and how much longer its work takes.
    pub cold: (u64, f64),
    /// Loss of power of the whole fleet: when, and after what time the first node is back.
    pub power_off: Option<(u64, u64)>,
    /// More arrivals: from, to, factor.
    pub burst: Option<(u64, u64, f64)>,
    /// Whether new flows may wait for a free slot.
    pub hold: bool,
    pub length: u64,
    pub seed: u64,
}

/// How requests ended.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Outcome {
    pub in_time: u32,
    pub late: u32,
    pub failed: u32,
    /// Failed requests that had waited for longer than their target latency.
    pub failed_late: u32,
}

impl Outcome {
    pub fn total(&self) -> u32 {
        self.in_time + self.late + self.failed
    }

    /// Share of requests that were answered within their target.
    pub fn goodput(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.total().max(1))
    }

    /// Share of requests that were answered, in time or late.
    pub fn served(&self) -> f64 {
        f64::from(self.in_time + self.late) / f64::from(self.total().max(1))
    }
}

/// One request of a caller.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    pub kind: usize,
    pub at: u64,
    /// Service time on an upstream of speed 1.
    pub work: u64,
}

/// Something that happens at a time.
#[derive(Clone, Debug)]
enum Event {
    /// A caller starts an attempt of a request, or sends a copy of its SYN.
    Syn {
        request: usize,
        attempt: u32,
        copy: u32,
    },
    /// The deadline of a request.
    Deadline { request: usize },
    /// A packet reaches an agent.
    Agent {
        agent: usize,
        header: protocol::Header,
        segment: Segment,
    },
    /// A packet of an upstream reaches its agent.
    Upstream {
        agent: usize,
        run: u32,
        segment: Segment,
    },
    /// An upstream has finished a request.
    Finished {
        agent: usize,
        run: u32,
        segment: Segment,
    },
    /// A packet reaches a caller.
    Caller {
        segment: Segment,
        from: Option<usize>,
    },
    /// An agent and its upstream start.
    Start { agent: usize },
    /// The whole fleet stops.
    PowerOff,
    /// Periodic work of an agent.
    Tick { agent: usize },
}

struct Queued {
    at: u64,
    order: u64,
    event: Event,
}

impl PartialEq for Queued {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.order) == (other.at, other.order)
    }
}

impl Eq for Queued {}

impl PartialOrd for Queued {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Queued {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

/// Events in the order of their times.
#[derive(Default)]
struct Agenda {
    heap: BinaryHeap<Reverse<Queued>>,
    order: u64,
}

impl Agenda {
    fn push(&mut self, at: u64, event: Event) {
        self.order += 1;
        let order = self.order;
        self.heap.push(Reverse(Queued { at, order, event }));
    }

    fn pop(&mut self) -> Option<(u64, Event)> {
        self.heap.pop().map(|Reverse(next)| (next.at, next.event))
    }
}

/// Draws the requests of a pattern.
pub fn requests(pattern: &Pattern) -> Vec<Request> {
    let mut rng = SmallRng::seed_from_u64(pattern.seed);
    let mut requests = Vec::new();
    for (kind, load) in pattern.kinds.iter().enumerate() {
        let mut at = 0;
        loop {
            let pause = -rng.random::<f64>().max(1e-9).ln() / (load.rate * burst(pattern, at));
            at += scale(1_000 * MILLI, pause);
            if at >= pattern.length * MILLI {
                break;
            }
            let spread: f64 = rng.random_range(0.4..1.6);
            let work = scale(MILLI, load.work * spread);
            requests.push(Request { kind, at, work });
        }
    }
    requests.sort_by_key(|request| request.at);
    requests
}

/// Returns the factor of the arrival rate at a time.
fn burst(pattern: &Pattern, at: u64) -> f64 {
    match pattern.burst {
        Some((from, to, factor)) if (from..to).contains(&(at / MILLI)) => factor,
        _ => 1.0,
    }
}

/// Multiplies a duration.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss,
    reason = "durations are short and positive"
)]
fn scale(duration: u64, factor: f64) -> u64 {
    (duration as f64 * factor) as u64
}

/// Plays a pattern with the product's steering. Returns the outcome of each kind for the
/// requests that arrive in the span.
pub fn play(pattern: &Pattern, span: std::ops::Range<u64>) -> Vec<Outcome> {
    let requests = requests(pattern);
    let mut agenda = Agenda::default();
    let mut callers = caller::Callers::new(pattern, &requests, &mut agenda);
    let mut fleet = fleet::Fleet::new(pattern, &mut agenda);
    while let Some((now, event)) = agenda.pop() {
        match event {
            Event::Syn {
                request,
                attempt,
                copy,
            } => {
                if let Some(segment) = callers.syn(request, attempt, copy, now, &mut agenda) {
                    fleet.route(&segment, now, &mut agenda);
                }
            }
            Event::Deadline { request } => callers.expire(request),
            Event::Caller { segment, from } => {
                for reply in callers.receive(&segment, from, now, &mut agenda) {
                    fleet.deliver(reply, now, &mut agenda);
                }
            }
            Event::Agent {
                agent,
                header,
                segment,
            } => {
                fleet.inbound(agent, header, &segment, now, &mut agenda);
            }
            Event::Upstream {
                agent,
                run,
                segment,
            } => {
                fleet.outbound(agent, run, &segment, now, &mut agenda);
            }
            Event::Finished {
                agent,
                run,
                segment,
            } => {
                fleet.finish(agent, run, &segment, now, &mut agenda);
            }
            Event::Start { agent } => fleet.start(agent, now, &mut agenda),
            Event::PowerOff => fleet.power_off(),
            Event::Tick { agent } => fleet.tick(agent, now, &mut agenda),
        }
    }
    callers.outcomes(&(span.start * MILLI..span.end * MILLI))
}
