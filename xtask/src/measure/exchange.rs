//! Measures the control traffic, processor time and memory of balancers for several fleet sizes.
//!
//! Runs the state machines of all balancers in one process, over a simulated network without delay
//! or loss. Routing tables are not built here; the measurement `packets` covers them.

mod entries;
mod usage;

use std::{collections::HashMap, net::SocketAddrV4, thread, time::Instant};

use cassiacross::{balancer, clock, exchange, gossip, ident, member, membership, seal};
use exchange::Action;
use serde::Serialize;

/// Heartbeat period.
const PERIOD: clock::Millis = clock::Millis(3_000);
/// Numbers of balancers to measure by default.
const SIZES: [usize; 4] = [40, 80, 160, 680];
/// Number of balancers of the fleet size that the design is made for.
const DESIGN_BALANCERS: usize = 680;
/// Number of agents at [`DESIGN_BALANCERS`]; smaller fleets have proportionally fewer.
const DESIGN_AGENTS: usize = 4_200;
/// Number of records at [`DESIGN_BALANCERS`]; smaller fleets have proportionally fewer.
const DESIGN_RECORDS: usize = 1_800;
const DOMAIN_COUNT: usize = 8;
const THREAD_COUNT: usize = 4;
const KEY: &str = "measure-exchange-key";
/// Length of the IPv4 and UDP headers of a datagram, in bytes.
const UDP_HEADERS_LEN: usize = 28;
/// Estimated length of the headers of one HTTP request and its response, in bytes.
const HTTP_HEADERS_LEN: usize = 400;
/// Heartbeat periods before the first case.
const WARM_UP_PERIODS: u64 = 12;
/// Limit for the control traffic of the busiest balancer, in bytes per second.
const MAX_BYTES_PER_SECOND: f64 = 29_000.0;
/// Limit for the processor time of a balancer, as a share of one core.
const MAX_CORE_SHARE: f64 = 0.016;
/// Limit for the time until a record change has reached all balancers.
const MAX_SPREAD_TIME: clock::Millis = clock::Millis(13_000);

/// Figures of one case, as means per second and balancer.
///
/// `busiest_bytes` is the traffic of the balancer with the most, `spread_ms` the time until a
/// change has reached all balancers.
#[derive(Debug, Serialize)]
struct Row {
    balancers: usize,
    agents: usize,
    records: usize,
    case: &'static str,
    periods: u64,
    exchange_bytes: f64,
    exchange_datagrams: f64,
    heartbeat_bytes: f64,
    ack_bytes: f64,
    sync_bytes: f64,
    view_bytes: f64,
    mean_bytes: f64,
    busiest_bytes: f64,
    core_percent: f64,
    spread_ms: Option<u64>,
}

struct Datagram {
    agent: Option<usize>,
    bytes: Vec<u8>,
}

/// View digest in the acknowledgement of an agent's heartbeat.
struct AckedDigest {
    agent: usize,
    digest: u64,
}

struct Node {
    balancer: balancer::Balancer,
    inbox: Vec<Datagram>,
    outbox: Vec<Action>,
    acked_digests: Vec<AckedDigest>,
    usage: usage::Usage,
    down: bool,
}

struct Fleet {
    sealer: seal::Sealer,
    now: clock::Millis,
    nodes: Vec<Node>,
    entries: Vec<member::Balancer>,
    heartbeats: Vec<exchange::Heartbeat>,
    silent: Vec<bool>,
    by_control: HashMap<SocketAddrV4, usize>,
    by_http: HashMap<SocketAddrV4, usize>,
    by_node: HashMap<ident::NodeId, usize>,
}

/// Measures all fleet sizes; returns false if a case of normal operation exceeds a limit.
pub fn run(seed: u64, json: bool) -> anyhow::Result<bool> {
    let sizes = std::env::var("MEASURE_SIZES").ok();
    let sizes: Vec<usize> = match &sizes {
        Some(list) => list.split(',').map(str::parse).collect::<Result<_, _>>()?,
        None => SIZES.to_vec(),
    };
    let mut rows = Vec::new();
    let mut memory = Vec::new();
    for size in sizes {
        measure(size, seed, &mut rows, &mut memory);
    }
    let met = rows.iter().all(Row::is_met);
    if json {
        let value = serde_json::json!({
            "measure": "exchange", "seed": seed, "period_ms": PERIOD.0, "rows": rows,
            "memory_bytes": memory, "met": met,
            "target": { "bytes": MAX_BYTES_PER_SECOND, "core": MAX_CORE_SHARE,
                "change_ms": MAX_SPREAD_TIME.0 },
        });
        println!("{value}");
    }
    Ok(met)
}

