//! History: a recorded copy of the head of each replaced revision.

use catkin_base::RunVerdict;
use catkin_platform::{ObjectStore, StoreError, StoreErrorKind, WriteCondition};

use crate::head::{MALFORMED_OBJECT, RevisionHead, read_versioned_head};

/// Number of replaced revisions that stay available for a rollback.
const HISTORY_REVISIONS: u64 = 256;

/// Prefix of the keys of recorded heads in the platform's object store.
const HISTORY_PREFIX: &str = "config/history/";

/// Maximum number of keys requested in one call.
const LIST_PAGE_KEYS: u32 = 1_000;

/// Returns whether the record of `revision` may be deleted once `newest` is in force.
pub(crate) fn is_expired(revision: u64, newest: u64) -> bool {
    revision < newest.saturating_sub(HISTORY_REVISIONS)
}

/// Reads at most `limit` heads, newest first, beginning with the one in force.
pub async fn read_history<S: ObjectStore>(
    store: &S,
    limit: usize,
) -> Result<Vec<RevisionHead>, StoreError> {
    let Some(current) = read_versioned_head(store).await? else { return Ok(Vec::new()) };
    let newest = current.head.revision;
    let mut heads = vec![current.head];
    for revision in list_revisions(store).await?.into_iter().rev() {
        if heads.len() >= limit {
            break;
        }
        if revision < newest {
            heads.extend(read_recorded_head(store, revision).await?);
        }
    }
    Ok(heads)
}

/// Reads the head of one revision, whether it is in force or was replaced; `None` if it is unknown.
pub(crate) async fn read_revision_head<S: ObjectStore>(
    store: &S,
    revision: u64,
) -> Result<Option<RevisionHead>, StoreError> {
    match read_versioned_head(store).await? {
        Some(current) if current.head.revision == revision => Ok(Some(current.head)),
        _ => read_recorded_head(store, revision).await,
    }
}

/// Reads the recorded head of a replaced revision; `None` if there is no record.
pub(crate) async fn read_recorded_head<S: ObjectStore>(
    store: &S,
    revision: u64,
) -> Result<Option<RevisionHead>, StoreError> {
    let Some(object) = store.get(&history_key(revision)).await? else { return Ok(None) };
    RevisionHead::decode(&object.value).map(Some).ok_or(MALFORMED_OBJECT)
}

/// Reads the head of a revision that is known to have been replaced.
///
/// A head is recorded before it is replaced. A read that does not find the record is therefore
/// stale, or the record has expired; either gives [`STALE_READ`].
pub(crate) async fn require_recorded_head<S: ObjectStore>(
    store: &S,
    revision: u64,
) -> Result<RevisionHead, StoreError> {
    read_recorded_head(store, revision).await?.ok_or(STALE_READ)
}

/// Error for a read that does not find a record that must have been written.
const STALE_READ: StoreError =
    StoreError { kind: StoreErrorKind::Unavailable, ran: RunVerdict::NotRun };

/// Records a head before it is replaced. Succeeds as well if another writer has recorded it.
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

/// Lists the numbers of the recorded revisions in ascending order.
pub(crate) async fn list_revisions<S: ObjectStore>(store: &S) -> Result<Vec<u64>, StoreError> {
    let keys = list_keys(store, HISTORY_PREFIX).await?;
    Ok(keys.iter().filter_map(|key| key[HISTORY_PREFIX.len()..].parse().ok()).collect())
}

/// Deletes the record of one revision, if there is one.
pub(crate) async fn delete_record<S: ObjectStore>(
    store: &S,
    revision: u64,
) -> Result<(), StoreError> {
    let key = history_key(revision);
    match store.get(&key).await? {
        Some(object) => store.delete(&key, object.version).await,
        None => Ok(()),
    }
}

/// Lists all keys with a prefix, page by page.
pub(crate) async fn list_keys<S: ObjectStore>(
    store: &S,
    prefix: &str,
) -> Result<Vec<String>, StoreError> {
    let mut keys: Vec<String> = Vec::new();
    loop {
        let after = keys.last().cloned().unwrap_or_default();
        let page = store.list(prefix, &after, LIST_PAGE_KEYS).await?;
        let is_last = page.len() < LIST_PAGE_KEYS as usize;
        keys.extend(page);
        if is_last {
            return Ok(keys);
        }
    }
}

/// Returns the key of a recorded head. The number is padded, so that keys sort by revision.
fn history_key(revision: u64) -> String {
    format!("{HISTORY_PREFIX}{revision:020}")
}
