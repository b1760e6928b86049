//! Table of the versioned service records in one process.
//!
//! For each record, the table keeps the highest version received and the highest
//! valid version, which is active. Neither ever decreases, so records may be
//! delivered in any order and more than once.

use serde::{Deserialize, Serialize};
use serde_json::Value;
use xxhash_rust::xxh3;

use crate::record;

/// One version of a record.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct VersionedRecord {
    /// Record name.
    pub name: String,
    /// Version, see [`crate::change::version`].
    pub version: u64,
    /// JSON document as it was written.
    pub document: Value,
}

/// Name and version of a record, without its document.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct RecordVersion {
    /// Record name.
    pub name: String,
    /// Version, see [`crate::change::version`].
    pub version: u64,
}

/// Result of [`Table::apply`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ApplyResult {
    /// The version is now active.
    Activated,
    /// The version is stored but unsupported or invalid; the last valid version stays active.
    Rejected,
    /// The version is outdated or already stored, and is ignored.
    Stale,
}

/// Status of one record in this process.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RecordStatus {
    /// Record name.
    pub name: String,
    /// Highest version received.
    pub seen: u64,
    /// Active version, 0 for none.
    pub in_force: u64,
    /// Whether the active version is a tombstone.
    pub deleted: bool,
    /// Validation error of the highest version, if it was rejected.
    pub fault: Option<String>,
}

#[derive(Clone, Debug)]
struct Entry {
    latest: VersionedRecord,
    error: Option<String>,
    active: Option<VersionedRecord>,
}

/// All records and the active services, both sorted by name.
#[derive(Clone, Debug, Default)]
pub struct Table {
    entries: Vec<Entry>,
    services: Vec<record::Service>,
}

impl Table {
    /// Stores a version of a record unless it is outdated, and activates it if it is
    /// valid and newer than the active version.
    pub fn apply(&mut self, name: &str, version: u64, document: &Value) -> ApplyResult {
        if version <= self.active_version(name) || self.has(name, version) {
            return ApplyResult::Stale;
        }
        let versioned = VersionedRecord {
            name: name.to_owned(),
            version,
            document: document.clone(),
        };
        match record::parse(name, document) {
            Ok(parsed) => {
                self.put_active(versioned);
                self.update_service(name, parsed);
                ApplyResult::Activated
            }
            Err(error) => self.put_rejected(versioned, error.to_string()),
        }
    }

    /// Returns the active services, sorted by name.
    #[must_use]
    pub fn services(&self) -> &[record::Service] {
        &self.services
    }

