//! Seeded schedule of the faults and planned changes of a fault injection run.

use std::time::Duration;

use anyhow::Context;
use cassiacross::clock;
use rand::{Rng, SeedableRng, rngs::SmallRng, seq::SliceRandom};
use serde_json::{Value, json};
use standins::{fleet::Fleet, history, host, process::Signal};
use tokio::time;

use crate::prove::{
    Options,
    configuration::{ACTIVATION_LIMIT, LagAllowance, Observer, RECORD, Writer},
};

/// Waiting time for a fault or change to take effect.
const FAULT_TIME: Duration = Duration::from_millis(2_500);
/// Duration of faults of the platform and the fabric.
const LONG_FAULT_TIME: Duration = Duration::from_secs(4);
/// Time for which a drained or stopped upstream is observed.
const DRAIN_TIME: Duration = Duration::from_millis(4_500);
/// Time between the kill of a host and the start of its replacement.
const KILL_DETECTION_TIME: Duration = Duration::from_millis(3_500);
/// Minimum pause between two faults or changes.
const MIN_PAUSE: Duration = Duration::from_millis(500);
/// Delay of each call to the slow platform, in milliseconds.
const SLOW_MS: u64 = 700;

/// All kinds; each run injects every one at least once.
const ALL_KINDS: [Kind; 14] = [
    Kind::ReplaceBalancer,
    Kind::KillBalancer,
    Kind::FreezeBalancer,
    Kind::DrainUpstream,
    Kind::AddUpstream,
    Kind::StopUpstream,
    Kind::ChangeWeights,
    Kind::KillUpstream,
    Kind::RaceOperators,
    Kind::PlatformDown,
    Kind::PlatformSlow,
    Kind::LoseAnswers,
    Kind::FabricLoss,
    Kind::FabricReorder,
];

/// Kind of fault or planned change.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Kind {
    ReplaceBalancer,
    KillBalancer,
    FreezeBalancer,
    DrainUpstream,
    AddUpstream,
    StopUpstream,
    ChangeWeights,
    KillUpstream,
    RaceOperators,
    PlatformDown,
    PlatformSlow,
    LoseAnswers,
    FabricLoss,
    FabricReorder,
}

impl Kind {
    const fn name(self) -> &'static str {
        match self {
            Self::ReplaceBalancer => "balancer_replaced",
            Self::KillBalancer => "balancer_killed",
            Self::FreezeBalancer => "balancer_frozen",
            Self::DrainUpstream => "upstream_drained",
            Self::AddUpstream => "upstream_added",
            Self::StopUpstream => "upstream_stopped",
            Self::ChangeWeights => "weights_changed",
            Self::KillUpstream => "upstream_killed",
            Self::RaceOperators => "operators_raced",
            Self::PlatformDown => "platform_down",
            Self::PlatformSlow => "platform_slow",
            Self::LoseAnswers => "platform_answers_lost",
            Self::FabricLoss => "fabric_loss",
            Self::FabricReorder => "fabric_reorder_duplicate",
        }
    }

    const fn is_planned(self) -> bool {
        matches!(
            self,
            Self::ReplaceBalancer
                | Self::DrainUpstream
                | Self::AddUpstream
                | Self::StopUpstream
                | Self::ChangeWeights
                | Self::RaceOperators
        )
    }
}

/// Period in which one fault or planned change was in effect, by the recorder's clock.
#[derive(Clone, Copy, Debug)]
pub struct Window {
    /// Whether a planned change, not a fault, was in effect.
    pub is_planned: bool,
    pub from: clock::Millis,
    pub until: clock::Millis,
}

/// Period in which a draining upstream must get no new requests.
#[derive(Clone, Debug)]
pub struct DrainPeriod {
    pub upstream: String,
    /// Start of the period: the start of the drain plus [`ACTIVATION_LIMIT`].
    pub from: clock::Millis,
    pub until: clock::Millis,
}

