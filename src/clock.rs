//! Monotonic time of a process and wall clock time, both in milliseconds.

use std::{
    ops::{Add, Sub},
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use serde::{Deserialize, Serialize};

/// A point in time or a span of time, in milliseconds.
///
/// Points in time count from the start of the [`Clock`] that returned them, so points
/// from two processes cannot be compared.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Millis(pub u64);

impl Millis {
    /// Returns the span from `earlier` to this point, or zero if `earlier` is later.
    #[must_use]
    pub fn since(self, earlier: Self) -> Self {
        Self(self.0.saturating_sub(earlier.0))
    }

    /// Converts the span to a [`Duration`].
    #[must_use]
    pub const fn to_duration(self) -> Duration {
        Duration::from_millis(self.0)
    }

    /// Converts the span to a number of milliseconds for calculations.
    #[must_use]
    #[expect(clippy::cast_precision_loss, reason = "spans are short")]
    pub const fn to_f64(self) -> f64 {
        self.0 as f64
    }

    /// Returns the span of a number of milliseconds, rounded down; zero if it is negative.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the conversion saturates"
    )]
    pub const fn from_f64(millis: f64) -> Self {
        Self(millis as u64)
    }
}

impl Add for Millis {
    type Output = Self;

    fn add(self, rhs: Self) -> Self {
        Self(self.0.saturating_add(rhs.0))
    }
}

impl Sub for Millis {
    type Output = Self;

    fn sub(self, rhs: Self) -> Self {
        Self(self.0.saturating_sub(rhs.0))
    }
}

/// Monotonic clock of a process.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
}

impl Clock {
    /// Creates a clock that counts from now.
    #[must_use]
    pub fn new() -> Self {
        Self {
            origin: Instant::now(),
        }
    }

    /// Returns the time since the clock was created.
    #[must_use]
    pub fn now(&self) -> Millis {
        from_duration(self.origin.elapsed())
    }

    /// Converts a point in time of this clock to an [`Instant`].
    #[must_use]
    pub fn instant(&self, point: Millis) -> Instant {
        self.origin + point.to_duration()
    }
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}

/// Returns the time since the Unix epoch according to the host's wall clock.
#[must_use]
pub fn wall() -> Millis {
    from_duration(
        SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default(),
    )
}

/// Converts a [`Duration`] to whole milliseconds, saturating at the maximum.
#[must_use]
pub fn from_duration(span: Duration) -> Millis {
    Millis(u64::try_from(span.as_millis()).unwrap_or(u64::MAX))
}
