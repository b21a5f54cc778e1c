//! Stand-in of the store: objects, watches, and faults of its own.

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

/// Time that an answer takes.
const ANSWER_TIME: Duration = Duration::from_millis(4);
/// Time that an answer takes while the store is slow.
const SLOW_ANSWER_TIME: Duration = Duration::from_millis(900);
/// Time after which a call is carried out whose answer is lost.
const LOST_CALL_TIME: Duration = Duration::from_millis(1_500);

copy_type! {
    /// How the store behaves.
    #[derive(Default)]
    pub(crate) enum StoreMood {
        /// It answers.
        #[default]
        Sound,
        /// It refuses every call.
        Down,
        /// It answers late.
        Slow,
        /// It carries calls out, some of them late, and answers none.
        LosesAnswers,
    }
}

#[derive(Default)]
struct StoreObjects {
    objects: BTreeMap<(StoreKind, String), StoredEntry>,
    changes: Vec<(StoreKind, StoredEntry)>,
    revision: u64,
    /// Changes up to this revision are forgotten.
    forgotten: u64,
    mood: StoreMood,
}

/// A store without disk.
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

    fn refused(status: u16) -> Self {
        Self::new(status, "{}".to_owned())
    }
}

impl<W: StandinWire> StandinStore<W> {
    pub(crate) fn new() -> Self {
        Self { objects: RefCell::default(), changed: Notify::new(), wire: PhantomData }
    }

    /// Listens on `ip` and answers until dropped.
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

    pub(crate) fn set_mood(&self, mood: StoreMood) {
        self.objects.borrow_mut().mood = mood;
        self.changed.notify_waiters();
    }

    /// Forgets all changes so far, so that watches must begin anew.
    pub(crate) fn forget_history(&self) {
        let mut objects = self.objects.borrow_mut();
        objects.forgotten = objects.revision;
        objects.changes.clear();
        drop(objects);
        self.changed.notify_waiters();
    }

    /// Writes an object as the operator or a server does.
    pub(crate) fn write(&self, kind: StoreKind, name: &str, content: String) {
        self.objects.borrow_mut().write(kind, name, content);
        self.changed.notify_waiters();
    }

    /// Removes an object.
    pub(crate) fn remove(&self, kind: StoreKind, name: &str) {
        self.objects.borrow_mut().remove(kind, name);
        self.changed.notify_waiters();
    }

    /// Answers calls until the connection ends, which is no fault of either side.
    async fn serve_stream(&self, stream: TcpStream) {
        let (read, mut write) = stream.into_split();
        let mut reader = MessageReader::new(read);
        while let Ok(message) = reader.read().await {
            let Some(answer) = self.answer_message(&message).await else { return };
            if write_answer(&mut write, answer.status, "", &answer.body).await.is_err() {
                return;
            }
        }
    }

    /// `None` if the answer is lost.
    async fn answer_message(&self, message: &HttpMessage) -> Option<StoreAnswer> {
        let call = message
            .call()
            .and_then(|(method, target)| W::decode_call(method, target, &message.body));
        let Some(call) = call else { return Some(StoreAnswer::refused(400)) };
        let mood = self.objects.borrow().mood;
        match mood {
            StoreMood::Sound => sleep(ANSWER_TIME).await,
            StoreMood::Slow => sleep(SLOW_ANSWER_TIME).await,
            StoreMood::Down => return Some(StoreAnswer::refused(503)),
            StoreMood::LosesAnswers => {
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
        let news = timeout(wait, async {
            loop {
                let changed = self.changed.notified();
                if let Some(answer) = self.objects.borrow().news::<W>(kind, revision) {
                    return answer;
                }
                changed.await;
            }
        });
        news.await.unwrap_or_else(|_| {
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
                None => StoreAnswer::refused(404),
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
                StoreAnswer::refused(200)
            }
            StoreCall::Delete(kind, name) => {
                let status = if self.remove(*kind, name) { 200 } else { 404 };
                StoreAnswer::refused(status)
            }
            StoreCall::Watch { .. } => StoreAnswer::refused(400),
        }
    }

    /// The answer of a watch, if there is something to tell.
    fn news<W: StandinWire>(&self, kind: StoreKind, revision: u64) -> Option<StoreAnswer> {
        if self.mood == StoreMood::Down {
            return Some(StoreAnswer::refused(503));
        }
        if revision < self.forgotten {
            return Some(StoreAnswer::refused(410));
        }
        let newer = |(known, entry): &&(StoreKind, StoredEntry)| {
            *known == kind && entry.revision > revision
        };
        let entries: Vec<StoredEntry> =
            self.changes.iter().filter(newer).map(|(_, entry)| entry.clone()).collect();
        let told = !entries.is_empty();
        told.then(|| StoreAnswer::new(200, W::encode_changes(&entries, self.revision)))
    }
}
