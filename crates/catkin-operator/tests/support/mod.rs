//! An in-memory object store with planned and random faults, and declarations of any size.

#![allow(dead_code)]

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

use catkin_base::{RunVerdict, digest_hex};
use catkin_operator::ApplyMetadata;
use catkin_platform::{ObjectStore, StoreError, StoreErrorKind, StoredObject, WriteCondition};
use catkin_settings::{FleetDeclarations, TeamRule, parse_declarations};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const UNAVAILABLE: StoreError =
    StoreError { kind: StoreErrorKind::Unavailable, ran: RunVerdict::NotRun };
const RATE_LIMITED: StoreError =
    StoreError { kind: StoreErrorKind::RateLimited, ran: RunVerdict::NotRun };
const LOST_RESPONSE: StoreError =
    StoreError { kind: StoreErrorKind::Unavailable, ran: RunVerdict::MayHaveRun };
const CONFLICT: StoreError = StoreError { kind: StoreErrorKind::Conflict, ran: RunVerdict::NotRun };

/// Number of calls after which a delayed write takes effect.
const WRITE_DELAY_CALLS: usize = 100;

/// Fraction of the calls that are slow, so that many other calls overtake them.
const SLOW_CALL_FRACTION: f64 = 0.1;

/// Maximum number of yields to other tasks during a slow call.
const MAX_SLOW_CALL_YIELDS: usize = 200;

/// A fault that is injected into a later call whose key matches.
#[derive(Clone, Copy, PartialEq)]
pub enum PlannedFault {
    /// The write takes effect, but its response is lost.
    LoseResponse,
    /// The write takes no effect; the writer gets the same error as for a lost response.
    LoseWrite,
    /// The write takes effect some calls after the writer got the error of a lost response.
    DelayWrite,
    /// The write is refused as if the platform were down.
    Refuse,
    /// The write is refused because of the rate limit.
    RateLimit,
    /// The read returns the value before the newest one.
    StaleRead,
}

/// Probability of each random fault per call.
#[derive(Clone, Copy, Default)]
pub struct FaultRates {
    pub lose_response: f64,
    pub lose_write: f64,
    pub delay_write: f64,
    pub refuse: f64,
    pub stale_read: f64,
}

/// A write that takes effect after `calls` further calls.
struct DelayedWrite {
    calls: usize,
    key: String,
    value: Vec<u8>,
    condition: WriteCondition,
}

/// Numbers of calls and bytes since they were last taken.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CallCounts {
    pub reads: usize,
    pub writes: usize,
    pub lists: usize,
    pub read_bytes: usize,
    pub written_bytes: usize,
}

#[derive(Default)]
struct StoreState {
    objects: BTreeMap<String, StoredObject>,
    previous: BTreeMap<String, StoredObject>,
    version: u64,
    planned: Vec<(PlannedFault, String)>,
    delayed: Vec<DelayedWrite>,
    rates: FaultRates,
    random: Option<StdRng>,
    down: bool,
    counts: CallCounts,
}

/// The platform's object store in memory.
#[derive(Default)]
pub struct MemoryStore {
    state: Mutex<StoreState>,
}

impl MemoryStore {
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns a store whose calls interleave and fail at random, reproducibly for one seed.
    pub fn with_faults(seed: u64, rates: FaultRates) -> Self {
        let store = Self::new();
        store.state().random = Some(StdRng::seed_from_u64(seed));
        store.state().rates = rates;
        store
    }

    /// Injects `fault` into the next matching call whose key starts with `key_start`.
    pub fn plan_fault(&self, fault: PlannedFault, key_start: &str) {
        self.state().planned.push((fault, key_start.to_owned()));
    }

    pub fn set_down(&self, down: bool) {
        self.state().down = down;
    }

    pub fn set_rates(&self, rates: FaultRates) {
        self.state().rates = rates;
    }

    pub fn take_counts(&self) -> CallCounts {
        std::mem::take(&mut self.state().counts)
    }

    pub fn keys(&self, prefix: &str) -> Vec<String> {
        self.state().objects.keys().filter(|key| key.starts_with(prefix)).cloned().collect()
    }

    pub fn overwrite(&self, key: &str, value: &[u8]) {
        self.state().write(key, value);
    }

