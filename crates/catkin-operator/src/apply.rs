//! Puts declarations in force, whole or not at all.

use std::time::Duration;

use catkin_base::value_type;
use catkin_platform::{ObjectStore, StoreError, StoreErrorKind};
use catkin_settings::{FaultLevel, FleetDeclarations, SettingsFault, check_declarations};

use crate::changes::list_changes;
use crate::chunks::StoreSource;
use crate::cut::cut_declarations;
use crate::head::{RevisionHead, VersionedHead, read_versioned_head, renew_head};
use crate::head_writer::{WriteResult, write_head};
use crate::history::{is_forgotten, read_replaced_head, read_revision_head};
use crate::reader::{FetchError, FetchOutcome, RevisionReader};

/// Times that a head older than the base is read.
const BASE_READ_ATTEMPTS: u32 = 3;

/// Pause before a head older than the base is read again.
const BASE_READ_PAUSE: Duration = Duration::from_millis(50);

/// Most paths that a conflict names.
const MAX_CHANGED_PATHS: usize = 50;

value_type! {
    /// Who applies, why and when.
    pub struct ApplyMetadata {
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
        UnknownRevision(u64),
        /// The platform failed before anything was changed.
        #[error("nothing was changed: {0}")]
        Unavailable(StoreError),
        /// The platform's answers were lost; the revision may be in force.
        #[error("the change may be in force: repeat it with the same apply id")]
        Unconfirmed,
    }
}

/// Puts `declarations` in force as the revision after `base`; after whatever is in force if absent.
///
/// A repeated call with the same apply id and base finds the revision that the first one made.
pub async fn apply_declarations<S: ObjectStore>(
    store: &S,
    declarations: &FleetDeclarations,
    base: Option<u64>,
    note: &ApplyMetadata,
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
    if let Some(head) = find_applied(store, current.as_ref(), base, note).await? {
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
    match write_head(store, &cut, &head, current).await {
        WriteResult::Written => Ok(outcome_of(&head, false)),
        WriteResult::Superseded(revision) => Err(conflict(store, base, revision).await),
        WriteResult::Failed(error) => Err(ApplyError::Unavailable(error)),
        WriteResult::Unconfirmed => Err(ApplyError::Unconfirmed),
    }
}

/// Puts the declarations of an older revision in force again, as the revision after `base`.
pub async fn rollback_declarations<S: ObjectStore>(
    store: &S,
    revision: u64,
    base: Option<u64>,
    note: &ApplyMetadata,
) -> Result<ApplyOutcome, ApplyError> {
    let head = read_revision_head(store, revision).await.map_err(ApplyError::Unavailable)?;
    let head = head.ok_or(ApplyError::UnknownRevision(revision))?;
    let declarations = match read_declarations(store, &head).await {
        Ok(declarations) => declarations,
        Err(FetchError::Source(error)) => return Err(ApplyError::Unavailable(error)),
        Err(_) => return Err(ApplyError::UnknownRevision(revision)),
    };
    apply_declarations(store, &declarations, base, note).await
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
        tokio::time::sleep(BASE_READ_PAUSE).await;
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
        Err(error) if error.kind == StoreErrorKind::Conflict => {
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
///
/// If another revision took the place of what that attempt may have made, only its record tells;
/// without it the earlier attempt is not settled.
async fn find_applied<S: ObjectStore>(
    store: &S,
    current: Option<&VersionedHead>,
    base: u64,
    note: &ApplyMetadata,
) -> Result<Option<RevisionHead>, ApplyError> {
    let Some(VersionedHead { head: current, .. }) = current else { return Ok(None) };
    if current.apply_id == note.apply_id {
        return Ok(Some(current.clone()));
    }
    if current.revision <= base + 1 || is_forgotten(base + 1, current.revision) {
        return Ok(None);
    }
    let made = read_replaced_head(store, base + 1).await.map_err(|_| ApplyError::Unconfirmed)?;
    Ok((made.apply_id == note.apply_id).then_some(made))
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
        FetchOutcome::NotNewer => unreachable!("a new reader holds no revision"),
    }
}
