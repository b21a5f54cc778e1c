//! A store that waits while its rate is limited.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use catkin_platform::{ObjectStore, StoreError, StoreErrorKind, StoredObject, WriteCondition};
use tokio::time::sleep;

/// Pause before a call that was held back is tried again.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Times that one call is tried.
const MAX_TRIES: u32 = 200;

/// Repeats calls that were refused because of the rate, for some seconds.
///
/// For work that an operator waits for and that needs many calls, such as an apply of everything.
#[derive(Debug, Clone)]
pub struct RetryStore<S> {
    store: Arc<S>,
}

impl<S: ObjectStore> RetryStore<S> {
    /// Calls `store`.
    pub fn new(store: Arc<S>) -> Self {
        Self { store }
    }

    /// The store that is called.
    pub fn inner(&self) -> &S {
        &self.store
    }
}

/// Repeats a call while its rate is limited.
async fn repeat_call<T, F>(mut call: impl FnMut() -> F) -> Result<T, StoreError>
where
    F: Future<Output = Result<T, StoreError>> + Send,
{
    for _ in 1..MAX_TRIES {
        match call().await {
            Err(error) if error.kind == StoreErrorKind::RateLimited => sleep(RETRY_PAUSE).await,
            result => return result,
        }
    }
    call().await
}

impl<S: ObjectStore> ObjectStore for RetryStore<S> {
    async fn get(&self, key: &str) -> Result<Option<StoredObject>, StoreError> {
        repeat_call(|| self.store.get(key)).await
    }

    async fn put(
        &self,
        key: &str,
        value: &[u8],
        condition: WriteCondition,
    ) -> Result<u64, StoreError> {
        repeat_call(|| self.store.put(key, value, condition)).await
    }

    async fn delete(&self, key: &str, version: u64) -> Result<(), StoreError> {
        repeat_call(|| self.store.delete(key, version)).await
    }

    async fn list(&self, prefix: &str, after: &str, limit: u32) -> Result<Vec<String>, StoreError> {
        repeat_call(|| self.store.list(prefix, after, limit)).await
    }

    async fn watch(
        &self,
        key: &str,
        version: u64,
        wait: Duration,
    ) -> Result<Option<StoredObject>, StoreError> {
        repeat_call(|| self.store.watch(key, version, wait)).await
    }
}
