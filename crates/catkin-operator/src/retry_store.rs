//! An object store client that retries rate-limited calls.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use catkin_platform::{ObjectStore, StoreError, StoreErrorKind, StoredObject, WriteCondition};
use tokio::time::sleep;

/// Pause before a rate-limited call is retried.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Maximum number of attempts of one call.
const MAX_ATTEMPTS: u32 = 200;

/// Object store that retries calls refused because of the rate limit, for about 20 seconds.
///
/// Meant for work that an operator waits for and that needs many calls, such as the first apply of
/// a large fleet.
#[derive(Debug, Clone)]
pub struct RetryStore<S> {
    store: Arc<S>,
}

impl<S: ObjectStore> RetryStore<S> {
    /// Returns a store that sends its calls to `store`.
    pub fn new(store: Arc<S>) -> Self {
        Self { store }
    }

    /// Returns the store that the calls are sent to.
    pub fn inner(&self) -> &S {
        &self.store
    }
}

/// Repeats a call while the store refuses it because of the rate limit.
async fn retry_call<T, F>(mut call: impl FnMut() -> F) -> Result<T, StoreError>
where
    F: Future<Output = Result<T, StoreError>> + Send,
{
    for _ in 1..MAX_ATTEMPTS {
        match call().await {
            Err(error) if error.kind == StoreErrorKind::RateLimited => sleep(RETRY_PAUSE).await,
            result => return result,
        }
    }
    call().await
}

impl<S: ObjectStore> ObjectStore for RetryStore<S> {
    async fn get(&self, key: &str) -> Result<Option<StoredObject>, StoreError> {
        retry_call(|| self.store.get(key)).await
    }

    async fn put(
        &self,
        key: &str,
        value: &[u8],
        condition: WriteCondition,
    ) -> Result<u64, StoreError> {
        retry_call(|| self.store.put(key, value, condition)).await
    }

    async fn delete(&self, key: &str, version: u64) -> Result<(), StoreError> {
        retry_call(|| self.store.delete(key, version)).await
    }

    async fn list(&self, prefix: &str, after: &str, limit: u32) -> Result<Vec<String>, StoreError> {
        retry_call(|| self.store.list(prefix, after, limit)).await
    }

    async fn watch(
        &self,
        key: &str,
        version: u64,
        wait: Duration,
    ) -> Result<Option<StoredObject>, StoreError> {
        retry_call(|| self.store.watch(key, version, wait)).await
    }
}
