//! Spreading of changes among balancers.

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

/// Balancers and agents in one process, over a network without delay.
struct Fleet {
    sealer: seal::Sealer,
    now: clock::Millis,
    balancers: Vec<balancer::Balancer>,
    beats: Vec<exchange::Heartbeat>,
    cut: Vec<usize>,
    /// Balancers below this index do not reach those from it on.
    split: usize,
    longest: usize,
}

impl Fleet {
    /// Balancers that know balancer 0 only, and agents that know all balancers.
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
            beats: Vec::new(),
            cut: Vec::new(),
            split: 0,
            longest: 0,
        };
        for index in 0..agents {
            let name = format!("agent-{index}");
            let watchers = membership::select_watchers(node(&name), &entries);
            fleet.beats.push(exchange::Heartbeat {
                member: common::member(&name, &watchers),
                seq: 0,
                version: 0,
                digest: 0,
            });
        }
        for index in 0..fleet.balancers.len() {
            fleet.pull(index, addr(20_000));
        }
        fleet
    }

    fn run(&mut self, periods: u64) {
        for _ in 0..periods {
            self.beat();
            for _ in 0..gossip::ROUNDS_PER_PERIOD {
                self.now = self.now + clock::Millis(common::PERIOD.0 / gossip::ROUNDS_PER_PERIOD);
                self.round();
            }
        }
    }

    fn beat(&mut self) {
        for index in 0..self.beats.len() {
            self.beats[index].seq += 1;
            let beat = self.beats[index].clone();
            let datagram = self.seal(seal::Kind::Heartbeat, &exchange::encode(&beat));
            for watcher in &beat.member.watchers {
                let reached = self.find(|row| row.node == *watcher);
                self.deliver(reached, &datagram);
            }
        }
    }

    fn round(&mut self) {
        for index in 0..self.balancers.len() {
            let actions = self.balancers[index].tick(self.now);
            self.carry_out(index, actions);
        }
    }

    fn carry_out(&mut self, from: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { to, body } => {
                    let datagram = self.seal(seal::Kind::Exchange, &body);
                    self.longest = self.longest.max(datagram.len());
                    let to = self.find(|row| row.control == to);
                    let to = to.filter(|to| self.reaches(from, *to));
                    self.deliver(to, &datagram);
                }
                Action::Sync { from: peer } => self.pull(from, peer),
                Action::PullRecords { from: peer, names } => self.pull_records(from, peer, &names),
            }
        }
    }

    fn deliver(&mut self, to: Option<usize>, datagram: &[u8]) {
        let Some(to) = to.filter(|to| !self.cut.contains(to)) else {
            return;
        };
        let reply = self.balancers[to].handle_datagram(&self.sealer, datagram, self.now);
        if let Ok(balancer::Reply::Actions(actions)) = reply {
            self.carry_out(to, actions);
        }
    }

    fn pull(&mut self, index: usize, peer: SocketAddrV4) {
        let Some(peer_index) = self.find(|row| row.http == peer) else {
            return;
        };
        if !self.reaches(index, peer_index) {
            return;
        }
        if index == peer_index {
            self.balancers[index].skip_sync(self.now);
            return;
        }
        let request = exchange::sync_request(self.balancers[index].tables());
        let sync = self.balancers[peer_index].answer_sync(&request, self.now);
        let actions = self.balancers[index].apply_sync(&sync, peer, self.now);
        self.carry_out(index, actions);
    }

    fn pull_records(&mut self, index: usize, peer: SocketAddrV4, names: &[String]) {
        let peer = self.find(|row| row.http == peer).expect("peer is known");
        let services = self.balancers[peer].services().iter();
        let pulled = services
            .filter(|one| names.contains(&one.name))
            .cloned()
            .collect();
        self.configure(index, pulled);
    }

    fn configure(&mut self, index: usize, pulled: Vec<exchange::VersionedService>) {
        let mut services = self.balancers[index].services().to_vec();
        services.extend(pulled);
        services.sort_by(|a, b| (&a.name, b.version).cmp(&(&b.name, a.version)));
        services.dedup_by(|later, first| later.name == first.name);
        let hints = services.iter().map(|one| exchange::Hint {
            name: one.name.clone(),
            version: one.version,
        });
        let records = hints.collect();
        self.balancers[index].configure(services, records);
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        let cut = self.cut.contains(&from) || self.cut.contains(&to);
        !cut && (from < self.split) == (to < self.split)
    }

    fn find(&self, fits: impl Fn(&member::Balancer) -> bool) -> Option<usize> {
        self.balancers
            .iter()
            .position(|balancer| fits(balancer.tables().own()))
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

    fn agree(&self, name: &str, expected: Liveness) -> usize {
        (0..self.balancers.len())
            .filter(|index| !self.cut.contains(index))
            .filter(|index| self.liveness(*index, name) == Some(expected))
            .count()
    }
}

