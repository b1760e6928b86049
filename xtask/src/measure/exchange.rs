//! Control traffic, processor time and memory of balancers, by fleet size.
//!
//! Drives the balancers' own state machines in one process, over a network
//! without delay or loss. Routes are left out; `packets` measures them.

use std::{
    collections::HashMap,
    net::{Ipv4Addr, SocketAddrV4},
    thread,
    time::{Duration, Instant},
};

use cassiacross::{balancer, clock, exchange, gossip, ident, member, membership, seal};
use exchange::Action;
use serde::Serialize;

const PERIOD: clock::Millis = clock::Millis(3_000);
const SIZES: [usize; 4] = [40, 80, 160, 680];
const DESIGN_BALANCERS: usize = 680;
const DESIGN_AGENTS: usize = 4_200;
const DESIGN_RECORDS: usize = 1_800;
const DOMAINS: usize = 8;
const THREADS: usize = 4;
const KEY: &str = "measure-exchange-key";
/// Bytes of the IPv4 and UDP headers of a datagram.
const UDP_HEADERS: usize = 28;
/// Bytes of the headers of one HTTP call and its answer.
const HTTP_HEADERS: usize = 400;
const WARM_UP: u64 = 12;
const LIMIT_BYTES: f64 = 29_000.0;
const LIMIT_CORE: f64 = 0.016;
const CHANGE_LIMIT: clock::Millis = clock::Millis(13_000);

/// Bytes and datagrams of one kind, sent and received.
#[derive(Clone, Copy, Debug, Default)]
struct Count {
    sent: usize,
    received: usize,
    messages: usize,
}

/// What one balancer did since the counters were cleared.
#[derive(Clone, Copy, Debug, Default)]
struct Usage {
    exchange: Count,
    heartbeat: Count,
    ack: Count,
    sync: Count,
    view: Count,
    busy: Duration,
}

/// Figures of one case, a second and balancer.
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

/// Digest of a view that a balancer told an agent.
struct Told {
    agent: usize,
    digest: u64,
}

struct Node {
    balancer: balancer::Balancer,
    inbox: Vec<Datagram>,
    outbox: Vec<Action>,
    told: Vec<Told>,
    usage: Usage,
    down: bool,
}

struct Fleet {
    sealer: seal::Sealer,
    now: clock::Millis,
    nodes: Vec<Node>,
    entries: Vec<member::Balancer>,
    beats: Vec<exchange::Heartbeat>,
    silent: Vec<bool>,
    by_control: HashMap<SocketAddrV4, usize>,
    by_http: HashMap<SocketAddrV4, usize>,
    by_node: HashMap<ident::NodeId, usize>,
}

/// Runs all sizes; false if the quiet or the ordinary state breaks a limit.
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
            "target": { "bytes": LIMIT_BYTES, "core": LIMIT_CORE, "change_ms": CHANGE_LIMIT.0 },
        });
        println!("{value}");
    }
    Ok(met)
}

impl Row {
    fn is_met(&self) -> bool {
        let ordinary = ["quiet", "one change", "rolling restarts"].contains(&self.case);
        let in_time = self.spread_ms.is_none_or(|span| span <= CHANGE_LIMIT.0);
        !ordinary
            || (self.busiest_bytes <= LIMIT_BYTES
                && self.core_percent <= LIMIT_CORE * 100.0
                && in_time)
    }
}

fn measure(size: usize, seed: u64, rows: &mut Vec<Row>, memory: &mut Vec<(usize, usize)>) {
    let before = resident();
    let mut fleet = Fleet::new(size, seed);
    fleet.preload();
    fleet.run(WARM_UP);
    memory.push((size, resident().saturating_sub(before) / size));
    println!(
        "{size} balancers: {} B a balancer",
        memory[memory.len() - 1].1
    );
    rows.push(fleet.case("quiet", 3, |_| {}));
    rows.push(fleet.change());
    fleet.run(6);
    rows.push(fleet.case("rolling restarts", 42, Fleet::restart));
    fleet.run(12);
    rows.push(fleet.case("three agents dead", 8, |fleet| fleet.silent[..3].fill(true)));
    fleet.run(4);
    rows.push(fleet.case("domain lost", 24, Fleet::lose_domain));
    drop(fleet);
    if size < DESIGN_BALANCERS {
        let mut fleet = Fleet::new(size, seed);
        fleet.introduce();
        rows.push(fleet.case("cold start", 18, |_| {}));
    }
}

