//! Conditional writes whose lost answers are settled by reading back.

use std::time::Duration;

use catkin_base::{RunVerdict, copy_type};

use crate::store::{ObjectStore, StoreError, StoreErrorKind, StoredObject, WriteCondition};

copy_type! {
    /// How long a write whose answer was lost is pursued.
    pub struct ConfirmLimits {
        /// Further retries.
        pub retries: u32,
        /// Pause before each of them.
        pub retry_delay: Duration,
    }
}

impl Default for ConfirmLimits {
    fn default() -> Self {
        Self { retries: 3, retry_delay: Duration::from_millis(50) }
    }
}

/// What is known of an object after a write.
pub(crate) enum WriteEnd {
    /// The write took effect and gave this version.
    Done(u64),
    /// The object is another one than expected; this one, if any.
    Other(Option<StoredObject>),
    /// Nothing was written.
    NotWritten(StoreErrorKind),
    /// It may have been written, or may yet be.
    Unsettled,
}

/// Writes an object. The value has to differ from what anyone else would write there, so that
/// finding it means that this write took effect.
pub(crate) async fn write_confirmed<Store: ObjectStore>(
    store: &Store,
    key: &str,
    value: &[u8],
    condition: WriteCondition,
    limits: ConfirmLimits,
) -> WriteEnd {
    let mut may_be_written = false;
    for attempt in 0..=limits.retries {
        if attempt > 0 {
            tokio::time::sleep(limits.retry_delay).await;
        }
        match store.put(key, value, condition).await {
            Ok(version) => return WriteEnd::Done(version),
            Err(StoreError { kind: StoreErrorKind::Conflict, .. }) => match store.get(key).await {
                Ok(found) => return compare_found(found, value),
                Err(_) => may_be_written = true,
            },
            Err(error) => {
                may_be_written |= error.ran != RunVerdict::NotRun;
                if !may_be_written {
                    return WriteEnd::NotWritten(error.kind);
                }
            }
        }
    }
    WriteEnd::Unsettled
}

fn compare_found(found: Option<StoredObject>, value: &[u8]) -> WriteEnd {
    match found {
        Some(found) if found.value == value => WriteEnd::Done(found.version),
        found => WriteEnd::Other(found),
    }
}
