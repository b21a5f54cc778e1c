//! Which chats are believed to be in a server's cache.

use catkin_base::{ChatId, ClockTime, ServerId};

use crate::load::{CacheEvent, ServerReport};
use crate::recent::RecentMap;

/// Half of the most chats remembered for one server.
const WARM_GENERATION_LEN: usize = 8192;
/// Half of the most directory entries kept for one server.
const DIRECTORY_GENERATION_LEN: usize = 8192;
/// An eviction reported within this time after a request of the chat is taken to be older than the
/// request, in milliseconds.
const MAX_EVENT_LAG_MILLIS: u64 = 10_000;
/// An owner that saw all grants for this long is taken to know which chats are warm, in
/// milliseconds.
const LEARNING_PERIOD_MILLIS: u64 = 600_000;

/// Evidence of one server's cache: own grants, and late cache events with gaps.
#[derive(Debug, Clone)]
pub(crate) struct WarmIndex {
    incarnation: Option<u64>,
    last_sequence: u64,
    learning_since: ClockTime,
    saw_start: bool,
    gaps: u64,
    chats: RecentMap<ChatId, ClockTime>,
}

impl WarmIndex {
    pub(crate) fn new(now: ClockTime) -> Self {
        Self {
            incarnation: None,
            last_sequence: 0,
            learning_since: now,
            saw_start: false,
            gaps: 0,
            chats: RecentMap::new(WARM_GENERATION_LEN),
        }
    }

    pub(crate) fn record_use(&mut self, now: ClockTime, chat: ChatId) {
        self.chats.insert(chat, now);
    }

    pub(crate) fn record_report(&mut self, now: ClockTime, report: &ServerReport) {
        if self.incarnation != Some(report.incarnation) {
            self.start_incarnation(now, report);
        }
        for event in &report.events {
            self.record_event(now, *event);
        }
    }

    /// Whether `incarnation` is another one than that last seen.
    pub(crate) fn is_restart(&self, incarnation: u64) -> bool {
        self.incarnation.is_some_and(|known| known != incarnation)
    }

    /// Whether the chat is believed to be in the cache.
    pub(crate) fn holds(&self, chat: ChatId) -> bool {
        self.chats.get(&chat).is_some()
    }

    /// Whether a chat without evidence is surely not in the cache.
    pub(crate) fn is_complete(&self, now: ClockTime) -> bool {
        let learned = now.millis_since(self.learning_since) >= LEARNING_PERIOD_MILLIS;
        (self.saw_start || learned) && !self.chats.has_evicted()
    }

    pub(crate) fn len(&self) -> usize {
        self.chats.len()
    }

    pub(crate) fn last_sequence(&self) -> u64 {
        self.last_sequence
    }

    pub(crate) fn gaps(&self) -> u64 {
        self.gaps
    }

    pub(crate) fn recent_chats(&self) -> impl Iterator<Item = ChatId> + '_ {
        self.chats.iter().map(|(chat, _)| chat)
    }

    fn start_incarnation(&mut self, now: ClockTime, report: &ServerReport) {
        let restarted = self.incarnation.is_some();
        if restarted {
            self.chats = RecentMap::new(WARM_GENERATION_LEN);
        }
        let from_start = report.events.first().is_none_or(|event| event.sequence <= 1);
        let all_events = report.events.len() as u64 >= report.event_sequence;
        self.saw_start = restarted || (from_start && all_events);
        self.incarnation = Some(report.incarnation);
        self.learning_since = now;
        self.last_sequence = 0;
    }

    fn record_event(&mut self, now: ClockTime, event: CacheEvent) {
        if event.sequence <= self.last_sequence {
            return;
        }
        if event.sequence > self.last_sequence + 1 {
            self.gaps += 1;
        }
        self.last_sequence = event.sequence;
        if event.cached {
            self.chats.insert(event.chat, now);
            return;
        }
        let used = self.chats.get(&event.chat);
        if used.is_none_or(|used| now.millis_since(used) >= MAX_EVENT_LAG_MILLIS) {
            self.chats.remove(&event.chat);
        }
    }
}

/// Where chats are that have their home on one server but were placed on another.
#[derive(Debug, Clone)]
pub(crate) struct PlacementDirectory {
    chats: RecentMap<ChatId, ServerId>,
}

impl PlacementDirectory {
    pub(crate) fn new() -> Self {
        Self { chats: RecentMap::new(DIRECTORY_GENERATION_LEN) }
    }

    pub(crate) fn record(&mut self, chat: ChatId, server: ServerId) {
        self.chats.insert(chat, server);
    }

    pub(crate) fn remove(&mut self, chat: ChatId) {
        self.chats.remove(&chat);
    }

    pub(crate) fn find(&self, chat: ChatId) -> Option<ServerId> {
        self.chats.get(&chat)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (ChatId, ServerId)> + '_ {
        self.chats.iter()
    }
}
