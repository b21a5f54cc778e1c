//! Which servers keep which parts of prompts.

use std::collections::BTreeMap;

use catkin_base::{ClockTime, ServerId, hash_parts};

use crate::record::PromptPart;

/// How long a part counts as kept after its last use.
const KEPT_MILLIS: u64 = 45_000;
/// Most pairs of part and server remembered.
const MAX_PAIRS: usize = 6_000;

/// A part of a prompt with all parts before it, which is what a cache can reuse.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PrefixPart {
    /// Hash of the part and all parts before it.
    pub key: u64,
    /// Tokens of the part and all parts before it.
    pub tokens: u32,
}

/// Hashes the prefixes of a prompt, shortest first.
pub fn hash_prefixes(model: &str, parts: &[PromptPart]) -> Vec<PrefixPart> {
    let mut key = hash_parts(&[model.as_bytes()]);
    let mut tokens = 0u32;
    let mut prefixes = Vec::with_capacity(parts.len());
    for part in parts {
        key = hash_parts(&[&key.to_le_bytes(), &part.id.to_le_bytes()]);
        tokens = tokens.saturating_add(part.tokens);
        prefixes.push(PrefixPart { key, tokens });
    }
    prefixes
}

/// Parts of prompts and the servers that were sent them.
#[derive(Debug, Clone, Default)]
pub struct KeptBook {
    pairs: BTreeMap<(u64, ServerId), ClockTime>,
}

impl KeptBook {
    /// Notes that `server` was sent the prefix `key`; true if it was not known to keep it.
    pub fn note(&mut self, now: ClockTime, key: u64, server: ServerId) -> bool {
        let known = self.pairs.insert((key, server), now);
        known.is_none_or(|last| now.millis_since(last) >= KEPT_MILLIS)
    }

    /// Servers known to keep the prefix `key`.
    pub fn keepers(&self, now: ClockTime, key: u64) -> impl Iterator<Item = ServerId> {
        let range = self.pairs.range((key, ServerId(0))..=(key, ServerId(u64::MAX)));
        let kept = range.filter(move |(_, last)| now.millis_since(**last) < KEPT_MILLIS);
        kept.map(|((_, server), _)| *server)
    }

    /// Whether `server` is known to keep the prefix `key`.
    pub fn keeps(&self, now: ClockTime, key: u64, server: ServerId) -> bool {
        let last = self.pairs.get(&(key, server));
        last.is_some_and(|last| now.millis_since(*last) < KEPT_MILLIS)
    }

    /// Forgets all that `server` kept: it restarted or left.
    pub fn forget_server(&mut self, server: ServerId) {
        self.pairs.retain(|(_, kept), _| *kept != server);
    }

    /// Drops what is too old, and the oldest of what is too much.
    pub fn drop_old(&mut self, now: ClockTime) {
        self.pairs.retain(|_, last| now.millis_since(*last) < KEPT_MILLIS);
        if self.pairs.len() <= MAX_PAIRS {
            return;
        }
        let mut times: Vec<ClockTime> = self.pairs.values().copied().collect();
        times.sort_unstable();
        let oldest_kept = times[times.len() - MAX_PAIRS];
        self.pairs.retain(|_, last| *last >= oldest_kept);
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
