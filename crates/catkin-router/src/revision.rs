//! Follows the newest revision of the declarations and puts it in force: reads it from the
//! platform, or from other routers while the platform is down.
//!
//! Few routers of each failure domain watch the platform; the others learn of a newer revision
//! through membership and read it from peers.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use catkin_base::{RunVerdict, VmId};
use catkin_operator::{
    ChunkSource, FetchError, FetchOutcome, HEAD_KEY, RevisionHead, RevisionReader, StoreSource,
};
use catkin_peer::messages;
use catkin_peer::messages::peer_message::Kind;
use catkin_platform::{ObjectStore, StoreError, StoreErrorKind};
use catkin_policy::{BackoffPlan, choose_key_router};
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::time::{sleep, timeout};

use crate::environment::RouterEnvironment;
use crate::fleet_index::FleetIndex;
use crate::state::RouterState;
use crate::wire::wrap_kind;

/// Maximum duration of one watch call to the platform.
const WATCH_WAIT: Duration = Duration::from_secs(25);
/// Interval at which a router without a watch checks for a newer revision among its peers.
const PEER_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Peer checks after which a router without a watch reads the head from the platform itself.
const PEER_CHECKS_PER_READ: u32 = 240;
/// Number of routers of each failure domain that watch the platform.
const WATCHERS_PER_DOMAIN: u64 = 2;
/// First and maximum delay between attempts while the platform does not answer, in milliseconds.
const RETRY_FIRST_MILLIS: u64 = 250;
const RETRY_MAX_MILLIS: u64 = 5_000;
/// Maximum wait for a chunk from another router.
const CHUNK_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Maximum number of routers from which one chunk is requested.
const MAX_CHUNK_PEERS: usize = 3;
/// Name that stands for the newest head in chunk requests between routers.
const HEAD_NAME: &str = "head";

/// Reader of revisions; it retains the chunks, so that other routers can request them.
#[derive(Debug, Default)]
pub(crate) struct RevisionState {
    reader: tokio::sync::Mutex<RevisionReader>,
}

/// Chunks that were requested from other routers and not yet received.
#[derive(Debug, Default)]
pub(crate) struct ChunkRequests {
    waiting: Mutex<BTreeMap<String, flume::Sender<Vec<u8>>>>,
}

impl RevisionState {
    /// Content that another router requests: a chunk by its digest, or the newest head.
    ///
    /// `None` if this router does not have it or is just reading a revision.
    pub(crate) fn shared_content(&self, name: &str) -> Option<Vec<u8>> {
        let reader = self.reader.try_lock().ok()?;
        if name == HEAD_NAME {
            return reader.head().map(RevisionHead::encode);
        }
        reader.chunk(name).map(<[u8]>::to_vec)
    }

    /// Head of the newest revision that was read.
    pub(crate) async fn head(&self) -> Option<RevisionHead> {
        self.reader.lock().await.head().cloned()
    }
}

impl ChunkRequests {
    /// Delivers a received chunk to the read that waits for it. An empty chunk means that the
    /// sender does not have it.
    pub(crate) fn deliver_chunk(&self, data: &messages::ChunkData) {
        if let Some(sender) = self.waiting().remove(&data.digest) {
            // The read may have stopped waiting.
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

/// Reads heads and chunks from other routers.
struct PeerChunks<'a, E: RouterEnvironment> {
    state: &'a RouterState<E>,
}

impl<E: RouterEnvironment> PeerChunks<'_, E> {
    /// Requests a chunk or the head by name from peers in turn, until one of them returns it.
    async fn request_content(&self, name: &str) -> Option<Vec<u8>> {
        for vm in self.choose_peers() {
            let receiver = self.state.chunks.open(name);
            let ask = messages::ChunkAsk { digest: name.to_owned() };
            self.state.send_to(vm, &wrap_kind(Kind::ChunkAsk(ask)));
            let received = timeout(CHUNK_TIMEOUT, receiver.recv_async()).await;
            self.state.chunks.close(name);
            if let Ok(Ok(content)) = received
                && !content.is_empty()
            {
                return Some(content);
            }
        }
        None
    }

    /// Routers to send requests to: first those of this router's failure domain, in random order.
    fn choose_peers(&self) -> Vec<VmId> {
        let identity = &self.state.identity;
        let policy = self.state.policy();
        let mut routers = policy.roster.clone();
        drop(policy);
        routers.retain(|router| router.vm != identity.vm);
        let salt = self.state.random_u64();
        routers.sort_by_key(|router| (router.domain != identity.domain, router.vm.0 ^ salt));
        routers.into_iter().take(MAX_CHUNK_PEERS).map(|router| router.vm).collect()
    }
}

impl<E: RouterEnvironment> ChunkSource for PeerChunks<'_, E> {
    async fn fetch_head(&self) -> Result<Option<RevisionHead>, StoreError> {
        let content = self.request_content(HEAD_NAME).await.ok_or(NO_PEER)?;
        Ok(RevisionHead::decode(&content))
    }

