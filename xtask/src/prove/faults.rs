//! The seeded schedule of faults and planned changes.

use std::time::Duration;

use anyhow::Context;
use cassiacross::clock;
use rand::{Rng, SeedableRng, rngs::SmallRng, seq::SliceRandom};
use serde_json::{Value, json};
use standins::{fleet::Fleet, history, host, process::Signal};
use tokio::time;

use crate::prove::{
    Options,
    configuration::{Excuse, LIMIT, Observer, RECORD, Writer},
};

const HOLD: Duration = Duration::from_millis(2_500);
const LONG_HOLD: Duration = Duration::from_secs(4);
const DRAINED: Duration = Duration::from_millis(4_500);
const AFTER_KILL: Duration = Duration::from_millis(3_500);
const LEAST_PAUSE: Duration = Duration::from_millis(500);
const SLOW_MS: u64 = 700;

/// Everything that a run injects.
const KINDS: [Kind; 14] = [
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

/// A kind of fault or planned change.
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

/// A stretch of the run, by the recorder's clock.
#[derive(Clone, Copy, Debug)]
pub struct Window {
    /// Whether only planned changes happened in it.
    pub is_planned: bool,
    /// Its start.
    pub from: clock::Millis,
    /// Its end.
    pub until: clock::Millis,
}

/// A time in which an upstream must get no new work.
#[derive(Clone, Debug)]
pub struct Leave {
    /// Name of the upstream.
    pub upstream: String,
    /// Start, after the time that it may take.
    pub from: clock::Millis,
    /// End.
    pub until: clock::Millis,
}

/// What was done when.
#[derive(Debug, Default)]
pub struct Log {
    /// Number of each kind injected.
    injected: Vec<Kind>,
    /// All stretches.
    pub windows: Vec<Window>,
    /// Upstreams that left.
    pub leaves: Vec<Leave>,
    /// Upstreams that were killed, and when.
    pub kills: Vec<(String, clock::Millis)>,
    /// When balancers may lag.
    pub excuses: Vec<Excuse>,
}

impl Log {
    /// Whether each kind was injected.
    pub fn is_complete(&self) -> bool {
        KINDS.iter().all(|kind| self.injected.contains(kind))
    }

    /// How often each kind was injected.
    pub fn counts(&self) -> Value {
        let count = |kind| self.injected.iter().filter(|one| **one == kind).count();
        let counts = KINDS
            .iter()
            .map(|kind| (kind.name().to_owned(), json!(count(*kind))));
        Value::Object(counts.collect())
    }
}

/// A run under way.
pub struct Run<'a> {
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

impl<'a> Run<'a> {
    /// A run that has injected nothing yet.
    pub fn new(
        fleet: &'a mut Fleet,
        recorder: &'a history::Recorder,
        observer: &'a Observer,
        writer: &'a mut Writer,
        options: Options,
    ) -> Self {
        let mut run = Self {
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
        run.excuse_new();
        run
    }

    /// Injects each kind once in random order, and goes round again while there is time.
    pub async fn inject_all(&mut self) -> anyhow::Result<()> {
        let end = self.recorder.now().0 + self.options.seconds * 1_000;
        loop {
            let mut kinds = KINDS;
            kinds.shuffle(&mut self.rng);
            for kind in kinds {
                self.inject(kind).await.with_context(|| kind.name())?;
                if self.log.is_complete() && self.recorder.now().0 >= end {
                    return Ok(());
                }
            }
        }
    }

    /// What was done.
    pub fn finish(self) -> Log {
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
                self.platform(down, json!({"down": false})).await?;
            }
            Kind::PlatformSlow => {
                let slow = json!({"slow_ms": SLOW_MS});
                self.platform(slow, json!({"slow_ms": 0})).await?;
            }
            Kind::LoseAnswers => self.lose_answers().await?,
            Kind::FabricLoss => self.fabric(json!({"drop": 0.02})).await?,
            Kind::FabricReorder => {
                let faults = json!({"reorder_ms": 3, "duplicate": 0.05});
                self.fabric(faults).await?;
            }
        }
        let extra = self.rng.random_range(0..500);
        time::sleep(LEAST_PAUSE + Duration::from_millis(extra)).await;
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
        self.excuse_new();
        self.observer.follow(self.fleet);
        self.fleet.stop_balancer(&old).await?;
        self.observer.follow(self.fleet);
        Ok(())
    }

    async fn kill_balancer(&mut self) -> anyhow::Result<()> {
        let index = self.rng.random_range(0..self.fleet.balancers.len());
        let name = self.fleet.balancers[index].process.name().to_owned();
        self.fleet.kill_balancer(&name)?;
        self.observer.follow(self.fleet);
        time::sleep(HOLD).await;
        self.fleet.add_balancer().await?;
        self.excuse_new();
        self.observer.follow(self.fleet);
        Ok(())
    }

    /// Freezes a balancer past its timeouts, with a write in the meantime.
    async fn freeze_balancer(&mut self) -> anyhow::Result<()> {
        let name = self.fleet.balancers[0].process.name().to_owned();
        let from = self.recorder.now();
        self.fleet.signal(&name, Signal::Stop)?;
        time::sleep(HOLD).await;
        self.draw_weights();
        self.writer.weigh(self.fleet, &self.weights).await?;
        time::sleep(HOLD).await;
        self.fleet.signal(&name, Signal::Continue)?;
        let until = clock::Millis(self.recorder.now().0 + LIMIT.0);
        self.log.excuses.push(Excuse {
            process: format!("{name}#"),
            from,
            until,
        });
        Ok(())
    }

    async fn drain_upstream(&mut self) -> anyhow::Result<()> {
        let name = self.any_upstream();
        let before = self.weights.clone();
        self.weights.retain(|(other, _)| *other != name);
        self.weights.push((name.clone(), 0.0));
        let accepted = self.writer.weigh(self.fleet, &self.weights).await?;
        time::sleep(DRAINED).await;
        self.left(&name, accepted);
        self.weights = before;
        self.writer.weigh(self.fleet, &self.weights).await?;
        Ok(())
    }

    async fn add_upstream(&mut self) -> anyhow::Result<String> {
        self.added += 1;
        let name = format!("added-{}", self.added);
        let first = self.fleet.upstreams.iter();
        let first = first
            .map(|one| &one.config)
            .find(|plan| plan.service == RECORD);
        let plan = first.context("no upstream is left")?.clone();
        self.fleet
            .add_upstream(&name, &plan, host::ListenAddrs::default())
            .await?;
        time::sleep(HOLD).await;
        Ok(name)
    }

    /// Stops an upstream in the midst of its requests; its feeds may stay as long as they want.
    async fn stop_upstream(&mut self) -> anyhow::Result<()> {
        let name = self.add_upstream().await?;
        self.fleet.signal(&name, Signal::Term)?;
        let now = self.recorder.now();
        time::sleep(DRAINED).await;
        self.left(&name, now);
        Ok(())
    }

    async fn change_weights(&mut self) -> anyhow::Result<()> {
        for _change in 0..3 {
            self.draw_weights();
            self.writer.weigh(self.fleet, &self.weights).await?;
            time::sleep(LEAST_PAUSE).await;
        }
        Ok(())
    }

    /// Kills a host, agent and upstream; another one takes its place.
    async fn kill_upstream(&mut self) -> anyhow::Result<()> {
        let name = self.any_upstream();
        self.log.kills.push((name.clone(), self.recorder.now()));
        self.fleet.kill_upstream(&name)?;
        time::sleep(AFTER_KILL).await;
        self.add_upstream().await?;
        Ok(())
    }

    async fn race_operators(&mut self) -> anyhow::Result<()> {
        self.draw_weights();
        self.writer.race(self.fleet, &self.weights).await
    }

    async fn platform(&self, faults: Value, none: Value) -> anyhow::Result<()> {
        let (client, platform) = (&self.fleet.client, self.fleet.platform);
        client.post(platform, "/faults", &faults).await?;
        time::sleep(LONG_HOLD).await;
        client.post(platform, "/faults", &none).await?;
        Ok(())
    }

    async fn lose_answers(&mut self) -> anyhow::Result<()> {
        let faults = json!({"lose_answers": 1});
        let (client, platform) = (&self.fleet.client, self.fleet.platform);
        client.post(platform, "/faults", &faults).await?;
        self.change_weights().await
    }

    async fn fabric(&self, faults: Value) -> anyhow::Result<()> {
        let (client, fabric) = (&self.fleet.client, self.fleet.fabric);
        client.post(fabric, "/faults", &faults).await?;
        time::sleep(LONG_HOLD).await;
        client.post(fabric, "/faults", &json!({})).await?;
        Ok(())
    }

    fn left(&mut self, upstream: &str, asked: clock::Millis) {
        self.log.leaves.push(Leave {
            upstream: upstream.to_owned(),
            from: clock::Millis(asked.0 + LIMIT.0),
            until: self.recorder.now(),
        });
    }

    /// An upstream of the first start, which no planned stop has met.
    fn any_upstream(&mut self) -> String {
        let names: Vec<_> = self
            .fleet
            .upstreams
            .iter()
            .filter(|one| one.config.service == RECORD && one.name.starts_with(RECORD))
            .map(|one| one.name.clone())
            .collect();
        names[self.rng.random_range(0..names.len())].clone()
    }

    fn draw_weights(&mut self) {
        let names: Vec<_> = self
            .fleet
            .upstreams
            .iter()
            .filter(|one| one.config.service == RECORD)
            .map(|one| one.name.clone())
            .collect();
        let rng = &mut self.rng;
        let drawn = names
            .into_iter()
            .map(|name| (name, f64::from(rng.random_range(1..=4_u8))));
        self.weights = drawn.collect();
    }

    /// The newest balancer may lag at first.
    fn excuse_new(&mut self) {
        let Some(newest) = self.fleet.balancers.last() else {
            return;
        };
        let now = self.recorder.now();
        self.log.excuses.push(Excuse {
            process: format!("{}#", newest.process.name()),
            from: clock::Millis(0),
            until: clock::Millis(now.0 + LIMIT.0),
        });
    }
}
