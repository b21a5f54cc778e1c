//! The revision in force: taken from the platform, or from other routers while it is down.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use catkin_base::{RunVerdict, VmId};
use catkin_operator::{
    ChunkSource, FetchError, FetchOutcome, HEAD_KEY, RevisionHead, RevisionReader, StoreChunks,
};
use catkin_peer::messages as wire;
use catkin_peer::messages::peer_message::Kind;
use catkin_platform::{ObjectStore, StoreError, StoreFault};
use catkin_policy::{BackoffPlan, choose_key_router};
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::time::{sleep, timeout};

use crate::environment::RouterEnvironment;
use crate::index::FleetIndex;
use crate::parts::RouterParts;
use crate::wire::wrap_kind;

/// Longest wait of one watch on the platform.
const WATCH_WAIT: Duration = Duration::from_secs(25);
/// Interval at which a router without a watch looks for a newer revision at its peers.
const PEER_CHECK: Duration = Duration::from_millis(500);
/// Peer checks after which a router without a watch reads the platform's head itself.
const CHECKS_PER_READ: u32 = 240;
/// Routers of each failure domain that hold a watch on the platform.
const WATCHERS_PER_DOMAIN: u64 = 2;
/// First and longest delay between tries while the platform does not answer, in milliseconds.
const RETRY_FIRST_MILLIS: u64 = 250;
const RETRY_LIMIT_MILLIS: u64 = 5_000;
/// Longest wait for a chunk from another router.
const CHUNK_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Routers that are asked for one chunk.
const CHUNK_PEERS: usize = 3;
/// Name under which routers ask each other for the newest head.
const HEAD_NAME: &str = "head";

/// The reader of revisions, which keeps the chunks for other routers.
#[derive(Debug, Default)]
pub(crate) struct RevisionState {
    reader: tokio::sync::Mutex<RevisionReader>,
}

/// Chunks asked of other routers and not yet received.
#[derive(Debug, Default)]
pub(crate) struct ChunkRequests {
    waiting: Mutex<BTreeMap<String, flume::Sender<Vec<u8>>>>,
}

impl RevisionState {
    /// A chunk, or the newest head, for another router.
    pub(crate) fn shared_content(&self, name: &str) -> Option<Vec<u8>> {
        let reader = self.reader.try_lock().ok()?;
        if name == HEAD_NAME {
            return reader.head().map(RevisionHead::encode);
        }
        reader.chunk(name).map(<[u8]>::to_vec)
    }

    /// The head of the revision in force.
    pub(crate) async fn head(&self) -> Option<RevisionHead> {
        self.reader.lock().await.head().cloned()
    }
}

impl ChunkRequests {
    /// Hands a received chunk to whoever waits for it. An empty one says that it is unknown.
    pub(crate) fn take(&self, data: &wire::ChunkData) {
        if let Some(sender) = self.waiting().remove(&data.digest) {
            // The one who asked may have stopped waiting.
            let _ = sender.try_send(data.content.clone());
        }
    }

    fn open(&self, name: &str) -> flume::Receiver<Vec<u8>> {
        let (sender, receiver) = flume::bounded(1);
        self.waiting().insert(name.to_owned(), sender);
        receiver
    }

    fn close(&self, name: &str) {
        self.waiting().remove(name);
    }

    fn waiting(&self) -> MutexGuard<'_, BTreeMap<String, flume::Sender<Vec<u8>>>> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Other routers as a source of heads and chunks.
struct PeerChunks<'a, E: RouterEnvironment> {
    parts: &'a RouterParts<E>,
}

impl<E: RouterEnvironment> PeerChunks<'_, E> {
    async fn ask(&self, name: &str) -> Option<Vec<u8>> {
        for vm in self.choose_peers() {
            let receiver = self.parts.chunks.open(name);
            let ask = wire::ChunkAsk { digest: name.to_owned() };
            self.parts.send_to(vm, &wrap_kind(Kind::ChunkAsk(ask)));
            let received = timeout(CHUNK_TIMEOUT, receiver.recv_async()).await;
            self.parts.chunks.close(name);
            if let Ok(Ok(content)) = received
                && !content.is_empty()
            {
                return Some(content);
            }
        }
        None
    }

    /// Routers to ask: those of the own failure domain first.
    fn choose_peers(&self) -> Vec<VmId> {
        let identity = &self.parts.identity;
        let control = self.parts.control();
        let mut routers = control.roster.clone();
        drop(control);
        routers.retain(|router| router.vm != identity.vm);
        let salt = self.parts.random_word();
        routers.sort_by_key(|router| (router.domain != identity.domain, router.vm.0 ^ salt));
        routers.into_iter().take(CHUNK_PEERS).map(|router| router.vm).collect()
    }
}

