//! Asks other routers and engines which parts of prompts engines keep.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use catkin_base::{ServerId, VmId};
use tokio::time::{Instant, sleep};

use crate::cache_index::{CachedPart, part_key};
use crate::channel::HttpChannel;
use crate::peer_service::PeerService;
use crate::state::EntryState;
use crate::wire::{EntryWire, ListedPart};

/// How long other routers have to tell what they know.
const ASK_PAUSE: Duration = Duration::from_millis(100);
/// How long engines are asked after the start.
const ASK_TIME: Duration = Duration::from_secs(3);
/// Longest wait for one server's list.
const LIST_TIMEOUT: Duration = Duration::from_millis(800);
/// Parts of all engines that are noted, so that the book has room for what follows.
const MAX_LISTED: usize = 4_800;
/// Longest list, in bytes.
const MAX_LIST_BYTES: usize = 1 << 20;

/// Asks other routers, and the engines that fall to this one, until nothing is missing.
pub(crate) async fn load_cache_index<W: EntryWire>(state: &Rc<EntryState<W>>, desk: &PeerService) {
    if state.settings().first_start {
        return mark_complete(state);
    }
    let started = Instant::now();
    let mut listed = Vec::new();
    while started.elapsed() < ASK_TIME && !state.cache_sync.borrow().is_complete() {
        let routers = desk.list_routers(state);
        let since = started.elapsed();
        let tellers = state.cache_sync.borrow_mut().choose_sources(state.local_vm, &routers, since);
        desk.ask_kept(state, &tellers);
        sleep(ASK_PAUSE).await;
        let learned = ask_engines(state, &routers).await;
        if !learned.is_empty() {
            desk.tell_kept(state, &learned);
        }
        listed.extend(learned);
        if state.cache_sync.borrow_mut().take_reannouncement(since) {
            desk.tell_kept(state, &listed);
        }
        state.capacity_change.notify_waiters();
    }
    mark_complete(state);
}

fn mark_complete<W: EntryWire>(state: &EntryState<W>) {
    state.cache_sync.borrow_mut().mark_complete();
    state.capacity_change.notify_waiters();
}

/// Asks engines as their entries appear: after an outage of the store they come back one by one.
async fn ask_engines<W: EntryWire>(state: &Rc<EntryState<W>>, routers: &[VmId]) -> Vec<CachedPart> {
    let addresses = list_engines(state);
    let most = MAX_LISTED / addresses.len().max(1);
    let engines = addresses.keys().copied();
    let engines =
        state.cache_sync.borrow_mut().take_assigned_engines(state.local_vm, routers, engines);
    let mut learned = Vec::new();
    for server in &engines {
        let server = *server;
        match ask_list::<W>(addresses[&server]).await {
            Ok(records) => learned.extend(note_list(state, server, records, most)),
            Err(reason) => log::info!("servers: No list. server={server} reason={reason}"),
        }
    }
    state.cache_sync.borrow_mut().record_lists(engines.into_iter());
    learned
}

fn list_engines<W: EntryWire>(state: &EntryState<W>) -> BTreeMap<ServerId, SocketAddr> {
    let Some(table) = state.table() else { return BTreeMap::new() };
    let services = &table.declarations().services;
    let is_engine = |service: &str| services.get(service).is_some_and(|row| row.engine.is_some());
    let servers = state.servers.borrow();
    let engines = servers.iter().filter(|known| is_engine(&known.record.service));
    engines.map(|known| (known.server, known.record.address)).collect()
}

async fn ask_list<W: EntryWire>(address: SocketAddr) -> Result<Vec<ListedPart>, String> {
    let deadline = Instant::now() + LIST_TIMEOUT;
    let opened = HttpChannel::connect(address, deadline).await;
    let mut channel = opened.map_err(|error| error.to_string())?;
    let target = W::CACHE_LIST_TARGET;
    let request = format!("GET {target} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n");
    let exchanged = channel.exchange(request.as_bytes(), None, false, deadline).await;
    let head = exchanged.map_err(|error| format!("{:?}", error.fault))?;
    if head.status != 200 {
        return Err(format!("status {}", head.status));
    }
    let body = channel.read_body(MAX_LIST_BYTES, deadline).await;
    let body = body.map_err(|fault| format!("{fault:?}"))?;
    W::decode_cache_list(&body).map_err(|error| error.to_string())
}

/// Notes the longest parts of a list: short ones are soon read, and all routers hear of them.
fn note_list<W: EntryWire>(
    state: &EntryState<W>,
    server: ServerId,
    mut records: Vec<ListedPart>,
    most: usize,
) -> Vec<CachedPart> {
    let now = state.now();
    log::info!("servers: Listed what it keeps. server={server} parts={}", records.len());
    records.sort_by_key(|record| Reverse(record.tokens));
    records.truncate(most);
    let mut kept = state.cache_index.borrow_mut();
    let pairs: Vec<CachedPart> = records.iter().map(|record| kept_pair(record, server)).collect();
    for pair in &pairs {
        kept.record_part(now, *pair);
    }
    pairs
}

/// A listed part takes no room until it is asked for: most belong to single requests and are never
/// asked for again.
fn kept_pair(record: &ListedPart, server: ServerId) -> CachedPart {
    CachedPart { key: part_key(&record.model, record.part), server, tokens: 0 }
}
