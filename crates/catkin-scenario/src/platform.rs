//! A platform with versions, conditions, watches, lag, outages, lost answers and rate limits.

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

use crate::gate::PauseGate;

const OUTAGE_TIMEOUT: Duration = Duration::from_secs(1);

/// How the platform behaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlatformRules {
    /// Whether it answers.
    pub up: bool,
    /// Time that a call takes.
    pub latency: Duration,
    /// Writes that take effect and whose answer is lost, in percent.
    pub lost_percent: u32,
    /// Most calls in a second.
    pub calls_per_second: u32,
    /// Lag of the list of VMs.
    pub list_lag: Duration,
}

impl Default for PlatformRules {
    fn default() -> Self {
        Self {
            up: true,
            latency: Duration::from_millis(3),
            lost_percent: 0,
            calls_per_second: 2_000,
            list_lag: Duration::from_secs(2),
        }
    }
}

/// A platform held in memory.
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
    window: Instant,
    window_calls: u32,
}

impl FakePlatform {
    /// An empty platform whose lost answers follow from `seed`.
    pub fn new(rules: PlatformRules, seed: u64) -> Self {
        let now = Instant::now();
        let state = PlatformState {
            rules,
            random: StdRng::seed_from_u64(seed),
            objects: BTreeMap::new(),
            last_version: 0,
            listings: Vec::new(),
            calls: 0,
            window: now,
            window_calls: 0,
        };
        Self {
            shared: Arc::new(PlatformShared { state: Mutex::new(state), changed: Notify::new() }),
        }
    }

    /// A client of the platform for one router.
    pub fn client(&self, gate: PauseGate) -> FakeStore {
        FakeStore { platform: self.clone(), gate }
    }

    /// Changes how it behaves from now on.
    pub fn change_rules(&self, change: impl FnOnce(&mut PlatformRules)) {
        change(&mut self.lock().rules);
        self.shared.changed.notify_waiters();
    }

    /// Sets the list of VMs, which is seen after its lag.
    pub fn set_listings(&self, listings: Vec<VmListing>) {
        self.lock().listings.push((Instant::now(), listings));
    }

    /// Calls taken since the start.
    pub fn calls(&self) -> u64 {
        self.lock().calls
    }

    fn lock(&self) -> MutexGuard<'_, PlatformState> {
        self.shared.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes the time of one call; an error if it is not answered or limited.
    async fn enter(&self) -> Result<(), StoreError> {
        let latency = self.lock().rules.latency;
        sleep(latency).await;
        if !self.lock().rules.up {
            sleep(OUTAGE_TIMEOUT).await;
            return Err(not_run(StoreErrorKind::Unavailable));
        }
        if self.lock().count_call() { Ok(()) } else { Err(not_run(StoreErrorKind::RateLimited)) }
    }

    /// The answer to a write that took effect, unless it is lost.
    fn answer_write<T>(&self, value: T) -> Result<T, StoreError> {
        self.shared.changed.notify_waiters();
        let mut state = self.lock();
        let percent = state.rules.lost_percent;
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
        if now.duration_since(self.window) >= Duration::from_secs(1) {
            self.window = now;
            self.window_calls = 0;
        }
        self.calls += 1;
        self.window_calls += 1;
        self.window_calls <= self.rules.calls_per_second
    }

    fn version_of(&self, key: &str) -> u64 {
        self.objects.get(key).map_or(0, |object| object.version)
    }

    fn put(&mut self, key: &str, value: &[u8], condition: WriteCondition) -> Option<u64> {
        let present = self.version_of(key);
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
    async fn enter(&self) -> Result<(), StoreError> {
        self.gate.wait().await;
        self.platform.enter().await
    }
}

impl ObjectStore for FakeStore {
    async fn get(&self, key: &str) -> Result<Option<StoredObject>, StoreError> {
        self.enter().await?;
        Ok(self.platform.lock().objects.get(key).cloned())
    }

    async fn put(
        &self,
        key: &str,
        value: &[u8],
        condition: WriteCondition,
    ) -> Result<u64, StoreError> {
        self.enter().await?;
        let version = self.platform.lock().put(key, value, condition);
        self.platform.answer_write(version.ok_or(not_run(StoreErrorKind::Conflict))?)
    }

    async fn delete(&self, key: &str, version: u64) -> Result<(), StoreError> {
        self.enter().await?;
        let mut state = self.platform.lock();
        if state.version_of(key) != version {
            return Err(not_run(StoreErrorKind::Conflict));
        }
        state.objects.remove(key);
        drop(state);
        self.platform.answer_write(())
    }

    async fn list(&self, prefix: &str, after: &str, limit: u32) -> Result<Vec<String>, StoreError> {
        self.enter().await?;
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
        self.enter().await?;
        let until = Instant::now() + wait;
        loop {
            let changed = self.platform.shared.changed.notified();
            {
                let state = self.platform.lock();
                if !state.rules.up {
                    return Err(not_run(StoreErrorKind::Unavailable));
                }
                if state.version_of(key) != version {
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
        self.enter().await?;
        let state = self.platform.lock();
        let time = Instant::now().checked_sub(state.rules.list_lag);
        Ok(time.map_or(Vec::new(), |time| state.listings_at(time)))
    }
}

fn not_run(kind: StoreErrorKind) -> StoreError {
    StoreError { kind, ran: RunVerdict::NotRun }
}
