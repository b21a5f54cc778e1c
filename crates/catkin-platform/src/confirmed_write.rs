//! Conditional writes that are confirmed by reading back if their response is lost.

use std::time::Duration;

use catkin_base::{RunVerdict, copy_type};

use crate::store::{ObjectStore, StoreError, StoreErrorKind, StoredObject, WriteCondition};

copy_type! {
    /// Retries of a write whose response was lost.
    pub struct ConfirmLimits {
        /// Maximum number of retries.
        pub retries: u32,
        /// Delay before each retry.
        pub retry_delay: Duration,
    }
}

impl Default for ConfirmLimits {
    fn default() -> Self {
        Self { retries: 3, retry_delay: Duration::from_millis(50) }
    }
}

/// Outcome of a conditional write.
pub(crate) enum WriteOutcome {
    /// The write took effect; this is the new version.
    Written(u64),
    /// The precondition was not met; this is the stored object, if any.
    Mismatch(Option<StoredObject>),
    /// Nothing was written.
    NotWritten(StoreErrorKind),
    /// The write may have taken effect or may still do so.
    Unconfirmed,
}

/// Writes an object, and reads it back if the precondition is not met, since an earlier attempt may
/// have taken effect. The value must differ from what any other writer would write, so that finding
/// it proves that this write took effect.
pub(crate) async fn write_confirmed<Store: ObjectStore>(
    store: &Store,
    key: &str,
    value: &[u8],
    condition: WriteCondition,
    limits: ConfirmLimits,
) -> WriteOutcome {
    let mut may_be_written = false;
    for attempt in 0..=limits.retries {
        if attempt > 0 {
            tokio::time::sleep(limits.retry_delay).await;
        }
        match store.put(key, value, condition).await {
            Ok(version) => return WriteOutcome::Written(version),
            Err(StoreError { kind: StoreErrorKind::Conflict, .. }) => match store.get(key).await {
                Ok(found) => return compare_found(found, value),
                Err(_) => may_be_written = true,
            },
            Err(error) => {
                may_be_written |= error.ran != RunVerdict::NotRun;
                if !may_be_written {
                    return WriteOutcome::NotWritten(error.kind);
                }
            }
        }
    }
    WriteOutcome::Unconfirmed
}

fn compare_found(found: Option<StoredObject>, value: &[u8]) -> WriteOutcome {
    match found {
        Some(found) if found.value == value => WriteOutcome::Written(found.version),
        found => WriteOutcome::Mismatch(found),
    }
}
