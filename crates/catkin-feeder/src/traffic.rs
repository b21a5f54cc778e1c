//! What the feeder's tasks share: open requests, counts of what came, the revision to tell of.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU32, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use catkin_base::copy_type;
use catkin_operator::RevisionReader;
use catkin_peer::messages::peer_message::Kind;
use catkin_peer::messages::{GrantResult, PeerMessage};
use prost::Message;

copy_type! {
    /// Messages of one kind that the router sent.
    #[derive(Default)]
    pub struct KindCount {
        /// Messages.
        pub messages: u64,
        /// Bytes of their bodies, without envelopes.
        pub bytes: u64,
    }

    /// What became of asks and calls.
    #[derive(Default)]
    pub struct LoadCounts {
        /// Asks sent to the router as owner.
        pub asks: u64,
        /// Asks that it granted.
        pub granted: u64,
        /// Asks that it queued.
        pub queued: u64,
        /// Asks for which it named another server.
        pub passed_on: u64,
        /// Asks that it refused.
        pub refused: u64,
        /// Calls sent to it as entry.
        pub calls: u64,
        /// Calls answered whole.
        pub whole: u64,
    }

    /// An ask that was sent.
    pub struct SentAsk {
        /// Index of the peer that asked.
        pub peer: usize,
        /// Index of the server.
        pub server: usize,
        /// The chat.
        pub chat: u64,
    }
}

/// What the feeder's tasks share.
pub struct FeederTraffic {
    open: Vec<AtomicU32>,
    asks: Mutex<BTreeMap<u64, SentAsk>>,
    granted: Mutex<Vec<(u64, SentAsk)>>,
    kinds: Mutex<BTreeMap<&'static str, KindCount>>,
    counts: Mutex<LoadCounts>,
    revision: AtomicU64,
    reader: Mutex<Arc<RevisionReader>>,
    /// Peers that take the router as live.
    pub sighted: AtomicUsize,
}

impl FeederTraffic {
    /// Nothing sent or received yet.
    pub fn new(servers: usize) -> Self {
        Self {
            open: (0..servers).map(|_| AtomicU32::new(0)).collect(),
            asks: Mutex::default(),
            granted: Mutex::default(),
            kinds: Mutex::default(),
            counts: Mutex::default(),
            revision: AtomicU64::new(0),
            reader: Mutex::new(Arc::new(RevisionReader::new())),
            sighted: AtomicUsize::new(0),
        }
    }

    /// Requests open on a server.
    pub fn open_on(&self, server: usize) -> u32 {
        self.open[server].load(Ordering::Relaxed)
    }

    /// Notes an ask that is about to be sent.
    pub fn note_ask(&self, request: u64, ask: SentAsk) {
        lock(&self.asks).insert(request, ask);
        lock(&self.counts).asks += 1;
    }

    /// Notes the router's answer to an ask.
    pub fn note_answer(&self, request: u64, result: GrantResult) {
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

    /// Takes the grants since the last call.
    pub fn take_granted(&self) -> Vec<(u64, SentAsk)> {
        std::mem::take(&mut lock(&self.granted))
    }

    /// Notes that a granted request ended.
    pub fn note_release(&self, ask: &SentAsk) {
        self.open[ask.server].fetch_sub(1, Ordering::Relaxed);
    }

    /// Notes how a call to the router ended.
    pub fn note_call(&self, whole: bool) {
        let mut counts = lock(&self.counts);
        counts.calls += 1;
        counts.whole += u64::from(whole);
    }

    /// Counts a message that the router sent.
    pub fn count_message(&self, message: &PeerMessage) {
        let Some(kind) = &message.kind else { return };
        let mut kinds = lock(&self.kinds);
        let count = kinds.entry(name_kind(kind)).or_default();
        count.messages += 1;
        count.bytes += message.encoded_len() as u64;
    }

    /// Messages that the router sent so far, by kind.
    pub fn kinds(&self) -> BTreeMap<&'static str, KindCount> {
        lock(&self.kinds).clone()
    }

    /// What became of asks and calls so far.
    pub fn counts(&self) -> LoadCounts {
        *lock(&self.counts)
    }

    /// The newest revision, which watchers tell the others of.
    pub fn revision(&self) -> u64 {
        self.revision.load(Ordering::Relaxed)
    }

    /// Takes a newer revision for the peers to serve.
    pub fn set_reader(&self, reader: RevisionReader) {
        let revision = reader.revision().unwrap_or(0);
        *lock(&self.reader) = Arc::new(reader);
        self.revision.store(revision, Ordering::Relaxed);
    }

    /// The chunks of the newest revision.
    pub fn reader(&self) -> Arc<RevisionReader> {
        Arc::clone(&lock(&self.reader))
    }
}

fn name_kind(kind: &Kind) -> &'static str {
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