impl Row {
    fn is_met(&self) -> bool {
        let is_normal = ["quiet", "one change", "rolling restarts"].contains(&self.case);
        let is_timely = self.spread_ms.is_none_or(|span| span <= MAX_SPREAD_TIME.0);
        !is_normal
            || (self.busiest_bytes <= MAX_BYTES_PER_SECOND
                && self.core_percent <= MAX_CORE_SHARE * 100.0
                && is_timely)
    }
}

/// Measures all cases for one fleet size, and the memory per balancer.
fn measure(size: usize, seed: u64, rows: &mut Vec<Row>, memory: &mut Vec<(usize, usize)>) {
    let before = resident_bytes();
    let mut fleet = Fleet::new(size, seed);
    fleet.fill_tables();
    fleet.run(WARM_UP_PERIODS);
    memory.push((size, resident_bytes().saturating_sub(before) / size));
    println!(
        "{size} balancers: {} B resident memory per balancer",
        memory[memory.len() - 1].1
    );
    rows.push(fleet.run_case("quiet", 3, |_| {}));
    rows.push(fleet.run_change());
    fleet.run(6);
    rows.push(fleet.run_case("rolling restarts", 42, Fleet::restart_balancer));
    fleet.run(12);
    rows.push(fleet.run_case("three agents dead", 8, |fleet| fleet.silent[..3].fill(true)));
    fleet.run(4);
    rows.push(fleet.run_case("domain lost", 24, Fleet::stop_domain));
    drop(fleet);
    if size < DESIGN_BALANCERS {
        let mut fleet = Fleet::new(size, seed);
        fleet.sync_with_first();
        rows.push(fleet.run_case("cold start", 18, |_| {}));
    }
}

impl Fleet {
    fn new(size: usize, seed: u64) -> Self {
        let entries: Vec<_> = (0..size).map(entries::balancer_entry).collect();
        let timing = membership::Timing::new(PERIOD);
        let now = clock::Millis(1);
        let nodes = entries
            .iter()
            .zip(seed * 1_000_000..)
            .map(|(entry, seed)| Node {
                balancer: balancer::Balancer::new(entry.clone(), timing, seed, now),
                inbox: Vec::new(),
                outbox: Vec::new(),
                acked_digests: Vec::new(),
                usage: usage::Usage::default(),
                down: false,
            });
        let agents = size * DESIGN_AGENTS / DESIGN_BALANCERS;
        Self {
            sealer: seal::Sealer::new(KEY),
            now,
            nodes: nodes.collect(),
            heartbeats: (0..agents)
                .map(|index| entries::heartbeat(index, &entries))
                .collect(),
            silent: vec![false; agents],
            by_control: entries::index_by(&entries, |entry| entry.control),
            by_http: entries::index_by(&entries, |entry| entry.http),
            by_node: entries::index_by(&entries, |entry| entry.node),
            entries,
        }
    }

    /// Gives all balancers complete tables, as after a sync.
    fn fill_tables(&mut self) {
        let records = self.nodes.len() * DESIGN_RECORDS / DESIGN_BALANCERS;
        let reports = self.entries.iter().map(|entry| membership::LivenessReport {
            balancer: entry.node,
            incarnation: entry.incarnation,
            seq: 1,
            vouching: false,
            except: Vec::new(),
        });
        let sync = exchange::Sync {
            balancers: self.entries.clone(),
            reports: reports.collect(),
            members: self
                .heartbeats
                .iter()
                .map(|heartbeat| heartbeat.member.clone())
                .collect(),
            tombstones: Vec::new(),
            record_versions: Vec::new(),
        };
        let from = self.entries[0].http;
        for node in &mut self.nodes {
            node.balancer.apply_sync(&sync, from, self.now);
            node.balancer.configure(
                entries::services(records, 0),
                entries::record_versions(records, 0),
            );
        }
    }

    /// Syncs each balancer with the first one only, as at a cold start.
    fn sync_with_first(&mut self) {
        for index in 0..self.nodes.len() {
            self.sync(index, 0);
        }
    }

    /// Runs heartbeat periods, each with all its gossip rounds.
    fn run(&mut self, periods: u64) {
        for _ in 0..periods {
            self.send_heartbeats();
            for _ in 0..gossip::ROUNDS_PER_PERIOD {
                self.round();
            }
        }
    }

    /// Runs one gossip round of all live balancers.
    fn round(&mut self) {
        self.now = self.now + clock::Millis(PERIOD.0 / gossip::ROUNDS_PER_PERIOD);
        let now = self.now;
        self.for_each_live(|node, _| {
            let start = Instant::now();
            node.outbox = node.balancer.tick(now);
            node.usage.busy += start.elapsed();
        });
        self.deliver_all();
    }

