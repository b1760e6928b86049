//! Soak test: runs balancers and agents of the platform as processes under random faults, and
//! checks their guarantees by what callers and upstreams observe.
//!
//! Fault phases inject all kinds of faults. In planned phases, which follow a pause without faults,
//! only planned changes happen; no flow of a live upstream may break in them.

mod callers;
mod faults;
mod violations;

use std::{
    path::PathBuf,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

use cassiacross::{clock, mutex};
use platform_standins::{
    Cluster,
    store::{self, Store},
    upstream,
};
use serde_json::{Value, json};

/// Host numbers of the balancers.
const BALANCERS: [u8; 3] = [1, 2, 3];

/// Host numbers of the agents.
const AGENTS: [u8; 7] = [11, 12, 13, 14, 15, 16, 17];

/// Default duration of the fault injection in seconds.
pub const DEFAULT_SECONDS: u64 = 30;

/// First of the loopback networks for soak runs. The seed selects the network, so that runs with
/// different seeds can run at the same time.
const FIRST_NET: u64 = 100;

/// Number of loopback networks for soak runs.
const NET_COUNT: u64 = 100;

/// Target latency of the routes, in milliseconds.
const TARGET_LATENCY_MS: u64 = 1_000;

/// Maximum number of violations to print.
const MAX_PRINTED_VIOLATIONS: usize = 20;

/// Interval between readiness checks of a balancer.
const READINESS_INTERVAL: Duration = Duration::from_millis(500);

/// Options of a soak run.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Whether to print a JSON object as the last line.
    pub json: bool,
    /// Seed of the faults and the requests.
    pub seed: u64,
    /// Minimum duration of the fault injection in seconds; a started phase is completed.
    pub seconds: u64,
}

/// State that all threads of a soak run share; `rotation` holds the host numbers of the balancers
/// that get new packets.
#[derive(Debug)]
struct SharedState {
    clock: clock::Clock,
    cluster: Mutex<Cluster>,
    store: Store,
    rotation: Mutex<Vec<u8>>,
    log: Mutex<violations::Log>,
    stop: AtomicBool,
    request_count: AtomicUsize,
}

impl SharedState {
    fn now(&self) -> clock::Millis {
        self.clock.now()
    }

    fn is_over(&self) -> bool {
        self.stop.load(Ordering::Relaxed)
    }
}

/// Runs a soak test; returns false if a guarantee was violated.
pub fn run(options: Options) -> anyhow::Result<bool> {
    let soak = start(binary_path()?, options.seed);
    let watchers: Vec<_> = BALANCERS
        .map(|balancer| spawn(&soak, move |soak| watch_readiness(soak, balancer)))
        .into();
    let mut injector = faults::FaultInjector::start(&soak, options.seed);
    injector.wait_until_served();
    let callers: Vec<_> = (0..callers::COUNT)
        .map(|caller| spawn(&soak, move |soak| callers::run(soak, caller, options.seed)))
        .collect();
    injector.run(Duration::from_secs(options.seconds));
    let recovered = injector.recover();
    soak.stop.store(true, Ordering::Relaxed);
    for thread in callers.into_iter().chain(watchers) {
        anyhow::ensure!(thread.join().is_ok(), "a thread of the soak run panicked");
    }
    injector.finish();
    let mut violations = violations::find(&mutex::lock(&soak.log));
    if !recovered {
        violations.push(
            "not every flow was served after the recovery time that follows the last fault"
                .to_owned(),
        );
    }
    Ok(report(&soak, options, &violations))
}

/// Returns the path of the platform's binary, next to this executable.
fn binary_path() -> anyhow::Result<PathBuf> {
    let mut path = std::env::current_exe()?;
    path.set_file_name("cassiacross-platform");
    anyhow::ensure!(
        path.exists(),
        "the binary {} does not exist",
        path.display()
    );
    Ok(path)
}

/// Starts the cluster and its store with an initial configuration.
fn start(program: PathBuf, seed: u64) -> Arc<SharedState> {
    let net = u8::try_from(FIRST_NET + seed % NET_COUNT).unwrap_or(u8::MAX);
    let cluster = Cluster::new(net, program);
    let store = Store::serve(cluster.store());
    store.write_config(&config(1, true));
    Arc::new(SharedState {
        clock: clock::Clock::new(),
        cluster: Mutex::new(cluster),
        store,
        rotation: Mutex::new(BALANCERS.to_vec()),
        log: Mutex::default(),
        stop: AtomicBool::new(false),
        request_count: AtomicUsize::new(0),
    })
}

fn spawn(
    soak: &Arc<SharedState>,
    run: impl FnOnce(&SharedState) + Send + 'static,
) -> thread::JoinHandle<()> {
    let soak = Arc::clone(soak);
    thread::spawn(move || run(&soak))
}

/// Keeps a balancer in rotation while it is ready, as the fabric does.
///
/// The balancer leaves the rotation after two failed readiness checks in a row.
fn watch_readiness(soak: &SharedState, balancer: u8) {
    let addr = {
        let cluster = mutex::lock(&soak.cluster);
        cluster.addr(balancer, cluster.ports.ready)
    };
    let mut failed_checks = 0;
    while !soak.is_over() {
        let ready = upstream::is_ready(addr) == Some(true);
        failed_checks = if ready { 0 } else { failed_checks + 1 };
        let mut rotation = mutex::lock(&soak.rotation);
        rotation.retain(|other| *other != balancer);
        if failed_checks < 2 {
            rotation.push(balancer);
            rotation.sort_unstable();
        }
        drop(rotation);
        thread::sleep(READINESS_INTERVAL);
    }
}

/// Returns a configuration with the permanent route and, if `with_toggled`, also the toggled one.
fn config(version: u64, with_toggled: bool) -> Value {
    let ports = [
        callers::PERMANENT_ROUTE.port(),
        callers::TOGGLED_ROUTE.port(),
    ];
    let count = if with_toggled { 2 } else { 1 };
    store::config(version, TARGET_LATENCY_MS, &ports[..count])
}

/// Prints the violations and the summary; returns whether there was no violation.
fn report(soak: &SharedState, options: Options, violations: &[String]) -> bool {
    let log = mutex::lock(&soak.log);
    let request_count = soak.request_count.load(Ordering::Relaxed);
    for violation in violations.iter().take(MAX_PRINTED_VIOLATIONS) {
        println!("violation: {violation}");
    }
    if !violations.is_empty() {
        for fault in &log.faults {
            println!(
                "fault: {} to {} ms, {}",
                fault.start.0, fault.end.0, fault.description
            );
        }
    }
    println!(
        "seed {}: {request_count} requests, {} answered, {} faults, {} violations",
        options.seed,
        log.answered,
        log.faults.len(),
        violations.len()
    );
    if options.json {
        let line = json!({"seed": options.seed, "requests": request_count, "answered": log.answered,
            "faults": log.faults.len(), "violations": violations});
        println!("{line}");
    }
    violations.is_empty()
}
