//! Heads of earlier revisions.

use catkin_base::RunVerdict;
use catkin_platform::{ObjectStore, StoreError, StoreErrorKind, WriteCondition};

use crate::head::{MALFORMED, RevisionHead, read_versioned_head};

/// Revisions that stay available for a rollback.
const KEPT_REVISIONS: u64 = 256;

const HISTORY_PREFIX: &str = "config/history/";

/// Keys asked for in one listing.
const LIST_LIMIT: u32 = 1_000;

/// Whether a revision's record may have been dropped once `newest` is in force.
pub(crate) fn is_forgotten(revision: u64, newest: u64) -> bool {
    revision < newest.saturating_sub(KEPT_REVISIONS)
}

/// Reads the newest heads, the one in force first, at most `limit`.
pub async fn read_history<S: ObjectStore>(
    store: &S,
    limit: usize,
) -> Result<Vec<RevisionHead>, StoreError> {
    let Some(current) = read_versioned_head(store).await? else { return Ok(Vec::new()) };
    let newest = current.head.revision;
    let mut heads = vec![current.head];
    for revision in list_history(store).await?.into_iter().rev() {
        if heads.len() >= limit {
            break;
        }
        if revision < newest {
            heads.extend(read_past_head(store, revision).await?);
        }
    }
    Ok(heads)
}

/// Reads the head of one revision, in force or past.
pub(crate) async fn read_revision_head<S: ObjectStore>(
    store: &S,
    revision: u64,
) -> Result<Option<RevisionHead>, StoreError> {
    match read_versioned_head(store).await? {
        Some(current) if current.head.revision == revision => Ok(Some(current.head)),
        _ => read_past_head(store, revision).await,
    }
}

/// Reads the head of a revision that was replaced.
pub(crate) async fn read_past_head<S: ObjectStore>(
    store: &S,
    revision: u64,
) -> Result<Option<RevisionHead>, StoreError> {
    let Some(object) = store.get(&history_key(revision)).await? else { return Ok(None) };
    RevisionHead::decode(&object.value).map(Some).ok_or(MALFORMED)
}

/// Reads the head of a revision that is known to have been replaced.
///
/// It was recorded before that, so a read that does not find it is stale or the record too old.
pub(crate) async fn read_replaced_head<S: ObjectStore>(
    store: &S,
    revision: u64,
) -> Result<RevisionHead, StoreError> {
    read_past_head(store, revision).await?.ok_or(STALE)
}

/// The fault given for a read that does not show what must be there.
const STALE: StoreError = StoreError { kind: StoreErrorKind::Unavailable, ran: RunVerdict::NotRun };

/// Records a head before it is replaced. Whoever comes second finds it recorded.
pub(crate) async fn record_head<S: ObjectStore>(
    store: &S,
    head: &RevisionHead,
) -> Result<(), StoreError> {
    let key = history_key(head.revision);
    match store.put(&key, &head.encode(), WriteCondition::Absent).await {
        Err(error) if error.kind != StoreErrorKind::Conflict => Err(error),
        _ => Ok(()),
    }
}

/// Numbers of the recorded revisions, in order.
pub(crate) async fn list_history<S: ObjectStore>(store: &S) -> Result<Vec<u64>, StoreError> {
    let keys = list_all(store, HISTORY_PREFIX).await?;
    Ok(keys.iter().filter_map(|key| key[HISTORY_PREFIX.len()..].parse().ok()).collect())
}

/// Deletes the record of one revision.
pub(crate) async fn forget_head<S: ObjectStore>(
    store: &S,
    revision: u64,
) -> Result<(), StoreError> {
    let key = history_key(revision);
    match store.get(&key).await? {
        Some(object) => store.delete(&key, object.version).await,
        None => Ok(()),
    }
}

/// Lists every key with a prefix.
pub(crate) async fn list_all<S: ObjectStore>(
    store: &S,
    prefix: &str,
) -> Result<Vec<String>, StoreError> {
    let mut keys: Vec<String> = Vec::new();
    loop {
        let after = keys.last().cloned().unwrap_or_default();
        let page = store.list(prefix, &after, LIST_LIMIT).await?;
        let is_last = page.len() < LIST_LIMIT as usize;
        keys.extend(page);
        if is_last {
            return Ok(keys);
        }
    }
}

fn history_key(revision: u64) -> String {
    format!("{HISTORY_PREFIX}{revision:020}")
}
