//! Faults of a soak, from outside the processes.

use std::{
    collections::BTreeMap,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use cassiacross::clock::Millis;
use platform_standins::{Signal, store::FaultMode, upstream::Upstream};
use rand::{Rng, SeedableRng, rngs};

use super::{
    AGENTS, BALANCERS, SharedState, callers, config, lock,
    violations::{Fault, UpstreamRun},
};

/// Length of a phase.
const PHASE: Duration = Duration::from_secs(6);

/// Calm between a rough and a planned phase, in which faults stop showing.
const CALM: Duration = Duration::from_millis(5_500);

/// Longest time that planned work takes.
const LONGEST: Millis = Millis(10_000);

/// Time within which an upstream that leaves gets its last new flow.
const DRAIN: Duration = Duration::from_secs(3);

/// Time within which a configuration is in force.
const APPLY: Duration = Duration::from_secs(3);

/// Time within which all work is served again after the last fault.
const RECOVERY: Duration = Duration::from_secs(12);

/// Flows that must all be served after the recovery.
const LAST_FLOWS: u16 = 20;

/// Machine of the caller that looks at recovery and configuration.
const OBSERVER: u8 = 190;

/// Injects faults and planned work, and notes them.
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
            lock(&soak.cluster).start("balancer", balancer, true);
        }
        for agent in AGENTS {
            lock(&soak.cluster).start("agent", agent, true);
            injector.start_upstream(agent);
        }
        injector
    }

    /// Waits until a first flow is served.
    pub fn wait_until_served(&mut self) {
        while !self.is_served() {
            thread::sleep(Duration::from_millis(100));
        }
    }

    /// Alternates rough and planned phases.
    pub fn run(&mut self, time: Duration) {
        let start = Instant::now();
        while start.elapsed() < time {
            self.phase(Self::rough);
            thread::sleep(CALM);
            self.phase(Self::planned);
        }
    }

    /// Whether all work is served once the time for recovery is over.
    pub fn recover(&mut self) -> bool {
        self.mood(FaultMode::Healthy);
        thread::sleep(RECOVERY);
        (0..LAST_FLOWS).all(|_| self.is_served())
    }

    /// Notes processes that ended although nobody told them to.
    pub fn finish(self) {
        let ended = lock(&self.soak.cluster).exited();
        let mut log = lock(&self.soak.log);
        for machine in ended {
            log.violations
                .push(format!("process of machine {machine} has ended by itself"));
        }
    }

    fn phase(&mut self, step: impl Fn(&mut Self)) {
        let start = Instant::now();
        while start.elapsed() < PHASE {
            step(self);
            let pause = self.rng.random_range(50..800);
            thread::sleep(Duration::from_millis(pause));
        }
    }

    fn rough(&mut self) {
        let start = self.soak.now();
        let description = match self.rng.random_range(0..9) {
            0 | 1 => self.pause(),
            2 | 3 => self.kill(),
            4 => self.kill_many(),
            5 => self.crash(),
            6 => self.silence(),
            7 => self.store_trouble(),
            _ => self.planned_in_trouble(),
        };
        let end = self.soak.now();
        lock(&self.soak.log).faults.push(Fault {
            description,
            start,
            end,
        });
    }

    fn planned(&mut self) {
        match self.rng.random_range(0..6) {
            0..=2 => self.roll(),
            3 => self.replace(),
            4 => self.configure(),
            _ => self.reload(),
        }
    }

    fn planned_in_trouble(&mut self) -> String {
        let start = self.soak.now();
        let end = start + LONGEST;
        let description = "planned work begins in trouble".to_owned();
        lock(&self.soak.log).faults.push(Fault {
            description,
            start,
            end,
        });
        self.planned();
        // Noted ahead so that the work's own checks see it; its end is noted with the step.
        lock(&self.soak.log).faults.pop();
        "planned work in trouble".to_owned()
    }

    fn any_machine(&mut self) -> u8 {
        let all = BALANCERS.len() + AGENTS.len();
        let at = self.rng.random_range(0..all);
        let mut machines = BALANCERS.iter().chain(&AGENTS);
        machines.nth(at).copied().unwrap_or(BALANCERS[0])
    }

    fn any_agent(&mut self) -> u8 {
        AGENTS[self.rng.random_range(0..AGENTS.len())]
    }

    fn sleep(&mut self, from: u64, to: u64) {
        let span = self.rng.random_range(from..to);
        thread::sleep(Duration::from_millis(span));
    }

    fn pause(&mut self) -> String {
        let machine = self.any_machine();
        lock(&self.soak.cluster).signal(machine, Signal::Pause);
        self.sleep(100, 3_000);
        lock(&self.soak.cluster).signal(machine, Signal::Resume);
        format!("machine {machine} paused")
    }

    fn kill(&mut self) -> String {
        let machine = self.any_machine();
        lock(&self.soak.cluster).stop(machine, Signal::Kill);
        self.sleep(0, 2_000);
        self.start_process(machine);
        format!("machine {machine} killed")
    }

    fn kill_many(&mut self) -> String {
        let mut machines: Vec<u8> = BALANCERS.iter().chain(&AGENTS).copied().collect();
        let keep = self.rng.random_range(0..machines.len());
        for _ in 0..keep {
            let at = self.rng.random_range(0..machines.len());
            machines.remove(at);
        }
        for machine in &machines {
            lock(&self.soak.cluster).stop(*machine, Signal::Kill);
        }
        self.sleep(0, 1_500);
        for machine in &machines {
            self.start_process(*machine);
        }
        format!("machines {machines:?} killed")
    }

    fn start_process(&self, machine: u8) {
        let role = if BALANCERS.contains(&machine) {
            "balancer"
        } else {
            "agent"
        };
        lock(&self.soak.cluster).start(role, machine, false);
    }

    fn crash(&mut self) -> String {
        let agent = self.any_agent();
        self.end_run(agent);
        if let Some(upstream) = self.upstreams.remove(&agent) {
            upstream.crash();
        }
        self.sleep(0, 2_000);
        self.start_upstream(agent);
        format!("upstream of machine {agent} crashed")
    }

    fn silence(&mut self) -> String {
        let agent = self.any_agent();
        self.upstreams[&agent].set_unresponsive(true);
        self.sleep(100, 4_000);
        self.upstreams[&agent].set_unresponsive(false);
        format!("upstream of machine {agent} silent")
    }

    fn store_trouble(&mut self) -> String {
        let moods = [
            FaultMode::Unavailable,
            FaultMode::RateLimiting,
            FaultMode::Unresponsive,
            FaultMode::LosingResponses,
            FaultMode::Slow,
        ];
        let mood = moods[self.rng.random_range(0..moods.len())];
        self.mood(mood);
        self.sleep(200, 4_000);
        if self.rng.random_bool(0.5) {
            self.soak.store.compact();
        }
        self.mood(FaultMode::Healthy);
        format!("store {mood:?}")
    }

    fn mood(&self, mood: FaultMode) {
        self.soak.store.set_mode(mood);
    }

    /// Stops a process and starts it again.
    fn roll(&mut self) {
        let machine = self.any_machine();
        lock(&self.soak.cluster).signal(machine, Signal::Terminate);
        self.wait_for_end(machine);
        self.start_process(machine);
        self.sleep(500, 1_500);
    }

    fn wait_for_end(&self, machine: u8) {
        while !lock(&self.soak.cluster).reap(machine) {
            thread::sleep(Duration::from_millis(20));
        }
    }

    /// Drains an upstream, and lets another run follow it.
    fn replace(&mut self) {
        let agent = self.any_agent();
        let calm = self.soak.now();
        self.upstreams[&agent].drain();
        thread::sleep(DRAIN);
        let before = self.upstreams[&agent].stats().opened;
        self.sleep(500, 2_000);
        let after = self.upstreams[&agent].stats().opened;
        let now = self.soak.now();
        let mut log = lock(&self.soak.log);
        if after != before && !log.has_fault(calm, now) {
            let description = format!("draining upstream of machine {agent} got new flows");
            log.violations.push(description);
        }
        drop(log);
        self.end_run(agent);
        if let Some(upstream) = self.upstreams.remove(&agent) {
            upstream.deregister();
        }
        self.start_upstream(agent);
    }

    /// Adds or drops a route and looks whether that is in force in time.
    fn configure(&mut self) {
        self.version += 1;
        let there = self.version.is_multiple_of(2);
        let calm = self.soak.now();
        self.soak.store.write_config(&config(self.version, there));
        thread::sleep(APPLY);
        let opened = self.open(callers::TOGGLED_ROUTE).is_some();
        let now = self.soak.now();
        let mut log = lock(&self.soak.log);
        if opened != there && !log.has_fault(calm, now) {
            let version = self.version;
            log.violations
                .push(format!("version {version} was not in force in time"));
        }
    }

    fn reload(&mut self) {
        let machine = self.any_machine();
        lock(&self.soak.cluster).signal(machine, Signal::Reload);
    }

    fn open(&mut self, route: std::net::SocketAddrV4) -> Option<u32> {
        self.port += 1;
        let mut requester = callers::new_caller(&self.soak, OBSERVER, route);
        callers::open_flow(&self.soak, &mut requester, &mut self.rng, self.port)
    }

    fn is_served(&mut self) -> bool {
        self.open(callers::PERMANENT_ROUTE).is_some()
    }

    fn start_upstream(&mut self, agent: u8) {
        let run = self.next_run;
        self.next_run += 1;
        let upstream = Upstream::start(&lock(&self.soak.cluster), agent, run);
        lock(&self.soak.log).runs.push(UpstreamRun {
            run,
            ended_at: None,
        });
        self.upstreams.insert(agent, upstream);
    }

    fn end_run(&self, agent: u8) {
        let run = self.upstreams[&agent].instance();
        let now = self.soak.now();
        let mut log = lock(&self.soak.log);
        if let Some(known) = log.runs.iter_mut().find(|known| known.run == run) {
            known.ended_at = Some(now);
        }
    }
}
