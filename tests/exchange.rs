//! Gossip, sync, acknowledgements and views in a simulated fleet of balancers and agents.

mod common;

use std::net::SocketAddrV4;

use cassiacross::{
    balancer, clock, exchange, gossip, ident, member,
    membership::{self, Liveness},
    seal,
};
use common::{addr, at, node};
use exchange::Action;
use yare::parameterized;

const KEY: &str = "0123456789abcdef";

/// Balancers and agents in one process, connected by a simulated network without delay.
struct Fleet {
    sealer: seal::Sealer,
    now: clock::Millis,
    balancers: Vec<balancer::Balancer>,
    heartbeats: Vec<exchange::Heartbeat>,
    /// Balancers that are cut off: no datagram or sync request reaches or leaves them.
    isolated: Vec<usize>,
    /// Partitions the network: balancers below this index cannot reach the others.
    split: usize,
    /// Length of the longest gossip datagram so far.
    longest: usize,
}

impl Fleet {
    /// Creates balancers that initially know balancer 0 only, and agents that know all
    /// balancers.
    fn new(balancers: u16, agents: usize) -> Self {
        let entries: Vec<_> = (0..balancers).map(common::balancer).collect();
        let timing = membership::Timing::new(common::PERIOD);
        let mut fleet = Self {
            sealer: seal::Sealer::new(KEY),
            now: at(0),
            balancers: entries
                .iter()
                .zip(0..)
                .map(|(entry, seed)| balancer::Balancer::new(entry.clone(), timing, seed, at(0)))
                .collect(),
            heartbeats: Vec::new(),
            isolated: Vec::new(),
            split: 0,
            longest: 0,
        };
        for index in 0..agents {
            let name = format!("agent-{index}");
            let watchers = membership::select_watchers(node(&name), &entries);
            fleet.heartbeats.push(exchange::Heartbeat {
                member: common::member(&name, &watchers),
                seq: 0,
                version: 0,
                digest: 0,
            });
        }
        for index in 0..fleet.balancers.len() {
            fleet.sync_with(index, addr(20_000));
        }
        fleet
    }

    fn run_periods(&mut self, periods: u64) {
        for _ in 0..periods {
            self.send_heartbeats();
            for _ in 0..gossip::ROUNDS_PER_PERIOD {
                self.now = self.now + clock::Millis(common::PERIOD.0 / gossip::ROUNDS_PER_PERIOD);
                self.run_round();
            }
        }
    }

    fn send_heartbeats(&mut self) {
        for index in 0..self.heartbeats.len() {
            self.heartbeats[index].seq += 1;
            let heartbeat = self.heartbeats[index].clone();
            let datagram = self.seal(seal::Kind::Heartbeat, &exchange::encode(&heartbeat));
            for watcher in &heartbeat.member.watchers {
                let receiver = self.find_balancer(|row| row.node == *watcher);
                self.deliver(receiver, &datagram);
            }
        }
    }

    fn run_round(&mut self) {
        for index in 0..self.balancers.len() {
            let actions = self.balancers[index].tick(self.now);
            self.run_actions(index, actions);
        }
    }

