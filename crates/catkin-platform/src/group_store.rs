//! An object store with group commit: concurrent writes share one write to the platform.

use std::sync::Arc;
use std::time::Duration;

use catkin_base::RunVerdict;
use tokio::task::JoinHandle;
use tokio::time::{Instant, timeout_at};

use crate::group_log::{GroupLog, GroupOptions, GroupWrite};
use crate::group_segment::{MAX_SEGMENT_BYTES, MAX_SEGMENT_RECORDS};
use crate::store::{ObjectStore, StoreError, StoreErrorKind, StoredObject, WriteCondition};

/// Maximum number of calls that wait for the task that owns the log.
const CALL_QUEUE: usize = 4096;

type Reply<Answer> = flume::Sender<Result<Answer, StoreError>>;

struct WriteCall {
    write: GroupWrite,
    reply: Reply<u64>,
}

enum GroupCall {
    Write(WriteCall),
    Get { key: String, reply: Reply<Option<StoredObject>> },
    List { prefix: String, after: String, limit: u32, reply: Reply<Vec<String>> },
    Trim { limit: usize, reply: Reply<usize> },
}

/// An object store on top of a log of segments.
///
/// Writes that arrive within the batch wait form one segment, which is one write to the platform.
/// The store assigns versions of its own, which differ from those of the platform. One task owns
/// the log. Several stores may safely share one log, at the cost of write conflicts.
pub struct GroupStore {
    calls: flume::Sender<GroupCall>,
    task: JoinHandle<()>,
}

impl GroupStore {
    /// Starts the task that owns the log. The first call reads the log.
    pub fn start<Store: ObjectStore>(store: Arc<Store>, options: GroupOptions) -> Self {
        let (calls, received) = flume::bounded(CALL_QUEUE);
        let batch_wait = options.batch_wait;
        let log = GroupLog::new(store, options);
        let worker = GroupWorker { log, received, batch_wait, next_commit_at: Instant::now() };
        Self { calls, task: tokio::spawn(worker.run()) }
    }

    /// Deletes up to `limit` segments past their retention; returns the number deleted.
    pub async fn trim(&self, limit: usize) -> Result<usize, StoreError> {
        self.call(StoreError::stopped(), |reply| GroupCall::Trim { limit, reply }).await
    }

    /// Waits until all accepted calls are completed and the task has ended.
    pub async fn stop(self) {
        drop(self.calls);
        if let Err(error) = self.task.await {
            log::error!("claims: group log task failed; its calls were dropped. error={error}");
        }
    }

    /// Sends a call to the task and waits for its reply. Fails with `stopped_error` if the task
    /// ends before it replies.
    async fn call<Answer>(
        &self,
        stopped_error: StoreError,
        build: impl FnOnce(Reply<Answer>) -> GroupCall,
    ) -> Result<Answer, StoreError> {
        let (reply, replied) = flume::bounded(1);
        if self.calls.send_async(build(reply)).await.is_err() {
            return Err(StoreError::stopped());
        }
        replied.recv_async().await.unwrap_or(Err(stopped_error))
    }

    async fn write(&self, write: GroupWrite) -> Result<u64, StoreError> {
        let stopped_error = StoreError { ran: RunVerdict::MayHaveRun, ..StoreError::stopped() };
        self.call(stopped_error, |reply| GroupCall::Write(WriteCall { write, reply })).await
    }
}

impl StoreError {
    /// The error of a call to a store that has stopped. The call had no effect.
    fn stopped() -> Self {
        Self { kind: StoreErrorKind::Unavailable, ran: RunVerdict::NotRun }
    }
}

impl ObjectStore for GroupStore {
    async fn get(&self, key: &str) -> Result<Option<StoredObject>, StoreError> {
        let key = key.to_owned();
        self.call(StoreError::stopped(), |reply| GroupCall::Get { key, reply }).await
    }

    async fn put(
        &self,
        key: &str,
        value: &[u8],
        condition: WriteCondition,
    ) -> Result<u64, StoreError> {
        if value.len() > MAX_SEGMENT_BYTES {
            return Err(StoreError { kind: StoreErrorKind::Invalid, ran: RunVerdict::NotRun });
        }
        let value = Some(value.to_vec());
        self.write(GroupWrite { key: key.to_owned(), value, condition }).await
    }

