//! Comparison of the record versions that are active in the processes of the fleet.

use cassiacross::{admin, record_table};
use serde::Serialize;

/// Result of a status request to one balancer.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct StatusResult {
    /// Address of the balancer.
    pub(crate) addr: String,
    /// Status, if the balancer responded.
    pub(crate) status: Option<admin::Status>,
    /// Error, if the request failed.
    pub(crate) error: Option<String>,
}

/// Versions of one record across all processes that responded.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct RecordVersions {
    /// Record name.
    pub(crate) name: String,
    /// Highest version received by any balancer.
    pub(crate) newest: u64,
    /// Lowest active version, 0 for none.
    pub(crate) lowest: u64,
    /// Balancers and agents on which the newest version is not active.
    pub(crate) lagging: Vec<String>,
    /// Validation error of a version that a balancer rejected, if any.
    pub(crate) fault: Option<String>,
}

/// Compares each record across all processes that responded, sorted by name.
pub(crate) fn record_versions(results: &[StatusResult]) -> Vec<RecordVersions> {
    let statuses: Vec<_> = results
        .iter()
        .filter_map(|result| result.status.as_ref())
        .collect();
    let records = statuses.iter().flat_map(|status| &status.records);
    let mut names: Vec<_> = records.map(|record| record.name.as_str()).collect();
    names.sort_unstable();
    names.dedup();
    names
        .iter()
        .map(|name| versions_of(name, &statuses))
        .collect()
}

/// Returns the agents reported by all balancers, sorted by name, each with the newest
/// version reported.
pub(crate) fn agents(results: &[StatusResult]) -> Vec<admin::Agent> {
    let statuses = results.iter().filter_map(|result| result.status.as_ref());
    newest_agents(statuses)
}

fn newest_agents<'a>(statuses: impl Iterator<Item = &'a admin::Status>) -> Vec<admin::Agent> {
    let mut agents: Vec<_> = statuses
        .flat_map(|status| &status.agents)
        .cloned()
        .collect();
    agents.sort_by(|a, b| (&a.name, b.version).cmp(&(&b.name, a.version)));
    agents.dedup_by(|next, kept| next.name == kept.name);
    agents
}

/// Returns the names of the balancers that were not queried or did not respond, and whose
/// digest, as known to a balancer that did, differs from the digest of the latter.
///
/// The records of balancers that responded are compared one by one instead, because a
/// digest that a peer reported earlier is outdated after each change.
pub(crate) fn mismatched_peers(results: &[StatusResult]) -> Vec<String> {
    let statuses = results.iter().filter_map(|result| result.status.as_ref());
    let mut names: Vec<_> = statuses
        .flat_map(|status| status.peers.iter().map(move |peer| (peer, status.digest)))
        .filter(|(peer, digest)| peer.digest.is_some_and(|other| other != *digest))
        .filter(|(peer, _)| !has_responded(results, &peer.name))
        .map(|(peer, _)| peer.name.clone())
        .collect();
    names.sort_unstable();
    names.dedup();
    names
}

fn has_responded(results: &[StatusResult], name: &str) -> bool {
    let mut statuses = results.iter().filter_map(|result| result.status.as_ref());
    statuses.any(|status| status.name == name)
}

fn versions_of(name: &str, statuses: &[&admin::Status]) -> RecordVersions {
    let records: Vec<_> = statuses
        .iter()
        .map(|status| (status.name.as_str(), record_status(status, name)))
        .collect();
    let known = || records.iter().filter_map(|(_, record)| *record);
    let newest = known().map(|record| record.seen).max().unwrap_or(0);
    let balancers = records
        .iter()
        .map(|(name, record)| ((*name).to_owned(), active_version(*record)));
    let is_deleted = known().any(|record| record.deleted && record.in_force == newest);
    let agents = newest_agents(statuses.iter().copied()).into_iter();
    let agents = agents
        .filter(|agent| agent.service == name && !is_deleted)
        .map(|agent| (agent.name, agent.version));
    let active_versions: Vec<_> = balancers.chain(agents).collect();
    let lagging = active_versions
        .iter()
        .filter(|(_, version)| *version < newest);
    let lowest = active_versions.iter().map(|(_, version)| *version).min();
    RecordVersions {
        name: name.to_owned(),
        newest,
        lowest: lowest.unwrap_or(0),
        lagging: lagging.map(|(name, _)| name.clone()).collect(),
        fault: known().find_map(|record| record.fault.clone()),
    }
}

fn record_status<'a>(
    status: &'a admin::Status,
    name: &str,
) -> Option<&'a record_table::RecordStatus> {
    status.records.iter().find(|record| record.name == name)
}

fn active_version(record: Option<&record_table::RecordStatus>) -> u64 {
    record.map_or(0, |record| record.in_force)
}
