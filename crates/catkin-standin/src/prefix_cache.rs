//! Cache of chat prefixes in limited memory, and its late events with gaps.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use rand::Rng;
use rand::rngs::StdRng;
use serde::Serialize;
use tokio::time::Instant;

/// Most events that a server keeps.
const KEPT_EVENTS: usize = 4096;

/// An event as a probe reports it.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct CacheReport {
    sequence: u64,
    chat: String,
    cached: bool,
}

struct DatedEvent {
    at: Instant,
    report: CacheReport,
}

struct CachedPrefix {
    tokens: u32,
    used: u64,
}

/// Prefixes by chat, least recently used first to go.
pub(crate) struct PrefixCache {
    capacity: usize,
    gap_share: f64,
    prefixes: BTreeMap<u64, CachedPrefix>,
    by_use: BTreeMap<u64, u64>,
    uses: u64,
    events: VecDeque<DatedEvent>,
    sequence: u64,
}

impl PrefixCache {
    /// An empty cache for `capacity` chats, which loses `gap_share` of its events.
    pub(crate) fn new(capacity: usize, gap_share: f64) -> Self {
        Self {
            capacity,
            gap_share,
            prefixes: BTreeMap::new(),
            by_use: BTreeMap::new(),
            uses: 0,
            events: VecDeque::new(),
            sequence: 0,
        }
    }

    /// Tokens of the chat's prompt that are cached.
    pub(crate) fn cached_tokens(&self, chat: u64, prompt_tokens: u32) -> u32 {
        self.prefixes.get(&chat).map_or(0, |prefix| prefix.tokens.min(prompt_tokens))
    }

    /// Stores a prefix and evicts the least recently used ones.
    pub(crate) fn store(&mut self, chat: u64, tokens: u32, generator: &mut StdRng) {
        self.uses += 1;
        let former = self.prefixes.insert(chat, CachedPrefix { tokens, used: self.uses });
        match former {
            Some(former) => drop(self.by_use.remove(&former.used)),
            None => self.publish(chat, true, generator),
        }
        self.by_use.insert(self.uses, chat);
        while self.prefixes.len() > self.capacity {
            let Some((_, evicted)) = self.by_use.pop_first() else { return };
            self.prefixes.remove(&evicted);
            self.publish(evicted, false, generator);
        }
    }

    /// Events after `after` that are at least `lag` old.
    pub(crate) fn events_after(&self, after: u64, lag: Duration) -> Vec<CacheReport> {
        let now = Instant::now();
        self.events
            .iter()
            .filter(|event| event.report.sequence > after && now - event.at >= lag)
            .map(|event| event.report.clone())
            .collect()
    }

    /// Highest sequence number among events that are at least `lag` old.
    pub(crate) fn visible_sequence(&self, lag: Duration) -> u64 {
        let now = Instant::now();
        let hidden = self.events.iter().rev().take_while(|event| now - event.at < lag).count();
        let newest = self.events.len().checked_sub(hidden + 1);
        newest.and_then(|index| self.events.get(index)).map_or(0, |event| event.report.sequence)
    }

    fn publish(&mut self, chat: u64, cached: bool, generator: &mut StdRng) {
        self.sequence += 1;
        if self.gap_share > 0.0 && generator.random_bool(self.gap_share) {
            return;
        }
        let chat = format!("{chat:016x}");
        let report = CacheReport { sequence: self.sequence, chat, cached };
        self.events.push_back(DatedEvent { at: Instant::now(), report });
        if self.events.len() > KEPT_EVENTS {
            self.events.pop_front();
        }
    }
}
