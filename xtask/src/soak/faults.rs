//! Fault injection of a soak run: suspends, kills and restarts processes, and makes upstreams and
//! the store fail. Planned changes are restarts, upstream replacements and configuration changes.

use std::{
    collections::BTreeMap,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use cassiacross::{clock::Millis, mutex};
use platform_standins::{Signal, store::FaultMode, upstream::Upstream};
use rand::{Rng, SeedableRng, rngs};

use super::{
    AGENTS, BALANCERS, SharedState, callers, config,
    violations::{Fault, UpstreamRun},
};

/// Duration of a phase.
const PHASE_TIME: Duration = Duration::from_secs(6);

/// Pause between a fault phase and a planned phase, until the faults have no more effect.
const SETTLE_TIME: Duration = Duration::from_millis(5_500);

/// Upper bound of the duration of a planned change.
const MAX_CHANGE_TIME: Millis = Millis(10_000);

/// Time after the start of a drain within which the upstream may still get new flows.
const DRAIN_TIME: Duration = Duration::from_secs(3);

/// Time within which a configuration must be in force.
const ACTIVATION_TIME: Duration = Duration::from_secs(3);

/// Time after the last fault within which all flows must be served again.
const RECOVERY_TIME: Duration = Duration::from_secs(12);

/// Number of flows to open after the recovery; all must be served.
const RECOVERY_FLOWS: u16 = 20;

/// Host number of the caller that checks recovery and configuration.
const OBSERVER_HOST: u8 = 190;

/// Injects faults and planned changes, and records them in the log.
pub struct FaultInjector {
    soak: Arc<SharedState>,
    rng: rngs::SmallRng,
    upstreams: BTreeMap<u8, Upstream>,
    next_run: u32,
    version: u64,
    port: u16,
}

impl FaultInjector {
    /// Starts all processes and upstreams.
    pub fn start(soak: &Arc<SharedState>, seed: u64) -> Self {
        let mut injector = Self {
            soak: Arc::clone(soak),
            rng: rngs::SmallRng::seed_from_u64(seed),
            upstreams: BTreeMap::new(),
            next_run: 1,
            version: 1,
            port: 1_000,
        };
        for balancer in BALANCERS {
            mutex::lock(&soak.cluster).start("balancer", balancer, true);
        }
        for agent in AGENTS {
            mutex::lock(&soak.cluster).start("agent", agent, true);
            injector.start_upstream(agent);
        }
        injector
    }

    /// Waits until a flow is served for the first time.
    pub fn wait_until_served(&mut self) {
        while !self.is_served() {
            thread::sleep(Duration::from_millis(100));
        }
    }

    /// Alternates fault phases and planned phases for the given time.
    pub fn run(&mut self, time: Duration) {
        let start = Instant::now();
        while start.elapsed() < time {
            self.run_phase(Self::inject_fault);
            thread::sleep(SETTLE_TIME);
            self.run_phase(Self::make_planned_change);
        }
    }

    /// Ends the faults of the store, waits for the recovery time and returns whether all flows are
    /// served then.
    pub fn recover(&mut self) -> bool {
        self.set_store_mode(FaultMode::Healthy);
        thread::sleep(RECOVERY_TIME);
        (0..RECOVERY_FLOWS).all(|_| self.is_served())
    }

    /// Records a violation for each process that exited without being stopped.
    pub fn finish(self) {
        let exited = mutex::lock(&self.soak.cluster).exited();
        let mut log = mutex::lock(&self.soak.log);
        for host in exited {
            log.violations.push(format!(
                "the process of host {host} exited without being stopped"
            ));
        }
    }

    fn run_phase(&mut self, step: impl Fn(&mut Self)) {
        let start = Instant::now();
        while start.elapsed() < PHASE_TIME {
            step(self);
            let pause = self.rng.random_range(50..800);
            thread::sleep(Duration::from_millis(pause));
        }
    }

    /// Injects one random fault and logs it.
    fn inject_fault(&mut self) {
        let start = self.soak.now();
        let description = match self.rng.random_range(0..9) {
            0 | 1 => self.suspend_process(),
            2 | 3 => self.kill_process(),
            4 => self.kill_processes(),
            5 => self.crash_upstream(),
            6 => self.block_upstream(),
            7 => self.disturb_store(),
            _ => self.change_under_faults(),
        };
        let end = self.soak.now();
        mutex::lock(&self.soak.log).faults.push(Fault {
            description,
            start,
            end,
        });
    }

    /// Makes one random planned change: a restart, an upstream replacement, a configuration change
    /// or a reload.
    fn make_planned_change(&mut self) {
        match self.rng.random_range(0..6) {
            0..=2 => self.restart_process(),
            3 => self.replace_upstream(),
            4 => self.change_config(),
            _ => self.reload_process(),
        }
    }

    /// Makes a planned change during a fault phase.
    fn change_under_faults(&mut self) -> String {
        let start = self.soak.now();
        let end = start + MAX_CHANGE_TIME;
        let description = "planned change under faults started".to_owned();
        mutex::lock(&self.soak.log).faults.push(Fault {
            description,
            start,
            end,
        });
        self.make_planned_change();
        // The entry makes the checks of the change tolerate faults while it runs. It is removed
        // again, because the caller logs the change with its real end.
        mutex::lock(&self.soak.log).faults.pop();
        "planned change under faults".to_owned()
    }

    fn random_host(&mut self) -> u8 {
        let count = BALANCERS.len() + AGENTS.len();
        let at = self.rng.random_range(0..count);
        let mut hosts = BALANCERS.iter().chain(&AGENTS);
        hosts.nth(at).copied().unwrap_or(BALANCERS[0])
    }

    fn random_agent(&mut self) -> u8 {
        AGENTS[self.rng.random_range(0..AGENTS.len())]
    }

    fn random_sleep(&mut self, from: u64, to: u64) {
        let span = self.rng.random_range(from..to);
        thread::sleep(Duration::from_millis(span));
    }

    fn suspend_process(&mut self) -> String {
        let host = self.random_host();
        mutex::lock(&self.soak.cluster).signal(host, Signal::Pause);
        self.random_sleep(100, 3_000);
        mutex::lock(&self.soak.cluster).signal(host, Signal::Resume);
        format!("process of host {host} suspended")
    }

    fn kill_process(&mut self) -> String {
        let host = self.random_host();
        mutex::lock(&self.soak.cluster).stop(host, Signal::Kill);
        self.random_sleep(0, 2_000);
        self.start_process(host);
        format!("process of host {host} killed")
    }

    /// Kills the processes of a random set of hosts and starts them again.
    fn kill_processes(&mut self) -> String {
        let mut hosts: Vec<u8> = BALANCERS.iter().chain(&AGENTS).copied().collect();
        let removed = self.rng.random_range(0..hosts.len());
        for _ in 0..removed {
            let at = self.rng.random_range(0..hosts.len());
            hosts.remove(at);
        }
        for host in &hosts {
            mutex::lock(&self.soak.cluster).stop(*host, Signal::Kill);
        }
        self.random_sleep(0, 1_500);
        for host in &hosts {
            self.start_process(*host);
        }
        format!("processes of hosts {hosts:?} killed")
    }

    fn start_process(&self, host: u8) {
        let role = if BALANCERS.contains(&host) {
            "balancer"
        } else {
            "agent"
        };
        mutex::lock(&self.soak.cluster).start(role, host, false);
    }

    fn crash_upstream(&mut self) -> String {
        let agent = self.random_agent();
        self.end_run(agent);
        if let Some(upstream) = self.upstreams.remove(&agent) {
            upstream.crash();
        }
        self.random_sleep(0, 2_000);
        self.start_upstream(agent);
        format!("upstream of host {agent} crashed")
    }

    /// Makes an upstream unresponsive for a random time.
    fn block_upstream(&mut self) -> String {
        let agent = self.random_agent();
        self.upstreams[&agent].set_unresponsive(true);
        self.random_sleep(100, 4_000);
        self.upstreams[&agent].set_unresponsive(false);
        format!("upstream of host {agent} unresponsive")
    }

    /// Makes the store fail for a random time, in half of the cases with a compaction of its
    /// history.
    fn disturb_store(&mut self) -> String {
        let modes = [
            FaultMode::Unavailable,
            FaultMode::RateLimiting,
            FaultMode::Unresponsive,
            FaultMode::LosingResponses,
            FaultMode::Slow,
        ];
        let mode = modes[self.rng.random_range(0..modes.len())];
        self.set_store_mode(mode);
        self.random_sleep(200, 4_000);
        if self.rng.random_bool(0.5) {
            self.soak.store.compact();
        }
        self.set_store_mode(FaultMode::Healthy);
        format!("store in mode {mode:?}")
    }

    fn set_store_mode(&self, mode: FaultMode) {
        self.soak.store.set_mode(mode);
    }

    /// Stops a process gracefully and starts it again.
    fn restart_process(&mut self) {
        let host = self.random_host();
        mutex::lock(&self.soak.cluster).signal(host, Signal::Terminate);
        self.wait_for_exit(host);
        self.start_process(host);
        self.random_sleep(500, 1_500);
    }

    fn wait_for_exit(&self, host: u8) {
        while !mutex::lock(&self.soak.cluster).reap(host) {
            thread::sleep(Duration::from_millis(20));
        }
    }

    /// Drains an upstream, checks that it gets no new flows, and replaces it by a new run.
    fn replace_upstream(&mut self) {
        let agent = self.random_agent();
        let started_at = self.soak.now();
        self.upstreams[&agent].drain();
        thread::sleep(DRAIN_TIME);
        let before = self.upstreams[&agent].stats().opened;
        self.random_sleep(500, 2_000);
        let after = self.upstreams[&agent].stats().opened;
        let now = self.soak.now();
        let mut log = mutex::lock(&self.soak.log);
        if after != before && !log.has_fault(started_at, now) {
            let description = format!("the draining upstream of host {agent} got new flows");
            log.violations.push(description);
        }
        drop(log);
        self.end_run(agent);
        if let Some(upstream) = self.upstreams.remove(&agent) {
            upstream.deregister();
        }
        self.start_upstream(agent);
    }

    /// Adds or removes the toggled route and checks that the change is in force in time.
    fn change_config(&mut self) {
        self.version += 1;
        let with_toggled = self.version.is_multiple_of(2);
        let started_at = self.soak.now();
        self.soak
            .store
            .write_config(&config(self.version, with_toggled));
        thread::sleep(ACTIVATION_TIME);
        let is_open = self.open_flow(callers::TOGGLED_ROUTE).is_some();
        let now = self.soak.now();
        let mut log = mutex::lock(&self.soak.log);
        if is_open != with_toggled && !log.has_fault(started_at, now) {
            let version = self.version;
            log.violations.push(format!(
                "configuration version {version} was not in force in time"
            ));
        }
    }

    fn reload_process(&mut self) {
        let host = self.random_host();
        mutex::lock(&self.soak.cluster).signal(host, Signal::Reload);
    }

    fn open_flow(&mut self, route: std::net::SocketAddrV4) -> Option<u32> {
        self.port += 1;
        let mut caller = callers::new_caller(&self.soak, OBSERVER_HOST, route);
        callers::open_flow(&self.soak, &mut caller, &mut self.rng, self.port)
    }

    fn is_served(&mut self) -> bool {
        self.open_flow(callers::PERMANENT_ROUTE).is_some()
    }

    fn start_upstream(&mut self, agent: u8) {
        let run = self.next_run;
        self.next_run += 1;
        let upstream = Upstream::start(&mutex::lock(&self.soak.cluster), agent, run);
        mutex::lock(&self.soak.log).runs.push(UpstreamRun {
            run,
            ended_at: None,
        });
        self.upstreams.insert(agent, upstream);
    }

    /// Logs that the current run of an upstream ends.
    fn end_run(&self, agent: u8) {
        let run = self.upstreams[&agent].instance();
        let now = self.soak.now();
        let mut log = mutex::lock(&self.soak.log);
        if let Some(known) = log.runs.iter_mut().find(|known| known.run == run) {
            known.ended_at = Some(now);
        }
    }
}
