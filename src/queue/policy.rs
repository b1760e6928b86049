//! Admission rules of the queue, which can be disabled for comparison.

/// Admission rules in effect; each can be disabled to measure its effect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each rule can be disabled independently"
)]
pub struct Policy {
    /// Separate queues by class; without them all requests share one queue.
    pub classes: bool,
    /// Guaranteed shares of the slot time for the lower classes.
    pub shares: bool,
    /// Earliest-deadline-first order, and refusal of requests that cannot finish in time.
    pub deadlines: bool,
    /// Slots that are reserved for higher classes if a lower class has much longer
    /// service times.
    pub reserve: bool,
}

impl Policy {
    /// One bounded FIFO queue for all classes.
    pub const FIFO: Self = Self {
        classes: false,
        shares: false,
        deadlines: false,
        reserve: false,
    };
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            classes: true,
            shares: true,
            deadlines: true,
            reserve: true,
        }
    }
}
