//! An object store whose writes join into few writes to the platform.

use std::sync::Arc;
use std::time::Duration;

use catkin_base::RunVerdict;
use tokio::task::JoinHandle;
use tokio::time::{Instant, timeout_at};

use crate::group_log::{GroupLog, GroupOptions, GroupWrite};
use crate::group_segment::{MAX_SEGMENT_BYTES, MAX_SEGMENT_RECORDS};
use crate::store::{ObjectStore, StoreError, StoreErrorKind, StoredObject, WriteCondition};

/// Calls that wait for the log's task.
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

/// An object store kept in a log of segments.
///
/// Writes that arrive within the batch wait become one segment, one write to the platform. The
/// versions that it gives are its own. One task keeps the log; several stores over one log are
/// safe and cost conflicts.
pub struct GroupStore {
    calls: flume::Sender<GroupCall>,
    task: JoinHandle<()>,
}

impl GroupStore {
    /// Starts the task that keeps the log. The log is read with the first call.
    pub fn start<Store: ObjectStore>(store: Arc<Store>, options: GroupOptions) -> Self {
        let (calls, received) = flume::bounded(CALL_QUEUE);
        let batch_wait = options.batch_wait;
        let log = GroupLog::new(store, options);
        let worker = GroupWorker { log, received, batch_wait, next_commit_at: Instant::now() };
        Self { calls, task: tokio::spawn(worker.run()) }
    }

    /// Deletes segments that are past the retention, at most `limit`; returns how many went.
    pub async fn trim(&self, limit: usize) -> Result<usize, StoreError> {
        self.call(StoreError::stopped(), |reply| GroupCall::Trim { limit, reply }).await
    }

    /// Ends the calls that were accepted and joins the task.
    pub async fn stop(self) {
        drop(self.calls);
        if let Err(error) = self.task.await {
            log::error!("claims: the group log's task failed: {error}");
        }
    }

    async fn call<Answer>(
        &self,
        lost: StoreError,
        build: impl FnOnce(Reply<Answer>) -> GroupCall,
    ) -> Result<Answer, StoreError> {
        let (reply, answered) = flume::bounded(1);
        if self.calls.send_async(build(reply)).await.is_err() {
            return Err(StoreError::stopped());
        }
        answered.recv_async().await.unwrap_or(Err(lost))
    }

    async fn write(&self, write: GroupWrite) -> Result<u64, StoreError> {
        let lost = StoreError { ran: RunVerdict::MayHaveRun, ..StoreError::stopped() };
        self.call(lost, |reply| GroupCall::Write(WriteCall { write, reply })).await
    }
}

impl StoreError {
    /// The store has stopped and did nothing.
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

    /// Not offered: a group log has no watches.
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

/// Writes that are committed together.
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

    fn has_room_for(&self, call: &WriteCall) -> bool {
        let bytes = call.write.value.as_ref().map_or(0, Vec::len);
        self.writes.len() < MAX_SEGMENT_RECORDS && self.bytes + bytes <= MAX_SEGMENT_BYTES
    }
}

impl<Store: ObjectStore> GroupWorker<Store> {
    async fn run(mut self) {
        let mut waiting = None;
        loop {
            let call = match waiting.take() {
                Some(call) => call,
                None => match self.received.recv_async().await {
                    Ok(call) => call,
                    Err(_) => return,
                },
            };
            match call {
                GroupCall::Write(call) => waiting = self.write_batch(call).await,
                other => self.answer(other).await,
            }
        }
    }

    /// Collects writes until the next commit is allowed, and commits them. Returns a call that
    /// did not join.
    async fn write_batch(&mut self, first: WriteCall) -> Option<GroupCall> {
        let mut batch = WriteBatch::default();
        batch.push(first);
        let left_over = self.collect(&mut batch).await;
        self.next_commit_at = Instant::now() + self.batch_wait;
        let ends = self.log.commit(&batch.writes).await;
        for (reply, end) in batch.replies.into_iter().zip(ends) {
            let _ = reply.send(end);
        }
        left_over
    }

    async fn collect(&mut self, batch: &mut WriteBatch) -> Option<GroupCall> {
        loop {
            let next = match self.received.try_recv() {
                Ok(call) => Ok(Ok(call)),
                Err(_) => timeout_at(self.next_commit_at, self.received.recv_async()).await,
            };
            match next {
                Ok(Ok(GroupCall::Write(call))) if batch.has_room_for(&call) => batch.push(call),
                Ok(Ok(call)) => return Some(call),
                Ok(Err(_)) | Err(_) => return None,
            }
        }
    }

    async fn answer(&mut self, call: GroupCall) {
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
