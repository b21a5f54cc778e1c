//! State shared by the feeder's tasks: open requests, counts of messages and results, and the
//! newest revision.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU32, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use catkin_base::copy_type;
use catkin_operator::RevisionReader;
use catkin_peer::messages::peer_message::Kind;
use catkin_peer::messages::{GrantResult, PeerMessage};
use prost::Message;

copy_type! {
    /// Count of the messages of one kind that the router sent.
    #[derive(Default)]
    pub struct KindCount {
        /// Number of messages.
        pub messages: u64,
        /// Total length of the bodies in bytes, without envelopes.
        pub bytes: u64,
    }

    /// Results of grant requests and calls.
    #[derive(Default)]
    pub struct LoadCounts {
        /// Grant requests sent to the router as owner.
        pub asks: u64,
        /// Grant requests that it granted.
        pub granted: u64,
        /// Grant requests that it queued.
        pub queued: u64,
        /// Grant requests that it did not decide itself: redirect, overflow or not owner.
        pub passed_on: u64,
        /// Grant requests that it refused.
        pub refused: u64,
        /// Calls sent to it that have ended.
        pub calls: u64,
        /// Calls with a complete answer.
        pub complete: u64,
    }

    /// A grant request that was sent.
    pub struct SentAsk {
        /// Index of the peer that sent it.
        pub peer: usize,
        /// Index of the requested server.
        pub server: usize,
        /// Id of the chat.
        pub chat: u64,
    }
}

/// State shared by the feeder's tasks.
pub struct FeederState {
    open: Vec<AtomicU32>,
    asks: Mutex<BTreeMap<u64, SentAsk>>,
    granted: Mutex<Vec<(u64, SentAsk)>>,
    kinds: Mutex<BTreeMap<&'static str, KindCount>>,
    counts: Mutex<LoadCounts>,
    revision: AtomicU64,
    reader: Mutex<Arc<RevisionReader>>,
    /// Number of peers that see the router as live.
    pub peers_seeing_router: AtomicUsize,
}

impl FeederState {
    /// Creates the state before anything is sent or received.
    pub fn new(servers: usize) -> Self {
        Self {
            open: (0..servers).map(|_| AtomicU32::new(0)).collect(),
            asks: Mutex::default(),
            granted: Mutex::default(),
            kinds: Mutex::default(),
            counts: Mutex::default(),
            revision: AtomicU64::new(0),
            reader: Mutex::new(Arc::new(RevisionReader::new())),
            peers_seeing_router: AtomicUsize::new(0),
        }
    }

    /// Number of open requests on a server.
    pub fn open_requests(&self, server: usize) -> u32 {
        self.open[server].load(Ordering::Relaxed)
    }

    /// Records a grant request that is about to be sent.
    pub fn record_ask(&self, request: u64, ask: SentAsk) {
        lock(&self.asks).insert(request, ask);
        lock(&self.counts).asks += 1;
    }

    /// Records the router's answer to a grant request. A queued request stays pending.
    pub fn record_answer(&self, request: u64, result: GrantResult) {
        let mut counts = lock(&self.counts);
        match result {
            GrantResult::Granted => counts.granted += 1,
            GrantResult::Queued => {
                counts.queued += 1;
                return;
            }
            GrantResult::Refused => counts.refused += 1,
            GrantResult::Redirect | GrantResult::Overflow | GrantResult::NotOwner => {
                counts.passed_on += 1;
            }
        }
        let Some(ask) = lock(&self.asks).remove(&request) else { return };
        if result != GrantResult::Granted {
            return;
        }
        self.open[ask.server].fetch_add(1, Ordering::Relaxed);
        lock(&self.granted).push((request, ask));
    }

    /// Takes the requests granted since the last call of this method.
    pub fn take_granted(&self) -> Vec<(u64, SentAsk)> {
        std::mem::take(&mut lock(&self.granted))
    }

    /// Records that a granted request ended.
    pub fn record_release(&self, ask: &SentAsk) {
        self.open[ask.server].fetch_sub(1, Ordering::Relaxed);
    }

    /// Records that a call to the router ended, and whether its answer was complete.
    pub fn record_call(&self, complete: bool) {
        let mut counts = lock(&self.counts);
        counts.calls += 1;
        counts.complete += u64::from(complete);
    }

    /// Counts a message that the router sent.
    pub fn count_message(&self, message: &PeerMessage) {
        let Some(kind) = &message.kind else { return };
        let mut kinds = lock(&self.kinds);
        let count = kinds.entry(kind_name(kind)).or_default();
        count.messages += 1;
        count.bytes += message.encoded_len() as u64;
    }

    /// Counts of the messages that the router sent so far, by kind.
    pub fn kinds(&self) -> BTreeMap<&'static str, KindCount> {
        lock(&self.kinds).clone()
    }

    /// Results of grant requests and calls so far.
    pub fn counts(&self) -> LoadCounts {
        *lock(&self.counts)
    }

    /// The newest revision, which watching peers announce.
    pub fn revision(&self) -> u64 {
        self.revision.load(Ordering::Relaxed)
    }

    /// Sets the newest revision, whose chunks the peers serve.
    pub fn set_reader(&self, reader: RevisionReader) {
        let revision = reader.revision().unwrap_or(0);
        *lock(&self.reader) = Arc::new(reader);
        self.revision.store(revision, Ordering::Relaxed);
    }

    /// Reader with the head and the chunks of the newest revision.
    pub fn reader(&self) -> Arc<RevisionReader> {
        Arc::clone(&lock(&self.reader))
    }
}

fn kind_name(kind: &Kind) -> &'static str {
    match kind {
        Kind::Ping(_) => "ping",
        Kind::PingAck(_) => "ping ack",
        Kind::PingRequest(_) => "ping request",
        Kind::GrantAsk(_) => "grant ask",
        Kind::GrantAnswer(_) => "grant answer",
        Kind::GrantRelease(_) => "grant release",
        Kind::GrantAudit(_) => "grant audit",
        Kind::LoadReport(_) => "load report",
        Kind::PoolLoad(_) => "pool load",
        Kind::OwnerQuery(_) | Kind::OwnerCount(_) => "handover",
        Kind::ChunkAsk(_) => "chunk ask",
        Kind::PlacementNote(_) => "placement note",
        Kind::ServerState(_) => "server state",
        Kind::EntryReport(_) => "entry report",
        Kind::DeclarationAsk(_) => "declaration ask",
        Kind::DeclarationCopy(_) => "declaration copy",
        Kind::ServerOrder(_) => "server order",
        _ => "other",
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