    fn run_actions(&mut self, from: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { to, body } => {
                    let datagram = self.seal(seal::Kind::Exchange, &body);
                    self.longest = self.longest.max(datagram.len());
                    let to = self.find_balancer(|row| row.control == to);
                    let to = to.filter(|to| self.can_reach(from, *to));
                    self.deliver(to, &datagram);
                }
                Action::Sync { from: peer } => self.sync_with(from, peer),
                Action::PullRecords { from: peer, names } => self.pull_records(from, peer, &names),
            }
        }
    }

    fn deliver(&mut self, to: Option<usize>, datagram: &[u8]) {
        let Some(to) = to.filter(|to| !self.isolated.contains(to)) else {
            return;
        };
        let reply = self.balancers[to].handle_datagram(&self.sealer, datagram, self.now);
        if let Ok(balancer::Reply::Actions(actions)) = reply {
            self.run_actions(to, actions);
        }
    }

    fn sync_with(&mut self, index: usize, peer: SocketAddrV4) {
        let Some(peer_index) = self.find_balancer(|row| row.http == peer) else {
            return;
        };
        if !self.can_reach(index, peer_index) {
            return;
        }
        if index == peer_index {
            self.balancers[index].skip_sync(self.now);
            return;
        }
        let request = exchange::sync_request(self.balancers[index].tables());
        let sync = self.balancers[peer_index].answer_sync(&request, self.now);
        let actions = self.balancers[index].apply_sync(&sync, peer, self.now);
        self.run_actions(index, actions);
    }

    fn pull_records(&mut self, index: usize, peer: SocketAddrV4, names: &[String]) {
        let peer = self
            .find_balancer(|row| row.http == peer)
            .expect("peer is known");
        let services = self.balancers[peer].services().iter();
        let pulled = services
            .filter(|service| names.contains(&service.name))
            .cloned()
            .collect();
        self.configure(index, pulled);
    }

    fn configure(&mut self, index: usize, pulled: Vec<exchange::VersionedService>) {
        let mut services = self.balancers[index].services().to_vec();
        services.extend(pulled);
        services.sort_by(|a, b| (&a.name, b.version).cmp(&(&b.name, a.version)));
        services.dedup_by(|later, first| later.name == first.name);
        let versions = services.iter().map(|service| exchange::RecordVersion {
            name: service.name.clone(),
            version: service.version,
        });
        let records = versions.collect();
        self.balancers[index].configure(services, records);
    }

    fn can_reach(&self, from: usize, to: usize) -> bool {
        let isolated = self.isolated.contains(&from) || self.isolated.contains(&to);
        !isolated && (from < self.split) == (to < self.split)
    }

    fn find_balancer(&self, matches: impl Fn(&member::Balancer) -> bool) -> Option<usize> {
        self.balancers
            .iter()
            .position(|balancer| matches(balancer.tables().own()))
    }

    fn seal(&self, kind: seal::Kind, body: &[u8]) -> Vec<u8> {
        let mut datagram = Vec::new();
        self.sealer.seal(kind, &[body], &mut datagram);
        datagram
    }

    fn liveness(&self, index: usize, name: &str) -> Option<Liveness> {
        let row = self.balancers[index].tables().member(node(name));
        row.map(|row| row.liveness)
    }

    fn count_liveness(&self, name: &str, expected: Liveness) -> usize {
        (0..self.balancers.len())
            .filter(|index| !self.isolated.contains(index))
            .filter(|index| self.liveness(*index, name) == Some(expected))
            .count()
    }
}

#[parameterized(
    one = { 1, 4 },
    three = { 3, 21 },
    thirty = { 30, 90 },
)]
fn all_entries_reach_all_balancers(balancers: u16, agents: usize) {
    let mut fleet = Fleet::new(balancers, agents);
    fleet.run_periods(20);
    for balancer in &fleet.balancers {
        assert_eq!(balancer.tables().balancers().len(), usize::from(balancers));
        assert_eq!(balancer.tables().members().len(), agents);
    }
    for index in 0..agents {
        let name = format!("agent-{index}");
        assert_eq!(
            fleet.count_liveness(&name, Liveness::Alive),
            usize::from(balancers)
        );
    }
    assert!(
        fleet.longest <= exchange::MAX_DATAGRAM,
        "a datagram has {} bytes",
        fleet.longest
    );
}

#[test]
fn dead_agent_is_dead_at_all_balancers() {
    let mut fleet = Fleet::new(30, 90);
    fleet.run_periods(20);
    let dead = fleet.heartbeats.remove(7).member.name;
    fleet.run_periods(16);
    assert_eq!(fleet.count_liveness(&dead, Liveness::Dead), 30);
    assert_eq!(fleet.count_liveness("agent-0", Liveness::Alive), 30);
}

#[test]
fn draining_reaches_all_balancers_within_two_periods() {
    let mut fleet = Fleet::new(30, 90);
    fleet.run_periods(20);
    fleet.heartbeats[3].member.state = member::State::Draining;
    fleet.heartbeats[3].member.change += 1;
    fleet.run_periods(2);
    for balancer in &fleet.balancers {
        let row = balancer.tables().member(node("agent-3"));
        let state = row.map(|row| row.member.state);
        assert_eq!(state, Some(member::State::Draining));
    }
}