impl Fleet {
    fn new(size: usize, seed: u64) -> Self {
        let entries: Vec<_> = (0..size).map(entry).collect();
        let timing = membership::Timing::new(PERIOD);
        let now = clock::Millis(1);
        let nodes = entries
            .iter()
            .zip(seed * 1_000_000..)
            .map(|(entry, seed)| Node {
                balancer: balancer::Balancer::new(entry.clone(), timing, seed, now),
                inbox: Vec::new(),
                outbox: Vec::new(),
                told: Vec::new(),
                usage: Usage::default(),
                down: false,
            });
        let agents = size * DESIGN_AGENTS / DESIGN_BALANCERS;
        Self {
            sealer: seal::Sealer::new(KEY),
            now,
            nodes: nodes.collect(),
            beats: (0..agents).map(|index| beat(index, &entries)).collect(),
            silent: vec![false; agents],
            by_control: index(&entries, |entry| entry.control),
            by_http: index(&entries, |entry| entry.http),
            by_node: index(&entries, |entry| entry.node),
            entries,
        }
    }

    /// Starts all balancers with full tables, as after a sync.
    fn preload(&mut self) {
        let records = self.nodes.len() * DESIGN_RECORDS / DESIGN_BALANCERS;
        let lines = self.entries.iter().map(|entry| membership::LivenessReport {
            balancer: entry.node,
            incarnation: entry.incarnation,
            seq: 1,
            vouching: false,
            except: Vec::new(),
        });
        let sync = exchange::Sync {
            balancers: self.entries.clone(),
            reports: lines.collect(),
            members: self.beats.iter().map(|beat| beat.member.clone()).collect(),
            tombstones: Vec::new(),
            record_versions: Vec::new(),
        };
        let from = self.entries[0].http;
        for node in &mut self.nodes {
            node.balancer.apply_sync(&sync, from, self.now);
            node.balancer
                .configure(services(records, 0), record_versions(records, 0));
        }
    }

    /// Lets each balancer know the first one only.
    fn introduce(&mut self) {
        for index in 0..self.nodes.len() {
            self.sync(index, 0);
        }
    }

    fn run(&mut self, periods: u64) {
        for _ in 0..periods {
            self.beat();
            for _ in 0..gossip::ROUNDS_PER_PERIOD {
                self.round();
            }
        }
    }

    fn round(&mut self) {
        self.now = self.now + clock::Millis(PERIOD.0 / gossip::ROUNDS_PER_PERIOD);
        let now = self.now;
        self.parallel(|node, _| {
            let start = Instant::now();
            node.outbox = node.balancer.tick(now);
            node.usage.busy += start.elapsed();
        });
        self.carry_out();
    }

    /// Delivers what was sent, and what that leads to.
    fn carry_out(&mut self) {
        loop {
            for index in 0..self.nodes.len() {
                for action in std::mem::take(&mut self.nodes[index].outbox) {
                    self.act(index, action);
                }
            }
            if self.nodes.iter().all(|node| node.inbox.is_empty()) {
                return;
            }
            let now = self.now;
            self.parallel(|node, sealer| {
                for datagram in std::mem::take(&mut node.inbox) {
                    let start = Instant::now();
                    let reply = node.balancer.handle_datagram(sealer, &datagram.bytes, now);
                    node.usage.busy += start.elapsed();
                    take_reply(node, reply, &datagram);
                }
            });
        }
    }

