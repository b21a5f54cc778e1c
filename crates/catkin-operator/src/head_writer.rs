//! Writes the chunks and the head of one revision, and settles what became of the head.

use std::collections::BTreeSet;
use std::time::Duration;

use catkin_base::RunVerdict;
use catkin_platform::{ObjectStore, StoreError, WriteCondition};

use crate::chunks::{ChunkSource, StoreSource, write_chunk};
use crate::cut::{ChunkCut, GroupChunk};
use crate::head::{HEAD_KEY, RevisionHead, VersionedHead, read_versioned_head};
use crate::history::{read_replaced_head, record_head};

/// Times that the head's write is tried while its answers are lost.
const HEAD_WRITE_ATTEMPTS: u32 = 6;

/// First pause between attempts; each further one is twice as long.
const FIRST_PAUSE: Duration = Duration::from_millis(50);

/// What became of a head.
pub(crate) enum WriteResult {
    /// It was put in force.
    Written,
    /// Another one was, whose revision is given.
    Superseded(u64),
    /// Nothing was changed.
    Failed(StoreError),
    /// It may be in force, now or later.
    Unconfirmed,
}

/// Puts `head` in force if `current` still is.
pub(crate) async fn write_head<S: ObjectStore>(
    store: &S,
    cut: &ChunkCut,
    head: &RevisionHead,
    current: Option<VersionedHead>,
) -> WriteResult {
    HeadWriter { store, cut, head, may_have_run: false }.run(current).await
}

/// Writes the chunks and then the head of one revision.
struct HeadWriter<'a, S: ObjectStore> {
    store: &'a S,
    cut: &'a ChunkCut,
    head: &'a RevisionHead,
    may_have_run: bool,
}

/// What the head shows after a write that was not confirmed.
enum HeadState {
    /// This apply's revision was put in force.
    Mine,
    /// Another apply's revision was.
    Other(u64),
    /// The base is still in force.
    Base(Option<VersionedHead>),
}

impl<S: ObjectStore> HeadWriter<'_, S> {
    /// Writes until the result is known, at most a few times.
    async fn run(mut self, current: Option<VersionedHead>) -> WriteResult {
        let mut current = current;
        let mut pause = FIRST_PAUSE;
        let mut last = None;
        for _ in 0..HEAD_WRITE_ATTEMPTS {
            match self.try_write(current.as_ref()).await {
                Ok(()) => return WriteResult::Written,
                Err(error) => last = Some(error),
            }
            match self.read_state().await {
                Ok(HeadState::Mine) => return WriteResult::Written,
                Ok(HeadState::Other(revision)) => return WriteResult::Superseded(revision),
                Ok(HeadState::Base(base)) => current = base,
                Err(_) => {}
            }
            tokio::time::sleep(pause).await;
            pause *= 2;
        }
        match last {
            Some(error) if !self.may_have_run => WriteResult::Failed(error),
            _ => WriteResult::Unconfirmed,
        }
    }

    /// Writes what is missing and then the head, on the condition that `current` is in force.
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

    /// Writes the chunks that the base does not refer to.
    async fn write_chunks(&self, current: Option<&VersionedHead>) -> Result<(), StoreError> {
        let held = match current {
            Some(current) => self.digests_of(&current.head).await?,
            None => BTreeSet::new(),
        };
        for (digest, content) in &self.cut.contents {
            if !held.contains(digest) {
                write_chunk(self.store, digest, content).await?;
            }
        }
        Ok(())
    }

    /// Digests that `head` refers to. Groups that the new revision has too need not be read.
    async fn digests_of(&self, head: &RevisionHead) -> Result<BTreeSet<String>, StoreError> {
        let refs = &head.chunks;
        let direct = [&refs.common].into_iter().chain(&refs.servers).chain(&refs.team_groups);
        let mut digests: BTreeSet<String> = direct.cloned().collect();
        for digest in &refs.team_groups {
            let content = match self.cut.contents.get(digest) {
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

    async fn read_state(&self) -> Result<HeadState, StoreError> {
        let current = read_versioned_head(self.store).await?;
        let in_force = current.as_ref().map_or(0, |current| current.head.revision);
        if in_force < self.head.revision {
            return Ok(HeadState::Base(current));
        }
        if !self.may_have_run {
            return Ok(HeadState::Other(in_force));
        }
        let made = match current {
            Some(current) if in_force == self.head.revision => current.head,
            _ => read_replaced_head(self.store, self.head.revision).await?,
        };
        let is_mine = made.apply_id == self.head.apply_id;
        Ok(if is_mine { HeadState::Mine } else { HeadState::Other(in_force) })
    }
}