#[parameterized(
    one = { 1, 4 },
    three = { 3, 21 },
    thirty = { 30, 90 },
)]
fn all_hear_of_all(balancers: u16, agents: usize) {
    let mut fleet = Fleet::new(balancers, agents);
    fleet.run(20);
    for balancer in &fleet.balancers {
        assert_eq!(balancer.tables().balancers().len(), usize::from(balancers));
        assert_eq!(balancer.tables().members().len(), agents);
    }
    for index in 0..agents {
        let name = format!("agent-{index}");
        assert_eq!(fleet.agree(&name, Liveness::Alive), usize::from(balancers));
    }
    assert!(
        fleet.longest <= exchange::MAX_DATAGRAM,
        "{} B",
        fleet.longest
    );
}

#[test]
fn dead_agent_is_dead_everywhere() {
    let mut fleet = Fleet::new(30, 90);
    fleet.run(20);
    let dead = fleet.beats.remove(7).member.name;
    fleet.run(16);
    assert_eq!(fleet.agree(&dead, Liveness::Dead), 30);
    assert_eq!(fleet.agree("agent-0", Liveness::Alive), 30);
}

#[test]
fn draining_is_heard_within_two_periods() {
    let mut fleet = Fleet::new(30, 90);
    fleet.run(20);
    fleet.beats[3].member.state = member::State::Draining;
    fleet.beats[3].member.change += 1;
    fleet.run(2);
    for balancer in &fleet.balancers {
        let row = balancer.tables().member(node("agent-3"));
        let state = row.map(|row| row.member.state);
        assert_eq!(state, Some(member::State::Draining));
    }
}

#[test]
fn cut_balancer_spreads_no_death() {
    let mut fleet = Fleet::new(30, 90);
    fleet.run(20);
    fleet.cut = vec![4];
    fleet.run(30);
    let tables = fleet.balancers[4].tables();
    let kept = tables.active_members(common::SERVICE).count();
    assert_eq!(kept, 90, "the cut balancer keeps its last table");
    for index in 0..90 {
        let name = format!("agent-{index}");
        assert_eq!(fleet.agree(&name, Liveness::Alive), 29);
    }
    fleet.cut.clear();
    for _ in 0..40 {
        fleet.run(1);
        for index in 0..90 {
            let name = format!("agent-{index}");
            assert_eq!(fleet.agree(&name, Liveness::Dead), 0);
        }
    }
}

#[test]
fn halves_that_lost_each_other_meet_again() {
    let mut fleet = Fleet::new(10, 20);
    fleet.run(20);
    fleet.split = 5;
    fleet.run(40);
    fleet.split = 0;
    fleet.beats[0].member.change += 1;
    fleet.run(40);
    for balancer in &fleet.balancers {
        let row = balancer.tables().member(node("agent-0"));
        assert_eq!(row.map(|row| row.member.change), Some(2));
    }
}

#[test]
fn config_versions_reach_all_and_never_revert() {
    let mut fleet = Fleet::new(30, 6);
    fleet.run(10);
    fleet.configure(12, vec![common::service("ledger", 80, 8)]);
    fleet.run(5);
    fleet.configure(3, vec![common::service("ledger", 81, 7)]);
    fleet.run(5);
    for balancer in &fleet.balancers {
        let versions: Vec<_> = balancer.services().iter().map(|one| one.version).collect();
        assert_eq!(versions, [8]);
    }
}

