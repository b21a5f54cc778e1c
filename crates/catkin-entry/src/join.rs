//! Joins and leaves the fleet: reads the peer key and the entries of the other routers, writes and
//! removes the entry of this router.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use catkin_base::{DomainId, VmId, digest_hex};
use catkin_peer::{LinkSettings, PeerKey, UdpLink};
use rand::{Rng, RngCore};
use tokio::time::sleep;

use crate::peer_service::{KnownRouter, PeerService};
use crate::state::EntryState;
use crate::store_client::{GrowingTimeout, StoreCallError, StoreClient, WriteMode};
use crate::wire::{EntryWire, RouterRecord, StoreKind, StorePage, StoredEntry};

/// Delay after a failed attempt to join.
const JOIN_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Maximum delay of the check of this router's entry after a restore of the store, so that not all routers
/// make it at once.
const MAX_RESTORE_DELAY: Duration = Duration::from_millis(2_000);
/// Maximum wait for the answer of the store when the router leaves.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Name of the object that holds the peer key.
const KEY_NAME: &str = "current";
/// Length of the peer key, in bytes.
const KEY_BYTES: usize = 32;

/// Registers this router, reads the entries of the others and opens the link to them. Retries until
/// it succeeds.
pub(crate) async fn join_fleet<W: EntryWire>(state: &Rc<EntryState<W>>) -> PeerService {
    let mut client = StoreClient::new(state.settings().store);
    let mut timeout = GrowingTimeout::default();
    loop {
        match try_join(state, &mut client, timeout.current()).await {
            Ok(service) => return service,
            Err(reason) => {
                log::warn!(
                    "peers: joining the fleet failed; retrying after a delay. reason={reason}"
                );
                client.reset();
                timeout.grow();
                sleep(JOIN_RETRY_DELAY).await;
            }
        }
    }
}

async fn try_join<W: EntryWire>(
    state: &EntryState<W>,
    client: &mut StoreClient<W>,
    timeout: Duration,
) -> Result<PeerService, String> {
    let key = read_peer_key(client, timeout).await.map_err(|error| error.to_string())?;
    let key = PeerKey::from_hex(&key).map_err(|error| error.to_string())?;
    register_router(state, client, timeout).await.map_err(|error| error.to_string())?;
    let page = client.list(StoreKind::Routers, timeout).await;
    let page = page.map_err(|error| error.to_string())?;
    let entry = find_entry(&page, &state.settings().vm)?;
    // The point of the entry rises with every start, independently of the clock, also after the
    // store was restored from a copy.
    let incarnation = page.entry_point(entry).as_number();
    state.entry_revision.set(Some(entry.revision));
    let address = state.settings().peers;
    let link = LinkSettings { vm: state.local_vm, incarnation, address, key };
    let link = UdpLink::bind(&link).await.map_err(|error| error.to_string())?;
    let now = state.now();
    let mut routers = BTreeMap::new();
    for entry in page.entries {
        let vm = VmId::from_name(&entry.name);
        match W::decode_router(&entry.content) {
            Ok(record) if vm != state.local_vm => {
                let domain = record.domain.as_deref().map(DomainId::from_name);
                let RouterRecord { address, strength, .. } = record;
                let router = KnownRouter {
                    address,
                    last_heard: now,
                    domain,
                    strength,
                    callers_port: 0,
                    writer_standing: None,
                    offer: None,
                };
                routers.insert(vm, router);
            }
            Ok(_) => {}
            Err(error) => log::warn!(
                "peers: entry of a router ignored; it cannot be decoded. name={} error={error}",
                entry.name
            ),
        }
    }
    log::info!("peers: joined the fleet. incarnation={incarnation} others={}", routers.len());
    Ok(PeerService::new(link, routers))
}

fn find_entry<'a>(page: &'a StorePage, name: &str) -> Result<&'a StoredEntry, String> {
    let found = page.entries.iter().find(|entry| entry.name == name);
    found.ok_or_else(|| format!("the store has no entry of this router, \"{name}\""))
}

