//! Hash tables built by weighted rendezvous hashing.

use std::net::{Ipv4Addr, SocketAddrV4};

use cassiacross::{header, ident, rendezvous};
use yare::parameterized;

const SERVICE: ident::ServiceId = ident::ServiceId(7);

fn candidates(weights: &[f64]) -> Vec<rendezvous::Candidate> {
    let mut candidates: Vec<_> = weights
        .iter()
        .zip(1..)
        .map(|(weight, port)| rendezvous::Candidate {
            hop: header::Hop {
                node: ident::NodeId::of(&port.to_string()),
                incarnation: ident::Incarnation(1),
                addr: SocketAddrV4::new(Ipv4Addr::LOCALHOST, port),
            },
            weight: *weight,
        })
        .collect();
    candidates.sort_by_key(|candidate| candidate.hop.node);
    candidates
}

fn first_port(table: &rendezvous::Table, hash: u64) -> Option<u16> {
    table.chain(hash).next().map(|hop| hop.addr.port())
}

#[parameterized(
    none = { &[], 0 },
    one = { &[1.0], 1 },
    two = { &[1.0, 2.0], 2 },
    many = { &[1.0; 9], 3 },
    without_weight = { &[1.0, 0.0, 1.0], 2 },
)]
fn chain_length(weights: &[f64], expected: usize) {
    let table = rendezvous::Table::build(SERVICE, &candidates(weights));
    for hash in 0..rendezvous::BUCKETS as u64 {
        assert_eq!(table.chain(hash).count(), expected);
    }
}

#[test]
fn removal_moves_only_the_removed_candidates_buckets() {
    let before = rendezvous::Table::build(SERVICE, &candidates(&[1.0, 1.0, 1.0, 1.0]));
    let after = rendezvous::Table::build(SERVICE, &candidates(&[1.0, 1.0, 1.0, 0.0]));
    for hash in 0..rendezvous::BUCKETS as u64 {
        let old = first_port(&before, hash);
        if old != Some(4) {
            assert_eq!(first_port(&after, hash), old);
        }
    }
}

#[test]
fn bucket_share_is_proportional_to_weight() {
    let table = rendezvous::Table::build(SERVICE, &candidates(&[1.0, 3.0]));
    let heavier = (0..rendezvous::BUCKETS as u64)
        .filter(|hash| first_port(&table, *hash) == Some(2))
        .count();
    let share = heavier * 100 / rendezvous::BUCKETS;
    assert!(
        (70..=80).contains(&share),
        "the candidate with three quarters of the weight has {share} % of the buckets"
    );
}