    /// Delivers all datagrams and the replies to them, until nothing is in flight.
    fn deliver_all(&mut self) {
        loop {
            for index in 0..self.nodes.len() {
                for action in std::mem::take(&mut self.nodes[index].outbox) {
                    self.run_action(index, action);
                }
            }
            if self.nodes.iter().all(|node| node.inbox.is_empty()) {
                return;
            }
            let now = self.now;
            self.for_each_live(|node, sealer| {
                for datagram in std::mem::take(&mut node.inbox) {
                    let start = Instant::now();
                    let reply = node.balancer.handle_datagram(sealer, &datagram.bytes, now);
                    node.usage.busy += start.elapsed();
                    apply_reply(node, reply, &datagram);
                }
            });
        }
    }

    fn run_action(&mut self, from: usize, action: Action) {
        match action {
            Action::Send { to, body } => {
                let mut datagram = Vec::new();
                self.sealer
                    .seal(seal::Kind::Exchange, &[&body], &mut datagram);
                let count = &mut self.nodes[from].usage.exchange;
                count.sent += datagram.len() + UDP_HEADERS_LEN;
                count.messages += 1;
                let to = &mut self.nodes[self.by_control[&to]];
                if !to.down {
                    to.inbox.push(Datagram {
                        agent: None,
                        bytes: datagram,
                    });
                }
            }
            Action::Sync { from: peer } => self.sync(from, self.by_http[&peer]),
            Action::PullRecords { from: peer, .. } => self.pull_records(from, self.by_http[&peer]),
        }
    }

    /// Syncs a balancer with a peer, or skips the sync if the peer is down.
    fn sync(&mut self, index: usize, peer: usize) {
        if index == peer || self.nodes[peer].down {
            self.nodes[index].balancer.skip_sync(self.now);
            return;
        }
        let request = exchange::sync_request(self.nodes[index].balancer.tables());
        let sync = self.nodes[peer].balancer.answer_sync(&request, self.now);
        let (request_len, response_len) = (
            exchange::encode(&request).len(),
            exchange::encode(&sync).len(),
        );
        self.nodes[index]
            .usage
            .sync
            .add(request_len, response_len + HTTP_HEADERS_LEN);
        self.nodes[peer]
            .usage
            .sync
            .add(response_len + HTTP_HEADERS_LEN, request_len);
        let from = self.entries[peer].http;
        let start = Instant::now();
        let actions = self.nodes[index].balancer.apply_sync(&sync, from, self.now);
        self.nodes[index].usage.busy += start.elapsed();
        self.nodes[index].outbox.extend(actions);
    }

    fn pull_records(&mut self, index: usize, peer: usize) {
        let (services, records) = {
            let other = &self.nodes[peer].balancer;
            (other.services().to_vec(), other.records().to_vec())
        };
        self.nodes[index]
            .usage
            .sync
            .add(HTTP_HEADERS_LEN, HTTP_HEADERS_LEN);
        self.nodes[index].balancer.configure(services, records);
    }

    /// Sends the heartbeats of all live agents to their watchers.
    fn send_heartbeats(&mut self) {
        for index in 0..self.heartbeats.len() {
            if self.silent[index] {
                continue;
            }
            self.heartbeats[index].seq += 1;
            let body = exchange::encode(&self.heartbeats[index]);
            let mut datagram = Vec::new();
            self.sealer
                .seal(seal::Kind::Heartbeat, &[&body], &mut datagram);
            for watcher in &self.heartbeats[index].member.watchers {
                let node = &mut self.nodes[self.by_node[watcher]];
                if !node.down {
                    node.usage.heartbeat.received += datagram.len() + UDP_HEADERS_LEN;
                    node.usage.heartbeat.messages += 1;
                    node.inbox.push(Datagram {
                        agent: Some(index),
                        bytes: datagram.clone(),
                    });
                }
            }
        }
        self.deliver_all();
        self.pull_views();
    }

    /// Pulls the view for each agent whose view digest differs from an acknowledged one.
    ///
    /// An agent may select other watchers as a result.
    fn pull_views(&mut self) {
        for index in 0..self.nodes.len() {
            for acked in std::mem::take(&mut self.nodes[index].acked_digests) {
                if self.heartbeats[acked.agent].digest != acked.digest {
                    self.pull_view(index, acked.agent);
                }
            }
        }
    }

