//! What a process polls from the platform, as decided by its membership and read by the
//! tasks that call the platform.

use tokio::sync::watch;

/// What a process has to poll from the platform.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Polling {
    /// Whether to watch the configuration: the process is one of the watchers or lacks
    /// the current version.
    pub config: bool,
    /// Whether to read the balancers' addresses without delay, because the process has no
    /// contacts.
    pub peers_now: bool,
}

impl Default for Polling {
    fn default() -> Self {
        Self {
            config: true,
            peers_now: true,
        }
    }
}

/// Publishes what to poll. Wakes the receivers only if it changed.
pub fn set(polling: &watch::Sender<Polling>, next: Polling) {
    polling.send_if_modified(|last| std::mem::replace(last, next) != next);
}
