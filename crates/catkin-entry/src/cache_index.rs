//! Index of the prompt parts that each server has cached.

use std::collections::BTreeMap;

use catkin_base::{ClockTime, ServerId, hash_parts};

use crate::record::PromptPart;

/// Time after its last use for which a part counts as cached.
const CACHED_MILLIS: u64 = 45_000;
/// Maximum number of entries, each a part on one server.
const MAX_ENTRIES: usize = 6_000;

/// A part of a prompt, with the length of the prompt up to its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PrefixPart {
    /// Hash of the model and the part.
    pub key: u64,
    /// Tokens of the part and of all parts before it.
    pub tokens: u32,
    /// Tokens of the part alone.
    pub part_tokens: u32,
}

/// Returns the key of a prompt part for `model`.
pub fn part_key(model: &str, part: u64) -> u64 {
    hash_parts(&[model.as_bytes(), &part.to_le_bytes()])
}

/// Lists the parts of a prompt in their order, with their keys and the prompt length up to each.
pub fn list_prefix_parts(model: &str, parts: &[PromptPart]) -> Vec<PrefixPart> {
    let mut tokens = 0u32;
    let mut prefixes = Vec::with_capacity(parts.len());
    for part in parts {
        tokens = tokens.saturating_add(part.tokens);
        let key = part_key(model, part.id);
        prefixes.push(PrefixPart { key, tokens, part_tokens: part.tokens });
    }
    prefixes
}

/// Use and size of one part on one server.
#[derive(Debug, Clone, Copy)]
struct CacheEntry {
    last_used: ClockTime,
    tokens: u32,
}

/// A prompt part that a server has cached.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CachedPart {
    /// Key of the part.
    pub key: u64,
    /// The server.
    pub server: ServerId,
    /// Tokens of the part alone.
    pub tokens: u32,
}

/// Prompt parts and the servers that they were sent to.
#[derive(Debug, Clone, Default)]
pub struct CacheIndex {
    entries: BTreeMap<(u64, ServerId), CacheEntry>,
    /// Tokens of all parts on each server.
    totals: BTreeMap<ServerId, u64>,
}

impl CacheIndex {
    /// Records that a server was sent a part. Returns whether the part did not count as cached
    /// there before.
    pub fn record_part(&mut self, now: ClockTime, part: CachedPart) -> bool {
        let entry = CacheEntry { last_used: now, tokens: part.tokens };
        let known = self.entries.insert((part.key, part.server), entry);
        let total = self.totals.entry(part.server).or_default();
        *total += u64::from(part.tokens);
        *total -= known.map_or(0, |entry| u64::from(entry.tokens));
        known.is_none_or(|entry| now.millis_since(entry.last_used) >= CACHED_MILLIS)
    }

    /// Returns the number of tokens at the start of a prompt that each server has cached, without
    /// servers that have none. A server that caches a part has prefilled all parts before it, and
    /// these are used at least as often. They count as cached even if this router has no entry for
    /// them.
    pub fn cached_tokens(
        &self,
        now: ClockTime,
        prefixes: &[PrefixPart],
    ) -> BTreeMap<ServerId, u32> {
        let mut tokens = BTreeMap::new();
        for prefix in prefixes {
            let entries =
                self.entries.range((prefix.key, ServerId(0))..=(prefix.key, ServerId(u64::MAX)));
            let cached =
                entries.filter(|(_, entry)| now.millis_since(entry.last_used) < CACHED_MILLIS);
            tokens.extend(cached.map(|((_, server), _)| (*server, prefix.tokens)));
        }
        tokens
    }

    /// Returns all entries as cached parts.
    pub fn parts(&self) -> impl Iterator<Item = CachedPart> {
        let entries = self.entries.iter();
        entries.map(|((key, server), entry)| CachedPart {
            key: *key,
            server: *server,
            tokens: entry.tokens,
        })
    }

    /// Returns the tokens of all parts that `server` has cached.
    pub fn tokens_on(&self, server: ServerId) -> u64 {
        self.totals.get(&server).copied().unwrap_or(0)
    }

    /// Whether `server` has cached the part `key`.
    pub fn has_part(&self, now: ClockTime, key: u64, server: ServerId) -> bool {
        let entry = self.entries.get(&(key, server));
        entry.is_some_and(|entry| now.millis_since(entry.last_used) < CACHED_MILLIS)
    }

    /// Removes the least recently used parts of a server whose cache holds `limit_tokens`, since
    /// the server has evicted them.
    pub fn evict_beyond(&mut self, server: ServerId, limit_tokens: u64) {
        let mut excess = self.tokens_on(server).saturating_sub(limit_tokens);
        if excess == 0 {
            return;
        }
        let cached =
            self.entries.iter().filter(|((_, caching_server), _)| *caching_server == server);
        let mut cached: Vec<_> =
            cached.map(|((key, _), entry)| (entry.last_used, *key, entry.tokens)).collect();
        cached.sort_unstable();
        for (_, key, tokens) in cached {
            if excess == 0 {
                break;
            }
            excess = excess.saturating_sub(u64::from(tokens));
            self.entries.remove(&(key, server));
        }
        self.recompute_totals();
    }

    fn recompute_totals(&mut self) {
        self.totals.clear();
        for ((_, server), entry) in &self.entries {
            *self.totals.entry(*server).or_default() += u64::from(entry.tokens);
        }
    }

    /// Removes all entries of a server that restarted or left.
    pub fn remove_server(&mut self, server: ServerId) {
        self.entries.retain(|(_, caching_server), _| *caching_server != server);
        self.totals.remove(&server);
    }

    /// Removes expired entries, then the least recently used ones above the maximum number.
    pub fn remove_expired(&mut self, now: ClockTime) {
        self.entries.retain(|_, entry| now.millis_since(entry.last_used) < CACHED_MILLIS);
        if self.entries.len() > MAX_ENTRIES {
            let mut times: Vec<_> = self.entries.values().map(|entry| entry.last_used).collect();
            times.sort_unstable();
            let oldest_retained = times[times.len() - MAX_ENTRIES];
            self.entries.retain(|_, entry| entry.last_used >= oldest_retained);
        }
        self.recompute_totals();
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether the index has no entries.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
