//! Health of one server from probes, and hold-down after repeated failures.

use catkin_base::ClockTime;

/// Consecutive failed probes after which a server is down.
const DOWN_FAILED_PROBES: u32 = 2;
/// Failures further apart than this are not counted as flapping, in milliseconds.
const FLAP_WINDOW_MILLIS: u64 = 60_000;
/// Number of failures within the window after which a server is held down.
const FLAP_LIMIT: u32 = 2;
/// Maximum number of times that the hold-down time doubles.
const MAX_HOLD_DOUBLINGS: u32 = 4;

/// Health of one server, from its probes and the outcomes of requests.
#[derive(Debug, Clone, Default)]
pub(crate) struct ServerHealth {
    failed_probes: u32,
    suspect: bool,
    down: bool,
    flaps: u32,
    last_flap: ClockTime,
    hold_until: ClockTime,
}

impl ServerHealth {
    /// Records an answered probe and returns whether the server was down before.
    pub(crate) fn record_success(&mut self) -> bool {
        self.failed_probes = 0;
        self.suspect = false;
        std::mem::take(&mut self.down)
    }

    pub(crate) fn record_probe_failure(&mut self, now: ClockTime, hold_down_millis: u64) {
        self.failed_probes += 1;
        self.suspect = true;
        if self.failed_probes >= DOWN_FAILED_PROBES && !self.down {
            self.down = true;
            self.record_flap(now, hold_down_millis);
        }
    }

    /// Records that the server restarted between two answered probes, which counts as a failure.
    pub(crate) fn record_restart(&mut self, now: ClockTime, hold_down_millis: u64) {
        self.record_flap(now, hold_down_millis);
    }

    /// Marks the server as suspect after a failed request. It accepts no work until the next
    /// answered probe.
    pub(crate) fn mark_suspect(&mut self) {
        self.suspect = true;
    }

    pub(crate) fn is_down(&self) -> bool {
        self.down
    }

    pub(crate) fn accepts_work(&self, now: ClockTime) -> bool {
        !self.down && !self.suspect && now >= self.hold_until
    }

    /// Returns the remaining hold-down time, in milliseconds.
    pub(crate) fn hold_millis(&self, now: ClockTime) -> u64 {
        self.hold_until.millis_since(now)
    }

    fn record_flap(&mut self, now: ClockTime, hold_down_millis: u64) {
        if now.millis_since(self.last_flap) > FLAP_WINDOW_MILLIS {
            self.flaps = 0;
        }
        self.flaps += 1;
        self.last_flap = now;
        if self.flaps >= FLAP_LIMIT {
            let doublings = (self.flaps - FLAP_LIMIT).min(MAX_HOLD_DOUBLINGS);
            self.hold_until = now.plus_millis(hold_down_millis << doublings);
        }
    }
}
