//! Which servers keep which parts of prompts.

use std::collections::BTreeMap;

use catkin_base::{ClockTime, ServerId, hash_parts};

use crate::record::PromptPart;

/// How long a part counts as kept after its last use.
const KEPT_MILLIS: u64 = 45_000;
/// Most pairs of part and server remembered.
const MAX_PAIRS: usize = 6_000;

/// A part of a prompt, and how far the prompt reaches with it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PrefixPart {
    /// Hash of the model and the part.
    pub key: u64,
    /// Tokens of the part and all parts before it.
    pub tokens: u32,
    /// Tokens of the part alone.
    pub part_tokens: u32,
}

/// The key of one part of prompts for `model`.
pub fn part_key(model: &str, part: u64) -> u64 {
    hash_parts(&[model.as_bytes(), &part.to_le_bytes()])
}

/// Hashes the parts of a prompt, in their order.
pub fn hash_prefixes(model: &str, parts: &[PromptPart]) -> Vec<PrefixPart> {
    let mut tokens = 0u32;
    let mut prefixes = Vec::with_capacity(parts.len());
    for part in parts {
        tokens = tokens.saturating_add(part.tokens);
        let key = part_key(model, part.id);
        prefixes.push(PrefixPart { key, tokens, part_tokens: part.tokens });
    }
    prefixes
}

/// One part on one server.
#[derive(Debug, Clone, Copy)]
struct CacheRow {
    last_used: ClockTime,
    tokens: u32,
}

/// A part that a server was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CachedPart {
    /// Key of the part.
    pub key: u64,
    /// The server.
    pub server: ServerId,
    /// Tokens of the part alone.
    pub tokens: u32,
}

/// Parts of prompts and the servers that were sent them.
#[derive(Debug, Clone, Default)]
pub struct CacheIndex {
    pairs: BTreeMap<(u64, ServerId), CacheRow>,
    /// Tokens of all parts on each server.
    sums: BTreeMap<ServerId, u64>,
}

impl CacheIndex {
    /// Notes that a server was sent a part; true if it was not known to keep it.
    pub fn record_part(&mut self, now: ClockTime, pair: CachedPart) -> bool {
        let row = CacheRow { last_used: now, tokens: pair.tokens };
        let known = self.pairs.insert((pair.key, pair.server), row);
        let sum = self.sums.entry(pair.server).or_default();
        *sum += u64::from(pair.tokens);
        *sum -= known.map_or(0, |row| u64::from(row.tokens));
        known.is_none_or(|row| now.millis_since(row.last_used) >= KEPT_MILLIS)
    }

    /// Tokens at the start of a prompt that each server is known to keep; servers that keep nothing
    /// are left out. A server that keeps a part has read all parts before it, and these are used at
    /// least as often: they are kept as well, whether or not this router heard of them.
    pub fn cached_tokens(
        &self,
        now: ClockTime,
        prefixes: &[PrefixPart],
    ) -> BTreeMap<ServerId, u32> {
        let mut keepers = BTreeMap::new();
        for prefix in prefixes {
            let rows =
                self.pairs.range((prefix.key, ServerId(0))..=(prefix.key, ServerId(u64::MAX)));
            let kept = rows.filter(|(_, row)| now.millis_since(row.last_used) < KEPT_MILLIS);
            keepers.extend(kept.map(|((_, server), _)| (*server, prefix.tokens)));
        }
        keepers
    }

    /// All pairs of part and server.
    pub fn parts(&self) -> impl Iterator<Item = CachedPart> {
        let pairs = self.pairs.iter();
        pairs.map(|((key, server), row)| CachedPart {
            key: *key,
            server: *server,
            tokens: row.tokens,
        })
    }

    /// Tokens of all parts that `server` is known to keep.
    pub fn tokens_on(&self, server: ServerId) -> u64 {
        self.sums.get(&server).copied().unwrap_or(0)
    }

    /// Whether `server` is known to keep the part `key`.
    pub fn has_part(&self, now: ClockTime, key: u64, server: ServerId) -> bool {
        let row = self.pairs.get(&(key, server));
        row.is_some_and(|row| now.millis_since(row.last_used) < KEPT_MILLIS)
    }

    /// Drops what a server with room for `limit_tokens` has given up: the parts used least lately.
    pub fn evict_beyond(&mut self, server: ServerId, limit_tokens: u64) {
        let mut over = self.tokens_on(server).saturating_sub(limit_tokens);
        if over == 0 {
            return;
        }
        let own = self.pairs.iter().filter(|((_, kept), _)| *kept == server);
        let mut own: Vec<_> =
            own.map(|((key, _), row)| (row.last_used, *key, row.tokens)).collect();
        own.sort_unstable();
        for (_, key, tokens) in own {
            if over == 0 {
                break;
            }
            over = over.saturating_sub(u64::from(tokens));
            self.pairs.remove(&(key, server));
        }
        self.add_up();
    }

    fn add_up(&mut self) {
        self.sums.clear();
        for ((_, server), row) in &self.pairs {
            *self.sums.entry(*server).or_default() += u64::from(row.tokens);
        }
    }

    /// Forgets all that `server` kept: it restarted or left.
    pub fn forget_server(&mut self, server: ServerId) {
        self.pairs.retain(|(_, kept), _| *kept != server);
        self.sums.remove(&server);
    }

    /// Drops what is too old, and the oldest of what is too much.
    pub fn drop_expired(&mut self, now: ClockTime) {
        self.pairs.retain(|_, row| now.millis_since(row.last_used) < KEPT_MILLIS);
        if self.pairs.len() > MAX_PAIRS {
            let mut times: Vec<_> = self.pairs.values().map(|row| row.last_used).collect();
            times.sort_unstable();
            let oldest_kept = times[times.len() - MAX_PAIRS];
            self.pairs.retain(|_, row| row.last_used >= oldest_kept);
        }
        self.add_up();
    }

    /// Number of pairs of part and server.
    pub fn len(&self) -> usize {
        self.pairs.len()
    }

    /// Whether nothing is known to be kept.
    pub fn is_empty(&self) -> bool {
        self.pairs.is_empty()
    }
}