/// Injected faults and planned changes, with their times.
#[derive(Debug, Default)]
pub struct Log {
    /// Kind of each injected fault or change, in order.
    injected: Vec<Kind>,
    /// Periods of all faults and planned changes.
    pub windows: Vec<Window>,
    /// Periods in which upstreams were drained or stopped.
    pub drains: Vec<DrainPeriod>,
    /// Names of killed upstreams, with the time of the kill.
    pub kills: Vec<(String, clock::Millis)>,
    /// Periods in which balancers may lag behind.
    pub allowances: Vec<LagAllowance>,
}

impl Log {
    /// Returns whether each kind was injected.
    pub fn is_complete(&self) -> bool {
        ALL_KINDS.iter().all(|kind| self.injected.contains(kind))
    }

    /// Returns the number of injections of each kind by name.
    pub fn counts(&self) -> Value {
        let count = |kind| {
            self.injected
                .iter()
                .filter(|injected| **injected == kind)
                .count()
        };
        let counts = ALL_KINDS
            .iter()
            .map(|kind| (kind.name().to_owned(), json!(count(*kind))));
        Value::Object(counts.collect())
    }
}

/// Injects faults and planned changes into a running fleet.
pub struct Injector<'a> {
    fleet: &'a mut Fleet,
    recorder: &'a history::Recorder,
    observer: &'a Observer,
    writer: &'a mut Writer,
    rng: SmallRng,
    options: Options,
    weights: Vec<(String, f64)>,
    added: usize,
    log: Log,
}

impl<'a> Injector<'a> {
    /// Creates an injector that has injected nothing yet.
    pub fn new(
        fleet: &'a mut Fleet,
        recorder: &'a history::Recorder,
        observer: &'a Observer,
        writer: &'a mut Writer,
        options: Options,
    ) -> Self {
        let mut injector = Self {
            fleet,
            recorder,
            observer,
            writer,
            rng: SmallRng::seed_from_u64(options.seed),
            options,
            weights: Vec::new(),
            added: 0,
            log: Log::default(),
        };
        injector.allow_newest_lag();
        injector
    }

    /// Injects each kind once in random order, and repeats this in a new order until the
    /// minimum duration has passed.
    pub async fn inject_all(&mut self) -> anyhow::Result<()> {
        let end = self.recorder.now().0 + self.options.seconds * 1_000;
        loop {
            let mut kinds = ALL_KINDS;
            kinds.shuffle(&mut self.rng);
            for kind in kinds {
                self.inject(kind).await.with_context(|| kind.name())?;
                if self.log.is_complete() && self.recorder.now().0 >= end {
                    return Ok(());
                }
            }
        }
    }

    /// Returns the log of the injected faults and changes.
    pub fn into_log(self) -> Log {
        self.log
    }

    async fn inject(&mut self, kind: Kind) -> anyhow::Result<()> {
        let from = self.recorder.now();
        println!("{:>6} ms  {}", from.0, kind.name());
        match kind {
            Kind::ReplaceBalancer => self.replace_balancer().await?,
            Kind::KillBalancer => self.kill_balancer().await?,
            Kind::FreezeBalancer => self.freeze_balancer().await?,
            Kind::DrainUpstream => self.drain_upstream().await?,
            Kind::AddUpstream => drop(self.add_upstream().await?),
            Kind::StopUpstream => self.stop_upstream().await?,
            Kind::ChangeWeights => self.change_weights().await?,
            Kind::KillUpstream => self.kill_upstream().await?,
            Kind::RaceOperators => self.race_operators().await?,
            Kind::PlatformDown => {
                let down = json!({"down": true});
                self.disturb_platform(down, json!({"down": false})).await?;
            }
            Kind::PlatformSlow => {
                let slow = json!({"slow_ms": SLOW_MS});
                self.disturb_platform(slow, json!({"slow_ms": 0})).await?;
            }
            Kind::LoseAnswers => self.lose_answers().await?,
            Kind::FabricLoss => self.disturb_fabric(json!({"drop": 0.02})).await?,
            Kind::FabricReorder => {
                let faults = json!({"reorder_ms": 3, "duplicate": 0.05});
                self.disturb_fabric(faults).await?;
            }
        }
        let extra = self.rng.random_range(0..500);
        time::sleep(MIN_PAUSE + Duration::from_millis(extra)).await;
        let until = self.recorder.now();
        self.log.injected.push(kind);
        self.log.windows.push(Window {
            is_planned: kind.is_planned(),
            from,
            until,
        });
        Ok(())
    }

