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
        prefixes.push(PrefixPart { key: part_key(model, part.id), tokens });
    }
    prefixes
}

/// Parts of prompts and the servers that were sent them.
#[derive(Debug, Clone, Default)]
pub struct KeptBook {
    pairs: BTreeMap<(u64, ServerId), ClockTime>,
}

impl KeptBook {
    /// Notes that `server` was sent the part `key`; true if it was not known to keep it.
    pub fn note(&mut self, now: ClockTime, key: u64, server: ServerId) -> bool {
        let known = self.pairs.insert((key, server), now);
        known.is_none_or(|last| now.millis_since(last) >= KEPT_MILLIS)
    }

    /// Tokens at the start of a prompt that `server` is known to keep: a part counts only if all
    /// parts before it are kept too.
    pub fn kept_tokens(&self, now: ClockTime, prefixes: &[PrefixPart], server: ServerId) -> u32 {
        let kept = prefixes.iter().take_while(|prefix| self.keeps(now, prefix.key, server));
        kept.last().map_or(0, |prefix| prefix.tokens)
    }

    /// All pairs of part and server.
    pub fn pairs(&self) -> impl Iterator<Item = (u64, ServerId)> {
        self.pairs.keys().copied()
    }

    /// Whether `server` is known to keep the part `key`.
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
