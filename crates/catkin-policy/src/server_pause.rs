//! Keeps requests away from servers that asked this router for a pause.
//!
//! A server that turns requests away for want of capacity may say for how long it wants none. That
//! holds towards the router that it answered: others may find it free, and a pause that all routers
//! applied would starve it. When the pause is over, one request goes first. The others follow once the
//! server has answered it, or once it has had time to, or they would all meet a server that is still
//! full.

use std::collections::BTreeMap;
use std::time::Duration;

use catkin_base::{ClockTime, ServerId, hash_parts};

/// Longest pause that is kept. A server that states a longer one may be used again after this time.
const MAX_PAUSE: Duration = Duration::from_secs(3_600);
/// Part of a pause by which routers prolong it, each by another time, so that they don't all return at
/// once.
const SPREAD_PART: f64 = 0.1;
/// Maximum time by which a router prolongs a pause.
const MAX_SPREAD: Duration = Duration::from_millis(500);
/// Time that the first request after a pause has for its answer, in milliseconds.
const TRIAL_MILLIS: u64 = 1_000;
/// Time after the end of a pause from which on no trial is needed, in milliseconds.
const TRIAL_LAPSE_MILLIS: u64 = 10_000;

#[derive(Debug, Clone, Copy)]
struct ServerPause {
    /// End of the pause.
    until: ClockTime,
    /// When the first request after the pause was sent.
    trial: Option<ClockTime>,
}

/// The servers that asked this router for a pause.
#[derive(Debug, Clone)]
pub struct PauseTable {
    /// Identifies the router, so that each one spreads pauses differently.
    router: u64,
    by_server: BTreeMap<ServerId, ServerPause>,
}

impl PauseTable {
    /// Creates an empty table. `router` identifies the router.
    pub fn new(router: u64) -> Self {
        Self { router, by_server: BTreeMap::new() }
    }

    /// Records that a server asked for a pause of this length. A pause in force is never shortened.
    pub fn record_pause(&mut self, now: ClockTime, server: ServerId, length: Duration) {
        let length = length.min(MAX_PAUSE);
        if length.is_zero() {
            return;
        }
        let spread = length.mul_f64(SPREAD_PART).min(MAX_SPREAD).mul_f64(self.fraction(server));
        let until = now.plus(length + spread);
        let pause = self.by_server.entry(server).or_insert(ServerPause { until, trial: None });
        pause.until = pause.until.max(until);
        pause.trial = None;
    }

    /// Whether the pause of a server is in force.
    pub fn is_paused(&self, now: ClockTime, server: ServerId) -> bool {
        self.by_server.get(&server).is_some_and(|pause| now < pause.until)
    }

    /// Time until a request may be sent to a server, in milliseconds, rounded up; zero if one may be sent
    /// now.
    pub fn wait_millis(&self, now: ClockTime, server: ServerId) -> u64 {
        let Some(pause) = self.by_server.get(&server) else { return 0 };
        let trial_end = pause.trial.map(|sent| sent.plus_millis(TRIAL_MILLIS));
        let wait = pause.until.max(trial_end.unwrap_or_default()).since(now);
        wait.as_nanos().div_ceil(1_000_000) as u64
    }

    /// Records that a request is sent to a server. The first one after a pause is its trial.
    pub fn record_send(&mut self, now: ClockTime, server: ServerId) {
        if let Some(pause) = self.by_server.get_mut(&server) {
            pause.trial = Some(now);
        }
    }

    /// Records an answer that asks for no pause, to a request that was sent at `sent`. It ends the
    /// trial if the request was sent after the pause.
    pub fn record_answer(&mut self, server: ServerId, sent: ClockTime) {
        if self.by_server.get(&server).is_some_and(|pause| sent >= pause.until) {
            self.by_server.remove(&server);
        }
    }

    /// Removes the pause of a server that restarted or left.
    pub fn remove_server(&mut self, server: ServerId) {
        self.by_server.remove(&server);
    }

    /// Removes pauses that ended long ago.
    pub fn remove_expired(&mut self, now: ClockTime) {
        self.by_server.retain(|_, pause| now < pause.until.plus_millis(TRIAL_LAPSE_MILLIS));
    }

    /// Whether no server asked for a pause lately.
    pub fn is_empty(&self) -> bool {
        self.by_server.is_empty()
    }

    /// Number of servers whose pauses are in force.
    pub fn count(&self, now: ClockTime) -> usize {
        self.by_server.values().filter(|pause| now < pause.until).count()
    }

    /// This router's part of the spread of a pause, from 0 to 1.
    fn fraction(&self, server: ServerId) -> f64 {
        let hash = hash_parts(&[&self.router.to_le_bytes(), &server.0.to_le_bytes()]);
        (hash >> 32) as f64 / f64::from(u32::MAX)
    }
}