    async fn replace_balancer(&mut self) -> anyhow::Result<()> {
        let index = self.rng.random_range(0..self.fleet.balancers.len());
        let old = self.fleet.balancers[index].process.name().to_owned();
        self.fleet.add_balancer().await?;
        self.allow_newest_lag();
        self.observer.set_targets(self.fleet);
        self.fleet.stop_balancer(&old).await?;
        self.observer.set_targets(self.fleet);
        Ok(())
    }

    async fn kill_balancer(&mut self) -> anyhow::Result<()> {
        let index = self.rng.random_range(0..self.fleet.balancers.len());
        let name = self.fleet.balancers[index].process.name().to_owned();
        self.fleet.kill_balancer(&name)?;
        self.observer.set_targets(self.fleet);
        time::sleep(FAULT_TIME).await;
        self.fleet.add_balancer().await?;
        self.allow_newest_lag();
        self.observer.set_targets(self.fleet);
        Ok(())
    }

    /// Suspends a balancer for longer than its timeouts, and changes the record meanwhile.
    async fn freeze_balancer(&mut self) -> anyhow::Result<()> {
        let name = self.fleet.balancers[0].process.name().to_owned();
        let from = self.recorder.now();
        self.fleet.signal(&name, Signal::Stop)?;
        time::sleep(FAULT_TIME).await;
        self.randomize_weights();
        self.writer.write_weights(self.fleet, &self.weights).await?;
        time::sleep(FAULT_TIME).await;
        self.fleet.signal(&name, Signal::Continue)?;
        let until = clock::Millis(self.recorder.now().0 + ACTIVATION_LIMIT.0);
        self.log.allowances.push(LagAllowance {
            process: format!("{name}#"),
            from,
            until,
        });
        Ok(())
    }

    async fn drain_upstream(&mut self) -> anyhow::Result<()> {
        let name = self.random_upstream();
        let old_weights = self.weights.clone();
        self.weights.retain(|(other, _)| *other != name);
        self.weights.push((name.clone(), 0.0));
        let accepted = self.writer.write_weights(self.fleet, &self.weights).await?;
        time::sleep(DRAIN_TIME).await;
        self.log_drain(&name, accepted);
        self.weights = old_weights;
        self.writer.write_weights(self.fleet, &self.weights).await?;
        Ok(())
    }

    async fn add_upstream(&mut self) -> anyhow::Result<String> {
        self.added += 1;
        let name = format!("added-{}", self.added);
        let plans = self.fleet.upstreams.iter();
        let plan = plans
            .map(|upstream| &upstream.config)
            .find(|plan| plan.service == RECORD);
        let plan = plan
            .context("the fleet has no upstream of the service left")?
            .clone();
        self.fleet
            .add_upstream(&name, &plan, host::ListenAddrs::default())
            .await?;
        time::sleep(FAULT_TIME).await;
        Ok(name)
    }

    /// Stops an upstream gracefully while it runs requests; its open feeds may go on without limit.
    async fn stop_upstream(&mut self) -> anyhow::Result<()> {
        let name = self.add_upstream().await?;
        self.fleet.signal(&name, Signal::Term)?;
        let now = self.recorder.now();
        time::sleep(DRAIN_TIME).await;
        self.log_drain(&name, now);
        Ok(())
    }

