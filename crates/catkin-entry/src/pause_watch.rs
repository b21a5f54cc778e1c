//! Notices that the process stood still.

use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};
use tokio::time::Instant;

/// Pause between two looks.
pub(crate) const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Standing still for longer than this is noticed.
const MIN_PAUSE: Duration = Duration::from_millis(900);

/// Compares clocks that count suspension with those that don't.
#[derive(Debug)]
pub(crate) struct PauseWatch {
    boot: Duration,
    checked: Instant,
}

impl PauseWatch {
    pub(crate) fn start() -> Self {
        Self { boot: read_boot_clock(), checked: Instant::now() }
    }

    /// How long the process stood still since the last look, if for long.
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
