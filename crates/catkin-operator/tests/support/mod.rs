//! A store in memory with planned and random faults, and declarations of any size.

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
const LOST_ANSWER: StoreError =
    StoreError { kind: StoreErrorKind::Unavailable, ran: RunVerdict::MayHaveRun };
const CONFLICT: StoreError = StoreError { kind: StoreErrorKind::Conflict, ran: RunVerdict::NotRun };

/// Calls that come in before a delayed write takes effect.
const DELAY_CALLS: usize = 100;

/// Share of the calls that others overtake by far.
const SLOW_CALL_RATE: f64 = 0.1;

/// Most turns of other tasks during a slow call.
const SLOW_CALL_TURNS: usize = 200;

/// A fault that a later call with a matching key meets.
#[derive(Clone, Copy, PartialEq)]
pub enum PlannedFault {
    /// The write takes effect, its answer is lost.
    LoseAnswer,
    /// The write takes no effect, which its writer cannot tell.
    LoseWrite,
    /// The write takes effect some calls later, after its writer was told that it failed.
    DelayWrite,
    /// The write is refused by an outage.
    Refuse,
    /// The write is refused because of the rate.
    Limit,
    /// The read gives the value before the newest one.
    StaleRead,
}

/// Rates of random faults.
#[derive(Clone, Copy, Default)]
pub struct FaultRates {
    pub lose_answer: f64,
    pub lose_write: f64,
    pub delay_write: f64,
    pub refuse: f64,
    pub stale_read: f64,
}

/// A write that takes effect when so many more calls have come in.
struct DelayedWrite {
    calls: usize,
    key: String,
    value: Vec<u8>,
    condition: WriteCondition,
}

/// Calls and bytes since the last reset.
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
    earlier: BTreeMap<String, StoredObject>,
    version: u64,
    planned: Vec<(PlannedFault, String)>,
    delayed: Vec<DelayedWrite>,
    rates: FaultRates,
    random: Option<StdRng>,
    down: bool,
    counts: CallCounts,
}

/// The platform in memory.
#[derive(Default)]
pub struct MemoryStore {
    state: Mutex<StoreState>,
}

impl MemoryStore {
    pub fn new() -> Self {
        Self::default()
    }

    /// A store whose calls interleave and fail as the seed says.
    pub fn with_faults(seed: u64, rates: FaultRates) -> Self {
        let store = Self::new();
        store.state().random = Some(StdRng::seed_from_u64(seed));
        store.state().rates = rates;
        store
    }