#[test]
fn lost_rumour_is_mended_by_sync() {
    let mut fleet = Fleet::new(3, 3);
    fleet.run(20);
    fleet.cut = vec![2];
    fleet.beats[0].member.change += 1;
    fleet.run(4);
    assert_eq!(
        fleet.balancers[0].pending_rumours(),
        0,
        "the rumour has ended"
    );
    fleet.cut.clear();
    fleet.beats.clear();
    fleet.run(12);
    let row = fleet.balancers[2].tables().member(node("agent-0"));
    assert_eq!(row.map(|row| row.member.change), Some(2));
}

#[test]
fn datagrams_stay_bounded_in_a_storm() {
    let mut fleet = Fleet::new(4, 500);
    fleet.run(10);
    for beat in &mut fleet.beats {
        beat.member.change += 1;
    }
    fleet.run(40);
    assert!(
        fleet.longest <= exchange::MAX_DATAGRAM,
        "{} B",
        fleet.longest
    );
    for balancer in &fleet.balancers {
        let mut rows = balancer.tables().members().iter();
        assert!(rows.all(|row| row.member.change == 2));
        assert_eq!(balancer.pending_rumours(), 0);
    }
}

#[test]
fn ack_names_the_change_that_must_be_exceeded() {
    let mut fleet = Fleet::new(1, 1);
    fleet.run(10);
    let silent = fleet.beats.remove(0);
    fleet.run(700);
    assert!(fleet.balancers[0].tables().members().is_empty());
    let mut beat = silent;
    beat.seq += 1;
    let ack = ack(&mut fleet, &beat);
    assert_eq!(ack.refused.map(|entry| entry.change), Some(1));
    beat.seq += 1;
    beat.member.change = 2;
    assert_eq!(self::ack(&mut fleet, &beat).refused, None);
    assert_eq!(fleet.balancers[0].tables().members().len(), 1);
}

#[test]
fn ack_names_the_run_that_must_be_exceeded() {
    let mut fleet = Fleet::new(1, 1);
    fleet.run(3);
    let mut beat = fleet.beats.remove(0);
    beat.member.incarnation = ident::Incarnation(4);
    beat.seq = 1;
    let refused = ack(&mut fleet, &beat).refused;
    let newest = refused.map(|entry| entry.incarnation);
    assert_eq!(newest, Some(ident::Incarnation(5)));
}

fn ack(fleet: &mut Fleet, beat: &exchange::Heartbeat) -> exchange::Ack {
    let datagram = fleet.seal(seal::Kind::Heartbeat, &exchange::encode(beat));
    match fleet.balancers[0].handle_datagram(&fleet.sealer, &datagram, fleet.now) {
        Ok(balancer::Reply::Ack(ack)) => ack,
        other => panic!("heartbeat was not answered: {other:?}"),
    }
}

#[parameterized(
    by_name = { exchange::ViewRequest::Service("ledger".to_owned()), Some("ledger"), 2 },
    by_address = { exchange::ViewRequest::Address(common::address(80)), Some("ledger"), 2 },
    by_moved_address = { exchange::ViewRequest::Address(common::address(81)), Some("sheets"), 0 },
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
    fleet.run(10);
    let view = fleet.balancers[0].view(&request, fleet.now);
    let name = view.service.as_ref().map(|service| service.name.as_str());
    assert_eq!(name, service);
    assert_eq!(view.members.len(), members);
    assert_eq!(view.balancers.len(), 2);
}

#[test]
fn ack_digest_is_that_of_the_view() {
    let mut fleet = Fleet::new(2, 2);
    fleet.configure(0, vec![common::service("ledger", 80, 3)]);
    fleet.run(10);
    let mut beat = fleet.beats[0].clone();
    let request = exchange::ViewRequest::Agent {
        service: "ledger".to_owned(),
        node: beat.member.node,
    };
    let before = fleet.balancers[0].view(&request, fleet.now);
    beat.seq += 1;
    let first = ack(&mut fleet, &beat);
    assert_eq!((first.digest, first.version), (before.digest, 3));
    beat.seq += 1;
    beat.member.change += 1;
    assert_ne!(ack(&mut fleet, &beat).digest, before.digest);
}

fn sealed(kind: seal::Kind, key: &str, body: &[u8]) -> Vec<u8> {
    let mut datagram = Vec::new();
    seal::Sealer::new(key).seal(kind, &[body], &mut datagram);
    datagram
}