    async fn change_weights(&mut self) -> anyhow::Result<()> {
        for _change in 0..3 {
            self.randomize_weights();
            self.writer.write_weights(self.fleet, &self.weights).await?;
            time::sleep(MIN_PAUSE).await;
        }
        Ok(())
    }

    /// Kills the agent and the upstream of a host, and adds another host.
    async fn kill_upstream(&mut self) -> anyhow::Result<()> {
        let name = self.random_upstream();
        self.log.kills.push((name.clone(), self.recorder.now()));
        self.fleet.kill_upstream(&name)?;
        time::sleep(KILL_DETECTION_TIME).await;
        self.add_upstream().await?;
        Ok(())
    }

    async fn race_operators(&mut self) -> anyhow::Result<()> {
        self.randomize_weights();
        self.writer
            .write_concurrently(self.fleet, &self.weights)
            .await
    }

    /// Sets faults of the platform for [`LONG_FAULT_TIME`], then replaces them by `reset`.
    async fn disturb_platform(&self, faults: Value, reset: Value) -> anyhow::Result<()> {
        let (client, platform) = (&self.fleet.client, self.fleet.platform);
        client.post(platform, "/faults", &faults).await?;
        time::sleep(LONG_FAULT_TIME).await;
        client.post(platform, "/faults", &reset).await?;
        Ok(())
    }

    /// Makes the platform drop the response to the next write, and changes the record.
    async fn lose_answers(&mut self) -> anyhow::Result<()> {
        let faults = json!({"lose_answers": 1});
        let (client, platform) = (&self.fleet.client, self.fleet.platform);
        client.post(platform, "/faults", &faults).await?;
        self.change_weights().await
    }

    /// Sets faults of the fabric for [`LONG_FAULT_TIME`], then clears them.
    async fn disturb_fabric(&self, faults: Value) -> anyhow::Result<()> {
        let (client, fabric) = (&self.fleet.client, self.fleet.fabric);
        client.post(fabric, "/faults", &faults).await?;
        time::sleep(LONG_FAULT_TIME).await;
        client.post(fabric, "/faults", &json!({})).await?;
        Ok(())
    }

    /// Logs that an upstream must get no new requests from [`ACTIVATION_LIMIT`] after the start of
    /// its drain until now.
    fn log_drain(&mut self, upstream: &str, started_at: clock::Millis) {
        self.log.drains.push(DrainPeriod {
            upstream: upstream.to_owned(),
            from: clock::Millis(started_at.0 + ACTIVATION_LIMIT.0),
            until: self.recorder.now(),
        });
    }

    /// Selects an upstream that the fleet started with; these are never stopped gracefully.
    fn random_upstream(&mut self) -> String {
        let names: Vec<_> = self
            .fleet
            .upstreams
            .iter()
            .filter(|upstream| {
                upstream.config.service == RECORD && upstream.name.starts_with(RECORD)
            })
            .map(|upstream| upstream.name.clone())
            .collect();
        names[self.rng.random_range(0..names.len())].clone()
    }

    /// Sets a random weight from 1 to 4 for each upstream of the record's service.
    fn randomize_weights(&mut self) {
        let names: Vec<_> = self
            .fleet
            .upstreams
            .iter()
            .filter(|upstream| upstream.config.service == RECORD)
            .map(|upstream| upstream.name.clone())
            .collect();
        let rng = &mut self.rng;
        let weights = names
            .into_iter()
            .map(|name| (name, f64::from(rng.random_range(1..=4_u8))));
        self.weights = weights.collect();
    }

    /// Allows the newest balancer to lag behind until [`ACTIVATION_LIMIT`] from now.
    fn allow_newest_lag(&mut self) {
        let Some(newest) = self.fleet.balancers.last() else {
            return;
        };
        let now = self.recorder.now();
        self.log.allowances.push(LagAllowance {
            process: format!("{}#", newest.process.name()),
            from: clock::Millis(0),
            until: clock::Millis(now.0 + ACTIVATION_LIMIT.0),
        });
    }
}
