//! The versioned table of records, as one process knows it.
//!
//! The table keeps two things of each record: the highest version seen, and
//! the highest version that this code can read, which is in force. Both only
//! grow, so the order and the number of deliveries do not matter.

use serde::{Deserialize, Serialize};
use serde_json::Value;
use xxhash_rust::xxh3;

use crate::record;

/// A record in one version.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct VersionedRecord {
    /// The record's name.
    pub name: String,
    /// The platform's version of the record.
    pub version: u64,
    /// The record as it was written.
    pub document: Value,
}

/// Names a record in one version.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct RecordVersion {
    /// The record's name.
    pub name: String,
    /// The platform's version of the record.
    pub version: u64,
}

/// What came of an applied record.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ApplyResult {
    /// In force now.
    Activated,
    /// Kept, but too new or faulty; the last good one stays in force.
    Rejected,
    /// Not newer than what is known.
    Stale,
}

/// A record's standing in this process.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RecordStatus {
    /// The record's name.
    pub name: String,
    /// The highest version seen.
    pub seen: u64,
    /// The version in force, 0 for none.
    pub in_force: u64,
    /// Whether the version in force deletes the record.
    pub deleted: bool,
    /// Why the highest version is not in force, if so.
    pub fault: Option<String>,
}

#[derive(Clone, Debug)]
struct Entry {
    seen: VersionedRecord,
    fault: Option<String>,
    good: Option<VersionedRecord>,
}

/// All records, sorted by name.
#[derive(Clone, Debug, Default)]
pub struct Table {
    entries: Vec<Entry>,
    services: Vec<record::Service>,
}

impl Table {
    /// Takes a record in if it is newer than what is known.
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
                self.put_good(versioned);
                self.put_service(name, parsed);
                ApplyResult::Activated
            }
            Err(error) => self.put_held(versioned, error.to_string()),
        }
    }

    /// The services in force, sorted by name.
    #[must_use]
    pub fn services(&self) -> &[record::Service] {
        &self.services
    }

    /// The service in force under a name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&record::Service> {
        let place = place(&self.services, name);
        place.ok().map(|index| &self.services[index])
    }

    /// The version of a record in force, 0 for none.
    #[must_use]
    pub fn active_version(&self, name: &str) -> u64 {
        self.entry(name).map_or(0, Entry::active_version)
    }

    /// The highest version of a record seen.
    #[must_use]
    pub fn latest(&self, name: &str) -> Option<&VersionedRecord> {
        self.entry(name).map(|entry| &entry.seen)
    }

    /// The standing of each record, sorted by name.
    pub fn statuses(&self) -> impl Iterator<Item = RecordStatus> {
        self.entries.iter().map(Entry::status)
    }

    /// The records in force and, where they are newer, those held.
    pub fn records(&self) -> impl Iterator<Item = &VersionedRecord> {
        self.entries.iter().flat_map(Entry::records)
    }

    /// The documents of the records that hints name, for a peer that misses them.
    pub fn select<'a>(
        &'a self,
        hints: &'a [RecordVersion],
    ) -> impl Iterator<Item = &'a VersionedRecord> {
        let entries = hints.iter().filter_map(|hint| self.entry(&hint.name));
        entries.flat_map(Entry::records)
    }

    /// What this process has, sorted, for a peer to compare.
    #[must_use]
    pub fn versions(&self) -> Vec<RecordVersion> {
        let hints = self.records().map(|document| RecordVersion {
            name: document.name.clone(),
            version: document.version,
        });
        hints.collect()
    }

    /// The hints of a peer that name something newer than what is known here.
    #[must_use]
    pub fn missing(&self, hints: &[RecordVersion]) -> Vec<RecordVersion> {
        let missing = |hint: &&RecordVersion| {
            hint.version > self.active_version(&hint.name) && !self.has(&hint.name, hint.version)
        };
        hints.iter().filter(missing).cloned().collect()
    }

    /// A hash of all names and versions; equal tables have equal digests.
    #[must_use]
    pub fn digest(&self) -> u64 {
        let mut hasher = xxh3::Xxh3::new();
        for document in self.records() {
            hasher.update(&document.version.to_le_bytes());
            hasher.update(document.name.as_bytes());
            hasher.update(&[0]);
        }
        hasher.digest()
    }

    fn entry(&self, name: &str) -> Option<&Entry> {
        self.place(name).ok().map(|index| &self.entries[index])
    }

    fn place(&self, name: &str) -> Result<usize, usize> {
        self.entries
            .binary_search_by(|entry| entry.seen.name.as_str().cmp(name))
    }

    fn has(&self, name: &str, version: u64) -> bool {
        self.latest(name)
            .is_some_and(|seen| seen.version == version)
    }

    fn put_good(&mut self, versioned: VersionedRecord) {
        match self.place(&versioned.name) {
            Ok(index) => self.entries[index].put_good(versioned),
            Err(index) => self.entries.insert(
                index,
                Entry {
                    seen: versioned.clone(),
                    fault: None,
                    good: Some(versioned),
                },
            ),
        }
    }

    fn put_held(&mut self, versioned: VersionedRecord, fault: String) -> ApplyResult {
        match self.place(&versioned.name) {
            Ok(index) => return self.entries[index].put_held(versioned, fault),
            Err(index) => self.entries.insert(
                index,
                Entry {
                    seen: versioned,
                    fault: Some(fault),
                    good: None,
                },
            ),
        }
        ApplyResult::Rejected
    }

    fn put_service(&mut self, name: &str, document: record::Document) {
        match (place(&self.services, name), document) {
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
        self.good.as_ref().map_or(0, |good| good.version)
    }

    fn put_good(&mut self, versioned: VersionedRecord) {
        if versioned.version > self.seen.version {
            self.seen = versioned.clone();
            self.fault = None;
        }
        self.good = Some(versioned);
    }

    fn put_held(&mut self, versioned: VersionedRecord, fault: String) -> ApplyResult {
        if versioned.version <= self.seen.version {
            return ApplyResult::Stale;
        }
        self.seen = versioned;
        self.fault = Some(fault);
        ApplyResult::Rejected
    }

    fn records(&self) -> impl Iterator<Item = &VersionedRecord> {
        let held = self.fault.is_some().then_some(&self.seen);
        self.good.iter().chain(held)
    }

    fn status(&self) -> RecordStatus {
        let good = self.good.as_ref();
        RecordStatus {
            name: self.seen.name.clone(),
            seen: self.seen.version,
            in_force: self.active_version(),
            deleted: good.is_some_and(|good| record::is_deleted(&good.document)),
            fault: self.fault.clone(),
        }
    }
}

fn place(services: &[record::Service], name: &str) -> Result<usize, usize> {
    services.binary_search_by(|service| service.name.as_str().cmp(name))
}
