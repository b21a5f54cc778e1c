//! Detects pauses of the process, for example of a suspended VM.

use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};
use tokio::time::Instant;

/// Time between two checks.
pub(crate) const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Minimum duration of a pause that is reported.
const MIN_PAUSE: Duration = Duration::from_millis(900);

/// Measures the time between checks by the boot-time clock, which goes on during suspension, and by
/// the monotonic clock.
#[derive(Debug)]
pub(crate) struct PauseWatch {
    boot: Duration,
    checked: Instant,
}

impl PauseWatch {
    pub(crate) fn start() -> Self {
        Self { boot: read_boot_clock(), checked: Instant::now() }
    }

    /// Returns the duration of a pause since the last check, if it exceeds [`MIN_PAUSE`].
    pub(crate) fn check(&mut self) -> Option<Duration> {
        let boot = read_boot_clock();
        let passed = boot.saturating_sub(self.boot).max(self.checked.elapsed());
        self.boot = boot;
        self.checked = Instant::now();
        let pause = passed.saturating_sub(CHECK_INTERVAL);
        (pause > MIN_PAUSE).then_some(pause)
    }
}

fn read_boot_clock() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(time.tv_sec.max(0) as u64, time.tv_nsec.max(0) as u32)
}
