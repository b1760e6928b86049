//! Which processes have not the newest versions in force.

use cassiacross::{admin, record_table};
use serde::Serialize;

/// A balancer's answer to a question for its status.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Asked {
    /// The address asked.
    pub(crate) addr: String,
    /// The status, if it came.
    pub(crate) status: Option<admin::Status>,
    /// Why it did not come.
    pub(crate) error: Option<String>,
}

/// One record over all processes that answered.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Row {
    /// The record's name.
    pub(crate) name: String,
    /// The highest version that any process has seen.
    pub(crate) newest: u64,
    /// The lowest version in force, 0 for none.
    pub(crate) lowest: u64,
    /// Balancers and agents that have not the newest version in force.
    pub(crate) lagging: Vec<String>,
    /// Why the newest version is not in force in one of them, if known.
    pub(crate) fault: Option<String>,
}

/// The records over all processes that answered, sorted by name.
pub(crate) fn rows(asked: &[Asked]) -> Vec<Row> {
    let statuses: Vec<_> = asked
        .iter()
        .filter_map(|asked| asked.status.as_ref())
        .collect();
    let records = statuses.iter().flat_map(|status| &status.records);
    let mut names: Vec<_> = records.map(|record| record.name.as_str()).collect();
    names.sort_unstable();
    names.dedup();
    names.iter().map(|name| row(name, &statuses)).collect()
}

/// The agents that any balancer watches, in the newest version told of each, sorted by name.
pub(crate) fn agents(asked: &[Asked]) -> Vec<admin::Agent> {
    let statuses = asked.iter().filter_map(|asked| asked.status.as_ref());
    watched(statuses)
}

fn watched<'a>(statuses: impl Iterator<Item = &'a admin::Status>) -> Vec<admin::Agent> {
    let mut agents: Vec<_> = statuses
        .flat_map(|status| &status.agents)
        .cloned()
        .collect();
    agents.sort_by(|a, b| (&a.name, b.version).cmp(&(&b.name, a.version)));
    agents.dedup_by(|next, kept| next.name == kept.name);
    agents
}

/// Processes that were not asked and that told a balancer another digest than its own.
///
/// The records of those that answered are compared one by one instead: a
/// digest that a peer told earlier differs from it after each change.
pub(crate) fn differing(asked: &[Asked]) -> Vec<String> {
    let statuses = asked.iter().filter_map(|asked| asked.status.as_ref());
    let mut names: Vec<_> = statuses
        .flat_map(|status| status.peers.iter().map(move |peer| (peer, status.digest)))
        .filter(|(peer, digest)| peer.digest.is_some_and(|other| other != *digest))
        .filter(|(peer, _)| !has_answered(asked, &peer.name))
        .map(|(peer, _)| peer.name.clone())
        .collect();
    names.sort_unstable();
    names.dedup();
    names
}

fn has_answered(asked: &[Asked], name: &str) -> bool {
    let mut statuses = asked.iter().filter_map(|asked| asked.status.as_ref());
    statuses.any(|status| status.name == name)
}

fn row(name: &str, statuses: &[&admin::Status]) -> Row {
    let standings: Vec<_> = statuses
        .iter()
        .map(|status| (status.name.as_str(), standing(status, name)))
        .collect();
    let places = || standings.iter().filter_map(|(_, place)| *place);
    let newest = places().map(|place| place.seen).max().unwrap_or(0);
    let balancers = standings
        .iter()
        .map(|(name, place)| ((*name).to_owned(), in_force(*place)));
    let is_deleted = places().any(|place| place.deleted && place.in_force == newest);
    let agents = watched(statuses.iter().copied()).into_iter();
    let agents = agents
        .filter(|agent| agent.service == name && !is_deleted)
        .map(|agent| (agent.name, agent.version));
    let versions: Vec<_> = balancers.chain(agents).collect();
    let lagging = versions.iter().filter(|(_, version)| *version < newest);
    let lowest = versions.iter().map(|(_, version)| *version).min();
    Row {
        name: name.to_owned(),
        newest,
        lowest: lowest.unwrap_or(0),
        lagging: lagging.map(|(name, _)| name.clone()).collect(),
        fault: places().find_map(|place| place.fault.clone()),
    }
}

fn standing<'a>(status: &'a admin::Status, name: &str) -> Option<&'a record_table::RecordStatus> {
    status.records.iter().find(|record| record.name == name)
}

fn in_force(standing: Option<&record_table::RecordStatus>) -> u64 {
    standing.map_or(0, |standing| standing.in_force)
}
