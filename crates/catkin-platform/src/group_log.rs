//! A log of segments and an index of the keys in it. Each segment is created under the next
//! sequence number, on the condition that no object has that number yet.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use catkin_base::{RunVerdict, value_type};
use tokio::time::Instant;

use crate::confirmed_write::{ConfirmLimits, WriteOutcome, write_confirmed};
use crate::group_segment::{
    BatchNonce, SegmentDocument, SegmentRecord, build_segment_key, decode_version, encode_version,
    parse_sequence,
};
use crate::store::{ObjectStore, StoreError, StoreErrorKind, StoredObject, WriteCondition};

/// Maximum number of keys that one list call returns.
const LIST_LIMIT: u32 = 1000;

value_type! {
    /// Options of a group log.
    pub struct GroupOptions {
        /// Prefix of the object keys of its segments, ending with a slash.
        pub prefix: String,
        /// Identifier of the writer's process, see [`derive_process_id`](crate::derive_process_id).
        pub writer: u64,
        /// Wall-clock time at the start of the router, in seconds since 1970.
        pub unix_at_start: u64,
        /// Age after which segments are deleted.
        pub retention: Duration,
        /// Minimum time between two commits. A batch waits at most this long for further writes.
        pub batch_wait: Duration,
        /// Retries of a write whose response was lost.
        pub confirm: ConfirmLimits,
    }
}