    async fn fetch_chunk(&self, digest: &str) -> Result<Option<Vec<u8>>, StoreError> {
        self.request_content(digest).await.map(Some).ok_or(NO_PEER)
    }
}

/// Error of a read that no peer answered with content.
const NO_PEER: StoreError =
    StoreError { kind: StoreErrorKind::Unavailable, ran: RunVerdict::NotRun };

/// Follows the newest revision until the task is cancelled.
pub(crate) async fn run_revisions<E: RouterEnvironment>(state: &RouterState<E>) {
    let mut random = StdRng::seed_from_u64(state.random_u64());
    let mut backoff = BackoffPlan::new(RETRY_FIRST_MILLIS, RETRY_MAX_MILLIS);
    let mut version = 0;
    loop {
        let read = if is_watcher(state) {
            watch_platform(state, &mut version).await
        } else {
            poll_peers(state).await
        };
        match read {
            Ok(()) => backoff.reset(),
            Err(error) => {
                log::debug!(
                    "revisions: reading the newest revision failed; reading it from peers, then retrying. error={error}"
                );
                read_peers(state).await;
                sleep(Duration::from_millis(backoff.next_delay(&mut random))).await;
            }
        }
    }
}

/// Whether this router is one of those in its failure domain that watch the platform.
fn is_watcher<E: RouterEnvironment>(state: &RouterState<E>) -> bool {
    let policy = state.policy();
    let mut routers = policy.roster.clone();
    drop(policy);
    routers.retain(|router| router.domain == state.identity.domain);
    let domain = state.identity.domain.0;
    for _ in 0..WATCHERS_PER_DOMAIN {
        let Some(vm) = choose_key_router(domain, &routers) else { return false };
        if vm == state.identity.vm {
            return true;
        }
        routers.retain(|router| router.vm != vm);
    }
    false
}

/// Waits on the platform for a newer head than `version`, and loads the newest revision.
async fn watch_platform<E: RouterEnvironment>(
    state: &RouterState<E>,
    version: &mut u64,
) -> Result<(), FetchError> {
    let seen = state.store.watch(HEAD_KEY, *version, WATCH_WAIT).await?;
    let seen_version = seen.map_or(0, |object| object.version);
    load_newest(state, &StoreSource::new(&*state.store)).await?;
    *version = seen_version;
    Ok(())
}

/// Waits until a peer announces a newer revision, and reads it from peers or else from the
/// platform.
async fn poll_peers<E: RouterEnvironment>(state: &RouterState<E>) -> Result<(), FetchError> {
    for _ in 0..PEER_CHECKS_PER_READ {
        if !has_newest(state) && read_peers(state).await {
            return Ok(());
        }
        if !has_newest(state) || is_watcher(state) {
            break;
        }
        sleep(PEER_CHECK_INTERVAL).await;
    }
    load_newest(state, &StoreSource::new(&*state.store)).await
}

/// Whether the revision in force is the newest that any router announced; false while none is in
/// force.
fn has_newest<E: RouterEnvironment>(state: &RouterState<E>) -> bool {
    let known = state.policy().members.highest_revision();
    state.index().is_some_and(|index| index.revision() >= known)
}

/// Loads the newest revision that peers have; true if it is newer than the one that was in force.
async fn read_peers<E: RouterEnvironment>(state: &RouterState<E>) -> bool {
    let before = state.index().map(|index| index.revision());
    let read = load_newest(state, &PeerChunks { state }).await;
    read.is_ok() && state.index().map(|index| index.revision()) > before
}

/// Reads the newest revision from `source` and puts it in force, if it is a new one.
async fn load_newest<E: RouterEnvironment, C: ChunkSource>(
    state: &RouterState<E>,
    source: &C,
) -> Result<(), FetchError> {
    let mut reader = state.revisions.reader.lock().await;
    let Some(head) = reader.read_head(source).await? else { return Ok(()) };
    let outcome = reader.fetch(source, &head).await?;
    drop(reader);
    if let FetchOutcome::Loaded { revision, declarations } = outcome {
        put_in_force(state, FleetIndex::new(revision, *declarations));
    }
    Ok(())
}

/// Makes `index` the declarations that this router uses, and announces its revision to members.
fn put_in_force<E: RouterEnvironment>(state: &RouterState<E>, index: FleetIndex) {
    let revision = index.revision();
    let rules = index.policy_rules();
    state.set_index(Arc::new(index));
    let mut policy = state.policy();
    policy.set_rules(rules);
    policy.members.set_revision_in_force(revision);
    drop(policy);
    state.fleet_changed.notify_one();
    metrics::gauge!(crate::metric::REVISION).set(revision as f64);
    log::info!("revisions: a new revision of the declarations is in force. revision={revision}");
}