/// A balancer that is cut off receives no heartbeats. It must neither drop its agents nor
/// report them as dead when it is connected again.
#[test]
fn isolated_balancer_reports_no_deaths() {
    let mut fleet = Fleet::new(30, 90);
    fleet.run_periods(20);
    fleet.isolated = vec![4];
    fleet.run_periods(30);
    let tables = fleet.balancers[4].tables();
    let kept = tables.active_members(common::SERVICE).count();
    assert_eq!(kept, 90, "the isolated balancer dropped agents");
    for index in 0..90 {
        let name = format!("agent-{index}");
        assert_eq!(fleet.count_liveness(&name, Liveness::Alive), 29);
    }
    fleet.isolated.clear();
    for _ in 0..40 {
        fleet.run_periods(1);
        for index in 0..90 {
            let name = format!("agent-{index}");
            assert_eq!(fleet.count_liveness(&name, Liveness::Dead), 0);
        }
    }
}

/// After a partition that outlasts the report timeout, each side considers the other dead.
/// Gossip must still merge the two sides.
#[test]
fn partitioned_halves_merge_again() {
    let mut fleet = Fleet::new(10, 20);
    fleet.run_periods(20);
    fleet.split = 5;
    fleet.run_periods(40);
    fleet.split = 0;
    fleet.heartbeats[0].member.change += 1;
    fleet.run_periods(40);
    for balancer in &fleet.balancers {
        let row = balancer.tables().member(node("agent-0"));
        assert_eq!(row.map(|row| row.member.change), Some(2));
    }
}

#[test]
fn record_versions_reach_all_and_never_revert() {
    let mut fleet = Fleet::new(30, 6);
    fleet.run_periods(10);
    fleet.configure(12, vec![common::service("ledger", 80, 8)]);
    fleet.run_periods(5);
    fleet.configure(3, vec![common::service("ledger", 81, 7)]);
    fleet.run_periods(5);
    for balancer in &fleet.balancers {
        let versions: Vec<_> = balancer
            .services()
            .iter()
            .map(|service| service.version)
            .collect();
        assert_eq!(versions, [8]);
    }
}

/// A balancer that is cut off misses a rumour, which ends before it is connected again. The
/// differing digests must lead to a sync.
#[test]
fn sync_repairs_a_lost_rumour() {
    let mut fleet = Fleet::new(3, 3);
    fleet.run_periods(20);
    fleet.isolated = vec![2];
    fleet.heartbeats[0].member.change += 1;
    fleet.run_periods(4);
    assert_eq!(
        fleet.balancers[0].pending_rumours(),
        0,
        "the rumour is still pending"
    );
    fleet.isolated.clear();
    fleet.heartbeats.clear();
    fleet.run_periods(12);
    let row = fleet.balancers[2].tables().member(node("agent-0"));
    assert_eq!(row.map(|row| row.member.change), Some(2));
}

/// If all entries change at once, the rumours must be split over datagrams of bounded length
/// and still reach every balancer.
#[test]
fn datagrams_stay_bounded_if_all_entries_change() {
    let mut fleet = Fleet::new(4, 500);
    fleet.run_periods(10);
    for heartbeat in &mut fleet.heartbeats {
        heartbeat.member.change += 1;
    }
    fleet.run_periods(40);
    assert!(
        fleet.longest <= exchange::MAX_DATAGRAM,
        "a datagram has {} bytes",
        fleet.longest
    );
    for balancer in &fleet.balancers {
        let mut rows = balancer.tables().members().iter();
        assert!(rows.all(|row| row.member.change == 2));
        assert_eq!(balancer.pending_rumours(), 0);
    }
}

#[test]
fn ack_returns_the_change_that_must_be_exceeded() {
    let mut fleet = Fleet::new(1, 1);
    fleet.run_periods(10);
    let silent = fleet.heartbeats.remove(0);
    fleet.run_periods(700);
    assert!(fleet.balancers[0].tables().members().is_empty());
    let mut heartbeat = silent;
    heartbeat.seq += 1;
    let ack = ack(&mut fleet, &heartbeat);
    assert_eq!(ack.refused.map(|entry| entry.change), Some(1));
    heartbeat.seq += 1;
    heartbeat.member.change = 2;
    assert_eq!(self::ack(&mut fleet, &heartbeat).refused, None);
    assert_eq!(fleet.balancers[0].tables().members().len(), 1);
}

