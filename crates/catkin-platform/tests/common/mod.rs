//! A store in memory whose calls can be made to fail.
#![allow(dead_code)]

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use catkin_base::RunVerdict;
use catkin_platform::{ObjectStore, StoreError, StoreErrorKind, StoredObject, WriteCondition};

/// What happens to one write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteFault {
    /// It works.
    None,
    /// It was refused before it had an effect.
    Refused,
    /// It has no effect, and its answer is lost.
    Lost,
    /// It takes effect, and its answer is lost.
    AnswerLost,
    /// Its answer is lost, and it takes effect when late writes are delivered.
    Late,
}

#[derive(Default)]
struct MemoryState {
    objects: BTreeMap<String, (u64, Vec<u8>)>,
    last_version: u64,
    faults: VecDeque<WriteFault>,
    delay: Option<Duration>,
    late: Vec<LateWrite>,
    down: bool,
    writes: u64,
    reads: u64,
}

struct LateWrite {
    key: String,
    value: Vec<u8>,
    condition: WriteCondition,
}

#[derive(Default)]
pub struct MemoryStore {
    state: Mutex<MemoryState>,
}

impl MemoryStore {
    pub fn shared() -> Arc<Self> {
        Arc::new(Self::default())
    }

    fn state(&self) -> MutexGuard<'_, MemoryState> {
        self.state.lock().expect("never poisoned")
    }

    /// Sets what happens to the next writes, deletions included.
    pub fn fail_next(&self, faults: &[WriteFault]) {
        self.state().faults.extend(faults);
    }

    /// Lets the next write take effect at once and its answer take this long.
    pub fn delay_next_write(&self, delay: Duration) {
        self.state().delay = Some(delay);
    }

    pub fn set_down(&self, down: bool) {
        self.state().down = down;
    }

    /// Lets late writes take effect if their condition still holds.
    pub fn deliver_late(&self) {
        let mut state = self.state();
        for write in std::mem::take(&mut state.late) {
            let _ = state.write(&write.key, &write.value, write.condition);
        }
    }

    pub fn object_count(&self) -> usize {
        self.state().objects.len()
    }

    pub fn writes(&self) -> u64 {
        self.state().writes
    }

    pub fn reads(&self) -> u64 {
        self.state().reads
    }

    fn read(&self) -> Result<MutexGuard<'_, MemoryState>, StoreError> {
        let mut state = self.state();
        if state.down {
            return Err(unavailable(RunVerdict::NotRun));
        }
        state.reads += 1;
        Ok(state)
    }
}

impl MemoryState {
    fn holds(&self, key: &str, condition: WriteCondition) -> bool {
        let version = self.objects.get(key).map(|(version, _)| *version);
        match condition {
            WriteCondition::Absent => version.is_none(),
            WriteCondition::Version(wanted) => version == Some(wanted),
        }
    }

    fn write(
        &mut self,
        key: &str,
        value: &[u8],
        condition: WriteCondition,
    ) -> Result<u64, StoreError> {
        if !self.holds(key, condition) {
            return Err(StoreError { kind: StoreErrorKind::Conflict, ran: RunVerdict::NotRun });
        }
        self.last_version += 1;
        self.objects.insert(key.to_owned(), (self.last_version, value.to_vec()));
        Ok(self.last_version)
    }

    fn put(
        &mut self,
        key: &str,
        value: &[u8],
        condition: WriteCondition,
    ) -> Result<u64, StoreError> {
        let fault = self.next_fault()?;
        if fault == WriteFault::Late {
            let (key, value) = (key.to_owned(), value.to_vec());
            self.late.push(LateWrite { key, value, condition });
            return Err(unavailable(RunVerdict::MayHaveRun));
        }
        let version = self.write(key, value, condition)?;
        if fault == WriteFault::AnswerLost {
            return Err(unavailable(RunVerdict::MayHaveRun));
        }
        Ok(version)
    }

    fn next_fault(&mut self) -> Result<WriteFault, StoreError> {
        self.writes += 1;
        if self.down {
            return Err(unavailable(RunVerdict::NotRun));
        }
        match self.faults.pop_front().unwrap_or(WriteFault::None) {
            WriteFault::Refused => Err(unavailable(RunVerdict::NotRun)),
            WriteFault::Lost => Err(unavailable(RunVerdict::MayHaveRun)),
            fault => Ok(fault),
        }
    }
}

fn unavailable(ran: RunVerdict) -> StoreError {
    StoreError { kind: StoreErrorKind::Unavailable, ran }
}

impl ObjectStore for MemoryStore {
    async fn get(&self, key: &str) -> Result<Option<StoredObject>, StoreError> {
        let state = self.read()?;
        let found = state.objects.get(key).cloned();
        Ok(found.map(|(version, value)| StoredObject { key: key.to_owned(), version, value }))
    }

    async fn put(
        &self,
        key: &str,
        value: &[u8],
        condition: WriteCondition,
    ) -> Result<u64, StoreError> {
        let (written, delay) = {
            let mut state = self.state();
            (state.put(key, value, condition), state.delay.take())
        };
        if let Some(delay) = delay {
            tokio::time::sleep(delay).await;
        }
        written
    }

    async fn delete(&self, key: &str, version: u64) -> Result<(), StoreError> {
        let mut state = self.state();
        let fault = state.next_fault()?;
        if !state.holds(key, WriteCondition::Version(version)) {
            return Err(StoreError { kind: StoreErrorKind::Conflict, ran: RunVerdict::NotRun });
        }
        state.objects.remove(key);
        if fault == WriteFault::AnswerLost {
            return Err(unavailable(RunVerdict::MayHaveRun));
        }
        Ok(())
    }

    async fn list(&self, prefix: &str, after: &str, limit: u32) -> Result<Vec<String>, StoreError> {
        let state = self.read()?;
        let keys =
            state.objects.keys().filter(|key| key.starts_with(prefix) && *key.as_str() > *after);
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
