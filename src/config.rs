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
pub struct Versioned {
    /// The record's name.
    pub name: String,
    /// The platform's version of the record.
    pub version: u64,
    /// The record as it was written.
    pub document: Value,
}

/// Names a record in one version.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Hint {
    /// The record's name.
    pub name: String,
    /// The platform's version of the record.
    pub version: u64,
}

/// What came of an applied record.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Effect {
    /// In force now.
    InForce,
    /// Kept, but too new or faulty; the last good one stays in force.
    Held,
    /// Not newer than what is known.
    Old,
}

/// A record's standing in this process.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Standing {
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
    seen: Versioned,
    fault: Option<String>,
    good: Option<Versioned>,
}

/// All records, sorted by name.
#[derive(Clone, Debug, Default)]
pub struct Table {
    entries: Vec<Entry>,
    services: Vec<record::Service>,
}

impl Table {
    /// Takes a record in if it is newer than what is known.
    pub fn apply(&mut self, name: &str, version: u64, document: &Value) -> Effect {
        if version <= self.in_force(name) || self.has(name, version) {
            return Effect::Old;
        }
        let versioned = Versioned {
            name: name.to_owned(),
            version,
            document: document.clone(),
        };
        match record::parse(name, document) {
            Ok(parsed) => {
                self.put_good(versioned);
                self.put_service(name, parsed);
                Effect::InForce
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
    pub fn in_force(&self, name: &str) -> u64 {
        self.entry(name).map_or(0, Entry::in_force)
    }

    /// The highest version of a record seen.
    #[must_use]
    pub fn latest(&self, name: &str) -> Option<&Versioned> {
        self.entry(name).map(|entry| &entry.seen)
    }

    /// The standing of each record, sorted by name.
    pub fn standings(&self) -> impl Iterator<Item = Standing> {
        self.entries.iter().map(Entry::standing)
    }

    /// The records in force and, where they are newer, those held.
    pub fn documents(&self) -> impl Iterator<Item = &Versioned> {
        self.entries.iter().flat_map(Entry::documents)
    }

    /// The documents of the records that hints name, for a peer that misses them.
    pub fn select<'a>(&'a self, hints: &'a [Hint]) -> impl Iterator<Item = &'a Versioned> {
        let entries = hints.iter().filter_map(|hint| self.entry(&hint.name));
        entries.flat_map(Entry::documents)
    }

    /// What this process has, sorted, for a peer to compare.
    #[must_use]
    pub fn hints(&self) -> Vec<Hint> {
        let hints = self.documents().map(|document| Hint {
            name: document.name.clone(),
            version: document.version,
        });
        hints.collect()
    }

    /// The hints of a peer that name something newer than what is known here.
    #[must_use]
    pub fn missing(&self, hints: &[Hint]) -> Vec<Hint> {
        let missing = |hint: &&Hint| {
            hint.version > self.in_force(&hint.name) && !self.has(&hint.name, hint.version)
        };
        hints.iter().filter(missing).cloned().collect()
    }

    /// A hash of all names and versions; equal tables have equal digests.
    #[must_use]
    pub fn digest(&self) -> u64 {
        let mut hasher = xxh3::Xxh3::new();
        for document in self.documents() {
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

    fn put_good(&mut self, versioned: Versioned) {
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

    fn put_held(&mut self, versioned: Versioned, fault: String) -> Effect {
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
        Effect::Held
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
    fn in_force(&self) -> u64 {
        self.good.as_ref().map_or(0, |good| good.version)
    }

    fn put_good(&mut self, versioned: Versioned) {
        if versioned.version > self.seen.version {
            self.seen = versioned.clone();
            self.fault = None;
        }
        self.good = Some(versioned);
    }

    fn put_held(&mut self, versioned: Versioned, fault: String) -> Effect {
        if versioned.version <= self.seen.version {
            return Effect::Old;
        }
        self.seen = versioned;
        self.fault = Some(fault);
        Effect::Held
    }

    fn documents(&self) -> impl Iterator<Item = &Versioned> {
        let held = self.fault.is_some().then_some(&self.seen);
        self.good.iter().chain(held)
    }

    fn standing(&self) -> Standing {
        let good = self.good.as_ref();
        Standing {
            name: self.seen.name.clone(),
            seen: self.seen.version,
            in_force: self.in_force(),
            deleted: good.is_some_and(|good| record::is_deleted(&good.document)),
            fault: self.fault.clone(),
        }
    }
}

fn place(services: &[record::Service], name: &str) -> Result<usize, usize> {
    services.binary_search_by(|service| service.name.as_str().cmp(name))
}
