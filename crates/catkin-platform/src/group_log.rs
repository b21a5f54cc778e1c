//! A log of segments, each created only if absent, and an index of the keys in it.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use catkin_base::{RunVerdict, value_type};
use tokio::time::Instant;

use crate::confirmed_write::{ConfirmLimits, WriteEnd, write_confirmed};
use crate::group_segment::{
    BatchNonce, SegmentDocument, SegmentRecord, record_version, segment_key, segment_sequence,
    version_place,
};
use crate::store::{ObjectStore, StoreError, StoreErrorKind, StoredObject, WriteCondition};

/// Keys that one list call returns.
const LIST_LIMIT: u32 = 1000;

value_type! {
    /// How a group log is kept.
    pub struct GroupOptions {
        /// Prefix of the keys of its segments, with a slash at the end.
        pub prefix: String,
        /// The writer's process, see [`process_nonce`](crate::process_nonce).
        pub writer: u64,
        /// Seconds since 1970 at the start of the router.
        pub unix_at_start: u64,
        /// Age at which segments are deleted.
        pub retention: Duration,
        /// Longest time that a batch waits for others to join it.
        pub batch_wait: Duration,
        /// How long a write whose answer was lost is pursued.
        pub confirm: ConfirmLimits,
    }
}

impl GroupOptions {
    /// Defaults for one shard of the claims.
    pub fn for_shard(shard: u32, writer: u64, unix_at_start: u64) -> Self {
        Self {
            prefix: format!("claimlog/{shard:02x}/"),
            writer,
            unix_at_start,
            retention: Duration::from_secs(3600),
            batch_wait: Duration::from_millis(50),
            confirm: ConfirmLimits::default(),
        }
    }
}

/// A conditional write that is to join a batch.
pub(crate) struct GroupWrite {
    pub(crate) key: String,
    /// `None` deletes the key.
    pub(crate) value: Option<Vec<u8>>,
    pub(crate) condition: WriteCondition,
}

/// The log as one writer knows it. Several may write: each batch is checked against all earlier
/// segments, since it takes effect only as the very next one.
pub(crate) struct GroupLog<Store: ObjectStore> {
    store: Arc<Store>,
    options: GroupOptions,
    started_at: Instant,
    /// Versions of the keys that are present.
    versions: BTreeMap<String, u64>,
    /// Segments that are present, and when each was written in seconds since 1970.
    segments: BTreeMap<u64, u64>,
    next_sequence: Option<u64>,
    batches: u64,
    read_until: Instant,
}

/// What became of a batch that was appended.
enum AppendEnd {
    Done,
    /// Another segment has the number.
    Taken,
    /// Nothing was written.
    NotWritten(StoreErrorKind),
    /// It may have been written, or may yet be.
    Unsettled,
}

impl<Store: ObjectStore> GroupLog<Store> {
    pub(crate) fn new(store: Arc<Store>, options: GroupOptions) -> Self {
        let started_at = Instant::now();
        Self {
            store,
            options,
            started_at,
            versions: BTreeMap::new(),
            segments: BTreeMap::new(),
            next_sequence: None,
            batches: 0,
            read_until: started_at,
        }
    }

    /// Commits a batch; returns what became of each write.
    pub(crate) async fn commit(&mut self, writes: &[GroupWrite]) -> Vec<Result<u64, StoreError>> {
        loop {
            if let Err(error) = self.catch_up_if_stale().await {
                return fail_all(writes, error.kind, RunVerdict::NotRun);
            }
            let Some(sequence) = self.next_sequence else {
                return fail_all(writes, StoreErrorKind::Unavailable, RunVerdict::NotRun);
            };
            let checked = self.check_batch(writes, sequence);
            if checked.records.is_empty() {
                return checked.ends;
            }
            match self.append(sequence, checked.records.clone()).await {
                AppendEnd::Done => {
                    self.apply(sequence, self.unix_now(), &checked.records);
                    return checked.ends;
                }
                AppendEnd::Taken => {
                    if let Err(error) = self.catch_up().await {
                        return fail_all(writes, error.kind, RunVerdict::NotRun);
                    }
                }
                AppendEnd::NotWritten(kind) => return checked.fail(kind, RunVerdict::NotRun),
                AppendEnd::Unsettled => {
                    return checked.fail(StoreErrorKind::Unavailable, RunVerdict::MayHaveRun);
                }
            }
        }
    }

