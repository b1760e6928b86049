//! Callers of a soak run. Each opens one flow after the other and sends requests on it, until the
//! flow breaks or a fixed number of requests is done.

use std::{
    net::{Ipv4Addr, SocketAddrV4},
    sync::atomic::Ordering,
    thread,
    time::{Duration, Instant},
};

use cassiacross::mutex;
use platform_standins::{Caller, Response};
use rand::{Rng, SeedableRng, rngs};

use super::{
    SharedState,
    violations::{BrokenFlow, FlowFailure},
};

/// Number of concurrent callers.
pub const COUNT: u8 = 12;

/// Address of the route that is always configured.
pub const PERMANENT_ROUTE: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443);

/// Address of the route that planned changes add and remove.
pub const TOGGLED_ROUTE: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 444);

/// Host number of the first caller.
const FIRST_HOST: u8 = 200;

/// Time after which a caller gives up on a request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(4);

/// Maximum number of requests on one flow.
const REQUESTS_PER_FLOW: u32 = 12;

/// Probability that a packet is lost on its way to a balancer.
const LOSS_PROBABILITY: f64 = 0.01;

/// Upper bound of the pause between two requests, in milliseconds.
const MAX_PAUSE_MS: u64 = 400;

/// Opens flows and sends requests on them until the soak run ends.
pub fn run(soak: &SharedState, index: u8, seed: u64) {
    let mut caller = new_caller(soak, FIRST_HOST + index, PERMANENT_ROUTE);
    let mut rng = rngs::SmallRng::seed_from_u64(seed ^ (u64::from(index) << 32));
    let mut port = 1_000;
    while !soak.is_over() {
        port = if port > 60_000 { 1_000 } else { port + 1 };
        if let Some(isn) = open_flow(soak, &mut caller, &mut rng, port) {
            send_requests(soak, &mut caller, &mut rng, port, isn);
        }
    }
}

/// Creates a caller on a host.
pub fn new_caller(soak: &SharedState, host: u8, route: SocketAddrV4) -> Caller {
    let cluster = mutex::lock(&soak.cluster);
    Caller::new(&cluster, host, super::BALANCERS[0], route)
}

/// Opens a flow and returns its initial sequence number, or none after a reset or a timeout.
///
/// Each retransmission goes to the balancer that the fabric selects at that time.
pub fn open_flow(
    soak: &SharedState,
    caller: &mut Caller,
    rng: &mut rngs::SmallRng,
    port: u16,
) -> Option<u32> {
    match exchange(soak, caller, rng, port, None) {
        Some(Response::Accepted(isn)) => Some(isn),
        Some(Response::Reset | Response::Data(_)) | None => None,
    }
}

/// Sends requests on a flow and logs it as broken at the first reset, timeout or response of
/// another run.
fn send_requests(
    soak: &SharedState,
    caller: &mut Caller,
    rng: &mut rngs::SmallRng,
    port: u16,
    isn: u32,
) {
    // The stand-in upstream uses 1000 times its run number as initial sequence number.
    let run = isn / 1_000;
    for _ in 0..REQUESTS_PER_FLOW {
        if soak.is_over() {
            return;
        }
        soak.request_count.fetch_add(1, Ordering::Relaxed);
        let sent_at = soak.now();
        let response = exchange(soak, caller, rng, port, Some(isn + 1));
        let failure = match response {
            Some(Response::Data(other)) if other == run => {
                mutex::lock(&soak.log).answered += 1;
                thread::sleep(Duration::from_millis(rng.random_range(0..MAX_PAUSE_MS)));
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
        mutex::lock(&soak.log).broken.push(broken);
        return;
    }
}

/// Sends a packet and retransmits it until a response arrives or the request times out.
fn exchange(
    soak: &SharedState,
    caller: &mut Caller,
    rng: &mut rngs::SmallRng,
    port: u16,
    acked: Option<u32>,
) -> Option<Response> {
    let start = Instant::now();
    while start.elapsed() < REQUEST_TIMEOUT {
        select_balancer(soak, caller, port);
        if !rng.random_bool(LOSS_PROBABILITY) {
            caller.send(port, acked);
        }
        if let Some(response) = caller.receive(port) {
            return Some(response);
        }
    }
    None
}

/// Directs the caller to the balancer that the fabric currently selects for a flow.
fn select_balancer(soak: &SharedState, caller: &mut Caller, port: u16) {
    let balancer = {
        let rotation = mutex::lock(&soak.rotation);
        let candidates = if rotation.is_empty() {
            &super::BALANCERS[..]
        } else {
            &rotation[..]
        };
        candidates[usize::from(port) % candidates.len()]
    };
    caller.set_balancer(&mutex::lock(&soak.cluster), balancer);
}
