//! Stand-in of the store: objects, watches and injected faults.

use std::collections::BTreeMap;
use std::io;
use std::marker::PhantomData;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use catkin_base::copy_type;
use catkin_entry::{StoreKind, StoredEntry};
use std::cell::RefCell;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

use crate::accept::listen;
use crate::message::{HttpMessage, MessageReader, write_answer};
use crate::wire::{StandinWire, StoreCall};

/// Time until an answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);
/// Time until an answer while the store is slow.
const SLOW_ANSWER_TIME: Duration = Duration::from_millis(900);
/// Time until a call whose answer is lost is executed.
const LOST_CALL_TIME: Duration = Duration::from_millis(1_500);

copy_type! {
    /// How the store answers calls.
    #[derive(Default)]
    pub(crate) enum StoreBehavior {
        /// It executes and answers them.
        #[default]
        Normal,
        /// It refuses them with status 503.
        Down,
        /// It executes and answers them late.
        Slow,
        /// It executes them late and sends no answer.
        LosesAnswers,
    }
}

type ObjectTable = BTreeMap<(StoreKind, String), StoredEntry>;

/// A copy of the store's objects.
#[derive(Clone)]
pub(crate) struct StoreCopy {
    objects: ObjectTable,
    revision: u64,
}

#[derive(Default)]
struct StoreObjects {
    objects: ObjectTable,
    changes: Vec<(StoreKind, StoredEntry)>,
    revision: u64,
    /// Changes up to this revision are no longer in the history.
    dropped_revision: u64,
    /// Number of times that the store was restored from a copy.
    era: u64,
    behavior: StoreBehavior,
}

/// A store that holds its objects in memory.
pub(crate) struct StandinStore<W> {
    objects: RefCell<StoreObjects>,
    changed: Notify,
    wire: PhantomData<W>,
}

struct StoreAnswer {
    status: u16,
    body: String,
}

impl StoreAnswer {
    fn new(status: u16, body: String) -> Self {
        Self { status, body }
    }

    fn empty(status: u16) -> Self {
        Self::new(status, "{}".to_owned())
    }
}

impl<W: StandinWire> StandinStore<W> {
    pub(crate) fn new() -> Self {
        Self { objects: RefCell::default(), changed: Notify::new(), wire: PhantomData }
    }

    /// Listens on `ip` and answers calls until the tasks end.
    pub(crate) async fn serve(
        self: &Rc<Self>,
        ip: IpAddr,
        tasks: &mut JoinSet<()>,
    ) -> io::Result<SocketAddr> {
        let store = Rc::clone(self);
        let serve = move |stream| {
            let store = Rc::clone(&store);
            Some(async move { store.serve_stream(stream).await })
        };
        listen(ip, tasks, serve).await
    }

    pub(crate) fn set_behavior(&self, behavior: StoreBehavior) {
        self.objects.borrow_mut().behavior = behavior;
        self.changed.notify_waiters();
    }

    /// Drops the history of changes, so that watches must start over.
    pub(crate) fn drop_history(&self) {
        let mut objects = self.objects.borrow_mut();
        objects.dropped_revision = objects.revision;
        objects.changes.clear();
        drop(objects);
        self.changed.notify_waiters();
    }

    /// Copies all objects.
    pub(crate) fn copy(&self) -> StoreCopy {
        let objects = self.objects.borrow();
        StoreCopy { objects: objects.objects.clone(), revision: objects.revision }
    }

    /// Loses what was written since the copy, and starts the next era. Returns the objects before.
    pub(crate) fn restore(&self, copy: StoreCopy) -> StoreCopy {
        let before = self.copy();
        let mut objects = self.objects.borrow_mut();
        objects.objects = copy.objects;
        objects.revision = copy.revision;
        objects.changes.clear();
        objects.dropped_revision = copy.revision;
        objects.era += 1;
        drop(objects);
        self.changed.notify_waiters();
        before
    }

    /// Writes the declarations and the entries of servers again as they were `before` the restore of
    /// `copy`, unless they have changed since.
    pub(crate) fn write_again(&self, copy: &StoreCopy, before: &StoreCopy) {
        let mut objects = self.objects.borrow_mut();
        let names = copy.objects.keys().chain(before.objects.keys());
        let lasting = |(kind, _): &&(StoreKind, String)| {
            matches!(kind, StoreKind::Declarations | StoreKind::Servers)
        };
        for key in names.filter(lasting) {
            let content = |table: &ObjectTable| table.get(key).map(|entry| entry.content.clone());
            if content(&objects.objects) != content(&copy.objects) {
                continue;
            }
            match content(&before.objects) {
                Some(content) => objects.write(key.0, &key.1, content),
                None => _ = objects.remove(key.0, &key.1),
            }
        }
        drop(objects);
        self.changed.notify_waiters();
    }

    /// Writes an object as an operator or a server would.
    pub(crate) fn write(&self, kind: StoreKind, name: &str, content: String) {
        self.objects.borrow_mut().write(kind, name, content);
        self.changed.notify_waiters();
    }

    /// Removes an object.
    pub(crate) fn remove(&self, kind: StoreKind, name: &str) {
        self.objects.borrow_mut().remove(kind, name);
        self.changed.notify_waiters();
    }

