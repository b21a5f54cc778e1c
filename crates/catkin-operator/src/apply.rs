//! Puts declarations in force, whole or not at all.

use std::collections::BTreeSet;
use std::time::Duration;

use catkin_base::{RunVerdict, value_type};
use catkin_platform::{ObjectStore, StoreError, StoreFault, WriteCondition};
use catkin_settings::{FaultLevel, FleetDeclarations, SettingsFault, check_declarations};

use crate::chunks::{ChunkSource, StoreChunks, write_chunk};
use crate::cut::{ChunkCut, GroupChunk, cut_declarations};
use crate::head::{HEAD_KEY, RevisionHead, VersionedHead, read_versioned_head, renew_head};
use crate::history::{read_past_head, read_revision_head, record_head};
use crate::reader::{FetchError, FetchOutcome, RevisionReader};

/// Times that the head's write is tried while its answers are lost.
const HEAD_WRITE_ATTEMPTS: u32 = 6;

/// Times that a head older than the base is read.
const BASE_READ_ATTEMPTS: u32 = 3;

/// First pause between attempts; each further one is twice as long.
const FIRST_PAUSE: Duration = Duration::from_millis(50);

/// Most paths that a conflict names.
const MAX_CHANGED_PATHS: usize = 50;

value_type! {
    /// Who applies, why and when.
    pub struct ApplyNote {
        /// Identifier chosen by the client, the same in each attempt to apply one change.
        pub apply_id: String,
        /// Who applies.
        pub author: String,
        /// Why.
        pub comment: String,
        /// When, in milliseconds since 1970.
        pub unix_millis: u64,
    }

    /// A revision is in force.
    pub struct ApplyOutcome {
        /// Its number.
        pub revision: u64,
        /// Its digest.
        pub digest: String,
        /// Whether it was in force before: the same content, or the same apply.
        pub unchanged: bool,
    }

    /// Why declarations were not put in force.
    #[derive(thiserror::Error)]
    pub enum ApplyError {
        /// The declarations have faults.
        #[error("the declarations have {} faults", .0.len())]
        Invalid(Vec<SettingsFault>),
        /// Another revision is in force than the base.
        #[error("revision {revision} is in force, which is not the base")]
        Conflict {
            /// The revision in force.
            revision: u64,
            /// What differs between the base and it, by path.
            changed: Vec<String>,
        },
        /// The revision to go back to is not kept.
        #[error("revision {0} is not kept")]
        NotKept(u64),
        /// The platform failed before anything was changed.
        #[error("nothing was changed: {0}")]
        Unavailable(StoreError),
        /// The platform's answers were lost; the revision may be in force.
        #[error("the change may be in force: repeat it with the same apply id")]
        Unsettled,
    }
}

/// Puts `declarations` in force as the revision after `base`; after whatever is in force if absent.
///
/// A repeated call with the same apply id and base finds the revision that the first one made.
pub async fn apply_declarations<S: ObjectStore>(
    store: &S,
    declarations: &FleetDeclarations,
    base: Option<u64>,
    note: &ApplyNote,
) -> Result<ApplyOutcome, ApplyError> {
    let faults = check_declarations(declarations);
    let errors: Vec<_> =
        faults.into_iter().filter(|fault| fault.level == FaultLevel::Error).collect();
    if !errors.is_empty() {
        return Err(ApplyError::Invalid(errors));
    }
    let cut = cut_declarations(declarations);
    let current = read_base(store, base).await.map_err(ApplyError::Unavailable)?;
    let in_force = current.as_ref().map_or(0, |current| current.head.revision);
    let base = base.unwrap_or(in_force);
    if let Some(head) = find_applied(store, current.as_ref(), base, note).await {
        return Ok(outcome_of(&head, true));
    }
    if base != in_force {
        return Err(conflict(store, base, in_force).await);
    }
    if let Some(current) = &current
        && current.head.digest == cut.refs.digest()
    {
        return confirm_unchanged(store, current).await;
    }
    let head = RevisionHead {
        revision: base + 1,
        digest: cut.refs.digest(),
        base,
        apply_id: note.apply_id.clone(),
        author: note.author.clone(),
        comment: note.comment.clone(),
        applied_unix_millis: note.unix_millis,
        chunks: cut.refs.clone(),
    };
    HeadWriter { store, cut: &cut, head: &head, may_have_run: false }.run(current).await
}

/// Puts the declarations of an older revision in force again, as the revision after `base`.
pub async fn rollback_declarations<S: ObjectStore>(
    store: &S,
    revision: u64,
    base: Option<u64>,
    note: &ApplyNote,
) -> Result<ApplyOutcome, ApplyError> {
    let head = read_revision_head(store, revision).await.map_err(ApplyError::Unavailable)?;
    let head = head.ok_or(ApplyError::NotKept(revision))?;
    let declarations = match read_declarations(store, &head).await {
        Ok(declarations) => declarations,
        Err(FetchError::Source(error)) => return Err(ApplyError::Unavailable(error)),
        Err(_) => return Err(ApplyError::NotKept(revision)),
    };
    apply_declarations(store, &declarations, base, note).await
}