    /// Reads a key as it is now.
    pub(crate) async fn get(&mut self, key: &str) -> Result<Option<StoredObject>, StoreError> {
        self.catch_up().await?;
        let Some(version) = self.versions.get(key).copied() else { return Ok(None) };
        let (sequence, index) = version_place(version);
        let object = self.store.get(&segment_key(&self.options.prefix, sequence)).await?;
        let segment = object.and_then(|object| SegmentDocument::decode(&object.value));
        let record = segment.as_ref().and_then(|segment| segment.records.get(index));
        let value = record.and_then(SegmentRecord::value);
        Ok(value.map(|value| StoredObject { key: key.to_owned(), version, value }))
    }

    /// Present keys that start with `prefix` and follow `after`.
    pub(crate) async fn list(
        &mut self,
        prefix: &str,
        after: &str,
        limit: u32,
    ) -> Result<Vec<String>, StoreError> {
        self.catch_up().await?;
        let keys = self.versions.range(prefix.to_owned()..).map(|(key, _)| key);
        let keys = keys.take_while(|key| key.starts_with(prefix));
        Ok(keys.filter(|key| key.as_str() > after).take(limit as usize).cloned().collect())
    }

    /// Deletes segments that are past the retention, at most `limit`; returns how many went. The
    /// newest one stays, so that the next number is known.
    pub(crate) async fn trim(&mut self, limit: usize) -> Result<usize, StoreError> {
        self.catch_up().await?;
        let mut trimmed = 0;
        while trimmed < limit && self.segments.len() > 1 {
            let Some((&sequence, &written_at)) = self.segments.first_key_value() else { break };
            if self.unix_now().saturating_sub(written_at) <= self.options.retention.as_secs() {
                break;
            }
            self.delete_segment(sequence).await?;
            trimmed += 1;
        }
        Ok(trimmed)
    }

    async fn delete_segment(&mut self, sequence: u64) -> Result<(), StoreError> {
        let key = segment_key(&self.options.prefix, sequence);
        if let Some(object) = self.store.get(&key).await? {
            self.store.delete(&key, object.version).await?;
            let segment = SegmentDocument::decode(&object.value);
            for record in segment.iter().flat_map(|segment| &segment.records) {
                self.forget_key(&record.key, sequence);
            }
        }
        self.segments.remove(&sequence);
        Ok(())
    }

    /// Forgets a key if its present value is in this segment.
    fn forget_key(&mut self, key: &str, sequence: u64) {
        let is_there =
            self.versions.get(key).is_some_and(|version| version_place(*version).0 == sequence);
        if is_there {
            self.versions.remove(key);
        }
    }

    fn unix_now(&self) -> u64 {
        self.options.unix_at_start + self.started_at.elapsed().as_secs()
    }

    /// How long what was read of the log counts. After longer, segments that this writer has not
    /// seen may have come and been deleted, and an old number could be taken a second time.
    fn trust(&self) -> Duration {
        self.options.retention / 4
    }

    async fn catch_up_if_stale(&mut self) -> Result<(), StoreError> {
        if self.next_sequence.is_some() && self.read_until.elapsed() < self.trust() {
            return Ok(());
        }
        self.next_sequence = None;
        self.catch_up().await
    }

    /// Reads every segment that this writer does not know.
    async fn catch_up(&mut self) -> Result<(), StoreError> {
        let read_from = Instant::now();
        if self.read_until.elapsed() >= self.trust() {
            self.next_sequence = None;
        }
        if self.next_sequence.is_none() {
            self.replay().await?;
        }
        while let Some(sequence) = self.next_sequence {
            let Some(segment) = self.read_segment(sequence).await? else { break };
            self.apply(sequence, segment.written_at_unix, &segment.records);
        }
        self.read_until = read_from;
        Ok(())
    }

    /// Reads the whole log anew.
    async fn replay(&mut self) -> Result<(), StoreError> {
        self.versions.clear();
        self.segments.clear();
        let mut next_sequence = 1;
        for sequence in self.list_segments().await? {
            if let Some(segment) = self.read_segment(sequence).await? {
                self.apply(sequence, segment.written_at_unix, &segment.records);
            }
            next_sequence = sequence + 1;
        }
        self.next_sequence = Some(next_sequence);
        Ok(())
    }

    async fn list_segments(&self) -> Result<Vec<u64>, StoreError> {
        let prefix = &self.options.prefix;
        let mut sequences = Vec::new();
        let mut after = String::new();
        loop {
            let keys = self.store.list(prefix, &after, LIST_LIMIT).await?;
            sequences.extend(keys.iter().filter_map(|key| segment_sequence(prefix, key)));
            match keys.into_iter().next_back() {
                Some(last) => after = last,
                None => return Ok(sequences),
            }
        }
    }