    fn state(&self) -> MutexGuard<'_, StoreState> {
        self.state.lock().expect("no test thread panics with the lock")
    }

    /// Yields to other tasks a random number of times.
    async fn interleave(&self) {
        let yields = self.state().random.as_mut().map_or(0, |random| {
            let bound =
                if random.random_bool(SLOW_CALL_FRACTION) { MAX_SLOW_CALL_YIELDS } else { 4 };
            random.random_range(0..bound)
        });
        for _ in 0..yields {
            tokio::task::yield_now().await;
        }
    }
}

impl StoreState {
    fn write(&mut self, key: &str, value: &[u8]) -> u64 {
        self.version += 1;
        let object =
            StoredObject { key: key.to_owned(), version: self.version, value: value.to_vec() };
        if let Some(old) = self.objects.insert(key.to_owned(), object) {
            self.previous.insert(key.to_owned(), old);
        }
        self.version
    }

    /// Takes the oldest fault planned for the key, if it is one of `faults`.
    fn take_planned(&mut self, key: &str, faults: &[PlannedFault]) -> Option<PlannedFault> {
        let position =
            self.planned.iter().position(|(_, start)| key.starts_with(start.as_str()))?;
        let applies = faults.contains(&self.planned[position].0);
        applies.then(|| self.planned.remove(position).0)
    }

    /// Counts one call, and runs the delayed writes that are due.
    fn count_call(&mut self) {
        let mut waiting = Vec::new();
        for mut write in std::mem::take(&mut self.delayed) {
            write.calls -= 1;
            if write.calls > 0 {
                waiting.push(write);
            } else if self.condition_holds(&write.key, write.condition) {
                self.write(&write.key, &write.value);
            }
        }
        self.delayed = waiting;
    }

    /// Draws whether a read of the key is stale.
    fn draw_stale_read(&mut self, key: &str) -> bool {
        let rate = self.rates.stale_read;
        self.take_planned(key, &[PlannedFault::StaleRead]).is_some()
            || self.random.as_mut().is_some_and(|random| random.random_bool(rate))
    }

    /// Takes the planned fault of a write, or draws a random one.
    fn draw_write_fault(&mut self, key: &str) -> Option<PlannedFault> {
        use PlannedFault::{DelayWrite, LoseResponse, LoseWrite, RateLimit, Refuse};
        let planned =
            self.take_planned(key, &[LoseResponse, LoseWrite, DelayWrite, Refuse, RateLimit]);
        if planned.is_some() {
            return planned;
        }
        let rates = self.rates;
        let random = self.random.as_mut()?;
        let faults = [
            (LoseResponse, rates.lose_response),
            (LoseWrite, rates.lose_write),
            (DelayWrite, rates.delay_write),
            (Refuse, rates.refuse),
        ];
        faults.into_iter().find(|(_, rate)| random.random_bool(*rate)).map(|(fault, _)| fault)
    }

    /// Returns whether the condition of a write holds.
    fn condition_holds(&self, key: &str, condition: WriteCondition) -> bool {
        let version = self.objects.get(key).map(|object| object.version);
        match condition {
            WriteCondition::Absent => version.is_none(),
            WriteCondition::Version(expected) => version == Some(expected),
        }
    }
}

impl ObjectStore for MemoryStore {
    async fn get(&self, key: &str) -> Result<Option<StoredObject>, StoreError> {
        self.interleave().await;
        let mut state = self.state();
        state.count_call();
        state.counts.reads += 1;
        if state.down {
            return Err(UNAVAILABLE);
        }
        let stale = state.draw_stale_read(key);
        let source = if stale { &state.previous } else { &state.objects };
        let object = source.get(key).cloned();
        state.counts.read_bytes += object.as_ref().map_or(0, |object| object.value.len());
        Ok(object)
    }

    async fn put(
        &self,
        key: &str,
        value: &[u8],
        condition: WriteCondition,
    ) -> Result<u64, StoreError> {
        self.interleave().await;
        let mut state = self.state();
        state.count_call();
        state.counts.writes += 1;
        state.counts.written_bytes += value.len();
        if state.down {
            return Err(UNAVAILABLE);
        }
        let fault = state.draw_write_fault(key);
        if fault == Some(PlannedFault::Refuse) {
            return Err(UNAVAILABLE);
        }
        if fault == Some(PlannedFault::RateLimit) {
            return Err(RATE_LIMITED);
        }
        if fault == Some(PlannedFault::LoseWrite) {
            return Err(LOST_RESPONSE);
        }
        if fault == Some(PlannedFault::DelayWrite) {
            let (key, value) = (key.to_owned(), value.to_vec());
            state.delayed.push(DelayedWrite { calls: WRITE_DELAY_CALLS, key, value, condition });
            return Err(LOST_RESPONSE);
        }
        if !state.condition_holds(key, condition) {
            return Err(if fault.is_some() { LOST_RESPONSE } else { CONFLICT });
        }
        let version = state.write(key, value);
        if fault.is_some() { Err(LOST_RESPONSE) } else { Ok(version) }
    }

