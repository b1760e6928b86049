//! Fleet of balancers and agents over a simulated network without delay or loss.

use std::{collections::HashMap, net::SocketAddrV4, thread, time::Instant};

use cassiacross::{
    balancer, clock,
    exchange::{self, Action},
    gossip, ident, member, membership, seal,
};

use super::{DESIGN_AGENTS, DESIGN_BALANCERS, DESIGN_RECORDS, PERIOD, entries, usage};

/// Threads that run the balancers.
const THREAD_COUNT: usize = 4;
const KEY: &str = "measure-exchange-key";
/// Length of the IPv4 and UDP headers of a datagram, in bytes.
const UDP_HEADERS_LEN: usize = 28;
/// Estimated length of the headers of one HTTP request and its response, in bytes.
const HTTP_HEADERS_LEN: usize = 400;

/// A datagram to a balancer; `agent` is the sender if it is a heartbeat.
struct Datagram {
    agent: Option<usize>,
    bytes: Vec<u8>,
}

/// View digest in the acknowledgement of an agent's heartbeat.
struct AckedDigest {
    agent: usize,
    digest: u64,
}

/// A balancer and what is in flight from and to it.
pub(super) struct Node {
    pub(super) balancer: balancer::Balancer,
    inbox: Vec<Datagram>,
    outbox: Vec<Action>,
    acked_digests: Vec<AckedDigest>,
    pub(super) usage: usage::Usage,
    pub(super) down: bool,
}

/// All balancers and agents, and the positions of the balancers by address and identifier.
pub(super) struct Fleet {
    sealer: seal::Sealer,
    pub(super) now: clock::Millis,
    pub(super) nodes: Vec<Node>,
    pub(super) entries: Vec<member::Balancer>,
    pub(super) heartbeats: Vec<exchange::Heartbeat>,
    pub(super) silent: Vec<bool>,
    by_control: HashMap<SocketAddrV4, usize>,
    by_http: HashMap<SocketAddrV4, usize>,
    by_node: HashMap<ident::NodeId, usize>,
}

impl Node {
    /// Starts a balancer without knowledge of others.
    pub(super) fn new(entry: &member::Balancer, seed: u64, now: clock::Millis) -> Self {
        let timing = membership::Timing::new(PERIOD);
        Self {
            balancer: balancer::Balancer::new(entry.clone(), timing, seed, now),
            inbox: Vec::new(),
            outbox: Vec::new(),
            acked_digests: Vec::new(),
            usage: usage::Usage::default(),
            down: false,
        }
    }
}

impl Fleet {
    /// Starts a fleet whose balancers do not know each other.
    pub(super) fn new(size: usize, seed: u64) -> Self {
        let entries: Vec<_> = (0..size).map(entries::balancer_entry).collect();
        let now = clock::Millis(1);
        let nodes = entries
            .iter()
            .zip(seed * 1_000_000..)
            .map(|(entry, seed)| Node::new(entry, seed, now));
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
    pub(super) fn fill_tables(&mut self) {
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
    pub(super) fn sync_with_first(&mut self) {
        for index in 0..self.nodes.len() {
            self.sync(index, 0);
        }
    }

    /// Runs heartbeat periods, each with all its gossip rounds.
    pub(super) fn run(&mut self, periods: u64) {
        for _ in 0..periods {
            self.send_heartbeats();
            for _ in 0..gossip::ROUNDS_PER_PERIOD {
                self.round();
            }
        }
    }

    /// Runs one gossip round of all live balancers.
    pub(super) fn round(&mut self) {
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
    pub(super) fn deliver_all(&mut self) {
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
    pub(super) fn sync(&mut self, index: usize, peer: usize) {
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
    pub(super) fn send_heartbeats(&mut self) {
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
