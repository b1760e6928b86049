//! What a process polls from the platform, as decided by its membership and read by the
//! tasks that call the platform.

use tokio::sync::watch;

/// When to read the balancers' addresses.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Addresses {
    /// Not at all: the process has contacts, and the watchers of its failure domain learn
    /// of balancers that nobody there knows.
    Idle,
    /// At long intervals.
    Periodic,
    /// Without delay, because the process has no contacts.
    Now,
}

/// What a process has to poll from the platform.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Polling {
    /// Whether to watch the configuration: the process is one of the watchers or lacks
    /// the current version.
    pub config: bool,
    /// When to read the balancers' addresses.
    pub addresses: Addresses,
}

impl Default for Polling {
    fn default() -> Self {
        Self {
            config: true,
            addresses: Addresses::Now,
        }
    }
}

/// Publishes what to poll. Wakes the receivers only if it changed.
pub fn set(polling: &watch::Sender<Polling>, next: Polling) {
    polling.send_if_modified(|last| std::mem::replace(last, next) != next);
}
