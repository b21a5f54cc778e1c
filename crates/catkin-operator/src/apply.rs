//! Puts declarations in force as one revision, atomically.

use std::time::Duration;

use catkin_base::value_type;
use catkin_platform::{ObjectStore, StoreError, StoreErrorKind};
use catkin_settings::{FleetDeclarations, IssueLevel, SettingsIssue, check_declarations};

use crate::changes::list_changes;
use crate::chunk_store::StoreSource;
use crate::head::{RevisionHead, VersionedHead, read_versioned_head, rewrite_head};
use crate::head_writer::{HeadWriteOutcome, write_head};
use crate::history::{is_expired, read_revision_head, require_recorded_head};
use crate::reader::{FetchError, FetchOutcome, RevisionReader};
use crate::sharding::split_declarations;

/// Maximum number of reads of a head that is older than the base.
const BASE_READ_ATTEMPTS: u32 = 3;

/// Pause before a head that is older than the base is read again.
const BASE_READ_PAUSE: Duration = Duration::from_millis(50);

/// Maximum number of paths that a conflict names.
const MAX_CHANGED_PATHS: usize = 50;

value_type! {
    /// Metadata that is recorded with a revision.
    pub struct ApplyMetadata {
        /// Identifier chosen by the client; every attempt of one change uses the same.
        pub apply_id: String,
        /// Name of the operator.
        pub author: String,
        /// Reason for the change.
        pub comment: String,
        /// Time of the apply, in milliseconds since the Unix epoch.
        pub unix_millis: u64,
    }

    /// Result of an apply that succeeded.
    pub struct ApplyOutcome {
        /// Number of the revision.
        pub revision: u64,
        /// Digest of the revision.
        pub digest: String,
        /// Whether the revision existed before: the same content was in force, or an earlier
        /// attempt of the same apply wrote it.
        pub unchanged: bool,
    }

    /// Reason why declarations were not put in force.
    #[derive(thiserror::Error)]
    pub enum ApplyError {
        /// The declarations are invalid.
        #[error("the declarations have {} faults", .0.len())]
        Invalid(Vec<SettingsIssue>),
        /// The revision in force is not the base of the change.
        #[error("revision {revision} is in force, which is not the base")]
        Conflict {
            /// Number of the revision in force.
            revision: u64,
            /// Paths that differ between the base and the revision in force.
            changed: Vec<String>,
        },
        /// The revision of a rollback is not in the history, or its chunks cannot be read.
        #[error("revision {0} is not kept")]
        UnknownRevision(u64),
        /// A platform call failed; the revision in force was not changed.
        #[error("nothing was changed: {0}")]
        Unavailable(StoreError),
        /// The platform did not confirm the write; the revision may be in force.
        #[error("the change may be in force: repeat it with the same apply id")]
        Unconfirmed,
    }
}

/// Puts `declarations` in force as the revision after `base`, or after the revision in force if
/// `base` is absent.
///
/// A repeated call with the same apply id and base finds the revision that an earlier call wrote.
/// Fails if the declarations are invalid, if another revision than `base` is in force, or if the
/// platform fails.
pub async fn apply_declarations<S: ObjectStore>(
    store: &S,
    declarations: &FleetDeclarations,
    base: Option<u64>,
    metadata: &ApplyMetadata,
) -> Result<ApplyOutcome, ApplyError> {
    let issues = check_declarations(declarations);
    let errors: Vec<_> =
        issues.into_iter().filter(|issue| issue.level == IssueLevel::Error).collect();
    if !errors.is_empty() {
        return Err(ApplyError::Invalid(errors));
    }
    let set = split_declarations(declarations);
    let current = read_base(store, base).await.map_err(ApplyError::Unavailable)?;
    let in_force = current.as_ref().map_or(0, |current| current.head.revision);
    let base = base.unwrap_or(in_force);
    if let Some(head) = find_applied(store, current.as_ref(), base, metadata).await? {
        return Ok(build_outcome(&head, true));
    }
    if base != in_force {
        return Err(build_conflict(store, base, in_force).await);
    }
    if let Some(current) = &current
        && current.head.digest == set.refs.digest()
    {
        return confirm_unchanged(store, current).await;
    }
    let head = RevisionHead {
        revision: base + 1,
        digest: set.refs.digest(),
        base,
        apply_id: metadata.apply_id.clone(),
        author: metadata.author.clone(),
        comment: metadata.comment.clone(),
        applied_unix_millis: metadata.unix_millis,
        chunks: set.refs.clone(),
    };
    match write_head(store, &set, &head, current).await {
        HeadWriteOutcome::Written => Ok(build_outcome(&head, false)),
        HeadWriteOutcome::Superseded(revision) => Err(build_conflict(store, base, revision).await),
        HeadWriteOutcome::NotWritten(error) => Err(ApplyError::Unavailable(error)),
        HeadWriteOutcome::Unconfirmed => Err(ApplyError::Unconfirmed),
    }
}

