//! Remembers when this process stood still: it had no CPU time, or one of its tasks held the others up.
//! Times that it measured then are longer than what they measure.

use std::collections::VecDeque;

use catkin_base::ClockTime;

/// Interval of the beats that show that the process runs, in milliseconds.
pub const BEAT_MILLIS: u64 = 50;
/// Delay of a beat from which on the process stood still, in milliseconds.
const MIN_STALL_MILLIS: u64 = 10;
/// Maximum number of remembered stalls.
const MAX_STALLS: usize = 64;
/// Fraction of a measured time for which the process may have stood still.
const MAX_STALLED_FRACTION: f64 = 0.25;

/// The latest times for which the process stood still.
#[derive(Debug, Clone)]
pub struct StallTable {
    /// When the next beat is due.
    due: ClockTime,
    /// Begin and end of each stall.
    stalls: VecDeque<(ClockTime, ClockTime)>,
}

impl StallTable {
    /// Starts with a beat.
    pub fn new(now: ClockTime) -> Self {
        Self { due: now.plus_millis(BEAT_MILLIS), stalls: VecDeque::new() }
    }

    /// Records a beat.
    pub fn record_beat(&mut self, now: ClockTime) {
        if now >= self.due.plus_millis(MIN_STALL_MILLIS) {
            self.stalls.truncate(MAX_STALLS - 1);
            self.stalls.push_front((self.due, now));
        }
        self.due = now.plus_millis(BEAT_MILLIS);
    }

    /// Whether a time that was measured from `began` to `now` is that of this process rather than of
    /// what it waited for.
    pub fn is_distorted(&self, now: ClockTime, began: ClockTime) -> bool {
        // The beat that is due may come only after the measurement.
        let current = (self.due, now);
        let is_stalled = now >= self.due.plus_millis(MIN_STALL_MILLIS);
        let stalls = self.stalls.iter().chain(is_stalled.then_some(&current));
        let overlaps = stalls.map(|(from, until)| until.min(&now).since((*from).max(began)));
        let stalled = overlaps.map(|overlap| overlap.as_secs_f64()).sum::<f64>();
        stalled > now.since(began).as_secs_f64() * MAX_STALLED_FRACTION
    }
}