    fn act(&mut self, from: usize, action: Action) {
        match action {
            Action::Send { to, body } => {
                let mut datagram = Vec::new();
                self.sealer
                    .seal(seal::Kind::Exchange, &[&body], &mut datagram);
                let count = &mut self.nodes[from].usage.exchange;
                count.sent += datagram.len() + UDP_HEADERS;
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
            Action::PullRecords { from: peer, .. } => self.pull(from, self.by_http[&peer]),
        }
    }

    fn sync(&mut self, index: usize, peer: usize) {
        if index == peer || self.nodes[peer].down {
            self.nodes[index].balancer.skip_sync(self.now);
            return;
        }
        let request = exchange::sync_request(self.nodes[index].balancer.tables());
        let sync = self.nodes[peer].balancer.answer_sync(&request, self.now);
        let (asked, given) = (
            exchange::encode(&request).len(),
            exchange::encode(&sync).len(),
        );
        self.nodes[index]
            .usage
            .sync
            .add(asked, given + HTTP_HEADERS);
        self.nodes[peer].usage.sync.add(given + HTTP_HEADERS, asked);
        let from = self.entries[peer].http;
        let start = Instant::now();
        let actions = self.nodes[index].balancer.apply_sync(&sync, from, self.now);
        self.nodes[index].usage.busy += start.elapsed();
        self.nodes[index].outbox.extend(actions);
    }

    fn pull(&mut self, index: usize, peer: usize) {
        let (services, records) = {
            let other = &self.nodes[peer].balancer;
            (other.services().to_vec(), other.records().to_vec())
        };
        self.nodes[index].usage.sync.add(HTTP_HEADERS, HTTP_HEADERS);
        self.nodes[index].balancer.configure(services, records);
    }

    fn beat(&mut self) {
        for index in 0..self.beats.len() {
            if self.silent[index] {
                continue;
            }
            self.beats[index].seq += 1;
            let body = exchange::encode(&self.beats[index]);
            let mut datagram = Vec::new();
            self.sealer
                .seal(seal::Kind::Heartbeat, &[&body], &mut datagram);
            for watcher in &self.beats[index].member.watchers {
                let node = &mut self.nodes[self.by_node[watcher]];
                if !node.down {
                    node.usage.heartbeat.received += datagram.len() + UDP_HEADERS;
                    node.usage.heartbeat.messages += 1;
                    node.inbox.push(Datagram {
                        agent: Some(index),
                        bytes: datagram.clone(),
                    });
                }
            }
        }
        self.carry_out();
        self.pull_views();
    }

    /// Agents whose view differs from a watcher's pull it and may choose other watchers.
    fn pull_views(&mut self) {
        for index in 0..self.nodes.len() {
            for told in std::mem::take(&mut self.nodes[index].told) {
                if self.beats[told.agent].digest != told.digest {
                    self.pull_view(index, told.agent);
                }
            }
        }
    }

    fn pull_view(&mut self, index: usize, agent: usize) {
        let beat = &mut self.beats[agent];
        let request = exchange::ViewRequest::Agent {
            service: beat.member.service.clone(),
            node: beat.member.node,
        };
        let node = &mut self.nodes[index];
        let start = Instant::now();
        let view = node.balancer.view(&request, self.now);
        let given = exchange::encode(&view).len();
        node.usage.busy += start.elapsed();
        node.usage
            .view
            .add(given + HTTP_HEADERS, exchange::encode(&request).len());
        beat.digest = view.digest;
        let chosen = membership::select_watchers(beat.member.node, &view.balancers);
        if !chosen.is_empty() && chosen != beat.member.watchers {
            beat.member.watchers = chosen;
            beat.member.change += 1;
        }
    }

    /// Runs periods after `start` and gives the figures.
    fn case(&mut self, case: &'static str, periods: u64, start: impl Fn(&mut Self)) -> Row {
        self.clear();
        start(self);
        self.run(periods);
        self.row(case, periods, None)
    }

    fn clear(&mut self) {
        for node in &mut self.nodes {
            node.usage = Usage::default();
        }
    }

    /// A change that two balancers of each domain hear of first.
    fn change(&mut self) -> Row {
        self.clear();
        let records = self.nodes[0].balancer.records().len();
        for node in self.nodes.iter_mut().take(2 * DOMAINS) {
            node.balancer
                .configure(services(records, 1), record_versions(records, 1));
        }
        let start = self.now;
        let mut spread = None;
        self.beat();
        for round in 1..=4 * gossip::ROUNDS_PER_PERIOD {
            self.round();
            let everywhere = self.nodes.iter().all(|node| {
                node.balancer
                    .records()
                    .first()
                    .is_some_and(|record| record.version == 2)
            });
            if everywhere && spread.is_none() {
                spread = Some(self.now.since(start).0);
            }
            if round.is_multiple_of(gossip::ROUNDS_PER_PERIOD)
                && round < 4 * gossip::ROUNDS_PER_PERIOD
            {
                self.beat();
            }
        }
        self.row("one change", 4, Some(spread.unwrap_or(u64::MAX)))
    }

    /// One balancer leaves; its agents choose others; it comes back as a new run.
    fn restart(&mut self) {
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
            told: Vec::new(),
            usage,
            down: false,
        };
        self.sync(index, 0);
        self.carry_out();
        self.run(1);
    }

