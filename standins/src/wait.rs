//! Polls for conditions until a timeout.

use std::time::Duration;

use cassiacross::clock;
use thiserror::Error;

/// Timeout for conditions that hold within seconds on an idle machine.
pub const LIMIT: clock::Millis = clock::Millis(60_000);

const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A condition that did not hold before the timeout.
#[derive(Clone, Debug, Error, Eq, PartialEq)]
#[error("timed out after {} ms waiting for {condition}", limit.0)]
pub struct Timeout {
    /// Description of the condition, a noun phrase.
    pub condition: String,
    /// Timeout that expired.
    pub limit: clock::Millis,
}

/// Polls `holds` every 20 ms until it returns true; fails after `limit`.
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
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    Ok(())
}