#[test]
fn ack_returns_the_incarnation_that_must_be_exceeded() {
    let mut fleet = Fleet::new(1, 1);
    fleet.run_periods(3);
    let mut heartbeat = fleet.heartbeats.remove(0);
    heartbeat.member.incarnation = ident::Incarnation(4);
    heartbeat.seq = 1;
    let refused = ack(&mut fleet, &heartbeat).refused;
    let newest = refused.map(|entry| entry.incarnation);
    assert_eq!(newest, Some(ident::Incarnation(5)));
}

fn ack(fleet: &mut Fleet, heartbeat: &exchange::Heartbeat) -> exchange::Ack {
    let datagram = fleet.seal(seal::Kind::Heartbeat, &exchange::encode(heartbeat));
    match fleet.balancers[0].handle_datagram(&fleet.sealer, &datagram, fleet.now) {
        Ok(balancer::Reply::Ack(ack)) => ack,
        other => panic!("heartbeat was not acknowledged: {other:?}"),
    }
}

#[parameterized(
    by_name = { exchange::ViewRequest::Service("ledger".to_owned()), Some("ledger"), 2 },
    by_address = { exchange::ViewRequest::Address(common::service_addr(80)), Some("ledger"), 2 },
    by_moved_address = { exchange::ViewRequest::Address(common::service_addr(81)), Some("sheets"), 0 },
    without_record = { exchange::ViewRequest::Service("photos".to_owned()), None, 0 },
    unknown_address = { exchange::ViewRequest::Address(addr(1)), None, 0 },
)]
fn view(request: exchange::ViewRequest, service: Option<&str>, members: usize) {
    let mut fleet = Fleet::new(2, 2);
    let services = vec![
        common::service("ledger", 80, 3),
        common::service("sheets", 81, 4),
    ];
    fleet.configure(0, services);
    fleet.run_periods(10);
    let view = fleet.balancers[0].view(&request, fleet.now);
    let name = view.service.as_ref().map(|service| service.name.as_str());
    assert_eq!(name, service);
    assert_eq!(view.members.len(), members);
    assert_eq!(view.balancers.len(), 2);
}

#[test]
fn ack_digest_equals_the_digest_of_the_view() {
    let mut fleet = Fleet::new(2, 2);
    fleet.configure(0, vec![common::service("ledger", 80, 3)]);
    fleet.run_periods(10);
    let mut heartbeat = fleet.heartbeats[0].clone();
    let request = exchange::ViewRequest::Agent {
        service: "ledger".to_owned(),
        node: heartbeat.member.node,
    };
    let before = fleet.balancers[0].view(&request, fleet.now);
    heartbeat.seq += 1;
    let first = ack(&mut fleet, &heartbeat);
    assert_eq!((first.digest, first.version), (before.digest, 3));
    heartbeat.seq += 1;
    heartbeat.member.change += 1;
    assert_ne!(ack(&mut fleet, &heartbeat).digest, before.digest);
}

fn sealed(kind: seal::Kind, key: &str, body: &[u8]) -> Vec<u8> {
    let mut datagram = Vec::new();
    seal::Sealer::new(key).seal(kind, &[body], &mut datagram);
    datagram
}

#[parameterized(
    empty = { Vec::new() },
    without_valid_seal = { vec![2; 80] },
    other_key = { sealed(seal::Kind::Heartbeat, "fedcba9876543210", &[]) },
    malformed_message = { sealed(seal::Kind::Exchange, KEY, &[0xff; 40]) },
    huge_lengths = { sealed(seal::Kind::Exchange, KEY, &[0xdd, 0xff, 0xff, 0xff, 0xff]) },
    kind_for_agents = { sealed(seal::Kind::Displaced, KEY, &[]) },
    too_long = { sealed(seal::Kind::Exchange, KEY, &[0; 1_400]) },
)]
fn invalid_datagram_is_rejected(datagram: Vec<u8>) {
    let mut fleet = Fleet::new(1, 0);
    let result = fleet.balancers[0].handle_datagram(&fleet.sealer, &datagram, at(1));
    result.expect_err("the invalid datagram was accepted");
}

