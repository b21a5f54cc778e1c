//! The runtime's clock as time since the start of the router.

use std::time::Duration;

use catkin_base::ClockTime;
use tokio::time::Instant;

/// A monotonic clock that starts at zero with the router and also gives the Unix time.
///
/// It reads the runtime's clock, which tests may pause.
#[derive(Debug, Clone, Copy)]
pub struct RuntimeClock {
    start: Instant,
    start_unix: Duration,
}

impl RuntimeClock {
    /// Starts the clock at zero. `start_unix` is the Unix time at this moment.
    pub fn start_now(start_unix: Duration) -> Self {
        Self { start: Instant::now(), start_unix }
    }

    /// Unix time in milliseconds: the system time at the start plus the time passed since.
    pub fn unix_millis(&self) -> u64 {
        (self.start_unix + self.start.elapsed()).as_millis() as u64
    }

    /// Unix time in seconds.
    pub fn unix_seconds(&self) -> u64 {
        self.unix_millis() / 1_000
    }

    /// Time since the start.
    pub fn now(&self) -> ClockTime {
        ClockTime::ZERO.plus(self.start.elapsed())
    }

    /// The runtime's instant at which this clock reads `time`.
    pub fn instant_of(&self, time: ClockTime) -> Instant {
        self.start + time.since(ClockTime::ZERO)
    }
}
