//! Monotonic time of a process.

use std::time::Duration;

use crate::copy_type;

copy_type! {
    /// Microseconds since the start of a clock, which is usually the start of the process. Times of
    /// different clocks are not comparable.
    #[derive(Default, serde::Serialize, serde::Deserialize)]
    pub struct ClockTime(pub u64);
}

impl ClockTime {
    /// The start of the clock.
    pub const ZERO: ClockTime = ClockTime(0);

    /// Creates a time from milliseconds since the start of the clock.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis.saturating_mul(1000))
    }

    /// Returns the time `millis` milliseconds later; saturates at the maximum.
    pub const fn plus_millis(self, millis: u64) -> Self {
        Self(self.0.saturating_add(millis.saturating_mul(1000)))
    }

    /// Returns the time `millis` milliseconds earlier; saturates at the start of the clock.
    pub const fn minus_millis(self, millis: u64) -> Self {
        Self(self.0.saturating_sub(millis.saturating_mul(1000)))
    }

    /// Returns the time `duration` later, in whole microseconds; saturates at the maximum.
    pub fn plus(self, duration: Duration) -> Self {
        Self(self.0.saturating_add(duration.as_micros() as u64))
    }

    /// Returns the time since `earlier`; zero if `earlier` is later than this time.
    pub const fn since(self, earlier: ClockTime) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Returns the whole milliseconds since `earlier`; zero if `earlier` is later than this time.
    pub const fn millis_since(self, earlier: ClockTime) -> u64 {
        self.0.saturating_sub(earlier.0) / 1000
    }
}