    /// Answers calls until the connection ends; either side may end it.
    async fn serve_stream(&self, stream: TcpStream) {
        let (read, mut write) = stream.into_split();
        let mut reader = MessageReader::new(read);
        while let Ok(message) = reader.read().await {
            let Some(answer) = self.answer_message(&message).await else { return };
            let era = self.objects.borrow().era;
            let fields = format!("{}: {era}\r\n", W::HEADERS.store_era);
            if write_answer(&mut write, answer.status, &fields, &answer.body).await.is_err() {
                return;
            }
        }
    }

    /// Returns `None` if the answer is to be lost.
    async fn answer_message(&self, message: &HttpMessage) -> Option<StoreAnswer> {
        let call = message
            .method_and_target()
            .and_then(|(method, target)| W::decode_call(method, target, &message.body));
        let Some(call) = call else { return Some(StoreAnswer::empty(400)) };
        let behavior = self.objects.borrow().behavior;
        match behavior {
            StoreBehavior::Normal => sleep(ANSWER_TIME).await,
            StoreBehavior::Slow => sleep(SLOW_ANSWER_TIME).await,
            StoreBehavior::Down => return Some(StoreAnswer::empty(503)),
            StoreBehavior::LosesAnswers => {
                sleep(LOST_CALL_TIME).await;
                self.answer_call(&call).await;
                return None;
            }
        }
        Some(self.answer_call(&call).await)
    }

    async fn answer_call(&self, call: &StoreCall) -> StoreAnswer {
        if let StoreCall::Watch { kind, revision, wait_millis } = call {
            return self.answer_watch(*kind, *revision, *wait_millis).await;
        }
        let answer = self.objects.borrow_mut().answer::<W>(call);
        self.changed.notify_waiters();
        answer
    }

    async fn answer_watch(&self, kind: StoreKind, revision: u64, wait_millis: u64) -> StoreAnswer {
        let wait = Duration::from_millis(wait_millis);
        let answer = timeout(wait, async {
            loop {
                let changed = self.changed.notified();
                if let Some(answer) = self.objects.borrow().answer_changes::<W>(kind, revision) {
                    return answer;
                }
                changed.await;
            }
        });
        answer.await.unwrap_or_else(|_| {
            StoreAnswer::new(200, W::encode_changes(&[], self.objects.borrow().revision))
        })
    }
}

impl StoreObjects {
    fn write(&mut self, kind: StoreKind, name: &str, content: String) {
        let key = (kind, name.to_owned());
        if self.objects.get(&key).is_some_and(|entry| entry.content == content) {
            return;
        }
        self.revision += 1;
        let name = name.to_owned();
        let entry = StoredEntry { name, revision: self.revision, removed: false, content };
        self.changes.push((kind, entry.clone()));
        self.objects.insert(key, entry);
    }

    fn remove(&mut self, kind: StoreKind, name: &str) -> bool {
        let Some(mut entry) = self.objects.remove(&(kind, name.to_owned())) else { return false };
        self.revision += 1;
        entry.revision = self.revision;
        entry.removed = true;
        self.changes.push((kind, entry));
        true
    }

    fn answer<W: StandinWire>(&mut self, call: &StoreCall) -> StoreAnswer {
        match call {
            StoreCall::List(kind) => {
                let rows = self.objects.iter().filter(|((known, _), _)| known == kind);
                let entries: Vec<StoredEntry> = rows.map(|(_, entry)| entry.clone()).collect();
                StoreAnswer::new(200, W::encode_list(&entries, self.revision))
            }
            StoreCall::Get(kind, name) => match self.objects.get(&(*kind, name.clone())) {
                Some(entry) => StoreAnswer::new(200, W::encode_entry(entry)),
                None => StoreAnswer::empty(404),
            },
            StoreCall::Write { kind, name, content, create, revision } => {
                let known = self.objects.get(&(*kind, name.clone()));
                let exists = *create && known.is_some();
                let other = revision.is_some() && known.map(|entry| entry.revision) != *revision;
                if exists || other {
                    let body = known.map_or_else(|| "{}".to_owned(), W::encode_entry);
                    return StoreAnswer::new(409, body);
                }
                self.write(*kind, name, content.clone());
                StoreAnswer::empty(200)
            }
            StoreCall::Delete(kind, name, revision) => {
                let known = self.objects.get(&(*kind, name.clone()));
                let other = known.filter(|known| revision.is_some_and(|at| at != known.revision));
                if let Some(other) = other {
                    return StoreAnswer::new(409, W::encode_entry(other));
                }
                let status = if self.remove(*kind, name) { 200 } else { 404 };
                StoreAnswer::empty(status)
            }
            StoreCall::Watch { .. } => StoreAnswer::empty(400),
        }
    }

    /// Answer to a watch; `None` while there is no change.
    fn answer_changes<W: StandinWire>(
        &self,
        kind: StoreKind,
        revision: u64,
    ) -> Option<StoreAnswer> {
        if self.behavior == StoreBehavior::Down {
            return Some(StoreAnswer::empty(503));
        }
        if revision < self.dropped_revision || revision > self.revision {
            return Some(StoreAnswer::empty(410));
        }
        let newer = |(known, entry): &&(StoreKind, StoredEntry)| {
            *known == kind && entry.revision > revision
        };
        let entries: Vec<StoredEntry> =
            self.changes.iter().filter(newer).map(|(_, entry)| entry.clone()).collect();
        let has_changes = !entries.is_empty();
        has_changes.then(|| StoreAnswer::new(200, W::encode_changes(&entries, self.revision)))
    }
}