impl GroupOptions {
    /// Default options of one shard of the claims.
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

/// A conditional write to be committed in a batch.
pub(crate) struct GroupWrite {
    pub(crate) key: String,
    /// The new value; `None` deletes the key.
    pub(crate) value: Option<Vec<u8>>,
    pub(crate) condition: WriteCondition,
}

/// The log as read by one writer.
///
/// Several writers may append. A batch is always checked against all earlier segments, because it
/// takes effect only if its segment directly follows the last one that the writer has read.
pub(crate) struct GroupLog<Store: ObjectStore> {
    store: Arc<Store>,
    options: GroupOptions,
    started_at: Instant,
    /// Versions of the keys that exist.
    versions: BTreeMap<String, u64>,
    /// Sequence numbers of the segments that exist, and their write times in seconds since 1970.
    segments: BTreeMap<u64, u64>,
    /// Sequence number of the next segment; `None` if the log must be read from its start.
    next_sequence: Option<u64>,
    batches: u64,
    read_at: Instant,
}

/// Outcome of appending a batch.
enum AppendOutcome {
    Appended,
    /// Another segment has the sequence number.
    SequenceTaken,
    /// Nothing was written.
    NotWritten(StoreErrorKind),
    /// The segment may have been written or may still be.
    Unconfirmed,
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
            read_at: started_at,
        }
    }

    /// Commits a batch; returns the new version or the error of each write.
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
                return checked.results;
            }
            match self.append(sequence, checked.records.clone()).await {
                AppendOutcome::Appended => {
                    self.apply(sequence, self.unix_now(), &checked.records);
                    return checked.results;
                }
                AppendOutcome::SequenceTaken => {
                    if let Err(error) = self.catch_up().await {
                        return fail_all(writes, error.kind, RunVerdict::NotRun);
                    }
                }
                AppendOutcome::NotWritten(kind) => return checked.fail(kind, RunVerdict::NotRun),
                AppendOutcome::Unconfirmed => {
                    return checked.fail(StoreErrorKind::Unavailable, RunVerdict::MayHaveRun);
                }
            }
        }
    }

    /// Reads the present value of a key.
    pub(crate) async fn get(&mut self, key: &str) -> Result<Option<StoredObject>, StoreError> {
        self.catch_up().await?;
        let Some(version) = self.versions.get(key).copied() else { return Ok(None) };
        let (sequence, index) = decode_version(version);
        let object = self.store.get(&build_segment_key(&self.options.prefix, sequence)).await?;
        let segment = object.and_then(|object| SegmentDocument::decode(&object.value));
        let record = segment.as_ref().and_then(|segment| segment.records.get(index));
        let value = record.and_then(SegmentRecord::value);
        Ok(value.map(|value| StoredObject { key: key.to_owned(), version, value }))
    }

    /// Lists up to `limit` existing keys that start with `prefix` and sort after `after`.
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

    /// Deletes up to `limit` segments past their retention; returns the number deleted. The newest
    /// segment is never deleted, because it determines the next sequence number.
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
        let key = build_segment_key(&self.options.prefix, sequence);
        if let Some(object) = self.store.get(&key).await? {
            self.store.delete(&key, object.version).await?;
            let segment = SegmentDocument::decode(&object.value);
            for record in segment.iter().flat_map(|segment| &segment.records) {
                self.remove_key(&record.key, sequence);
            }
        }
        self.segments.remove(&sequence);
        Ok(())
    }

    /// Removes a key from the index if its present value is in this segment.
    fn remove_key(&mut self, key: &str, sequence: u64) {
        let is_current =
            self.versions.get(key).is_some_and(|version| decode_version(*version).0 == sequence);
        if is_current {
            self.versions.remove(key);
        }
    }

    fn unix_now(&self) -> u64 {
        self.options.unix_at_start + self.started_at.elapsed().as_secs()
    }

    /// Time for which the last read of the log stays valid. After that, other writers' segments may
    /// have been written and already deleted, so that this writer could reuse a sequence number.
    fn read_validity(&self) -> Duration {
        self.options.retention / 4
    }

    async fn catch_up_if_stale(&mut self) -> Result<(), StoreError> {
        if self.next_sequence.is_some() && self.read_at.elapsed() < self.read_validity() {
            return Ok(());
        }
        self.next_sequence = None;
        self.catch_up().await
    }

    /// Reads all segments that were added since the last read.
    async fn catch_up(&mut self) -> Result<(), StoreError> {
        let read_from = Instant::now();
        if self.read_at.elapsed() >= self.read_validity() {
            self.next_sequence = None;
        }
        if self.next_sequence.is_none() {
            self.reload().await?;
        }
        while let Some(sequence) = self.next_sequence {
            let Some(segment) = self.read_segment(sequence).await? else { break };
            self.apply(sequence, segment.written_at_unix, &segment.records);
        }
        self.read_at = read_from;
        Ok(())
    }

    /// Reads the whole log from its start.
    async fn reload(&mut self) -> Result<(), StoreError> {
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
            sequences.extend(keys.iter().filter_map(|key| parse_sequence(prefix, key)));
            match keys.into_iter().next_back() {
                Some(last) => after = last,
                None => return Ok(sequences),
            }
        }
    }

    async fn read_segment(&self, sequence: u64) -> Result<Option<SegmentDocument>, StoreError> {
        let key = build_segment_key(&self.options.prefix, sequence);
        let Some(object) = self.store.get(&key).await? else { return Ok(None) };
        match SegmentDocument::decode(&object.value) {
            Some(segment) => Ok(Some(segment)),
            None => {
                log::error!(
                    "claims: segment cannot be decoded; reads and writes of its shard fail. key={key}"
                );
                Err(StoreError { kind: StoreErrorKind::Invalid, ran: RunVerdict::NotRun })
            }
        }
    }

    fn apply(&mut self, sequence: u64, written_at: u64, records: &[SegmentRecord]) {
        for (index, record) in records.iter().enumerate() {
            if record.is_deletion() {
                self.versions.remove(&record.key);
            } else {
                self.versions.insert(record.key.clone(), encode_version(sequence, index));
            }
        }
        self.segments.insert(sequence, written_at);
        self.next_sequence = Some(sequence + 1);
    }

    /// Checks each write's condition against the log and the earlier writes of the batch.
    fn check_batch(&self, writes: &[GroupWrite], sequence: u64) -> CheckedBatch {
        let mut batch = CheckedBatch { records: Vec::new(), results: Vec::new() };
        let mut batch_versions: BTreeMap<&str, Option<u64>> = BTreeMap::new();
        for write in writes {
            let stored_version = || self.versions.get(&write.key).copied();
            let version =
                batch_versions.get(write.key.as_str()).copied().unwrap_or_else(stored_version);
            if !condition_holds(write.condition, version) {
                batch.results.push(Err(conflict_error()));
                continue;
            }
            let new_version = encode_version(sequence, batch.records.len());
            batch.records.push(SegmentRecord::new(&write.key, write.value.as_deref()));
            batch.results.push(Ok(new_version));
            batch_versions.insert(&write.key, write.value.is_some().then_some(new_version));
        }
        batch
    }

    /// Writes a batch as the segment with this sequence number.
    async fn append(&mut self, sequence: u64, records: Vec<SegmentRecord>) -> AppendOutcome {
        self.batches += 1;
        let nonce = BatchNonce { writer: self.options.writer, batch: self.batches };
        let segment = SegmentDocument { nonce, written_at_unix: self.unix_now(), records };
        let value = segment.encode();
        let key = build_segment_key(&self.options.prefix, sequence);
        let sent_at = Instant::now();
        let limits = self.options.confirm;
        match write_confirmed(&*self.store, &key, &value, WriteCondition::Absent, limits).await {
            WriteOutcome::Written(_) => self.finish_append(sent_at),
            WriteOutcome::Mismatch(_) => AppendOutcome::SequenceTaken,
            WriteOutcome::NotWritten(kind) => AppendOutcome::NotWritten(kind),
            WriteOutcome::Unconfirmed => AppendOutcome::Unconfirmed,
        }
    }

    /// Accepts an append only if the last read is still valid. A writer that was suspended for
    /// longer can't tell whether its sequence number was used and deleted in the meantime.
    fn finish_append(&mut self, sent_at: Instant) -> AppendOutcome {
        if self.read_at.elapsed() < self.read_validity() {
            self.read_at = sent_at;
            return AppendOutcome::Appended;
        }
        self.next_sequence = None;
        AppendOutcome::Unconfirmed
    }
}

/// A batch after the check of its conditions.
struct CheckedBatch {
    /// The writes whose condition is met.
    records: Vec<SegmentRecord>,
    /// Result of each write, provided that the records are appended.
    results: Vec<Result<u64, StoreError>>,
}

impl CheckedBatch {
    /// The results if the records were not appended: every accepted write fails.
    fn fail(self, kind: StoreErrorKind, ran: RunVerdict) -> Vec<Result<u64, StoreError>> {
        let failed = StoreError { kind, ran };
        self.results.into_iter().map(|result| result.and(Err(failed))).collect()
    }
}

fn condition_holds(condition: WriteCondition, version: Option<u64>) -> bool {
    match condition {
        WriteCondition::Absent => version.is_none(),
        WriteCondition::Version(expected) => version == Some(expected),
    }
}

fn conflict_error() -> StoreError {
    StoreError { kind: StoreErrorKind::Conflict, ran: RunVerdict::NotRun }
}

fn fail_all(
    writes: &[GroupWrite],
    kind: StoreErrorKind,
    ran: RunVerdict,
) -> Vec<Result<u64, StoreError>> {
    writes.iter().map(|_| Err(StoreError { kind, ran })).collect()
}
