//! LRU cache of chat prefixes, and its cache events, which are delayed and have gaps.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use rand::Rng;
use rand::rngs::StdRng;
use serde::Serialize;
use tokio::time::Instant;

/// Maximum number of events that a server stores for probes.
const MAX_EVENTS: usize = 4096;

/// A cache event as the answer to a probe reports it.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct CacheEvent {
    sequence: u64,
    chat: String,
    cached: bool,
}

struct TimedEvent {
    at: Instant,
    event: CacheEvent,
}

struct CachedPrefix {
    tokens: u32,
    last_use: u64,
}

/// Prefixes by chat; evicts the least recently used one.
pub(crate) struct PrefixCache {
    capacity: usize,
    gap_share: f64,
    prefixes: BTreeMap<u64, CachedPrefix>,
    chats_by_use: BTreeMap<u64, u64>,
    use_count: u64,
    events: VecDeque<TimedEvent>,
    sequence: u64,
}

impl PrefixCache {
    /// An empty cache for `capacity` chats, which loses `gap_share` of its events.
    pub(crate) fn new(capacity: usize, gap_share: f64) -> Self {
        Self {
            capacity,
            gap_share,
            prefixes: BTreeMap::new(),
            chats_by_use: BTreeMap::new(),
            use_count: 0,
            events: VecDeque::new(),
            sequence: 0,
        }
    }

    /// Returns the number of tokens of the chat's prompt that are cached.
    pub(crate) fn cached_tokens(&self, chat: u64, prompt_tokens: u32) -> u32 {
        self.prefixes.get(&chat).map_or(0, |prefix| prefix.tokens.min(prompt_tokens))
    }

    /// Stores a prefix and evicts the least recently used ones.
    pub(crate) fn store(&mut self, chat: u64, tokens: u32, random: &mut StdRng) {
        self.use_count += 1;
        let previous =
            self.prefixes.insert(chat, CachedPrefix { tokens, last_use: self.use_count });
        match previous {
            Some(previous) => drop(self.chats_by_use.remove(&previous.last_use)),
            None => self.publish(chat, true, random),
        }
        self.chats_by_use.insert(self.use_count, chat);
        while self.prefixes.len() > self.capacity {
            let Some((_, evicted)) = self.chats_by_use.pop_first() else { return };
            self.prefixes.remove(&evicted);
            self.publish(evicted, false, random);
        }
    }

    /// Returns the events with a sequence number above `after` that are at least `lag` old.
    pub(crate) fn events_after(&self, after: u64, lag: Duration) -> Vec<CacheEvent> {
        let now = Instant::now();
        self.events
            .iter()
            .filter(|timed| timed.event.sequence > after && now - timed.at >= lag)
            .map(|timed| timed.event.clone())
            .collect()
    }

    /// Returns the highest sequence number of the events that are at least `lag` old.
    pub(crate) fn visible_sequence(&self, lag: Duration) -> u64 {
        let now = Instant::now();
        let hidden = self.events.iter().rev().take_while(|timed| now - timed.at < lag).count();
        let newest = self.events.len().checked_sub(hidden + 1);
        newest.and_then(|index| self.events.get(index)).map_or(0, |timed| timed.event.sequence)
    }

    fn publish(&mut self, chat: u64, cached: bool, random: &mut StdRng) {
        self.sequence += 1;
        if self.gap_share > 0.0 && random.random_bool(self.gap_share) {
            return;
        }
        let chat = format!("{chat:016x}");
        let event = CacheEvent { sequence: self.sequence, chat, cached };
        self.events.push_back(TimedEvent { at: Instant::now(), event });
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }
}
