//! Weighted rendezvous hashing: maps a flow's hash to an ordered chain of candidates.
//!
//! A service's table has a fixed number of buckets. Each bucket ranks the
//! candidates by weighted rendezvous hashing (Schindelhauer and Schomaker,
//! "Weighted distributed hash tables", 2005), so a change of one candidate
//! moves only the buckets that it gains or loses.

use xxhash_rust::xxh3;

use crate::{header, ident};

/// Number of buckets of a service's table.
pub const BUCKETS: usize = 1_024;

/// Maximum number of candidates of a bucket.
pub const CHAIN_LEN: usize = 3;

/// Index value that means no candidate.
pub const NONE: u16 = u16::MAX;

const MANTISSA_BITS: u32 = 53;

/// An agent that a table may assign flows to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// The agent.
    pub hop: header::Hop,
    /// Weight relative to the other candidates; the share of buckets is proportional to it.
    pub weight: f64,
}

/// Hash table of one service, with a chain of candidates per bucket.
#[derive(Clone, Debug, Default)]
pub struct Table {
    candidates: Vec<Candidate>,
    buckets: Vec<[u16; CHAIN_LEN]>,
}

impl Table {
    /// Builds the table of a service from `candidates`, which are sorted by node.
    ///
    /// Candidates without a positive weight are skipped.
    #[must_use]
    pub fn build(service: ident::ServiceId, candidates: &[Candidate]) -> Self {
        let candidates: Vec<_> = candidates
            .iter()
            .copied()
            .filter(|c| c.weight > 0.0)
            .collect();
        let buckets = if candidates.is_empty() {
            Vec::new()
        } else {
            (0..BUCKETS)
                .map(|bucket| rank(service, bucket, (0..NONE).zip(candidates.iter().copied())))
                .collect()
        };
        Self {
            candidates,
            buckets,
        }
    }

    /// Returns the candidates with a positive weight, sorted by node.
    #[must_use]
    pub fn candidates(&self) -> &[Candidate] {
        &self.candidates
    }

    /// Returns the ordered candidates for a flow's hash, none if the table is empty.
    pub fn chain(&self, hash: u64) -> impl Iterator<Item = &header::Hop> {
        self.buckets
            .get(bucket(hash))
            .into_iter()
            .flatten()
            .filter(|index| **index != NONE)
            .map(|index| &self.candidates[usize::from(*index)].hop)
    }
}

/// Returns the bucket of a flow's hash.
#[must_use]
#[expect(
    clippy::cast_possible_truncation,
    reason = "the remainder is below the number of buckets"
)]
pub const fn bucket(hash: u64) -> usize {
    (hash % BUCKETS as u64) as usize
}

/// Returns the indices of the `LEN` candidates with the highest scores for a bucket, in
/// descending order, filled up with [`NONE`]. Each candidate comes with its index.
#[must_use]
pub fn rank<const LEN: usize>(
    service: ident::ServiceId,
    bucket: usize,
    candidates: impl IntoIterator<Item = (u16, Candidate)>,
) -> [u16; LEN] {
    let mut best = [(f64::NEG_INFINITY, NONE); LEN];
    for (index, candidate) in candidates {
        insert_ranked(&mut best, (score(service, bucket, &candidate), index));
    }
    best.map(|(_, index)| index)
}

fn insert_ranked(best: &mut [(f64, u16)], entry: (f64, u16)) {
    let Some(position) = best.iter().position(|other| entry.0 > other.0) else {
        return;
    };
    best[position..].rotate_right(1);
    best[position] = entry;
}

/// Returns the score `-weight / ln(u)`, where `u` is a hash of candidate and bucket that is
/// uniform between 0 and 1; the highest score wins with a probability proportional to weight.
#[expect(clippy::cast_precision_loss, reason = "53 bits fit the mantissa")]
fn score(service: ident::ServiceId, bucket: usize, candidate: &Candidate) -> f64 {
    let mut key = [0; 16];
    key[..8].copy_from_slice(&candidate.hop.node.0.to_le_bytes());
    key[8..].copy_from_slice(&(bucket as u64).to_le_bytes());
    let bits = xxh3::xxh3_64_with_seed(&key, service.0) >> (u64::BITS - MANTISSA_BITS);
    let uniform = (bits as f64 + 0.5) / (1_u64 << MANTISSA_BITS) as f64;
    -candidate.weight / uniform.ln()
}
