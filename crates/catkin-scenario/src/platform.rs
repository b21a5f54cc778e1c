//! In-memory platform with versions, conditional writes, watches, lag, outages, lost answers and
//! rate limits.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use catkin_base::RunVerdict;
use catkin_platform::{
    ObjectStore, StoreError, StoreErrorKind, StoredObject, VmDirectory, VmListing, WriteCondition,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, timeout_at};

use crate::pause_gate::PauseGate;

const OUTAGE_TIMEOUT: Duration = Duration::from_secs(1);

/// Behavior of the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlatformRules {
    /// Whether the platform is available.
    pub up: bool,
    /// Latency of a call.
    pub latency: Duration,
    /// Share of writes that take effect but whose answer is lost, in percent.
    pub lost_answer_percent: u32,
    /// Maximum number of calls per second; further calls are rejected as rate limited.
    pub calls_per_second: u32,
    /// Age of the list of VMs that a call returns.
    pub list_lag: Duration,
}

impl Default for PlatformRules {
    fn default() -> Self {
        Self {
            up: true,
            latency: Duration::from_millis(3),
            lost_answer_percent: 0,
            calls_per_second: 2_000,
            list_lag: Duration::from_secs(2),
        }
    }
}

/// In-memory platform.
#[derive(Debug, Clone)]
pub struct FakePlatform {
    shared: Arc<PlatformShared>,
}

#[derive(Debug)]
struct PlatformShared {
    state: Mutex<PlatformState>,
    changed: Notify,
}

#[derive(Debug)]
struct PlatformState {
    rules: PlatformRules,
    random: StdRng,
    objects: BTreeMap<String, StoredObject>,
    last_version: u64,
    listings: Vec<(Instant, Vec<VmListing>)>,
    calls: u64,
    window_start: Instant,
    window_calls: u32,
}

impl FakePlatform {
    /// Creates an empty platform whose lost answers are drawn from `seed`.
    pub fn new(rules: PlatformRules, seed: u64) -> Self {
        let now = Instant::now();
        let state = PlatformState {
            rules,
            random: StdRng::seed_from_u64(seed),
            objects: BTreeMap::new(),
            last_version: 0,
            listings: Vec::new(),
            calls: 0,
            window_start: now,
            window_calls: 0,
        };
        Self {
            shared: Arc::new(PlatformShared { state: Mutex::new(state), changed: Notify::new() }),
        }
    }

    /// Creates a client for one router, whose calls wait at `gate` while the router is paused.
    pub fn client(&self, gate: PauseGate) -> FakeStore {
        FakeStore { platform: self.clone(), gate }
    }

    /// Changes the behavior from now on.
    pub fn change_rules(&self, change: impl FnOnce(&mut PlatformRules)) {
        change(&mut self.lock().rules);
        self.shared.changed.notify_waiters();
    }

    /// Sets the list of VMs, which clients see after [`PlatformRules::list_lag`].
    pub fn set_listings(&self, listings: Vec<VmListing>) {
        self.lock().listings.push((Instant::now(), listings));
    }

    /// Number of calls since the start, calls during outages excluded.
    pub fn calls(&self) -> u64 {
        self.lock().calls
    }

    fn lock(&self) -> MutexGuard<'_, PlatformState> {
        self.shared.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits for the latency of one call; returns an error during an outage or above the rate
    /// limit.
    async fn begin_call(&self) -> Result<(), StoreError> {
        let latency = self.lock().rules.latency;
        sleep(latency).await;
        if !self.lock().rules.up {
            sleep(OUTAGE_TIMEOUT).await;
            return Err(not_run_error(StoreErrorKind::Unavailable));
        }
        if self.lock().count_call() {
            Ok(())
        } else {
            Err(not_run_error(StoreErrorKind::RateLimited))
        }
    }

    /// Returns the answer to a write that took effect, or an error if the answer is lost.
    fn answer_write<T>(&self, value: T) -> Result<T, StoreError> {
        self.shared.changed.notify_waiters();
        let mut state = self.lock();
        let percent = state.rules.lost_answer_percent;
        if state.random.random_range(0..100) < percent {
            return Err(StoreError {
                kind: StoreErrorKind::Unavailable,
                ran: RunVerdict::MayHaveRun,
            });
        }
        Ok(value)
    }
}

