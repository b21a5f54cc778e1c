//! Joining and leaving the fleet: the key, the own entry, the other routers' entries.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use catkin_base::{DomainId, VmId, digest_hex};
use catkin_peer::{LinkSettings, PeerKey, UdpLink};
use rand::RngCore;
use tokio::time::sleep;

use crate::peer_service::{KnownRouter, PeerService};
use crate::state::EntryState;
use crate::store_client::{GrowingTimeout, StoreCallError, StoreClient, WriteMode};
use crate::wire::{EntryWire, RouterRecord, StoreKind, StorePage};

/// Pause after a failed try to join.
const JOIN_PAUSE: Duration = Duration::from_millis(100);
/// Longest wait for the store's answer while leaving.
const LEAVE_PATIENCE: Duration = Duration::from_millis(1_500);
/// Name of the one object that holds the peer key.
const KEY_NAME: &str = "current";
/// Length of the peer key, in bytes.
const KEY_BYTES: usize = 32;

/// Registers this router, finds the others and opens the link to them. Retries until it succeeds.
pub(crate) async fn join_fleet<W: EntryWire>(state: &Rc<EntryState<W>>) -> PeerService {
    let mut client = StoreClient::new(state.settings().store);
    let mut patience = GrowingTimeout::default();
    loop {
        match try_join(state, &mut client, patience.current()).await {
            Ok(desk) => return desk,
            Err(reason) => {
                log::warn!("peers: Not joined yet. reason={reason}");
                client.reset();
                patience.grow();
                sleep(JOIN_PAUSE).await;
            }
        }
    }
}

async fn try_join<W: EntryWire>(
    state: &EntryState<W>,
    client: &mut StoreClient<W>,
    patience: Duration,
) -> Result<PeerService, String> {
    let key = read_key(client, patience).await.map_err(|fault| fault.to_string())?;
    let key = PeerKey::from_hex(&key).map_err(|error| error.to_string())?;
    register(state, client, patience).await.map_err(|fault| fault.to_string())?;
    let page = client.list(StoreKind::Routers, patience).await;
    let page = page.map_err(|fault| fault.to_string())?;
    let incarnation = own_incarnation(&page, &state.settings().vm)?;
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
                routers.insert(vm, KnownRouter { address, heard: now, domain, strength });
            }
            Ok(_) => {}
            Err(error) => log::warn!("peers: An entry is ignored. name={} {error}", entry.name),
        }
    }
    log::info!("peers: Joined. incarnation={incarnation} others={}", routers.len());
    Ok(PeerService::new(link, routers))
}

/// Revision of the own entry: it rises with every start, whatever the clock says.
fn own_incarnation(page: &StorePage, name: &str) -> Result<u64, String> {
    let own = page.entries.iter().find(|entry| entry.name == name);
    own.map(|entry| entry.revision).ok_or_else(|| format!("no entry \"{name}\" in the store"))
}

/// Reads the fleet's key; the first router creates it.
async fn read_key<W: EntryWire>(
    client: &mut StoreClient<W>,
    patience: Duration,
) -> Result<String, StoreCallError> {
    // The key never changes, so that an old read of it is as good as a new one.
    for cheap in [true, false] {
        if let Some(entry) = client.get(StoreKind::PeerKeys, KEY_NAME, cheap, patience).await? {
            return Ok(W::decode_peer_key(&entry.content)?);
        }
    }
    let mut bytes = [0; KEY_BYTES];
    rand::rng().fill_bytes(&mut bytes);
    let content = W::encode_peer_key(&digest_hex(&bytes));
    match client.put(StoreKind::PeerKeys, KEY_NAME, &content, WriteMode::Create, patience).await {
        Ok(()) | Err(StoreCallError::Conflict(_)) => {}
        Err(fault) => return Err(fault),
    }
    match client.get(StoreKind::PeerKeys, KEY_NAME, false, patience).await? {
        Some(entry) => Ok(W::decode_peer_key(&entry.content)?),
        None => Err(StoreCallError::Conflict(None)),
    }
}

/// Writes this router's entry.
async fn register<W: EntryWire>(
    state: &EntryState<W>,
    client: &mut StoreClient<W>,
    patience: Duration,
) -> Result<(), StoreCallError> {
    let settings = state.settings();
    let unix = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    let record = RouterRecord {
        address: settings.peers,
        started_unix_micros: unix.unwrap_or(Duration::ZERO).as_micros() as u64,
        domain: Some(settings.domain.clone()),
        strength: settings.strength(),
    };
    let (kind, name) = (StoreKind::Routers, &settings.vm);
    let content = W::encode_router(&record);
    // Most starts find no entry: it is removed when a router stops.
    let known = match client.put(kind, name, &content, WriteMode::Create, patience).await {
        Err(StoreCallError::Conflict(Some(known))) => known,
        Err(StoreCallError::Conflict(None)) => {
            let known = client.get(kind, name, false, patience).await?;
            known.ok_or(StoreCallError::Conflict(None))?
        }
        other => return other,
    };
    client.put(kind, name, &content, WriteMode::Replace(known.revision), patience).await
}

/// Removes this router's entry. Others notice its silence if that fails.
pub(crate) async fn leave_fleet<W: EntryWire>(state: &EntryState<W>) {
    let settings = state.settings();
    let mut client = StoreClient::<W>::new(settings.store);
    if let Err(fault) = client.delete(StoreKind::Routers, &settings.vm, LEAVE_PATIENCE).await {
        log::info!("peers: The own entry was not removed. error={fault}");
    }
}
