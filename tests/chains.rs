//! Candidate chains of a pass-through service.

use std::net::{Ipv4Addr, SocketAddrV4};

use cassiacross::{
    chains,
    clock::Millis,
    ident::{DomainId, Incarnation, NodeId, ServiceId},
    member, rendezvous, roster,
};
use yare::parameterized;

const SERVICE: ServiceId = ServiceId(7);

/// Creates the entry of an agent in the failure domain that its number modulo ten names.
fn agent(node: u16) -> roster::Entry {
    let addr = SocketAddrV4::new(Ipv4Addr::LOCALHOST, node);
    roster::Entry {
        node: NodeId(u64::from(node)),
        incarnation: Incarnation(1),
        change: 0,
        domain: DomainId(u32::from(node % 10)),
        control: addr,
        leaving: false,
        deaf: false,
        upstream: Some(roster::Upstream {
            service: SERVICE,
            packets: addr,
            state: Some(member::State::Ready),
            step: 40,
        }),
    }
}

/// Returns the domains of the candidates in each chain for packets that arrive in a domain.
fn chain_domains(agents: &[u16], origin: u32) -> Vec<Vec<u64>> {
    let mut roster = roster::Roster::new(agent(agents[0]), Millis(0));
    for node in &agents[1..] {
        roster.merge(&agent(*node), roster::HEARTBEAT_PERIOD, true, Millis(0));
    }
    let mut chains = chains::Chains::new(SERVICE, &roster);
    let mut domains = |hash| -> Vec<u64> {
        let chain = chains.chain(DomainId(origin), hash);
        chain.map(|candidate| candidate.hop.node.0 % 10).collect()
    };
    (0..rendezvous::BUCKETS as u64).map(&mut domains).collect()
}

/// Traffic between domains is costly: a new flow leaves the domain of its arrival only if
/// two agents there are full, and then it has another domain to go to.
#[parameterized(
    many_agents = { &[11, 21, 31, 41, 12, 22, 13, 23], &[1, 1, 2, 1, 1, 2] },
    one_agent = { &[11, 12, 22, 13, 23, 33], &[1, 2, 2, 2, 2, 2] },
    one_domain = { &[11, 21, 31], &[1, 1, 1] },
    other_domains_only = { &[12, 22, 13], &[2, 2, 2] },
)]
fn chain_visits_the_domain_of_arrival_first(agents: &[u16], expected: &[u8]) {
    const NEAR: u8 = 1;
    for domains in chain_domains(agents, u32::from(NEAR)) {
        let sides = domains.iter().map(|domain| match *domain {
            domain if domain == u64::from(NEAR) => NEAR,
            _ => 2,
        });
        assert_eq!(sides.collect::<Vec<_>>(), expected);
    }
}

/// Agents of equal capacity in one domain are first in about as many chains each.
#[test]
fn chain_spreads_flows_within_the_domain_of_arrival() {
    let agents = [11, 21, 31, 41, 12, 22, 32, 42];
    let mut roster = roster::Roster::new(agent(agents[0]), Millis(0));
    for node in &agents[1..] {
        roster.merge(&agent(*node), roster::HEARTBEAT_PERIOD, true, Millis(0));
    }
    let mut chains = chains::Chains::new(SERVICE, &roster);
    let mut first = |hash| {
        chains
            .chain(DomainId(1), hash)
            .next()
            .map(|next| next.hop.node.0)
    };
    let firsts: Vec<_> = (0..rendezvous::BUCKETS as u64)
        .filter_map(&mut first)
        .collect();
    for node in [11, 21, 31, 41] {
        let count = firsts.iter().filter(|other| **other == node).count();
        assert!(
            (200..312).contains(&count),
            "{node} is first in {count} of 1,024"
        );
    }
}
