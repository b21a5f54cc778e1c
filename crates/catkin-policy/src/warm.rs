//! Estimate of which chats are in a server's cache, and the directory of chats placed elsewhere.

use catkin_base::{ChatId, ClockTime, ServerId};

use crate::load::{CacheEvent, ServerReport};
use crate::recent::RecentMap;

/// Half of the maximum number of chats tracked for one server.
const WARM_GENERATION_LEN: usize = 8192;
/// Half of the maximum number of directory entries of one server.
const DIRECTORY_GENERATION_LEN: usize = 8192;
/// Maximum delay of a cache event, in milliseconds. An eviction reported within this time after a
/// request of the chat is assumed to be older than the request, and is ignored.
const MAX_EVENT_LAG_MILLIS: u64 = 10_000;
/// Time after which an owner that has made all grants of a server is assumed to know every warm
/// chat, in milliseconds.
const LEARNING_PERIOD_MILLIS: u64 = 600_000;

/// Chats believed to be in one server's cache, from this owner's grants and from the server's cache
/// events, which arrive with delay and may have gaps.
#[derive(Debug, Clone)]
pub(crate) struct WarmIndex {
    incarnation: Option<u64>,
    last_sequence: u64,
    /// Time since which this owner has seen all grants of this incarnation.
    learning_since: ClockTime,
    /// Whether the index covers this incarnation of the server from its start.
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

    /// Whether `incarnation` differs from the last reported one.
    pub(crate) fn is_restart(&self, incarnation: u64) -> bool {
        self.incarnation.is_some_and(|known| known != incarnation)
    }

    /// Whether the chat is believed to be in the cache.
    pub(crate) fn holds(&self, chat: ChatId) -> bool {
        self.chats.get(&chat).is_some()
    }

    /// Whether the index is complete, so that a chat that it does not contain is not in the cache.
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

/// Servers of the chats that rank one server first (their home) but were placed on another one.
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