    pub fn plan(&self, fault: PlannedFault, key_start: &str) {
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

    /// Lets other tasks run first, as often as the seed says.
    async fn interleave(&self) {
        let turns = self.state().random.as_mut().map_or(0, |random| {
            let longest = if random.random_bool(SLOW_CALL_RATE) { SLOW_CALL_TURNS } else { 4 };
            random.random_range(0..longest)
        });
        for _ in 0..turns {
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
            self.earlier.insert(key.to_owned(), old);
        }
        self.version
    }

    /// Takes the oldest fault planned for the key, if it is one of `faults`.
    fn take_planned(&mut self, key: &str, faults: &[PlannedFault]) -> Option<PlannedFault> {
        let position =
            self.planned.iter().position(|(_, start)| key.starts_with(start.as_str()))?;
        let is_met = faults.contains(&self.planned[position].0);
        is_met.then(|| self.planned.remove(position).0)
    }

    /// Counts one call, and lets delayed writes take effect whose time has come.
    fn count_call(&mut self) {
        let mut waiting = Vec::new();
        for mut write in std::mem::take(&mut self.delayed) {
            write.calls -= 1;
            if write.calls > 0 {
                waiting.push(write);
            } else if self.holds(&write.key, write.condition) {
                self.write(&write.key, &write.value);
            }
        }
        self.delayed = waiting;
    }

    fn read_is_stale(&mut self, key: &str) -> bool {
        let rate = self.rates.stale_read;
        self.take_planned(key, &[PlannedFault::StaleRead]).is_some()
            || self.random.as_mut().is_some_and(|random| random.random_bool(rate))
    }

    fn write_fault(&mut self, key: &str) -> Option<PlannedFault> {
        use PlannedFault::{DelayWrite, Limit, LoseAnswer, LoseWrite, Refuse};
        let planned = self.take_planned(key, &[LoseAnswer, LoseWrite, DelayWrite, Refuse, Limit]);
        if planned.is_some() {
            return planned;
        }
        let rates = self.rates;
        let random = self.random.as_mut()?;
        let faults = [
            (LoseAnswer, rates.lose_answer),
            (LoseWrite, rates.lose_write),
            (DelayWrite, rates.delay_write),
            (Refuse, rates.refuse),
        ];
        faults.into_iter().find(|(_, rate)| random.random_bool(*rate)).map(|(fault, _)| fault)
    }

    fn holds(&self, key: &str, condition: WriteCondition) -> bool {
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
        let stale = state.read_is_stale(key);
        let source = if stale { &state.earlier } else { &state.objects };
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
        let fault = state.write_fault(key);
        if fault == Some(PlannedFault::Refuse) {
            return Err(UNAVAILABLE);
        }
        if fault == Some(PlannedFault::Limit) {
            return Err(RATE_LIMITED);
        }
        if fault == Some(PlannedFault::LoseWrite) {
            return Err(LOST_ANSWER);
        }
        if fault == Some(PlannedFault::DelayWrite) {
            let (key, value) = (key.to_owned(), value.to_vec());
            state.delayed.push(DelayedWrite { calls: DELAY_CALLS, key, value, condition });
            return Err(LOST_ANSWER);
        }
        if !state.holds(key, condition) {
            return Err(if fault.is_some() { LOST_ANSWER } else { CONFLICT });
        }
        let version = state.write(key, value);
        if fault.is_some() { Err(LOST_ANSWER) } else { Ok(version) }
    }

    async fn delete(&self, key: &str, version: u64) -> Result<(), StoreError> {
        self.interleave().await;
        let mut state = self.state();
        state.count_call();
        state.counts.writes += 1;
        if state.down {
            return Err(UNAVAILABLE);
        }
        if !state.holds(key, WriteCondition::Version(version)) {
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

/// Valid declarations with this many teams.
pub fn fleet_of(teams: usize) -> FleetDeclarations {
    let mut declarations =
        parse_declarations(FLEET_TEXT, "fleet.json").expect("the fixture is valid").declarations;
    for index in 0..teams {
        declarations.teams.insert(team_name(index), team_of(index));
    }
    declarations
}

/// Valid declarations with this many engines and teams.
pub fn large_fleet(servers: usize, teams: usize) -> FleetDeclarations {
    let mut declarations = fleet_of(teams);
    let engine = declarations.servers["engine-1"].clone();
    for index in 2..=servers {
        let mut rule = engine.clone();
        rule.address.set_port(9_000 + index as u16);
        declarations.servers.insert(format!("engine-{index}"), rule);
    }
    declarations
}

pub fn team_name(index: usize) -> String {
    format!("team-{index:05}")
}

fn team_of(index: usize) -> TeamRule {
    TeamRule {
        token_digest: digest_hex(&index.to_le_bytes()),
        weight: 1,
        max_open: 4,
        classes: Vec::new(),
    }
}

/// The same declarations with one team's quota changed.
pub fn with_quota(declarations: &FleetDeclarations, team: usize, quota: u32) -> FleetDeclarations {
    let mut changed = declarations.clone();
    changed.teams.get_mut(&team_name(team)).expect("the team is declared").max_open = quota;
    changed
}

pub fn note(apply_id: &str) -> ApplyMetadata {
    ApplyMetadata {
        apply_id: apply_id.to_owned(),
        author: "tester".to_owned(),
        comment: String::new(),
        unix_millis: 1,
    }
}
