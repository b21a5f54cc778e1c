//! Simulates the pause of a router process, as the other processes observe it.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::time::{Instant, sleep_until};

/// Delays what a paused router sends and receives until the pause ends.
///
/// The router's own timers keep running: a call that is delayed here stands for one that the router
/// made just before it was paused and that takes effect when it resumes.
#[derive(Debug, Clone, Default)]
pub struct PauseGate {
    until: Arc<Mutex<Option<Instant>>>,
}

impl PauseGate {
    /// Pauses the router for `duration` from now.
    pub fn pause(&self, duration: Duration) {
        *self.until.lock().unwrap_or_else(PoisonError::into_inner) =
            Some(Instant::now() + duration);
    }

    /// Waits until the pause ends.
    pub async fn wait(&self) {
        let until = *self.until.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(until) = until {
            sleep_until(until).await;
        }
    }

    /// Time until the pause ends; zero if the router is not paused.
    pub fn remaining(&self) -> Duration {
        let until = *self.until.lock().unwrap_or_else(PoisonError::into_inner);
        until.map_or(Duration::ZERO, |until| until.saturating_duration_since(Instant::now()))
    }
}
