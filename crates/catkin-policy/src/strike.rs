//! Requests that crash servers.

use std::collections::{BTreeMap, BTreeSet};

use catkin_base::{ClockTime, RequestDigest, ServerId, copy_type};

/// Most digests remembered.
const MAX_DIGESTS: usize = 4096;

copy_type! {
    /// What is known of a request's content.
    pub struct StrikeState {
        /// Distinct servers that died under it.
        pub strikes: u32,
        /// Time for which it is still refused, in milliseconds; zero if it is not.
        pub hold_millis: u64,
    }
}

/// Counts the servers that died under each request's content.
#[derive(Debug, Clone)]
pub struct StrikeCounter {
    limit: u32,
    hold_millis: u64,
    rows: BTreeMap<RequestDigest, StrikeRow>,
}

#[derive(Debug, Clone, Default)]
struct StrikeRow {
    servers: BTreeSet<ServerId>,
    last_strike: ClockTime,
}

impl StrikeCounter {
    /// A book that refuses content for `hold_millis` once `limit` servers died under it.
    pub fn new(limit: u32, hold_millis: u64) -> Self {
        Self { limit: limit.max(1), hold_millis, rows: BTreeMap::new() }
    }

    /// Changes the limit and the time.
    pub fn set_limits(&mut self, limit: u32, hold_millis: u64) {
        self.limit = limit.max(1);
        self.hold_millis = hold_millis;
    }

    /// Notes that `server` died under `digest`; a repeated note for one server counts once.
    pub fn record_strike(&mut self, now: ClockTime, digest: RequestDigest, server: ServerId) {
        self.drop_expired(now);
        let row = self.rows.entry(digest).or_default();
        if row.servers.insert(server) {
            row.last_strike = now;
        }
        if self.rows.len() > MAX_DIGESTS {
            self.evict_weakest();
        }
    }

    /// Notes that a server served `digest` whole: what crashes servers never is, and servers that died
    /// under it before died of something else.
    pub fn record_served(&mut self, digest: RequestDigest) {
        self.rows.remove(&digest);
    }

    /// What is known of `digest`.
    pub fn state(&self, now: ClockTime, digest: RequestDigest) -> StrikeState {
        let Some(row) = self.rows.get(&digest) else {
            return StrikeState { strikes: 0, hold_millis: 0 };
        };
        let remaining = self.hold_millis.saturating_sub(now.millis_since(row.last_strike));
        let strikes = if remaining == 0 { 0 } else { row.servers.len() as u32 };
        let hold_millis = if strikes >= self.limit { remaining } else { 0 };
        StrikeState { strikes, hold_millis }
    }

    /// Number of digests remembered.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Whether no digest is remembered.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    fn drop_expired(&mut self, now: ClockTime) {
        let hold_millis = self.hold_millis;
        self.rows.retain(|_, row| now.millis_since(row.last_strike) < hold_millis);
    }

    fn evict_weakest(&mut self) {
        let oldest = self.rows.iter().min_by_key(|(_, row)| (row.servers.len(), row.last_strike));
        if let Some(digest) = oldest.map(|(digest, _)| *digest) {
            self.rows.remove(&digest);
        }
    }
}