impl PlatformState {
    fn count_call(&mut self) -> bool {
        let now = Instant::now();
        if now.duration_since(self.window_start) >= Duration::from_secs(1) {
            self.window_start = now;
            self.window_calls = 0;
        }
        self.calls += 1;
        self.window_calls += 1;
        self.window_calls <= self.rules.calls_per_second
    }

    fn object_version(&self, key: &str) -> u64 {
        self.objects.get(key).map_or(0, |object| object.version)
    }

    fn put(&mut self, key: &str, value: &[u8], condition: WriteCondition) -> Option<u64> {
        let present = self.object_version(key);
        let holds = match condition {
            WriteCondition::Absent => present == 0,
            WriteCondition::Version(version) => present == version && version != 0,
        };
        if !holds {
            return None;
        }
        self.last_version += 1;
        let version = self.last_version;
        let object = StoredObject { key: key.to_owned(), version, value: value.to_vec() };
        self.objects.insert(key.to_owned(), object);
        Some(version)
    }

    fn listings_at(&self, time: Instant) -> Vec<VmListing> {
        let seen = self.listings.iter().rev().find(|(since, _)| *since <= time);
        seen.or(self.listings.first()).map_or(Vec::new(), |(_, listings)| listings.clone())
    }
}

/// One router's client of the platform.
#[derive(Debug, Clone)]
pub struct FakeStore {
    platform: FakePlatform,
    gate: PauseGate,
}

impl FakeStore {
    async fn begin_call(&self) -> Result<(), StoreError> {
        self.gate.wait().await;
        self.platform.begin_call().await
    }
}

impl ObjectStore for FakeStore {
    async fn get(&self, key: &str) -> Result<Option<StoredObject>, StoreError> {
        self.begin_call().await?;
        Ok(self.platform.lock().objects.get(key).cloned())
    }

    async fn put(
        &self,
        key: &str,
        value: &[u8],
        condition: WriteCondition,
    ) -> Result<u64, StoreError> {
        self.begin_call().await?;
        let version = self.platform.lock().put(key, value, condition);
        self.platform.answer_write(version.ok_or(not_run_error(StoreErrorKind::Conflict))?)
    }

    async fn delete(&self, key: &str, version: u64) -> Result<(), StoreError> {
        self.begin_call().await?;
        let mut state = self.platform.lock();
        if state.object_version(key) != version {
            return Err(not_run_error(StoreErrorKind::Conflict));
        }
        state.objects.remove(key);
        drop(state);
        self.platform.answer_write(())
    }

    async fn list(&self, prefix: &str, after: &str, limit: u32) -> Result<Vec<String>, StoreError> {
        self.begin_call().await?;
        let state = self.platform.lock();
        let keys = state.objects.keys().filter(|key| key.starts_with(prefix));
        Ok(keys.filter(|key| key.as_str() > after).take(limit as usize).cloned().collect())
    }

    async fn watch(
        &self,
        key: &str,
        version: u64,
        wait: Duration,
    ) -> Result<Option<StoredObject>, StoreError> {
        self.begin_call().await?;
        let until = Instant::now() + wait;
        loop {
            let changed = self.platform.shared.changed.notified();
            {
                let state = self.platform.lock();
                if !state.rules.up {
                    return Err(not_run_error(StoreErrorKind::Unavailable));
                }
                if state.object_version(key) != version {
                    return Ok(state.objects.get(key).cloned());
                }
            }
            if timeout_at(until, changed).await.is_err() {
                return Ok(self.platform.lock().objects.get(key).cloned());
            }
        }
    }
}

impl VmDirectory for FakeStore {
    async fn list_vms(&self) -> Result<Vec<VmListing>, StoreError> {
        self.begin_call().await?;
        let state = self.platform.lock();
        let time = Instant::now().checked_sub(state.rules.list_lag);
        Ok(time.map_or(Vec::new(), |time| state.listings_at(time)))
    }
}

fn not_run_error(kind: StoreErrorKind) -> StoreError {
    StoreError { kind, ran: RunVerdict::NotRun }
}
