//! Strikes against request content under which servers crashed.

use std::collections::{BTreeMap, BTreeSet};

use catkin_base::{ClockTime, RequestDigest, ServerId, copy_type};

/// Maximum number of digests with strikes.
const MAX_DIGESTS: usize = 4096;
/// The strikes against content that was quarantined are kept for this many quarantine times after
/// the last one, so that one more crash is enough to quarantine it again.
const KEPT_HOLDS: u64 = 10;

copy_type! {
    /// Strikes against the content of a request.
    pub struct StrikeState {
        /// Number of distinct servers that crashed while they ran it.
        pub strikes: u32,
        /// Remaining time of its quarantine, in milliseconds; zero if it is not refused.
        pub hold_millis: u64,
    }
}

/// Counts, for the digest of each request's content, the servers that crashed while they ran it.
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
    /// Creates a counter that quarantines content for `hold_millis` milliseconds once `limit`
    /// distinct servers crashed under it.
    pub fn new(limit: u32, hold_millis: u64) -> Self {
        Self { limit: limit.max(1), hold_millis, rows: BTreeMap::new() }
    }

    /// Sets the strike limit, and the quarantine time in milliseconds.
    pub fn set_limits(&mut self, limit: u32, hold_millis: u64) {
        self.limit = limit.max(1);
        self.hold_millis = hold_millis;
    }

    /// Records that `server` crashed while it ran `digest`. Each server counts once; returns false
    /// if it was recorded before.
    pub fn record_strike(
        &mut self,
        now: ClockTime,
        digest: RequestDigest,
        server: ServerId,
    ) -> bool {
        self.drop_expired(now);
        let row = self.rows.entry(digest).or_default();
        let is_new = row.servers.insert(server);
        if is_new {
            row.last_strike = now;
        }
        if self.rows.len() > MAX_DIGESTS {
            self.evict_digest();
        }
        is_new
    }

    /// Records that a server served `digest` completely, and clears its strikes: content that
    /// crashes servers is never served completely, so that the earlier crashes had another cause.
    pub fn record_served(&mut self, digest: RequestDigest) {
        self.rows.remove(&digest);
    }

    /// Returns the strikes against `digest`.
    pub fn state(&self, now: ClockTime, digest: RequestDigest) -> StrikeState {
        let Some(row) = self.rows.get(&digest) else {
            return StrikeState { strikes: 0, hold_millis: 0 };
        };
        let remaining = self.hold_millis.saturating_sub(now.millis_since(row.last_strike));
        let strikes = if remaining == 0 { 0 } else { row.servers.len() as u32 };
        let hold_millis = if strikes >= self.limit { remaining } else { 0 };
        StrikeState { strikes, hold_millis }
    }

    /// Strikes that count at `now`, those against the content that was struck last first.
    pub fn active_strikes(&self, now: ClockTime) -> Vec<(RequestDigest, ServerId)> {
        let hold_millis = self.hold_millis;
        let is_active = |row: &StrikeRow| now.millis_since(row.last_strike) < hold_millis;
        let mut rows: Vec<_> = self.rows.iter().filter(|(_, row)| is_active(row)).collect();
        rows.sort_by_key(|(_, row)| std::cmp::Reverse(row.last_strike));
        let strikes = rows.into_iter();
        strikes
            .flat_map(|(digest, row)| row.servers.iter().map(|server| (*digest, *server)))
            .collect()
    }

    /// Servers that crashed while they ran `digest`, those kept after a quarantine included.
    pub fn servers(&self, digest: RequestDigest) -> Vec<ServerId> {
        self.rows.get(&digest).map_or_else(Vec::new, |row| row.servers.iter().copied().collect())
    }

    /// Returns the number of digests with strikes.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Whether no digest has strikes.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    fn drop_expired(&mut self, now: ClockTime) {
        let (limit, hold_millis) = (self.limit as usize, self.hold_millis);
        self.rows.retain(|_, row| {
            let holds = if row.servers.len() >= limit { KEPT_HOLDS } else { 1 };
            now.millis_since(row.last_strike) < hold_millis.saturating_mul(holds)
        });
    }

    fn evict_digest(&mut self) {
        let weakest = self.rows.iter().min_by_key(|(_, row)| (row.servers.len(), row.last_strike));
        if let Some(digest) = weakest.map(|(digest, _)| *digest) {
            self.rows.remove(&digest);
        }
    }
}