    async fn delete(&self, key: &str, version: u64) -> Result<(), StoreError> {
        self.interleave().await;
        let mut state = self.state();
        state.count_call();
        state.counts.writes += 1;
        if state.down {
            return Err(UNAVAILABLE);
        }
        if !state.condition_holds(key, WriteCondition::Version(version)) {
            return Err(CONFLICT);
        }
        state.objects.remove(key);
        Ok(())
    }

    async fn list(&self, prefix: &str, after: &str, limit: u32) -> Result<Vec<String>, StoreError> {
        self.interleave().await;
        let mut state = self.state();
        state.count_call();
        state.counts.lists += 1;
        if state.down {
            return Err(UNAVAILABLE);
        }
        let keys = state.objects.keys();
        let keys = keys.filter(|key| key.starts_with(prefix) && key.as_str() > after);
        Ok(keys.take(limit as usize).cloned().collect())
    }

    async fn watch(
        &self,
        key: &str,
        _version: u64,
        _wait: Duration,
    ) -> Result<Option<StoredObject>, StoreError> {
        self.get(key).await
    }
}

const FLEET_TEXT: &str = r#"{
  "deployment": "test",
  "classes": {
    "quick": {"work": "quick", "deadline_millis": 2000, "priority": 0, "expected_tokens": 50}
  },
  "default_class": "quick",
  "models": {"estimator": {}},
  "servers": {
    "engine-1": {
      "kind": "engine", "address": "127.0.0.1:9001", "domain": "a", "region": "r",
      "models": ["estimator"], "slots": 8
    }
  },
  "placement": {
    "bound_percent": 125, "prefill_micros_per_token": 200, "reuse_weight_percent": 100,
    "skew_weight_percent": 100, "long_share_percent": 80
  },
  "limits": {
    "retry_percent": 10, "crash_strikes": 2, "quarantine_millis": 60000,
    "hold_down_millis": 10000, "loads_at_once": 2
  }
}"#;

/// Builds valid declarations with `teams` teams and one engine.
pub fn build_fleet(teams: usize) -> FleetDeclarations {
    let mut declarations =
        parse_declarations(FLEET_TEXT, "fleet.json").expect("the fixture is valid").declarations;
    for index in 0..teams {
        declarations.teams.insert(format_team_name(index), build_team(index));
    }
    declarations
}

/// Builds valid declarations with `servers` engines and `teams` teams.
pub fn build_large_fleet(servers: usize, teams: usize) -> FleetDeclarations {
    let mut declarations = build_fleet(teams);
    let engine = declarations.servers["engine-1"].clone();
    for index in 2..=servers {
        let mut rule = engine.clone();
        rule.address.set_port(9_000 + index as u16);
        declarations.servers.insert(format!("engine-{index}"), rule);
    }
    declarations
}

/// Formats the name of the team with this index.
pub fn format_team_name(index: usize) -> String {
    format!("team-{index:05}")
}

fn build_team(index: usize) -> TeamRule {
    TeamRule {
        token_digest: digest_hex(&index.to_le_bytes()),
        weight: 1,
        max_open: 4,
        classes: Vec::new(),
    }
}

/// Returns the same declarations with another quota for one team.
pub fn with_quota(declarations: &FleetDeclarations, team: usize, quota: u32) -> FleetDeclarations {
    let mut changed = declarations.clone();
    changed.teams.get_mut(&format_team_name(team)).expect("the team is declared").max_open = quota;
    changed
}

/// Builds the metadata of an apply with this identifier.
pub fn build_metadata(apply_id: &str) -> ApplyMetadata {
    ApplyMetadata {
        apply_id: apply_id.to_owned(),
        author: "tester".to_owned(),
        comment: String::new(),
        unix_millis: 1,
    }
}