/// Puts the declarations of an older revision in force again, as the revision after `base`.
///
/// Fails like [`apply_declarations`], and if the older revision is not in the history.
pub async fn rollback_declarations<S: ObjectStore>(
    store: &S,
    revision: u64,
    base: Option<u64>,
    metadata: &ApplyMetadata,
) -> Result<ApplyOutcome, ApplyError> {
    let head = read_revision_head(store, revision).await.map_err(ApplyError::Unavailable)?;
    let head = head.ok_or(ApplyError::UnknownRevision(revision))?;
    let declarations = match read_declarations(store, &head).await {
        Ok(declarations) => declarations,
        Err(FetchError::Source(error)) => return Err(ApplyError::Unavailable(error)),
        Err(_) => return Err(ApplyError::UnknownRevision(revision)),
    };
    apply_declarations(store, &declarations, base, metadata).await
}

/// Reads the head. Repeats the read if the head is older than `base`, since the read may be stale.
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
        tokio::time::sleep(BASE_READ_PAUSE).await;
        current = read_versioned_head(store).await?;
    }
    Ok(current)
}

/// Confirms that `current`, which has the same declarations, is still in force.
async fn confirm_unchanged<S: ObjectStore>(
    store: &S,
    current: &VersionedHead,
) -> Result<ApplyOutcome, ApplyError> {
    let head = &current.head;
    match rewrite_head(store, current).await {
        Ok(()) => Ok(build_outcome(head, true)),
        Err(error) if error.kind == StoreErrorKind::Conflict => {
            let newest = read_versioned_head(store).await.map_err(ApplyError::Unavailable)?;
            let in_force = newest.map_or(0, |newest| newest.head.revision);
            Err(build_conflict(store, head.revision, in_force).await)
        }
        Err(error) => Err(ApplyError::Unavailable(error)),
    }
}

fn build_outcome(head: &RevisionHead, unchanged: bool) -> ApplyOutcome {
    ApplyOutcome { revision: head.revision, digest: head.digest.clone(), unchanged }
}

/// Finds the revision that an earlier attempt of the same apply wrote.
///
/// If a newer revision replaced the one after `base`, the history shows which apply wrote it. If
/// the history cannot be read, the outcome of the earlier attempt stays unconfirmed.
async fn find_applied<S: ObjectStore>(
    store: &S,
    current: Option<&VersionedHead>,
    base: u64,
    metadata: &ApplyMetadata,
) -> Result<Option<RevisionHead>, ApplyError> {
    let Some(VersionedHead { head: current, .. }) = current else { return Ok(None) };
    if current.apply_id == metadata.apply_id {
        return Ok(Some(current.clone()));
    }
    if current.revision <= base + 1 || is_expired(base + 1, current.revision) {
        return Ok(None);
    }
    let written =
        require_recorded_head(store, base + 1).await.map_err(|_| ApplyError::Unconfirmed)?;
    Ok((written.apply_id == metadata.apply_id).then_some(written))
}

/// Builds the error for a change whose base is not in force. The paths stay empty if a revision
/// cannot be read.
async fn build_conflict<S: ObjectStore>(store: &S, base: u64, in_force: u64) -> ApplyError {
    let changed = list_changed_paths(store, base, in_force).await.unwrap_or_default();
    ApplyError::Conflict { revision: in_force, changed }
}

async fn list_changed_paths<S: ObjectStore>(
    store: &S,
    base: u64,
    newest: u64,
) -> Option<Vec<String>> {
    let old = read_revision_head(store, base).await.ok().flatten()?;
    let new = read_revision_head(store, newest).await.ok().flatten()?;
    let old = read_declarations(store, &old).await.ok()?;
    let new = read_declarations(store, &new).await.ok()?;
    let changes = list_changes(&old, &new).into_iter().take(MAX_CHANGED_PATHS);
    Some(changes.map(|change| change.path).collect())
}

async fn read_declarations<S: ObjectStore>(
    store: &S,
    head: &RevisionHead,
) -> Result<FleetDeclarations, FetchError> {
    let mut reader = RevisionReader::new();
    match reader.fetch(&StoreSource::new(store), head).await? {
        FetchOutcome::Loaded { declarations, .. } => Ok(*declarations),
        FetchOutcome::NotNewer => unreachable!("a new reader has loaded no revision"),
    }
}
