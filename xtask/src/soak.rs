//! Fault soak: the platform's roles as real processes, under series of random faults
//! from outside, and the promises checked from what callers and upstreams see.
//!
//! Rough phases mix all faults; in planned phases, after a calm, only planned work
//! goes on, and then no flow of a living upstream may break at all.

mod callers;
mod faults;
mod violations;

use std::{
    path::PathBuf,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

use cassiacross::clock;
use platform_standins::{
    Cluster,
    store::{self, Store},
    upstream,
};
use serde_json::{Value, json};

/// Balancers' machines.
const BALANCERS: [u8; 3] = [1, 2, 3];

/// Agents' machines.
const AGENTS: [u8; 7] = [11, 12, 13, 14, 15, 16, 17];

/// Seconds of faults where none are asked for.
pub const DEFAULT_SECONDS: u64 = 30;

/// Loopback networks that soaks of several seeds share, so that some may run at a time.
const FIRST_NET: u64 = 100;
const NETS: u64 = 100;

/// Target of the routes, in milliseconds.
const TARGET_MS: u64 = 1_000;

/// Violations that are printed.
const SHOWN: usize = 20;

/// Time between two questions whether a balancer is ready.
const READY_PERIOD: Duration = Duration::from_millis(500);

/// What a soak is asked for.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// A JSON object as the last line.
    pub json: bool,
    /// Seed of faults and work.
    pub seed: u64,
    /// Seconds of faults.
    pub seconds: u64,
}

/// What all threads of a soak share.
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

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Runs a soak; false if a promise was broken.
pub fn run(options: Options) -> anyhow::Result<bool> {
    let soak = start(program()?, options.seed);
    let fabric: Vec<_> = BALANCERS
        .map(|balancer| spawn(&soak, move |soak| watch(soak, balancer)))
        .into();
    let mut injector = faults::FaultInjector::start(&soak, options.seed);
    injector.wait_until_served();
    let callers: Vec<_> = (0..callers::COUNT)
        .map(|caller| spawn(&soak, move |soak| callers::run(soak, caller, options.seed)))
        .collect();
    injector.run(Duration::from_secs(options.seconds));
    let recovered = injector.recover();
    soak.stop.store(true, Ordering::Relaxed);
    for thread in callers.into_iter().chain(fabric) {
        anyhow::ensure!(thread.join().is_ok(), "a thread of the soak has panicked");
    }
    injector.finish();
    let mut violations = violations::find(&lock(&soak.log));
    if !recovered {
        violations.push("not all work was served after the faults had ended".to_owned());
    }
    Ok(report(&soak, options, &violations))
}

fn program() -> anyhow::Result<PathBuf> {
    let mut path = std::env::current_exe()?;
    path.set_file_name("cassiacross-platform");
    anyhow::ensure!(path.exists(), "{} is not built", path.display());
    Ok(path)
}

fn start(program: PathBuf, seed: u64) -> Arc<SharedState> {
    let net = u8::try_from(FIRST_NET + seed % NETS).unwrap_or(u8::MAX);
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

/// Keeps a balancer in rotation while it says that it is ready, as the fabric does.
fn watch(soak: &SharedState, balancer: u8) {
    let addr = {
        let cluster = lock(&soak.cluster);
        cluster.addr(balancer, cluster.ports.ready)
    };
    let mut missed = 0;
    while !soak.is_over() {
        let ready = upstream::is_ready(addr) == Some(true);
        missed = if ready { 0 } else { missed + 1 };
        let mut rotation = lock(&soak.rotation);
        rotation.retain(|other| *other != balancer);
        if missed < 2 {
            rotation.push(balancer);
            rotation.sort_unstable();
        }
        drop(rotation);
        thread::sleep(READY_PERIOD);
    }
}

/// The operator's configuration: the route that is always there, and one that comes and goes.
fn config(version: u64, second: bool) -> Value {
    let ports = [
        callers::PERMANENT_ROUTE.port(),
        callers::TOGGLED_ROUTE.port(),
    ];
    let count = if second { 2 } else { 1 };
    store::config(version, TARGET_MS, &ports[..count])
}

fn report(soak: &SharedState, options: Options, violations: &[String]) -> bool {
    let log = lock(&soak.log);
    let request_count = soak.request_count.load(Ordering::Relaxed);
    for violation in violations.iter().take(SHOWN) {
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
