//! State of the fake servers: open requests, caches, cache events and probe answers.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use catkin_backend::{CacheEvent, ServerProbe};
use catkin_base::ChatId;
use rand::rngs::StdRng;
use tokio::sync::Semaphore;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// Maximum number of chats in the cache of an engine; beyond it, the least recently used is
/// evicted.
const MAX_CACHED_CHATS: usize = 64;
/// Mean number of open requests per engine below which skew is not measured.
const MIN_OPEN_PER_ENGINE_FOR_SKEW: u32 = 2;
/// Longest time from the admission of a request to its arrival at the engine, on the slowest
/// network that a scenario sets.
const ADMISSION_WINDOW: Duration = Duration::from_millis(60);
/// Maximum number of past loads that are kept; beyond it, the oldest is removed.
const MAX_HISTORY_ENTRIES: usize = 4_096;

/// Behavior of the servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BackendRules {
    /// Age of the load that a probe reports.
    pub probe_lag: Duration,
    /// Delay until a cache event is published.
    pub event_lag: Duration,
    /// Share of cache events that are never published, in percent.
    pub event_gap_percent: u32,
    /// Maximum load of an engine relative to the mean, in percent.
    pub bound_percent: u32,
}

impl Default for BackendRules {
    fn default() -> Self {
        Self {
            probe_lag: Duration::from_millis(500),
            event_lag: Duration::from_secs(1),
            event_gap_percent: 0,
            bound_percent: 150,
        }
    }
}

/// Kind of a fake server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FakeServerKind {
    /// Model engine.
    Engine,
    /// Plain service.
    Service,
}

/// State of all servers.
#[derive(Debug)]
pub(crate) struct BackendState {
    pub(crate) rules: BackendRules,
    pub(crate) random: StdRng,
    pub(crate) servers: BTreeMap<SocketAddr, FakeServer>,
    /// Answers recorded by the plain service, by idempotency key.
    pub(crate) records: BTreeMap<String, Bytes>,
    /// Chats that an engine has served.
    pub(crate) served_chats: BTreeSet<ChatId>,
    /// Total number of open requests on all engines after each change.
    pub(crate) totals: VecDeque<(Instant, u32)>,
    pub(crate) started: Instant,
}

/// State of one server.
#[derive(Debug)]
pub(crate) struct FakeServer {
    pub(crate) kind: FakeServerKind,
    pub(crate) slot_count: usize,
    pub(crate) slots: Arc<Semaphore>,
    pub(crate) down_until: Option<Instant>,
    pub(crate) down: bool,
    pub(crate) leaving_since: Option<Instant>,
    pub(crate) incarnation: u64,
    pub(crate) crash_token: CancellationToken,
    pub(crate) open: u32,
    pub(crate) history: VecDeque<(Instant, u32)>,
    pub(crate) cache: VecDeque<ChatId>,
    pub(crate) events: Vec<(Instant, CacheEvent)>,
    pub(crate) sequence: u64,
    pub(crate) fence: u64,
}

impl BackendState {
    pub(crate) fn running_engines(&self) -> impl Iterator<Item = &FakeServer> {
        let up = |server: &&FakeServer| server.kind == FakeServerKind::Engine && server.is_up();
        self.servers.values().filter(up)
    }

    /// Returns whether one more request would put an engine above the load bound.
    pub(crate) fn would_exceed_bound(&self, address: SocketAddr) -> bool {
        let Some(server) = self.servers.get(&address) else {
            return false;
        };
        if server.kind != FakeServerKind::Engine || !server.is_up() {
            return false;
        }
        let engines = self.running_engines().count() as u32;
        let total = self.max_recent_total() + 1;
        let limit = (total * self.rules.bound_percent).div_ceil(100 * engines.max(1));
        server.open + 1 > limit.max(1)
    }

    pub(crate) fn total_open(&self) -> u32 {
        self.running_engines().map(|engine| engine.open).sum()
    }

    /// Maximum total of open requests within the last [`ADMISSION_WINDOW`].
    ///
    /// The bound of a request that arrives now was computed when it was admitted, with the total of
    /// that time.
    pub(crate) fn max_recent_total(&self) -> u32 {
        let since = Instant::now() - ADMISSION_WINDOW;
        let mut max = self.total_open();
        for (time, total) in self.totals.iter().rev() {
            max = max.max(*total);
            if *time < since {
                break;
            }
        }
        max
    }