/// Reads the peer key of the fleet. The first router creates it.
async fn read_peer_key<W: EntryWire>(
    client: &mut StoreClient<W>,
    timeout: Duration,
) -> Result<String, StoreCallError> {
    // The key never changes, so a stale read suffices if it finds the key.
    for allow_stale in [true, false] {
        if let Some(entry) = client.get(StoreKind::PeerKeys, KEY_NAME, allow_stale, timeout).await?
        {
            return Ok(W::decode_peer_key(&entry.content)?);
        }
    }
    let mut bytes = [0; KEY_BYTES];
    rand::rng().fill_bytes(&mut bytes);
    let content = W::encode_peer_key(&digest_hex(&bytes));
    match client.put(StoreKind::PeerKeys, KEY_NAME, &content, WriteMode::Create, timeout).await {
        Ok(()) | Err(StoreCallError::Conflict(_)) => {}
        Err(error) => return Err(error),
    }
    match client.get(StoreKind::PeerKeys, KEY_NAME, false, timeout).await? {
        Some(entry) => Ok(W::decode_peer_key(&entry.content)?),
        None => Err(StoreCallError::Conflict(None)),
    }
}

/// Writes the entry of this router, replacing that of an earlier start.
async fn register_router<W: EntryWire>(
    state: &EntryState<W>,
    client: &mut StoreClient<W>,
    timeout: Duration,
) -> Result<(), StoreCallError> {
    let content = encode_entry(state);
    let (kind, name) = (StoreKind::Routers, &state.settings().vm);
    // Most starts find no entry, since a router removes its entry when it stops.
    let known = match client.put(kind, name, &content, WriteMode::Create, timeout).await {
        Err(StoreCallError::Conflict(Some(known))) => known,
        Err(StoreCallError::Conflict(None)) => {
            let known = client.get(kind, name, false, timeout).await?;
            known.ok_or(StoreCallError::Conflict(None))?
        }
        other => return other,
    };
    // Settings that still name the first start of the fleet are outdated then.
    state.origins.borrow_mut().expect_earlier_versions(state.now());
    state.budgets.borrow_mut().expect_earlier_process();
    client.put(kind, name, &content, WriteMode::Replace(known.revision), timeout).await
}

fn encode_entry<W: EntryWire>(state: &EntryState<W>) -> String {
    let settings = state.settings();
    let unix = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    let record = RouterRecord {
        address: settings.peers,
        started_unix_micros: unix.unwrap_or(Duration::ZERO).as_micros() as u64,
        domain: Some(settings.domain.clone()),
        strength: settings.strength(),
    };
    W::encode_router(&record)
}

/// Writes the entry of this router again whenever the store was restored from a copy without it. Routers
/// that start later would not know of this one.
pub(crate) async fn keep_entry<W: EntryWire>(state: &EntryState<W>) {
    loop {
        state.store_restored.notified().await;
        sleep(rand::rng().random_range(Duration::ZERO..=MAX_RESTORE_DELAY)).await;
        let mut client = StoreClient::new(state.settings().store);
        let mut timeout = GrowingTimeout::default();
        while let Err(error) = restore_entry(state, &mut client, timeout.current()).await {
            log::info!("peers: entry of this router not checked; retrying. error={error}");
            client.reset();
            timeout.grow();
            sleep(JOIN_RETRY_DELAY).await;
        }
    }
}

async fn restore_entry<W: EntryWire>(
    state: &EntryState<W>,
    client: &mut StoreClient<W>,
    timeout: Duration,
) -> Result<(), StoreCallError> {
    let (kind, name) = (StoreKind::Routers, &state.settings().vm);
    let mut found = client.get(kind, name, false, timeout).await?;
    if found.is_none() {
        client.put(kind, name, &encode_entry(state), WriteMode::Create, timeout).await?;
        log::info!("peers: entry of this router was missing; written again.");
        found = client.get(kind, name, false, timeout).await?;
    }
    state.entry_revision.set(found.map(|entry| entry.revision));
    Ok(())
}

/// Removes the entry of this router, but not that of a later start. If that fails, the entry stays until the next start of this
/// router replaces it; the other routers stop counting this one after a time of silence.
pub(crate) async fn leave_fleet<W: EntryWire>(state: &EntryState<W>) {
    let settings = state.settings();
    let mut client = StoreClient::<W>::new(settings.store);
    let revision = state.entry_revision.get();
    let (kind, name) = (StoreKind::Routers, &settings.vm);
    if let Err(error) = client.delete(kind, name, revision, LEAVE_TIMEOUT).await {
        log::info!(
            "peers: entry of this router not removed; it stays in the store until the next start. \
             error={error}"
        );
    }
}
