//! A backend server's report of itself: load with a lag, leaving, and its orders.

use std::collections::VecDeque;
use std::time::Duration;

use serde::Serialize;
use tokio::time::Instant;

use crate::prefix_cache::CacheReport;

/// Answer to a probe.
#[derive(Debug, Serialize)]
pub(crate) struct ProbeAnswer {
    pub(crate) incarnation: u64,
    pub(crate) open: u32,
    pub(crate) leaving: bool,
    pub(crate) models: Vec<String>,
    pub(crate) event_sequence: u64,
    pub(crate) events: Vec<CacheReport>,
    pub(crate) fence: u64,
}

struct DatedLoad {
    at: Instant,
    open: u32,
}

/// Requests open on a server, now and a while ago.
pub(crate) struct LoadHistory {
    lag: Duration,
    open: u32,
    most_open: u32,
    past: VecDeque<DatedLoad>,
}

impl LoadHistory {
    /// No load. Reports will be `lag` old.
    pub(crate) fn new(lag: Duration) -> Self {
        Self { lag, open: 0, most_open: 0, past: VecDeque::new() }
    }

    /// Counts a request in.
    pub(crate) fn enter(&mut self) {
        self.open += 1;
        self.most_open = self.most_open.max(self.open);
        self.note();
    }

    /// Counts a request out.
    pub(crate) fn exit(&mut self) {
        self.open = self.open.saturating_sub(1);
        self.note();
    }

    /// Forgets all open requests.
    pub(crate) fn clear(&mut self) {
        self.open = 0;
        self.note();
    }

    /// Requests open now.
    pub(crate) fn open(&self) -> u32 {
        self.open
    }

    /// Most requests open at once.
    pub(crate) fn most_open(&self) -> u32 {
        self.most_open
    }

    /// Requests that were open when the report was taken.
    pub(crate) fn reported(&mut self) -> u32 {
        let now = Instant::now();
        while self.past.get(1).is_some_and(|next| now - next.at >= self.lag) {
            self.past.pop_front();
        }
        self.past.front().filter(|load| now - load.at >= self.lag).map_or(0, |load| load.open)
    }

    fn note(&mut self) {
        self.reported();
        self.past.push_back(DatedLoad { at: Instant::now(), open: self.open });
    }
}

/// Whether a server is leaving, and the work that reaches it all the same.
#[derive(Default)]
pub(crate) struct LeaveRecord {
    since: Option<Instant>,
    work: u64,
    latest: Duration,
}

impl LeaveRecord {
    /// Starts or stops leaving.
    pub(crate) fn set(&mut self, leaving: bool) {
        self.since = leaving.then(Instant::now);
    }

    /// Whether the server is leaving.
    pub(crate) fn is_leaving(&self) -> bool {
        self.since.is_some()
    }

    /// Counts a request that arrives.
    pub(crate) fn note_arrival(&mut self) {
        let Some(since) = self.since else { return };
        self.work += 1;
        self.latest = self.latest.max(Instant::now() - since);
    }

    /// Requests that arrived while the server was leaving.
    pub(crate) fn work(&self) -> u64 {
        self.work
    }

    /// Longest time from leaving to the arrival of a request, in milliseconds.
    pub(crate) fn latest_millis(&self) -> u64 {
        self.latest.as_millis() as u64
    }
}