/// Paths at which two declarations differ: entries of tables, and fields of the rest.
pub fn changed_paths(old: &FleetDeclarations, new: &FleetDeclarations) -> Vec<String> {
    let old = serde_json::to_value(old).unwrap_or_default();
    let new = serde_json::to_value(new).unwrap_or_default();
    let mut paths = Vec::new();
    for key in member_names(&old, &new) {
        let (old, new) = (&old[&key], &new[&key]);
        if old == new {
            continue;
        }
        if !old.is_object() && !new.is_object() {
            paths.push(key);
            continue;
        }
        let names = member_names(old, new).into_iter();
        let names = names.filter(|name| old.get(name) != new.get(name));
        paths.extend(names.map(|name| format!("{key}.{name}")));
    }
    paths
}

fn member_names(old: &serde_json::Value, new: &serde_json::Value) -> BTreeSet<String> {
    let members = [old, new].into_iter().filter_map(serde_json::Value::as_object);
    members.flat_map(|members| members.keys().cloned()).collect()
}

/// Reads the head, again if it is older than `base`, which a stale read may give.
async fn read_base<S: ObjectStore>(
    store: &S,
    base: Option<u64>,
) -> Result<Option<VersionedHead>, StoreError> {
    let mut current = read_versioned_head(store).await?;
    for _ in 1..BASE_READ_ATTEMPTS {
        let in_force = current.as_ref().map_or(0, |current| current.head.revision);
        if base.is_none_or(|base| in_force >= base) {
            break;
        }
        tokio::time::sleep(FIRST_PAUSE).await;
        current = read_versioned_head(store).await?;
    }
    Ok(current)
}

/// Answers that `current` holds the declarations already, if it is still in force.
async fn confirm_unchanged<S: ObjectStore>(
    store: &S,
    current: &VersionedHead,
) -> Result<ApplyOutcome, ApplyError> {
    let held = &current.head;
    match renew_head(store, current).await {
        Ok(()) => Ok(outcome_of(held, true)),
        Err(error) if error.fault == StoreFault::Conflict => {
            let newest = read_versioned_head(store).await.map_err(ApplyError::Unavailable)?;
            let in_force = newest.map_or(0, |newest| newest.head.revision);
            Err(conflict(store, held.revision, in_force).await)
        }
        Err(error) => Err(ApplyError::Unavailable(error)),
    }
}

fn outcome_of(head: &RevisionHead, unchanged: bool) -> ApplyOutcome {
    ApplyOutcome { revision: head.revision, digest: head.digest.clone(), unchanged }
}

/// Finds the revision that an earlier attempt of the same apply made.
async fn find_applied<S: ObjectStore>(
    store: &S,
    current: Option<&VersionedHead>,
    base: u64,
    note: &ApplyNote,
) -> Option<RevisionHead> {
    let current = &current?.head;
    if current.apply_id == note.apply_id {
        return Some(current.clone());
    }
    if current.revision <= base + 1 {
        return None;
    }
    let made = read_past_head(store, base + 1).await.ok().flatten()?;
    (made.apply_id == note.apply_id).then_some(made)
}

async fn conflict<S: ObjectStore>(store: &S, base: u64, in_force: u64) -> ApplyError {
    let changed = paths_between(store, base, in_force).await.unwrap_or_default();
    ApplyError::Conflict { revision: in_force, changed }
}

async fn paths_between<S: ObjectStore>(store: &S, base: u64, newest: u64) -> Option<Vec<String>> {
    let old = read_revision_head(store, base).await.ok().flatten()?;
    let new = read_revision_head(store, newest).await.ok().flatten()?;
    let old = read_declarations(store, &old).await.ok()?;
    let new = read_declarations(store, &new).await.ok()?;
    let mut paths = changed_paths(&old, &new);
    paths.truncate(MAX_CHANGED_PATHS);
    Some(paths)
}

async fn read_declarations<S: ObjectStore>(
    store: &S,
    head: &RevisionHead,
) -> Result<FleetDeclarations, FetchError> {
    let mut reader = RevisionReader::new();
    match reader.fetch(&StoreChunks::new(store), head).await? {
        FetchOutcome::Taken { declarations, .. } => Ok(*declarations),
        FetchOutcome::NotNewer => unreachable!("a new reader holds no revision"),
    }
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
    async fn run(mut self, current: Option<VersionedHead>) -> Result<ApplyOutcome, ApplyError> {
        let mut current = current;
        let mut pause = FIRST_PAUSE;
        let mut last = None;
        for _ in 0..HEAD_WRITE_ATTEMPTS {
            match self.try_write(current.as_ref()).await {
                Ok(()) => return Ok(outcome_of(self.head, false)),
                Err(error) => last = Some(error),
            }
            match self.read_state().await {
                Ok(HeadState::Mine) => return Ok(outcome_of(self.head, false)),
                Ok(HeadState::Other(revision)) => {
                    return Err(conflict(self.store, self.head.base, revision).await);
                }
                Ok(HeadState::Base(base)) => current = base,
                Err(_) => {}
            }
            tokio::time::sleep(pause).await;
            pause *= 2;
        }
        match last {
            Some(error) if !self.may_have_run => Err(ApplyError::Unavailable(error)),
            _ => Err(ApplyError::Unsettled),
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
                None => StoreChunks::new(self.store).fetch_chunk(digest).await?,
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
        let made = match current {
            Some(current) if in_force == self.head.revision => Some(current.head),
            _ => read_past_head(self.store, self.head.revision).await?,
        };
        let is_mine = made.is_some_and(|made| made.apply_id == self.head.apply_id);
        Ok(if is_mine { HeadState::Mine } else { HeadState::Other(in_force) })
    }
}