    async fn read_segment(&self, sequence: u64) -> Result<Option<SegmentDocument>, StoreError> {
        let key = segment_key(&self.options.prefix, sequence);
        let Some(object) = self.store.get(&key).await? else { return Ok(None) };
        match SegmentDocument::decode(&object.value) {
            Some(segment) => Ok(Some(segment)),
            None => {
                log::error!("claims: segment {key} can't be read");
                Err(StoreError { kind: StoreErrorKind::Invalid, ran: RunVerdict::NotRun })
            }
        }
    }

    fn apply(&mut self, sequence: u64, written_at: u64, records: &[SegmentRecord]) {
        for (index, record) in records.iter().enumerate() {
            if record.is_deletion() {
                self.versions.remove(&record.key);
            } else {
                self.versions.insert(record.key.clone(), record_version(sequence, index));
            }
        }
        self.segments.insert(sequence, written_at);
        self.next_sequence = Some(sequence + 1);
    }

    /// Checks each write's condition against the log and against the writes before it.
    fn check_batch(&self, writes: &[GroupWrite], sequence: u64) -> CheckedBatch {
        let mut batch = CheckedBatch { records: Vec::new(), ends: Vec::new() };
        let mut within: BTreeMap<&str, Option<u64>> = BTreeMap::new();
        for write in writes {
            let known = || self.versions.get(&write.key).copied();
            let version = within.get(write.key.as_str()).copied().unwrap_or_else(known);
            if !holds(write.condition, version) {
                batch.ends.push(Err(conflict()));
                continue;
            }
            let new_version = record_version(sequence, batch.records.len());
            batch.records.push(SegmentRecord::new(&write.key, write.value.as_deref()));
            batch.ends.push(Ok(new_version));
            within.insert(&write.key, write.value.is_some().then_some(new_version));
        }
        batch
    }

    /// Appends a segment.
    async fn append(&mut self, sequence: u64, records: Vec<SegmentRecord>) -> AppendEnd {
        self.batches += 1;
        let nonce = BatchNonce { writer: self.options.writer, batch: self.batches };
        let segment = SegmentDocument { nonce, written_at_unix: self.unix_now(), records };
        let value = segment.encode();
        let key = segment_key(&self.options.prefix, sequence);
        let sent_at = Instant::now();
        let limits = self.options.confirm;
        match write_confirmed(&*self.store, &key, &value, WriteCondition::Absent, limits).await {
            WriteEnd::Done(_) => self.end_append(sent_at),
            WriteEnd::Other(_) => AppendEnd::Taken,
            WriteEnd::NotWritten(kind) => AppendEnd::NotWritten(kind),
            WriteEnd::Unsettled => AppendEnd::Unsettled,
        }
    }

    /// A writer that was paused for long can't tell whether its number was taken and deleted.
    fn end_append(&mut self, sent_at: Instant) -> AppendEnd {
        if self.read_until.elapsed() < self.trust() {
            self.read_until = sent_at;
            return AppendEnd::Done;
        }
        self.next_sequence = None;
        AppendEnd::Unsettled
    }
}

/// A batch whose conditions were checked.
struct CheckedBatch {
    /// The writes whose condition holds.
    records: Vec<SegmentRecord>,
    /// What each write comes to once the records are in the log.
    ends: Vec<Result<u64, StoreError>>,
}

impl CheckedBatch {
    /// The ends if the records did not reach the log.
    fn fail(self, kind: StoreErrorKind, ran: RunVerdict) -> Vec<Result<u64, StoreError>> {
        let failed = StoreError { kind, ran };
        self.ends.into_iter().map(|end| end.and(Err(failed))).collect()
    }
}

fn holds(condition: WriteCondition, version: Option<u64>) -> bool {
    match condition {
        WriteCondition::Absent => version.is_none(),
        WriteCondition::Version(wanted) => version == Some(wanted),
    }
}

fn conflict() -> StoreError {
    StoreError { kind: StoreErrorKind::Conflict, ran: RunVerdict::NotRun }
}

fn fail_all(
    writes: &[GroupWrite],
    kind: StoreErrorKind,
    ran: RunVerdict,
) -> Vec<Result<u64, StoreError>> {
    writes.iter().map(|_| Err(StoreError { kind, ran })).collect()
}