    async fn delete(&self, key: &str, version: u64) -> Result<(), StoreError> {
        let condition = WriteCondition::Version(version);
        let write = GroupWrite { key: key.to_owned(), value: None, condition };
        self.write(write).await.map(|_| ())
    }

    async fn list(&self, prefix: &str, after: &str, limit: u32) -> Result<Vec<String>, StoreError> {
        let (prefix, after) = (prefix.to_owned(), after.to_owned());
        let build = |reply| GroupCall::List { prefix, after, limit, reply };
        self.call(StoreError::stopped(), build).await
    }

    /// Always fails with [`StoreErrorKind::Invalid`]: a group log does not support watches.
    async fn watch(
        &self,
        _key: &str,
        _version: u64,
        _wait: Duration,
    ) -> Result<Option<StoredObject>, StoreError> {
        Err(StoreError { kind: StoreErrorKind::Invalid, ran: RunVerdict::NotRun })
    }
}

struct GroupWorker<Store: ObjectStore> {
    log: GroupLog<Store>,
    received: flume::Receiver<GroupCall>,
    batch_wait: Duration,
    next_commit_at: Instant,
}

/// Writes that are committed in one segment.
#[derive(Default)]
struct WriteBatch {
    writes: Vec<GroupWrite>,
    replies: Vec<Reply<u64>>,
    bytes: usize,
}

impl WriteBatch {
    fn push(&mut self, call: WriteCall) {
        self.bytes += call.write.value.as_ref().map_or(0, Vec::len);
        self.writes.push(call.write);
        self.replies.push(call.reply);
    }

    fn has_capacity_for(&self, call: &WriteCall) -> bool {
        let bytes = call.write.value.as_ref().map_or(0, Vec::len);
        self.writes.len() < MAX_SEGMENT_RECORDS && self.bytes + bytes <= MAX_SEGMENT_BYTES
    }
}

impl<Store: ObjectStore> GroupWorker<Store> {
    async fn run(mut self) {
        let mut deferred = None;
        loop {
            let call = match deferred.take() {
                Some(call) => call,
                None => match self.received.recv_async().await {
                    Ok(call) => call,
                    Err(_) => return,
                },
            };
            match call {
                GroupCall::Write(call) => deferred = self.write_batch(call).await,
                other => self.handle_call(other).await,
            }
        }
    }

    /// Collects writes until the next commit is due and commits them. Returns a received call that
    /// is not part of the batch and must be handled next.
    async fn write_batch(&mut self, first: WriteCall) -> Option<GroupCall> {
        let mut batch = WriteBatch::default();
        batch.push(first);
        let deferred = self.collect_writes(&mut batch).await;
        self.next_commit_at = Instant::now() + self.batch_wait;
        let results = self.log.commit(&batch.writes).await;
        for (reply, result) in batch.replies.into_iter().zip(results) {
            let _ = reply.send(result);
        }
        deferred
    }

    /// Adds received writes to the batch until the next commit is due, the batch is full or another
    /// kind of call arrives; returns the call that ended the collection.
    async fn collect_writes(&mut self, batch: &mut WriteBatch) -> Option<GroupCall> {
        loop {
            let next = match self.received.try_recv() {
                Ok(call) => Ok(Ok(call)),
                Err(_) => timeout_at(self.next_commit_at, self.received.recv_async()).await,
            };
            match next {
                Ok(Ok(GroupCall::Write(call))) if batch.has_capacity_for(&call) => batch.push(call),
                Ok(Ok(call)) => return Some(call),
                Ok(Err(_)) | Err(_) => return None,
            }
        }
    }

    async fn handle_call(&mut self, call: GroupCall) {
        match call {
            GroupCall::Write(_) => {}
            GroupCall::Get { key, reply } => {
                let _ = reply.send(self.log.get(&key).await);
            }
            GroupCall::List { prefix, after, limit, reply } => {
                let _ = reply.send(self.log.list(&prefix, &after, limit).await);
            }
            GroupCall::Trim { limit, reply } => {
                let _ = reply.send(self.log.trim(limit).await);
            }
        }
    }
}