impl<E: RouterEnvironment> ChunkSource for PeerChunks<'_, E> {
    async fn fetch_head(&self) -> Result<Option<RevisionHead>, StoreError> {
        let content = self.ask(HEAD_NAME).await.ok_or(NO_PEER)?;
        Ok(RevisionHead::decode(&content))
    }

    async fn fetch_chunk(&self, digest: &str) -> Result<Option<Vec<u8>>, StoreError> {
        self.ask(digest).await.map(Some).ok_or(NO_PEER)
    }
}

/// The failure of a read from other routers.
const NO_PEER: StoreError = StoreError { fault: StoreFault::Unavailable, ran: RunVerdict::NotRun };

/// Keeps the newest revision in force until the task is stopped.
pub(crate) async fn run_revisions<E: RouterEnvironment>(parts: &RouterParts<E>) {
    let mut random = StdRng::seed_from_u64(parts.random_word());
    let mut backoff = BackoffPlan::new(RETRY_FIRST_MILLIS, RETRY_LIMIT_MILLIS);
    let mut version = 0;
    loop {
        let watched = if holds_watch(parts) {
            watch_platform(parts, &mut version).await
        } else {
            follow_peers(parts).await
        };
        match watched {
            Ok(()) => backoff.reset(),
            Err(error) => {
                log::debug!("revisions: A read failed. error={error}");
                read_peers(parts).await;
                sleep(Duration::from_millis(backoff.next_delay(&mut random))).await;
            }
        }
    }
}

/// Whether this router is one of those of its domain that hold a watch.
fn holds_watch<E: RouterEnvironment>(parts: &RouterParts<E>) -> bool {
    let control = parts.control();
    let mut routers = control.roster.clone();
    drop(control);
    routers.retain(|router| router.domain == parts.identity.domain);
    let domain = parts.identity.domain.0;
    for _ in 0..WATCHERS_PER_DOMAIN {
        let Some(vm) = choose_key_router(domain, &routers) else { return false };
        if vm == parts.identity.vm {
            return true;
        }
        routers.retain(|router| router.vm != vm);
    }
    false
}

async fn watch_platform<E: RouterEnvironment>(
    parts: &RouterParts<E>,
    version: &mut u64,
) -> Result<(), FetchError> {
    let seen = parts.store.watch(HEAD_KEY, *version, WATCH_WAIT).await?;
    let seen_version = seen.map_or(0, |object| object.version);
    take_newest(parts, &StoreChunks::new(&*parts.store)).await?;
    *version = seen_version;
    Ok(())
}

/// Waits until a peer knows a newer revision, and takes it from peers or else the platform.
async fn follow_peers<E: RouterEnvironment>(parts: &RouterParts<E>) -> Result<(), FetchError> {
    for _ in 0..CHECKS_PER_READ {
        if !has_newest(parts) && read_peers(parts).await {
            return Ok(());
        }
        if !has_newest(parts) || holds_watch(parts) {
            break;
        }
        sleep(PEER_CHECK).await;
    }
    take_newest(parts, &StoreChunks::new(&*parts.store)).await
}

/// Whether no newer revision than the one in force is known of; false before the first.
fn has_newest<E: RouterEnvironment>(parts: &RouterParts<E>) -> bool {
    let known = parts.control().members.highest_revision();
    parts.index().is_some_and(|index| index.revision() >= known)
}

/// Takes the newest revision that peers have; true if one was taken.
async fn read_peers<E: RouterEnvironment>(parts: &RouterParts<E>) -> bool {
    let before = parts.index().map(|index| index.revision());
    let taken = take_newest(parts, &PeerChunks { parts }).await;
    taken.is_ok() && parts.index().map(|index| index.revision()) > before
}

async fn take_newest<E: RouterEnvironment, C: ChunkSource>(
    parts: &RouterParts<E>,
    source: &C,
) -> Result<(), FetchError> {
    let mut reader = parts.revisions.reader.lock().await;
    let Some(head) = reader.read_head(source).await? else { return Ok(()) };
    let outcome = reader.fetch(source, &head).await?;
    drop(reader);
    if let FetchOutcome::Taken { revision, declarations } = outcome {
        put_in_force(parts, FleetIndex::new(revision, *declarations));
    }
    Ok(())
}

fn put_in_force<E: RouterEnvironment>(parts: &RouterParts<E>, index: FleetIndex) {
    let revision = index.revision();
    let rules = index.policy_rules();
    parts.set_index(Arc::new(index));
    let mut control = parts.control();
    control.set_rules(rules);
    control.members.set_revision(revision);
    drop(control);
    parts.fleet_changed.notify_one();
    metrics::gauge!(crate::metric::REVISION).set(revision as f64);
    log::info!("revisions: A revision is in force. revision={revision}");
}
