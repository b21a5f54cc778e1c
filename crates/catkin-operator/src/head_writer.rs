//! Writes the chunks and the head of one revision, and confirms the outcome of the head's write.

use std::collections::BTreeSet;
use std::time::Duration;

use catkin_base::RunVerdict;
use catkin_platform::{ObjectStore, StoreError, WriteCondition};

use crate::chunk_store::{ChunkSource, StoreSource, write_chunk};
use crate::head::{HEAD_KEY, RevisionHead, VersionedHead, read_versioned_head};
use crate::history::{record_head, require_recorded_head};
use crate::sharding::{ChunkSet, GroupChunk};

/// Maximum number of attempts to write the head until its outcome is known.
const HEAD_WRITE_ATTEMPTS: u32 = 6;

/// Pause after the first attempt; it doubles with every further attempt.
const FIRST_RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Outcome of writing a head.
pub(crate) enum HeadWriteOutcome {
    /// The head was put in force.
    Written,
    /// Another revision, whose number is given, came into force instead.
    Superseded(u64),
    /// The write failed and the head was not changed.
    NotWritten(StoreError),
    /// The outcome is unknown: the head may be in force, or come into force later.
    Unconfirmed,
}

/// Writes the chunks and puts `head` in force, on the condition that `current` is still in force.
pub(crate) async fn write_head<S: ObjectStore>(
    store: &S,
    set: &ChunkSet,
    head: &RevisionHead,
    current: Option<VersionedHead>,
) -> HeadWriteOutcome {
    HeadWriter { store, set, head, may_have_run: false }.run(current).await
}

/// Writer of one revision. `may_have_run` is set once a write of the head had an unknown outcome.
struct HeadWriter<'a, S: ObjectStore> {
    store: &'a S,
    set: &'a ChunkSet,
    head: &'a RevisionHead,
    may_have_run: bool,
}

/// State of the head, read after a write that was not confirmed.
enum HeadState {
    /// The revision of this writer was put in force.
    Written,
    /// Another writer's revision, whose number is given, was put in force.
    Other(u64),
    /// The base is still in force, or there is no head yet.
    Base(Option<VersionedHead>),
}

impl<S: ObjectStore> HeadWriter<'_, S> {
    /// Repeats the write until its outcome is known, at most `HEAD_WRITE_ATTEMPTS` times.
    async fn run(mut self, current: Option<VersionedHead>) -> HeadWriteOutcome {
        let mut current = current;
        let mut pause = FIRST_RETRY_PAUSE;
        let mut last_error = None;
        for _ in 0..HEAD_WRITE_ATTEMPTS {
            match self.try_write(current.as_ref()).await {
                Ok(()) => return HeadWriteOutcome::Written,
                Err(error) => last_error = Some(error),
            }
            match self.read_state().await {
                Ok(HeadState::Written) => return HeadWriteOutcome::Written,
                Ok(HeadState::Other(revision)) => return HeadWriteOutcome::Superseded(revision),
                Ok(HeadState::Base(base)) => current = base,
                Err(_) => {}
            }
            tokio::time::sleep(pause).await;
            pause *= 2;
        }
        match last_error {
            Some(error) if !self.may_have_run => HeadWriteOutcome::NotWritten(error),
            _ => HeadWriteOutcome::Unconfirmed,
        }
    }

    /// Writes missing chunks, records the current head in the history, and writes the new head on
    /// the condition that `current` is in force.
    async fn try_write(&mut self, current: Option<&VersionedHead>) -> Result<(), StoreError> {
        self.write_chunks(current).await?;
        if let Some(current) = current {
            record_head(self.store, &current.head).await?;
        }
        let condition = current
            .map_or(WriteCondition::Absent, |current| WriteCondition::Version(current.version));
        match self.store.put(HEAD_KEY, &self.head.encode(), condition).await {
            Ok(_) => Ok(()),
            Err(error) => {
                self.may_have_run |= error.ran != RunVerdict::NotRun;
                Err(error)
            }
        }
    }

    /// Writes the chunks that the current revision does not refer to.
    async fn write_chunks(&self, current: Option<&VersionedHead>) -> Result<(), StoreError> {
        let existing = match current {
            Some(current) => self.collect_digests(&current.head).await?,
            None => BTreeSet::new(),
        };
        for (digest, content) in &self.set.contents {
            if !existing.contains(digest) {
                write_chunk(self.store, digest, content).await?;
            }
        }
        Ok(())
    }

    /// Collects the digests that `head` refers to. Group chunks that the new revision has too are
    /// not read from the store.
    async fn collect_digests(&self, head: &RevisionHead) -> Result<BTreeSet<String>, StoreError> {
        let refs = &head.chunks;
        let direct = [&refs.common].into_iter().chain(&refs.servers).chain(&refs.team_groups);
        let mut digests: BTreeSet<String> = direct.cloned().collect();
        for digest in &refs.team_groups {
            let content = match self.set.contents.get(digest) {
                Some(content) => Some(content.clone()),
                None => StoreSource::new(self.store).fetch_chunk(digest).await?,
            };
            let group = content.and_then(|content| serde_json::from_slice(&content).ok());
            if let Some(GroupChunk { shards }) = group {
                digests.extend(shards);
            }
        }
        Ok(digests)
    }

    /// Reads which revision is in force, and whether this writer or another one wrote the revision
    /// with this number.
    async fn read_state(&self) -> Result<HeadState, StoreError> {
        let current = read_versioned_head(self.store).await?;
        let in_force = current.as_ref().map_or(0, |current| current.head.revision);
        if in_force < self.head.revision {
            return Ok(HeadState::Base(current));
        }
        if !self.may_have_run {
            return Ok(HeadState::Other(in_force));
        }
        let written = match current {
            Some(current) if in_force == self.head.revision => current.head,
            _ => require_recorded_head(self.store, self.head.revision).await?,
        };
        let is_same_apply = written.apply_id == self.head.apply_id;
        Ok(if is_same_apply { HeadState::Written } else { HeadState::Other(in_force) })
    }
}
