//! The runtime's clock as the decisions read it.

use catkin_base::ClockTime;
use tokio::time::Instant;

/// Reads the runtime's clock relative to the start of the router.
#[derive(Debug, Clone, Copy)]
pub struct RuntimeClock {
    start: Instant,
}

impl RuntimeClock {
    /// Starts the clock at zero.
    pub fn start_now() -> Self {
        Self { start: Instant::now() }
    }

    /// Time passed since the start.
    pub fn now(&self) -> ClockTime {
        ClockTime::ZERO.plus(self.start.elapsed())
    }

    /// The runtime's instant of a time.
    pub fn instant_of(&self, time: ClockTime) -> Instant {
        self.start + time.since(ClockTime::ZERO)
    }
}
