//! Waits for conditions, with generous limits.

use std::time::Duration;

use cassiacross::clock;
use thiserror::Error;

/// Limit for conditions that hold within seconds on an idle machine.
pub const LIMIT: clock::Millis = clock::Millis(60_000);

const STEP: Duration = Duration::from_millis(20);

/// A condition did not come to hold.
#[derive(Clone, Debug, Error, Eq, PartialEq)]
#[error("{condition} did not hold within {} ms", limit.0)]
pub struct Timeout {
    /// What was waited for.
    pub condition: String,
    /// How long.
    pub limit: clock::Millis,
}

/// Asks again and again until `holds` says yes.
pub async fn until(
    condition: &str,
    limit: clock::Millis,
    mut holds: impl AsyncFnMut() -> bool,
) -> Result<(), Timeout> {
    let clock = clock::Clock::new();
    while !holds().await {
        if clock.now() > limit {
            return Err(Timeout {
                condition: condition.to_owned(),
                limit,
            });
        }
        tokio::time::sleep(STEP).await;
    }
    Ok(())
}