#[parameterized(
    empty = { Vec::new() },
    unsealed = { vec![2; 80] },
    other_key = { sealed(seal::Kind::Heartbeat, "fedcba9876543210", &[]) },
    not_a_message = { sealed(seal::Kind::Exchange, KEY, &[0xff; 40]) },
    huge_lengths = { sealed(seal::Kind::Exchange, KEY, &[0xdd, 0xff, 0xff, 0xff, 0xff]) },
    for_agents = { sealed(seal::Kind::Displaced, KEY, &[]) },
    too_long = { sealed(seal::Kind::Exchange, KEY, &[0; 1_400]) },
)]
fn bad_datagram_is_dropped(datagram: Vec<u8>) {
    let mut fleet = Fleet::new(1, 0);
    let result = fleet.balancers[0].handle_datagram(&fleet.sealer, &datagram, at(1));
    result.expect_err("the datagram is not taken");
}

#[test]
fn replayed_heartbeat_keeps_nobody_alive() {
    let mut fleet = Fleet::new(1, 3);
    fleet.run(10);
    let old = fleet.beats.remove(0);
    let datagram = fleet.seal(seal::Kind::Heartbeat, &exchange::encode(&old));
    for _ in 0..10 {
        fleet.run(1);
        let now = fleet.now;
        let result = fleet.balancers[0].handle_datagram(&fleet.sealer, &datagram, now);
        result.expect_err("the heartbeat was seen before");
    }
    assert_eq!(fleet.liveness(0, "agent-0"), Some(Liveness::Dead));
}

#[test]
fn restarted_balancer_knows_the_dead_and_vouches_late() {
    let mut fleet = Fleet::new(3, 9);
    fleet.run(20);
    let dead = fleet.beats.remove(0).member.name;
    fleet.run(20);
    let mut entry = common::balancer(1);
    entry.incarnation = ident::Incarnation(2);
    let timing = membership::Timing::new(common::PERIOD);
    fleet.balancers[1] = balancer::Balancer::new(entry, timing, 9, fleet.now);
    fleet.pull(1, addr(20_000));
    fleet.run(1);
    assert!(!fleet.balancers[1].tables().report().vouching);
    assert_eq!(fleet.liveness(1, &dead), Some(Liveness::Dead));
    fleet.run(10);
    assert!(fleet.balancers[1].tables().report().vouching);
    assert_eq!(fleet.agree(&dead, Liveness::Dead), 3);
    assert_eq!(fleet.agree("agent-5", Liveness::Alive), 3);
}

#[parameterized(
    three = { 3, 3 },
    thirty = { 30, membership::MAX_KNOWN_BALANCERS },
)]
fn agent_knows_its_nearest_balancers(balancers: u16, known: usize) {
    let mut fleet = Fleet::new(balancers, 9);
    fleet.run(20);
    let entries: Vec<_> = (0..balancers).map(common::balancer).collect();
    for beat in &fleet.beats {
        let request = exchange::ViewRequest::Agent {
            service: beat.member.service.clone(),
            node: beat.member.node,
        };
        let view = fleet.balancers[0].view(&request, fleet.now);
        assert_eq!(view.balancers.len(), known);
        assert!(view.balancers.is_sorted_by_key(|balancer| balancer.node));
        assert_eq!(
            membership::select_watchers(beat.member.node, &view.balancers),
            membership::select_watchers(beat.member.node, &entries),
        );
    }
}

#[test]
fn joining_balancer_repeats_no_old_entries() {
    let mut fleet = Fleet::new(10, 90);
    fleet.run(40);
    let mut entry = common::balancer(4);
    entry.incarnation = ident::Incarnation(2);
    let timing = membership::Timing::new(common::PERIOD);
    fleet.balancers[4] = balancer::Balancer::new(entry, timing, 4, fleet.now);
    fleet.pull(4, addr(20_000));
    assert_eq!(fleet.balancers[4].tables().members().len(), 90);
    assert_eq!(fleet.balancers[4].pending_rumours(), 0);
    fleet.run(4);
    for other in &fleet.balancers {
        let row = other.tables().balancer(common::balancer(4).node);
        let incarnation = row.map(|row| row.balancer.incarnation);
        assert_eq!(incarnation, Some(ident::Incarnation(2)));
    }
}