/// An attacker may send a recorded heartbeat again; it must not keep a dead agent alive.
#[test]
fn replayed_heartbeat_does_not_keep_an_agent_alive() {
    let mut fleet = Fleet::new(1, 3);
    fleet.run_periods(10);
    let old = fleet.heartbeats.remove(0);
    let datagram = fleet.seal(seal::Kind::Heartbeat, &exchange::encode(&old));
    for _ in 0..10 {
        fleet.run_periods(1);
        let now = fleet.now;
        let result = fleet.balancers[0].handle_datagram(&fleet.sealer, &datagram, now);
        result.expect_err("the replayed heartbeat was accepted");
    }
    assert_eq!(fleet.liveness(0, "agent-0"), Some(Liveness::Dead));
}

/// A restarted balancer must take the known deaths from a peer's sync, and vouch only after
/// it has had time to receive heartbeats.
#[test]
fn restarted_balancer_learns_deaths_and_vouches_late() {
    let mut fleet = Fleet::new(3, 9);
    fleet.run_periods(20);
    let dead = fleet.heartbeats.remove(0).member.name;
    fleet.run_periods(20);
    let mut entry = common::balancer(1);
    entry.incarnation = ident::Incarnation(2);
    let timing = membership::Timing::new(common::PERIOD);
    fleet.balancers[1] = balancer::Balancer::new(entry, timing, 9, fleet.now);
    fleet.sync_with(1, addr(20_000));
    fleet.run_periods(1);
    assert!(!fleet.balancers[1].tables().report().vouching);
    assert_eq!(fleet.liveness(1, &dead), Some(Liveness::Dead));
    fleet.run_periods(10);
    assert!(fleet.balancers[1].tables().report().vouching);
    assert_eq!(fleet.count_liveness(&dead, Liveness::Dead), 3);
    assert_eq!(fleet.count_liveness("agent-5", Liveness::Alive), 3);
}

#[parameterized(
    three = { 3, 3 },
    thirty = { 30, membership::MAX_KNOWN_BALANCERS },
)]
fn agent_view_has_its_highest_ranked_balancers(balancers: u16, known: usize) {
    let mut fleet = Fleet::new(balancers, 9);
    fleet.run_periods(20);
    let entries: Vec<_> = (0..balancers).map(common::balancer).collect();
    for heartbeat in &fleet.heartbeats {
        let request = exchange::ViewRequest::Agent {
            service: heartbeat.member.service.clone(),
            node: heartbeat.member.node,
        };
        let view = fleet.balancers[0].view(&request, fleet.now);
        assert_eq!(view.balancers.len(), known);
        assert!(view.balancers.is_sorted_by_key(|balancer| balancer.node));
        assert_eq!(
            membership::select_watchers(heartbeat.member.node, &view.balancers),
            membership::select_watchers(heartbeat.member.node, &entries),
        );
    }
}

/// The entries that a joining balancer copies from a peer are known to the others. It must
/// not send them as rumours, except its own.
#[test]
fn joining_balancer_sends_no_rumours_of_copied_entries() {
    let mut fleet = Fleet::new(10, 90);
    fleet.run_periods(40);
    let mut entry = common::balancer(4);
    entry.incarnation = ident::Incarnation(2);
    let timing = membership::Timing::new(common::PERIOD);
    fleet.balancers[4] = balancer::Balancer::new(entry, timing, 4, fleet.now);
    fleet.sync_with(4, addr(20_000));
    assert_eq!(fleet.balancers[4].tables().members().len(), 90);
    assert_eq!(fleet.balancers[4].pending_rumours(), 0);
    fleet.run_periods(4);
    for other in &fleet.balancers {
        let row = other.tables().balancer(common::balancer(4).node);
        let incarnation = row.map(|row| row.balancer.incarnation);
        assert_eq!(incarnation, Some(ident::Incarnation(2)));
    }
}
