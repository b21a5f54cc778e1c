//! What a backend server reports about itself: its delayed load and whether it is leaving.

use std::collections::VecDeque;
use std::time::Duration;

use serde::Serialize;
use tokio::time::Instant;

use crate::prefix_cache::CacheEvent;

/// Answer to a probe.
#[derive(Debug, Serialize)]
pub(crate) struct ProbeAnswer {
    pub(crate) incarnation: u64,
    pub(crate) open: u32,
    pub(crate) leaving: bool,
    pub(crate) models: Vec<String>,
    pub(crate) event_sequence: u64,
    pub(crate) events: Vec<CacheEvent>,
    pub(crate) fence: u64,
}

struct TimedLoad {
    at: Instant,
    open: u32,
}

/// Number of requests open on a server, at present and in the recent past.
pub(crate) struct LoadHistory {
    lag: Duration,
    open: u32,
    max_open: u32,
    past: VecDeque<TimedLoad>,
}

impl LoadHistory {
    /// Creates a history without load, whose reports are `lag` old.
    pub(crate) fn new(lag: Duration) -> Self {
        Self { lag, open: 0, max_open: 0, past: VecDeque::new() }
    }

    /// Counts a request that was admitted.
    pub(crate) fn add_request(&mut self) {
        self.open += 1;
        self.max_open = self.max_open.max(self.open);
        self.record_change();
    }

    /// Counts a request that ended.
    pub(crate) fn remove_request(&mut self) {
        self.open = self.open.saturating_sub(1);
        self.record_change();
    }

    /// Sets the number of open requests to zero.
    pub(crate) fn clear(&mut self) {
        self.open = 0;
        self.record_change();
    }

    /// Returns the number of requests open now.
    pub(crate) fn open(&self) -> u32 {
        self.open
    }

    /// Returns the maximum number of requests that were open at once.
    pub(crate) fn max_open(&self) -> u32 {
        self.max_open
    }

    /// Returns the number of requests that were open `lag` ago.
    pub(crate) fn reported_open(&mut self) -> u32 {
        let now = Instant::now();
        while self.past.get(1).is_some_and(|next| now - next.at >= self.lag) {
            self.past.pop_front();
        }
        self.past.front().filter(|load| now - load.at >= self.lag).map_or(0, |load| load.open)
    }

    fn record_change(&mut self) {
        self.reported_open();
        self.past.push_back(TimedLoad { at: Instant::now(), open: self.open });
    }
}

/// Whether a server is leaving, and the requests that arrive nevertheless.
#[derive(Default)]
pub(crate) struct LeavingState {
    leaving_since: Option<Instant>,
    late_arrivals: u64,
    latest_arrival: Duration,
}

impl LeavingState {
    /// Starts or stops leaving.
    pub(crate) fn set_leaving(&mut self, leaving: bool) {
        self.leaving_since = leaving.then(Instant::now);
    }

    /// Returns whether the server is leaving.
    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving_since.is_some()
    }

    /// Counts a request that arrives while the server is leaving.
    pub(crate) fn count_arrival(&mut self) {
        let Some(since) = self.leaving_since else { return };
        self.late_arrivals += 1;
        self.latest_arrival = self.latest_arrival.max(Instant::now() - since);
    }

    /// Returns the number of requests that arrived while the server was leaving.
    pub(crate) fn late_arrivals(&self) -> u64 {
        self.late_arrivals
    }

    /// Returns the longest time from the start of leaving to the arrival of a request, in
    /// milliseconds.
    pub(crate) fn latest_arrival_millis(&self) -> u64 {
        self.latest_arrival.as_millis() as u64
    }
}