    /// Formats the load of one engine and of all engines as log fields.
    pub(crate) fn describe_load(&self, address: SocketAddr) -> String {
        let open = self.servers.get(&address).map_or(0, |server| server.open);
        let time = Instant::now().duration_since(self.started).as_millis();
        let engines = self.running_engines().count();
        format!(
            "at={time}ms server={address} open={open} all={} engines={engines}",
            self.total_open()
        )
    }

    pub(crate) fn record_total(&mut self) {
        let total = self.total_open();
        self.totals.push_back((Instant::now(), total));
        if self.totals.len() > MAX_HISTORY_ENTRIES {
            self.totals.pop_front();
        }
    }

    /// Load of the busiest engine relative to the mean, in percent; 0 below
    /// [`MIN_OPEN_PER_ENGINE_FOR_SKEW`].
    pub(crate) fn skew_percent(&self) -> u64 {
        let engines = self.running_engines().count() as u32;
        let total = self.total_open();
        let max = self.running_engines().map(|engine| engine.open).max().unwrap_or(0);
        if engines == 0 || total < engines * MIN_OPEN_PER_ENGINE_FOR_SKEW {
            return 0;
        }
        u64::from(max * engines * 100 / total)
    }
}

impl FakeServer {
    pub(crate) fn new(kind: FakeServerKind, slot_count: usize) -> Self {
        Self {
            kind,
            slot_count,
            slots: Arc::new(Semaphore::new(slot_count)),
            down_until: None,
            down: false,
            leaving_since: None,
            incarnation: 1,
            crash_token: CancellationToken::new(),
            open: 0,
            history: VecDeque::new(),
            cache: VecDeque::new(),
            events: Vec::new(),
            sequence: 0,
            fence: 0,
        }
    }

    pub(crate) fn is_up(&self) -> bool {
        !self.down && self.down_until.is_none_or(|until| Instant::now() >= until)
    }

    pub(crate) fn crash(&mut self, duration: Option<Duration>) {
        self.down = duration.is_none();
        self.down_until = duration.map(|duration| Instant::now() + duration);
        self.crash_token.cancel();
        self.crash_token = CancellationToken::new();
        self.slots = Arc::new(Semaphore::new(self.slot_count));
        self.incarnation += 1;
        self.cache.clear();
        self.events.clear();
        self.sequence = 0;
        self.open = 0;
        self.history.clear();
    }

    pub(crate) fn adjust_open(&mut self, change: i64) {
        self.open = self.open.saturating_add_signed(change as i32);
        self.history.push_back((Instant::now(), self.open));
        if self.history.len() > MAX_HISTORY_ENTRIES {
            self.history.pop_front();
        }
    }

    pub(crate) fn open_requests_at(&self, time: Instant) -> u32 {
        let seen = self.history.iter().rev().find(|(since, _)| *since <= time);
        seen.map_or(0, |(_, open)| *open)
    }

    pub(crate) fn touch_chat(&mut self, chat: ChatId, gaps: &[bool]) -> bool {
        let cached = self.cache.contains(&chat);
        self.cache.retain(|&other| other != chat);
        self.cache.push_back(chat);
        if !cached {
            self.publish_event(chat, true, gaps.first() == Some(&true));
        }
        if self.cache.len() > MAX_CACHED_CHATS
            && let Some(evicted) = self.cache.pop_front()
        {
            self.publish_event(evicted, false, gaps.last() == Some(&true));
        }
        cached
    }

    pub(crate) fn publish_event(&mut self, chat: ChatId, cached: bool, is_gap: bool) {
        self.sequence += 1;
        if !is_gap {
            let event = CacheEvent { sequence: self.sequence, chat, cached };
            self.events.push((Instant::now(), event));
        }
    }

    pub(crate) fn build_probe(&self, rules: &BackendRules, after_event: u64) -> ServerProbe {
        let now = Instant::now();
        let seen_load = now.checked_sub(rules.probe_lag);
        let seen_event = |at: Instant| at + rules.event_lag <= now;
        let events: Vec<CacheEvent> = self
            .events
            .iter()
            .filter(|(at, event)| seen_event(*at) && event.sequence > after_event)
            .map(|(_, event)| event.clone())
            .collect();
        ServerProbe {
            incarnation: self.incarnation,
            open: seen_load.map_or(0, |time| self.open_requests_at(time)),
            leaving: self.leaving_since.is_some(),
            models: vec![crate::fleet::MODEL.to_owned()],
            event_sequence: events.last().map_or(after_event, |event| event.sequence),
            events,
            fence: self.fence,
        }
    }
}