    /// Returns the active service with the given name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&record::Service> {
        let position = service_position(&self.services, name);
        position.ok().map(|index| &self.services[index])
    }

    /// Returns the active version of a record, 0 for none.
    #[must_use]
    pub fn active_version(&self, name: &str) -> u64 {
        self.entry(name).map_or(0, Entry::active_version)
    }

    /// Returns the highest received version of a record.
    #[must_use]
    pub fn latest(&self, name: &str) -> Option<&VersionedRecord> {
        self.entry(name).map(|entry| &entry.latest)
    }

    /// Returns the status of each record, sorted by name.
    pub fn statuses(&self) -> impl Iterator<Item = RecordStatus> {
        self.entries.iter().map(Entry::status)
    }

    /// Returns the active version of each record and any newer rejected version.
    pub fn records(&self) -> impl Iterator<Item = &VersionedRecord> {
        self.entries.iter().flat_map(Entry::records)
    }

    /// Returns the stored versions of the requested records, for a peer that lacks them.
    pub fn select<'a>(
        &'a self,
        requested: &'a [RecordVersion],
    ) -> impl Iterator<Item = &'a VersionedRecord> {
        let entries = requested
            .iter()
            .filter_map(|wanted| self.entry(&wanted.name));
        entries.flat_map(Entry::records)
    }

    /// Returns the name and version of each stored record, sorted by name, for a peer
    /// to compare.
    #[must_use]
    pub fn versions(&self) -> Vec<RecordVersion> {
        let versions = self.records().map(|record| RecordVersion {
            name: record.name.clone(),
            version: record.version,
        });
        versions.collect()
    }

    /// Returns those versions of a peer that are newer than the active version and not stored.
    #[must_use]
    pub fn missing(&self, versions: &[RecordVersion]) -> Vec<RecordVersion> {
        let missing = |other: &&RecordVersion| {
            other.version > self.active_version(&other.name)
                && !self.has(&other.name, other.version)
        };
        versions.iter().filter(missing).cloned().collect()
    }

    /// Returns a hash of all names and versions; equal tables have equal digests.
    #[must_use]
    pub fn digest(&self) -> u64 {
        let mut hasher = xxh3::Xxh3::new();
        for record in self.records() {
            hasher.update(&record.version.to_le_bytes());
            hasher.update(record.name.as_bytes());
            hasher.update(&[0]);
        }
        hasher.digest()
    }

    fn entry(&self, name: &str) -> Option<&Entry> {
        self.position(name).ok().map(|index| &self.entries[index])
    }

    fn position(&self, name: &str) -> Result<usize, usize> {
        self.entries
            .binary_search_by(|entry| entry.latest.name.as_str().cmp(name))
    }

    fn has(&self, name: &str, version: u64) -> bool {
        self.latest(name)
            .is_some_and(|latest| latest.version == version)
    }

    fn put_active(&mut self, versioned: VersionedRecord) {
        match self.position(&versioned.name) {
            Ok(index) => self.entries[index].put_active(versioned),
            Err(index) => self.entries.insert(
                index,
                Entry {
                    latest: versioned.clone(),
                    error: None,
                    active: Some(versioned),
                },
            ),
        }
    }

    fn put_rejected(&mut self, versioned: VersionedRecord, error: String) -> ApplyResult {
        match self.position(&versioned.name) {
            Ok(index) => return self.entries[index].put_rejected(versioned, error),
            Err(index) => self.entries.insert(
                index,
                Entry {
                    latest: versioned,
                    error: Some(error),
                    active: None,
                },
            ),
        }
        ApplyResult::Rejected
    }

    fn update_service(&mut self, name: &str, document: record::Document) {
        match (service_position(&self.services, name), document) {
            (Ok(index), record::Document::Service(service)) => self.services[index] = service,
            (Err(index), record::Document::Service(service)) => {
                self.services.insert(index, service);
            }
            (Ok(index), record::Document::Deleted) => drop(self.services.remove(index)),
            (Err(_), record::Document::Deleted) => {}
        }
    }
}

impl Entry {
    fn active_version(&self) -> u64 {
        self.active.as_ref().map_or(0, |active| active.version)
    }

    fn put_active(&mut self, versioned: VersionedRecord) {
        if versioned.version > self.latest.version {
            self.latest = versioned.clone();
            self.error = None;
        }
        self.active = Some(versioned);
    }

    fn put_rejected(&mut self, versioned: VersionedRecord, error: String) -> ApplyResult {
        if versioned.version <= self.latest.version {
            return ApplyResult::Stale;
        }
        self.latest = versioned;
        self.error = Some(error);
        ApplyResult::Rejected
    }

    fn records(&self) -> impl Iterator<Item = &VersionedRecord> {
        let rejected = self.error.is_some().then_some(&self.latest);
        self.active.iter().chain(rejected)
    }

    fn status(&self) -> RecordStatus {
        let active = self.active.as_ref();
        RecordStatus {
            name: self.latest.name.clone(),
            seen: self.latest.version,
            in_force: self.active_version(),
            deleted: active.is_some_and(|active| record::is_deleted(&active.document)),
            fault: self.error.clone(),
        }
    }
}

fn service_position(services: &[record::Service], name: &str) -> Result<usize, usize> {
    services.binary_search_by(|service| service.name.as_str().cmp(name))
}
