//! Cases of a measurement: what happens to the fleet in each, and its figures.

use cassiacross::gossip;

use super::{
    DOMAIN_COUNT, PERIOD, entries,
    fleet::{Fleet, Node},
    row::Row,
    usage,
};

/// Seed of a restarted balancer.
const RESTART_SEED: u64 = 77;

impl Fleet {
    /// Resets the counters, calls `start`, runs a number of periods and returns the figures.
    pub(super) fn run_case(
        &mut self,
        case: &'static str,
        periods: u64,
        start: impl Fn(&mut Self),
    ) -> Row {
        self.reset_usage();
        start(self);
        self.run(periods);
        self.row(case, periods, None)
    }

    fn reset_usage(&mut self) {
        for node in &mut self.nodes {
            node.usage = usage::Usage::default();
        }
    }

    /// Measures the spread of a record change that reaches two balancers of each domain first.
    pub(super) fn run_change(&mut self) -> Row {
        self.reset_usage();
        let records = self.nodes[0].balancer.records().len();
        for node in self.nodes.iter_mut().take(2 * DOMAIN_COUNT) {
            node.balancer.configure(
                entries::services(records, 1),
                entries::record_versions(records, 1),
            );
        }
        let start = self.now;
        let mut spread = None;
        self.send_heartbeats();
        for round in 1..=4 * gossip::ROUNDS_PER_PERIOD {
            self.round();
            let is_everywhere = self.nodes.iter().all(|node| {
                node.balancer
                    .records()
                    .first()
                    .is_some_and(|record| record.version == 2)
            });
            if is_everywhere && spread.is_none() {
                spread = Some(self.now.since(start).0);
            }
            if round.is_multiple_of(gossip::ROUNDS_PER_PERIOD)
                && round < 4 * gossip::ROUNDS_PER_PERIOD
            {
                self.send_heartbeats();
            }
        }
        self.row("one change", 4, Some(spread.unwrap_or(u64::MAX)))
    }

    /// Restarts one balancer: it leaves, its agents select others, and it starts again with the
    /// next incarnation.
    pub(super) fn restart_balancer(&mut self) {
        let index = self.nodes.len() / 2;
        self.nodes[index].balancer.leave();
        self.entries[index].leaving = true;
        self.run(2);
        self.nodes[index].down = true;
        self.run(1);
        self.entries[index].leaving = false;
        self.entries[index].incarnation.0 += 1;
        let usage = self.nodes[index].usage;
        self.nodes[index] = Node::new(&self.entries[index], RESTART_SEED, self.now);
        self.nodes[index].usage = usage;
        self.sync(index, 0);
        self.deliver_all();
        self.run(1);
    }

    /// Stops all balancers and agents of one failure domain.
    pub(super) fn stop_domain(&mut self) {
        for (node, entry) in self.nodes.iter_mut().zip(&self.entries) {
            node.down = entry.domain == "domain-0";
        }
        for (silent, heartbeat) in self.silent.iter_mut().zip(&self.heartbeats) {
            *silent |= heartbeat.member.domain == "domain-0";
        }
    }

    #[expect(clippy::cast_precision_loss, reason = "counters are small")]
    fn row(&self, case: &'static str, periods: u64, spread_ms: Option<u64>) -> Row {
        let live: Vec<_> = self.nodes.iter().filter(|node| !node.down).collect();
        let seconds = (periods * PERIOD.0) as f64 / 1_000.0 + start_seconds(case);
        let mean = |pick: &dyn Fn(&usage::Usage) -> usize| {
            let sum: usize = live.iter().map(|node| pick(&node.usage)).sum();
            sum as f64 / live.len() as f64 / seconds
        };
        let busiest = live
            .iter()
            .map(|node| node.usage.bytes())
            .max()
            .unwrap_or(0);
        let busy: f64 = live.iter().map(|node| node.usage.busy.as_secs_f64()).sum();
        let row = Row {
            balancers: self.nodes.len(),
            agents: self.heartbeats.len(),
            records: self.nodes[0].balancer.records().len(),
            case,
            periods,
            exchange_bytes: mean(&|usage| usage.exchange.sent + usage.exchange.received),
            exchange_datagrams: mean(&|usage| usage.exchange.messages),
            heartbeat_bytes: mean(&|usage| usage.heartbeat.received),
            ack_bytes: mean(&|usage| usage.ack.sent),
            sync_bytes: mean(&|usage| usage.sync.sent + usage.sync.received),
            view_bytes: mean(&|usage| usage.view.sent + usage.view.received),
            mean_bytes: mean(&usage::Usage::bytes),
            busiest_bytes: busiest as f64 / seconds,
            core_percent: busy / live.len() as f64 / seconds * 100.0,
            spread_ms,
        };
        row.print();
        row
    }
}

/// Returns the seconds that the `start` function of a case takes before the counted periods.
fn start_seconds(case: &str) -> f64 {
    match case {
        "rolling restarts" => 12.0,
        _ => 0.0,
    }
}
