//! Traffic and processor time of one balancer.

use std::time::Duration;

/// Sent and received bytes, and number of messages, of one kind of message.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Traffic {
    pub(super) sent: usize,
    pub(super) received: usize,
    pub(super) messages: usize,
}

/// Traffic and processor time of one balancer since the counters were reset.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Usage {
    pub(super) exchange: Traffic,
    pub(super) heartbeat: Traffic,
    pub(super) ack: Traffic,
    pub(super) sync: Traffic,
    pub(super) view: Traffic,
    pub(super) busy: Duration,
}

impl Traffic {
    /// Counts a message.
    pub(super) const fn add(&mut self, sent: usize, received: usize) {
        self.sent += sent;
        self.received += received;
        self.messages += 1;
    }
}

impl Usage {
    /// Returns the bytes of all kinds.
    pub(super) fn bytes(&self) -> usize {
        let counts = [
            self.exchange,
            self.heartbeat,
            self.ack,
            self.sync,
            self.view,
        ];
        counts.iter().map(|count| count.sent + count.received).sum()
    }
}
