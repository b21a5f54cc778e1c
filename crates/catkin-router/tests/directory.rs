//! Guards against a router that takes itself for the only one because it cannot read the platform's
//! list of VMs.
//!
//! Without the list and without peers, a router cannot know whether others are running. If it
//! assumed that it is the only one, it would own every server at the same time as the real owners.

mod common;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::Duration;

use catkin_backend::HttpLink;
use catkin_base::RunVerdict;
use catkin_peer::{LinkSettings, PeerKey, UdpLink};
use catkin_platform::{
    HttpStore, HttpStoreOptions, ObjectStore, StoreError, StoreErrorKind, StoredObject,
    VmDirectory, VmListing, WriteCondition,
};
use catkin_router::{RevisionDecoding, RouterCore, RouterEnvironment, RouterIdentity, RouterInput};
use catkin_standin::{PlatformOptions, PlatformStandin};
use tokio::time::sleep;

use common::{apply_fleet, declare_fleet, router_settings};

const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A platform client whose list of VMs is unavailable until `readable` is set.
struct UnlistedStore {
    inner: HttpStore,
    readable: AtomicBool,
    reads: AtomicU32,
}

struct UnlistedEnvironment;

impl RouterEnvironment for UnlistedEnvironment {
    type Store = UnlistedStore;
    type Backend = HttpLink;
    type Peers = Arc<UdpLink>;
}

impl ObjectStore for UnlistedStore {
    async fn get(&self, key: &str) -> Result<Option<StoredObject>, StoreError> {
        self.inner.get(key).await
    }

    async fn put(
        &self,
        key: &str,
        value: &[u8],
        condition: WriteCondition,
    ) -> Result<u64, StoreError> {
        self.inner.put(key, value, condition).await
    }

    async fn delete(&self, key: &str, version: u64) -> Result<(), StoreError> {
        self.inner.delete(key, version).await
    }

    async fn list(&self, prefix: &str, after: &str, limit: u32) -> Result<Vec<String>, StoreError> {
        self.inner.list(prefix, after, limit).await
    }

    async fn watch(
        &self,
        key: &str,
        version: u64,
        wait: Duration,
    ) -> Result<Option<StoredObject>, StoreError> {
        self.inner.watch(key, version, wait).await
    }
}

impl VmDirectory for UnlistedStore {
    async fn list_vms(&self) -> Result<Vec<VmListing>, StoreError> {
        self.reads.fetch_add(1, Ordering::SeqCst);
        if self.readable.load(Ordering::SeqCst) {
            return self.inner.list_vms().await;
        }
        Err(StoreError { kind: StoreErrorKind::Unavailable, ran: RunVerdict::NotRun })
    }
}

async fn start_router(store: &Arc<UnlistedStore>) -> RouterCore<UnlistedEnvironment> {
    let settings = router_settings(([127, 0, 0, 1], 1).into());
    let identity = RouterIdentity::from_settings(&settings, 1);
    let key = PeerKey::from_hex(&settings.peer_key).expect("a key");
    let address = settings.peer_address;
    let link = LinkSettings { address, vm: identity.vm, incarnation: 1, key };
    let peers = Arc::new(UdpLink::bind(&link).await.expect("bound"));
    RouterCore::start(RouterInput {
        identity,
        store: Arc::clone(store),
        backend: HttpLink,
        peers,
        seed_addresses: Vec::new(),
        hint_key: [1; 32],
        start_unix: Duration::from_secs(1),
        decoding: RevisionDecoding::Runtime,
        seed: 1,
    })
}

async fn wait_until(reached: impl Fn() -> bool) {
    while !reached() {
        sleep(POLL_INTERVAL).await;
    }
}

#[tokio::test]
async fn a_router_without_the_list_of_vms_is_not_ready() {
    let platform = PlatformStandin::start(&PlatformOptions::default()).expect("it starts");
    let servers = [([127, 0, 0, 1], 1).into(), ([127, 0, 0, 1], 2).into()];
    apply_fleet(platform.address(), &declare_fleet(servers[0], servers[1])).await;
    let store = Arc::new(UnlistedStore {
        inner: HttpStore::new(HttpStoreOptions::new(platform.address(), 1)),
        readable: AtomicBool::new(false),
        reads: AtomicU32::new(0),
    });
    let router = start_router(&store).await;
    let view = router.view();

    wait_until(|| view.revision() == Some(1) && store.reads.load(Ordering::SeqCst) > 1).await;
    let ready_without_list = view.is_ready();
    store.readable.store(true, Ordering::SeqCst);
    wait_until(|| view.is_ready()).await;

    assert!(!ready_without_list);
    router.kill().await;
}
