//! Datagrams and bytes that a pass-through node hands to its link, by cause.

use serde::Serialize;

use crate::protocol::Message;

/// Why a datagram is sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Cause {
    /// Forwards a caller's packet.
    Packet,
    /// Sends a packet to a caller.
    Answer,
    /// Heartbeat or probe.
    Heartbeat,
    /// Entries of nodes, or a request for them.
    Entries,
    /// Digest of a failure domain.
    Digest,
    /// Announcement of who owns a flow, or who does not.
    Ownership,
    /// Page of the configuration, or a request for pages.
    Configuration,
}

/// Number of causes.
const CAUSES: usize = 7;

/// Datagrams of one cause, with their bytes without IP and UDP headers.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Count {
    /// Number of datagrams.
    pub datagrams: u64,
    /// Sum of their lengths.
    pub bytes: u64,
}

/// Counts of all causes.
#[derive(Clone, Copy, Debug, Default)]
pub struct Traffic {
    counts: [Count; CAUSES],
}

impl Cause {
    /// All causes.
    pub const ALL: [Self; CAUSES] = [
        Self::Packet,
        Self::Answer,
        Self::Heartbeat,
        Self::Entries,
        Self::Digest,
        Self::Ownership,
        Self::Configuration,
    ];

    /// Returns the cause of a message between nodes.
    #[must_use]
    pub const fn of(message: &Message) -> Self {
        match message {
            Message::Beat(_) | Message::Ping => Self::Heartbeat,
            Message::Roster(_) | Message::WantEntries(_) | Message::Alive(_) => Self::Entries,
            Message::Digest(_) => Self::Digest,
            Message::Own { .. }
            | Message::Unowned { .. }
            | Message::Confirmed { .. }
            | Message::Searched { .. }
            | Message::WantFlows(_)
            | Message::OwnedFlows(_) => Self::Ownership,
            Message::WantPages(_)
            | Message::ConfigPage(_)
            | Message::WantFormer(_)
            | Message::Former(_) => Self::Configuration,
        }
    }

    /// Returns the name of the cause in metrics and state dumps.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Packet => "packet",
            Self::Answer => "answer",
            Self::Heartbeat => "heartbeat",
            Self::Entries => "entries",
            Self::Digest => "digest",
            Self::Ownership => "ownership",
            Self::Configuration => "configuration",
        }
    }
}

impl Traffic {
    /// Counts a datagram of `len` bytes.
    pub fn record(&mut self, cause: Cause, len: usize) {
        let count = &mut self.counts[cause as usize];
        count.datagrams += 1;
        count.bytes += u64::try_from(len).unwrap_or(u64::MAX);
    }

    /// Returns the count of a cause.
    #[must_use]
    pub const fn count(&self, cause: Cause) -> Count {
        self.counts[cause as usize]
    }
}
