//! Transfer of the encoded configuration from one node to another in pages.
//!
//! The receiver requests a few pages at a time and only those that it lacks, so that a
//! large configuration takes a bounded share of a thin link, and a lost page costs one
//! page. It has one request outstanding.

use std::net::SocketAddrV4;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;

use crate::clock::Millis;

/// Maximum size of one page in bytes.
pub const PAGE_LEN: usize = 1_000;

/// Maximum number of pages of a configuration.
const MAX_PAGES: u16 = 1_024;

/// Maximum number of pages per request.
pub const WINDOW: usize = 8;

/// Time without a page after which the outstanding request is sent again.
const REQUEST_TIMEOUT: Millis = Millis(500);

/// Encoded configuration of a node.
#[derive(Clone, Debug, Default)]
pub struct Encoded {
    bytes: Vec<u8>,
    digest: u64,
}

/// Request for pages of a configuration.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Request {
    /// Version of the configuration.
    pub version: u64,
    /// Digest of the encoded configuration, `None` while it is not known.
    pub digest: Option<u64>,
    /// Indices of the pages, at most [`WINDOW`].
    pub pages: Vec<u16>,
}

/// Page of an encoded configuration.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Page {
    /// Version of the configuration.
    pub version: u64,
    /// Digest of the encoded configuration. Encodings of one version differ in the former
    /// services of routes that their nodes know.
    pub digest: u64,
    /// Index of this page, from 0.
    pub index: u16,
    /// Total number of pages.
    pub total: u16,
    /// Content of this page.
    pub bytes: Vec<u8>,
}

/// Result of a received page.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Progress {
    /// The page was not requested, or other requested pages are still missing.
    Waiting,
    /// All requested pages have arrived; others are still missing.
    Next,
    /// The encoded configuration is complete.
    Complete(Vec<u8>),
}

impl Encoded {
    /// Wraps an encoded configuration.
    #[must_use]
    pub fn new(bytes: Vec<u8>) -> Self {
        let digest = xxh3::xxh3_64(&bytes);
        Self { bytes, digest }
    }

    /// Returns whether the configuration has more pages than a node accepts.
    #[must_use]
    pub const fn is_too_large(&self) -> bool {
        self.bytes.len() > MAX_PAGES as usize * PAGE_LEN
    }

    /// Returns the pages that answer a request to a node which has this configuration in
    /// `version`.
    ///
    /// If it is not the requested one, but not an earlier version either, the answer
    /// consists of its first pages.
    #[must_use]
    pub fn answer(&self, request: &Request, version: u64) -> Vec<Page> {
        let Ok(total) = u16::try_from(self.bytes.len().div_ceil(PAGE_LEN)) else {
            return Vec::new();
        };
        if version < request.version || self.is_too_large() {
            return Vec::new();
        }
        let same = version == request.version && request.digest == Some(self.digest);
        let indices = if same {
            request.pages.clone()
        } else {
            first_window(total)
        };
        let page = |index: u16| {
            let bytes = self.bytes.chunks(PAGE_LEN).nth(usize::from(index))?;
            Some(Page {
                version,
                digest: self.digest,
                index,
                total,
                bytes: bytes.to_vec(),
            })
        };
        indices.into_iter().take(WINDOW).filter_map(page).collect()
    }
}

fn first_window(total: u16) -> Vec<u16> {
    (0..total).take(WINDOW).collect()
}

/// Pages of a newer configuration that have arrived.
#[derive(Debug, Default)]
pub struct Download {
    version: u64,
    digest: Option<u64>,
    /// Node to which the outstanding request was sent.
    source: Option<SocketAddrV4>,
    /// Content by page, empty while the number of pages is not known.
    pages: Vec<Option<Vec<u8>>>,
    /// Requested pages that have not arrived.
    requested: Vec<u16>,
    requested_at: Option<Millis>,
    progressed_at: Option<Millis>,
}

impl Download {
    /// Returns whether a request is due: none is outstanding, or no page of it has arrived
    /// for [`REQUEST_TIMEOUT`].
    #[must_use]
    pub fn is_due(&self, now: Millis) -> bool {
        let last = self.requested_at.max(self.progressed_at);
        last.is_none_or(|last| now.since(last) >= REQUEST_TIMEOUT)
    }

    /// Returns whether the outstanding request has remained without an answer.
    #[must_use]
    pub fn is_stalled(&self) -> bool {
        self.requested_at > self.progressed_at
    }

    /// Returns the time of the last page that was of use.
    #[must_use]
    pub const fn progressed_at(&self) -> Option<Millis> {
        self.progressed_at
    }

    /// Creates the request to `source` for the next missing pages of a version, or of a
    /// later version of which pages have arrived already.
    pub fn request(&mut self, source: SocketAddrV4, version: u64, now: Millis) -> Request {
        if self.version < version {
            self.restart(version, None, 0);
        }
        self.requested = if self.pages.is_empty() {
            first_window(MAX_PAGES)
        } else {
            let missing = (0..).zip(&self.pages).filter(|(_, page)| page.is_none());
            missing.map(|(index, _)| index).take(WINDOW).collect()
        };
        self.source = Some(source);
        self.requested_at = Some(now);
        Request {
            version: self.version,
            digest: self.digest,
            pages: self.requested.clone(),
        }
    }

    /// Stores a page. A page of a later version, or of another encoding from the node that
    /// was asked last, starts a new transfer.
    pub fn receive(&mut self, from: SocketAddrV4, page: Page, now: Millis) -> Progress {
        let valid = page.total <= MAX_PAGES && page.index < page.total;
        if !valid || page.version < self.version {
            return Progress::Waiting;
        }
        let later = page.version > self.version;
        let known = self.digest == Some(page.digest) && self.pages.len() == usize::from(page.total);
        if later || (!known && self.source == Some(from)) {
            self.restart(page.version, Some(page.digest), page.total);
        } else if !known {
            return Progress::Waiting;
        }
        let stored = &mut self.pages[usize::from(page.index)];
        if stored.is_none() {
            *stored = Some(page.bytes);
            self.progressed_at = Some(now);
        }
        self.requested
            .retain(|index| *index < page.total && *index != page.index);
        self.progress()
    }

    fn restart(&mut self, version: u64, digest: Option<u64>, total: u16) {
        self.version = version;
        self.digest = digest;
        self.pages = vec![None; total.into()];
        self.requested = first_window(total);
    }

    fn progress(&self) -> Progress {
        let complete: Option<Vec<&[u8]>> = self.pages.iter().map(Option::as_deref).collect();
        match complete {
            Some(pages) => Progress::Complete(pages.concat()),
            None if self.requested.is_empty() => Progress::Next,
            None => Progress::Waiting,
        }
    }
}