    fn lose_domain(&mut self) {
        for (node, entry) in self.nodes.iter_mut().zip(&self.entries) {
            node.down = entry.domain == "domain-0";
        }
        for (silent, beat) in self.silent.iter_mut().zip(&self.beats) {
            *silent |= beat.member.domain == "domain-0";
        }
    }

    fn parallel(&mut self, run: impl Fn(&mut Node, &seal::Sealer) + Sync) {
        let chunk = self.nodes.len().div_ceil(THREADS);
        let (sealer, run) = (&self.sealer, &run);
        thread::scope(|scope| {
            for nodes in self.nodes.chunks_mut(chunk) {
                scope.spawn(move || {
                    let up = nodes.iter_mut().filter(|node| !node.down);
                    up.for_each(|node| run(node, sealer));
                });
            }
        });
    }

    #[expect(clippy::cast_precision_loss, reason = "counters are small")]
    fn row(&self, case: &'static str, periods: u64, spread_ms: Option<u64>) -> Row {
        let up: Vec<_> = self.nodes.iter().filter(|node| !node.down).collect();
        let seconds = (periods * PERIOD.0) as f64 / 1_000.0 + extra(case);
        let mean = |pick: &dyn Fn(&Usage) -> usize| {
            let sum: usize = up.iter().map(|node| pick(&node.usage)).sum();
            sum as f64 / up.len() as f64 / seconds
        };
        let busiest = up.iter().map(|node| node.usage.bytes()).max().unwrap_or(0);
        let busy: f64 = up.iter().map(|node| node.usage.busy.as_secs_f64()).sum();
        let row = Row {
            balancers: self.nodes.len(),
            agents: self.beats.len(),
            records: self.nodes[0].balancer.records().len(),
            case,
            periods,
            exchange_bytes: mean(&|usage| usage.exchange.sent + usage.exchange.received),
            exchange_datagrams: mean(&|usage| usage.exchange.messages),
            heartbeat_bytes: mean(&|usage| usage.heartbeat.received),
            ack_bytes: mean(&|usage| usage.ack.sent),
            sync_bytes: mean(&|usage| usage.sync.sent + usage.sync.received),
            view_bytes: mean(&|usage| usage.view.sent + usage.view.received),
            mean_bytes: mean(&Usage::bytes),
            busiest_bytes: busiest as f64 / seconds,
            core_percent: busy / up.len() as f64 / seconds * 100.0,
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

impl Count {
    const fn add(&mut self, sent: usize, received: usize) {
        self.sent += sent;
        self.received += received;
        self.messages += 1;
    }
}

impl Usage {
    fn bytes(&self) -> usize {
        let counts = [
            self.exchange,
            self.heartbeat,
            self.ack,
            self.sync,
            self.view,
        ];
        counts.iter().map(|count| count.sent + count.received).sum()
    }
}

fn take_reply(node: &mut Node, reply: Result<balancer::Reply, balancer::Error>, from: &Datagram) {
    match reply {
        Ok(balancer::Reply::Ack(ack)) => {
            let sent = exchange::encode(&ack).len() + seal::OVERHEAD + UDP_HEADERS;
            node.usage.ack.add(sent, 0);
            let digest = ack.digest;
            node.told
                .extend(from.agent.map(|agent| Told { agent, digest }));
        }
        Ok(balancer::Reply::Actions(actions)) => {
            node.usage.exchange.received += from.bytes.len() + UDP_HEADERS;
            node.outbox.extend(actions);
        }
        Err(_) => {}
    }
}

/// Seconds that a case's start runs before its own periods.
fn extra(case: &str) -> f64 {
    match case {
        "rolling restarts" => 12.0,
        _ => 0.0,
    }
}

fn index<K: Eq + std::hash::Hash>(
    entries: &[member::Balancer],
    key: impl Fn(&member::Balancer) -> K,
) -> HashMap<K, usize> {
    entries
        .iter()
        .enumerate()
        .map(|(at, entry)| (key(entry), at))
        .collect()
}

fn address(net: u8, index: usize, port: u16) -> SocketAddrV4 {
    let [_, _, high, low] = u32::try_from(index).unwrap_or(0).to_be_bytes();
    SocketAddrV4::new(Ipv4Addr::new(10, net, high, low), port)
}

fn entry(index: usize) -> member::Balancer {
    let name = format!("balancer-{index:03}");
    member::Balancer {
        node: ident::NodeId::of(&name),
        incarnation: ident::Incarnation(1 << 56),
        name,
        domain: format!("domain-{}", index % DOMAINS),
        control: address(1, index, 7_001),
        http: address(1, index, 7_002),
        leaving: false,
    }
}

fn beat(index: usize, balancers: &[member::Balancer]) -> exchange::Heartbeat {
    let name = format!("upstream-{index:04}");
    let node = ident::NodeId::of(&name);
    let services = (balancers.len() * DESIGN_RECORDS / DESIGN_BALANCERS).max(1);
    exchange::Heartbeat {
        member: member::Member {
            node,
            incarnation: ident::Incarnation(1 << 56),
            change: 1,
            name,
            service: service_name(index % services),
            domain: format!("domain-{}", index % DOMAINS),
            packets: address(2, index, 7_003),
            http: address(2, index, 7_004),
            state: member::State::Ready,
            step: 4,
            watchers: membership::select_watchers(node, balancers),
        },
        seq: 0,
        version: 1,
        digest: 1 << 60,
    }
}

fn service_name(index: usize) -> String {
    format!("service-{index:04}")
}

/// Records of which the first `changed` have a second version.
fn record_versions(records: usize, changed: usize) -> Vec<exchange::RecordVersion> {
    let record = |index| exchange::RecordVersion {
        name: service_name(index),
        version: if index < changed { 2 } else { 1 },
    };
    (0..records).map(record).collect()
}

fn services(records: usize, changed: usize) -> Vec<exchange::VersionedService> {
    let versioned = |record: exchange::RecordVersion| exchange::VersionedService {
        name: record.name,
        version: record.version,
        service: None,
    };
    record_versions(records, changed)
        .into_iter()
        .map(versioned)
        .collect()
}

/// Bytes of this process in memory.
fn resident() -> usize {
    const PAGE: usize = 4_096;
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text
        .split(' ')
        .nth(1)
        .and_then(|pages| pages.parse::<usize>().ok());
    pages.unwrap_or(0) * PAGE
}
