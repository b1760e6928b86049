//! Figures of one case, and the limits that they must stay within.

use cassiacross::clock;
use serde::Serialize;

/// Limit for the control traffic of the busiest balancer, in bytes per second.
pub(super) const MAX_BYTES_PER_SECOND: f64 = 29_000.0;
/// Limit for the processor time of a balancer, as a share of one core.
pub(super) const MAX_CORE_SHARE: f64 = 0.016;
/// Limit for the time until a record change has reached all balancers.
pub(super) const MAX_SPREAD_TIME: clock::Millis = clock::Millis(13_000);

/// Figures of one case, as means per second and balancer.
///
/// `busiest_bytes` is the traffic of the balancer with the most, `spread_ms` the time until a
/// change has reached all balancers.
#[derive(Debug, Serialize)]
pub(super) struct Row {
    pub(super) balancers: usize,
    pub(super) agents: usize,
    pub(super) records: usize,
    pub(super) case: &'static str,
    pub(super) periods: u64,
    pub(super) exchange_bytes: f64,
    pub(super) exchange_datagrams: f64,
    pub(super) heartbeat_bytes: f64,
    pub(super) ack_bytes: f64,
    pub(super) sync_bytes: f64,
    pub(super) view_bytes: f64,
    pub(super) mean_bytes: f64,
    pub(super) busiest_bytes: f64,
    pub(super) core_percent: f64,
    pub(super) spread_ms: Option<u64>,
}

impl Row {
    /// Returns whether a case of normal operation stays within the limits; other cases have none.
    pub(super) fn is_met(&self) -> bool {
        let is_normal = ["quiet", "one change", "rolling restarts"].contains(&self.case);
        let is_timely = self.spread_ms.is_none_or(|span| span <= MAX_SPREAD_TIME.0);
        !is_normal
            || (self.busiest_bytes <= MAX_BYTES_PER_SECOND
                && self.core_percent <= MAX_CORE_SHARE * 100.0
                && is_timely)
    }

    /// Prints the figures as one line.
    pub(super) fn print(&self) {
        println!(
            "{:>4} {:<18} exchange {:>7.0} B/s {:>6.1} datagrams/s, heartbeat {:>5.0}, ack {:>5.0}, sync {:>6.0}, view {:>6.0}, all {:>7.0} (busiest {:>7.0}) B/s, {:>6.3} % core, spread {:?} ms",
            self.balancers,
            self.case,
            self.exchange_bytes,
            self.exchange_datagrams,
            self.heartbeat_bytes,
            self.ack_bytes,
            self.sync_bytes,
            self.view_bytes,
            self.mean_bytes,
            self.busiest_bytes,
            self.core_percent,
            self.spread_ms,
        );
    }
}
