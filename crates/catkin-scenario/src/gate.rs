//! Pauses of a router's process, as the rest of the world sees them.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::time::{Instant, sleep_until};

/// Holds back what a paused router sends and receives.
///
/// The router's own timers go on: a call held back here is one that the router made just before
/// it was paused and that takes effect when it wakes.
#[derive(Debug, Clone, Default)]
pub struct PauseGate {
    until: Arc<Mutex<Option<Instant>>>,
}

impl PauseGate {
    /// Holds everything back for `duration` from now.
    pub fn pause(&self, duration: Duration) {
        *self.until.lock().unwrap_or_else(PoisonError::into_inner) =
            Some(Instant::now() + duration);
    }

    /// Waits until the router runs.
    pub async fn wait(&self) {
        let until = *self.until.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(until) = until {
            sleep_until(until).await;
        }
    }

    /// How long the router stays paused.
    pub fn remaining(&self) -> Duration {
        let until = *self.until.lock().unwrap_or_else(PoisonError::into_inner);
        until.map_or(Duration::ZERO, |until| until.saturating_duration_since(Instant::now()))
    }
}