    fn pull_view(&mut self, index: usize, agent: usize) {
        let heartbeat = &mut self.heartbeats[agent];
        let request = exchange::ViewRequest::Agent {
            service: heartbeat.member.service.clone(),
            node: heartbeat.member.node,
        };
        let node = &mut self.nodes[index];
        let start = Instant::now();
        let view = node.balancer.view(&request, self.now);
        let response_len = exchange::encode(&view).len();
        node.usage.busy += start.elapsed();
        node.usage.view.add(
            response_len + HTTP_HEADERS_LEN,
            exchange::encode(&request).len(),
        );
        heartbeat.digest = view.digest;
        let chosen = membership::select_watchers(heartbeat.member.node, &view.balancers);
        if !chosen.is_empty() && chosen != heartbeat.member.watchers {
            heartbeat.member.watchers = chosen;
            heartbeat.member.change += 1;
        }
    }

    /// Resets the counters, calls `start`, runs a number of periods and returns the figures.
    fn run_case(&mut self, case: &'static str, periods: u64, start: impl Fn(&mut Self)) -> Row {
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
    fn run_change(&mut self) -> Row {
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
    fn restart_balancer(&mut self) {
        let index = self.nodes.len() / 2;
        self.nodes[index].balancer.leave();
        self.entries[index].leaving = true;
        self.run(2);
        self.nodes[index].down = true;
        self.run(1);
        self.entries[index].leaving = false;
        self.entries[index].incarnation.0 += 1;
        let timing = membership::Timing::new(PERIOD);
        let usage = self.nodes[index].usage;
        self.nodes[index] = Node {
            balancer: balancer::Balancer::new(self.entries[index].clone(), timing, 77, self.now),
            inbox: Vec::new(),
            outbox: Vec::new(),
            acked_digests: Vec::new(),
            usage,
            down: false,
        };
        self.sync(index, 0);
        self.deliver_all();
        self.run(1);
    }

    /// Stops all balancers and agents of one failure domain.
    fn stop_domain(&mut self) {
        for (node, entry) in self.nodes.iter_mut().zip(&self.entries) {
            node.down = entry.domain == "domain-0";
        }
        for (silent, heartbeat) in self.silent.iter_mut().zip(&self.heartbeats) {
            *silent |= heartbeat.member.domain == "domain-0";
        }
    }

    /// Calls a function on each live node, in parallel on [`THREAD_COUNT`] threads.
    fn for_each_live(&mut self, run: impl Fn(&mut Node, &seal::Sealer) + Sync) {
        let chunk = self.nodes.len().div_ceil(THREAD_COUNT);
        let (sealer, run) = (&self.sealer, &run);
        thread::scope(|scope| {
            for nodes in self.nodes.chunks_mut(chunk) {
                scope.spawn(move || {
                    let live = nodes.iter_mut().filter(|node| !node.down);
                    live.for_each(|node| run(node, sealer));
                });
            }
        });
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

impl Row {
    fn print(&self) {
        println!(
            "{:>4} {:<18} exchange {:>7.0} B/s {:>6.1} datagrams/s, heartbeat {:>5.0}, ack {:>5.0}, sync {:>6.0}, view {:>6.0}, all {:>7.0} (busiest {:>7.0}) B/s, {:>6.3} % core, spread {:?} ms",
            self.balancers,
            self.case,
            self.exchange_bytes,
            self.exchange_datagrams,
            self.heartbeat_bytes,
            self.ack_bytes,
            self.sync_bytes,
            self.view_bytes,
            self.mean_bytes,
            self.busiest_bytes,
            self.core_percent,
            self.spread_ms,
        );
    }
}

fn apply_reply(node: &mut Node, reply: Result<balancer::Reply, balancer::Error>, from: &Datagram) {
    match reply {
        Ok(balancer::Reply::Ack(ack)) => {
            let sent = exchange::encode(&ack).len() + seal::OVERHEAD + UDP_HEADERS_LEN;
            node.usage.ack.add(sent, 0);
            let digest = ack.digest;
            node.acked_digests
                .extend(from.agent.map(|agent| AckedDigest { agent, digest }));
        }
        Ok(balancer::Reply::Actions(actions)) => {
            node.usage.exchange.received += from.bytes.len() + UDP_HEADERS_LEN;
            node.outbox.extend(actions);
        }
        Err(_) => {}
    }
}

/// Returns the seconds that the `start` function of a case takes before the counted periods.
fn start_seconds(case: &str) -> f64 {
    match case {
        "rolling restarts" => 12.0,
        _ => 0.0,
    }
}

/// Returns the resident memory of this process in bytes.
fn resident_bytes() -> usize {
    const PAGE: usize = 4_096;
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text
        .split(' ')
        .nth(1)
        .and_then(|pages| pages.parse::<usize>().ok());
    pages.unwrap_or(0) * PAGE
}
