//! Callers of a soak: each opens flows one after the other and asks on them until
//! they break.

use std::{
    net::{Ipv4Addr, SocketAddrV4},
    sync::atomic::Ordering,
    thread,
    time::{Duration, Instant},
};

use platform_standins::{Caller, Response};
use rand::{Rng, SeedableRng, rngs};

use super::{
    SharedState, lock,
    violations::{BrokenFlow, FlowFailure},
};

/// Callers at a time.
pub const COUNT: u8 = 12;

/// The route that is always in force.
pub const PERMANENT_ROUTE: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443);

/// The route that comes and goes.
pub const TOGGLED_ROUTE: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 444);

/// First machine of callers.
const MACHINE: u8 = 200;

/// Time after which a caller gives a request up.
const DEADLINE: Duration = Duration::from_secs(4);

/// Requests on one flow.
const REQUESTS: u32 = 12;

/// Packets that get lost on their way to a balancer.
const LOSS: f64 = 0.01;

/// Longest pause between two requests, in milliseconds.
const PAUSE_MS: u64 = 400;

/// Opens flows and asks on them until the soak is over.
pub fn run(soak: &SharedState, caller: u8, seed: u64) {
    let mut requester = new_caller(soak, MACHINE + caller, PERMANENT_ROUTE);
    let mut rng = rngs::SmallRng::seed_from_u64(seed ^ (u64::from(caller) << 32));
    let mut port = 1_000;
    while !soak.is_over() {
        port = if port > 60_000 { 1_000 } else { port + 1 };
        if let Some(isn) = open_flow(soak, &mut requester, &mut rng, port) {
            use_flow(soak, &mut requester, &mut rng, port, isn);
        }
    }
}

/// A requester on a machine.
pub fn new_caller(soak: &SharedState, machine: u8, route: SocketAddrV4) -> Caller {
    let cluster = lock(&soak.cluster);
    Caller::new(&cluster, machine, super::BALANCERS[0], route)
}

/// Opens a flow within the deadline; copies go where the fabric sends them then.
pub fn open_flow(
    soak: &SharedState,
    requester: &mut Caller,
    rng: &mut rngs::SmallRng,
    port: u16,
) -> Option<u32> {
    match ask(soak, requester, rng, port, None) {
        Some(Response::Accepted(isn)) => Some(isn),
        Some(Response::Reset | Response::Data(_)) | None => None,
    }
}

fn use_flow(
    soak: &SharedState,
    requester: &mut Caller,
    rng: &mut rngs::SmallRng,
    port: u16,
    isn: u32,
) {
    let run = isn / 1_000;
    for _ in 0..REQUESTS {
        if soak.is_over() {
            return;
        }
        soak.request_count.fetch_add(1, Ordering::Relaxed);
        let sent_at = soak.now();
        let answer = ask(soak, requester, rng, port, Some(isn + 1));
        let failure = match answer {
            Some(Response::Data(other)) if other == run => {
                lock(&soak.log).answered += 1;
                thread::sleep(Duration::from_millis(rng.random_range(0..PAUSE_MS)));
                continue;
            }
            Some(Response::Data(other)) => FlowFailure::WrongRun(other),
            Some(Response::Reset) => FlowFailure::Reset,
            Some(Response::Accepted(_)) => continue,
            None => FlowFailure::Timeout,
        };
        let broken = BrokenFlow {
            sent_at,
            failed_at: soak.now(),
            run,
            failure,
        };
        lock(&soak.log).broken.push(broken);
        return;
    }
}

/// Sends a packet again and again until something comes back.
fn ask(
    soak: &SharedState,
    requester: &mut Caller,
    rng: &mut rngs::SmallRng,
    port: u16,
    acked: Option<u32>,
) -> Option<Response> {
    let start = Instant::now();
    while start.elapsed() < DEADLINE {
        steer(soak, requester, port);
        if !rng.random_bool(LOSS) {
            requester.send(port, acked);
        }
        if let Some(answer) = requester.receive(port) {
            return Some(answer);
        }
    }
    None
}

/// Turns to the balancer that the fabric has for a flow now.
fn steer(soak: &SharedState, requester: &mut Caller, port: u16) {
    let balancer = {
        let rotation = lock(&soak.rotation);
        let all = if rotation.is_empty() {
            &super::BALANCERS[..]
        } else {
            &rotation[..]
        };
        all[usize::from(port) % all.len()]
    };
    requester.set_balancer(&lock(&soak.cluster), balancer);
}
