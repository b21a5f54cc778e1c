//! Loads the cache index after a start, from other routers and from engines.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use catkin_base::{ServerId, VmId};
use tokio::time::{Instant, sleep};

use crate::cache_index::{CachedPart, part_key};
use crate::connection::HttpConnection;
use crate::peer_service::PeerService;
use crate::server_notice::{NoticeSource, ServerNotice, read_notice};
use crate::state::EntryState;
use crate::wire::{EntryWire, ListedPart};

/// Time that other routers have to answer before engines are queried.
const PEER_ANSWER_WAIT: Duration = Duration::from_millis(100);
/// Maximum duration of the sync after the start of the router.
const SYNC_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum wait for the list of one server.
const LIST_TIMEOUT: Duration = Duration::from_millis(800);
/// Maximum number of parts recorded from the lists of all engines together: four fifths of
/// `MAX_ENTRIES` of the index, which leaves it capacity for later requests.
const MAX_LISTED_PARTS: usize = 4_800;
/// Maximum length of a list, in bytes.
const MAX_LIST_BYTES: usize = 1 << 20;

/// Requests the index from other routers, and lists from the engines assigned to this router, until
/// the sync is complete.
pub(crate) async fn load_cache_index<W: EntryWire>(
    state: &Rc<EntryState<W>>,
    service: &PeerService,
) {
    if state.settings().first_start {
        return mark_complete(state);
    }
    let started = Instant::now();
    let mut listed = Vec::new();
    while started.elapsed() < SYNC_TIMEOUT && !state.cache_sync.borrow().is_complete() {
        let routers = service.list_routers(state);
        let since = started.elapsed();
        let sources = state.cache_sync.borrow_mut().choose_sources(state.local_vm, &routers, since);
        service.request_cache_index(state, &sources);
        sleep(PEER_ANSWER_WAIT).await;
        let loaded = query_engines(state, &routers).await;
        if !loaded.is_empty() {
            service.announce_cached_parts(state, &loaded);
        }
        listed.extend(loaded);
        if state.cache_sync.borrow_mut().take_reannouncement(since) {
            service.announce_cached_parts(state, &listed);
        }
        state.selection_input_change.notify_waiters();
    }
    mark_complete(state);
}

fn mark_complete<W: EntryWire>(state: &EntryState<W>) {
    state.cache_sync.borrow_mut().mark_complete();
    state.selection_input_change.notify_waiters();
}

/// Queries the engines assigned to this router as their entries appear. After an outage of the
/// store the entries come back one by one.
async fn query_engines<W: EntryWire>(
    state: &Rc<EntryState<W>>,
    routers: &[VmId],
) -> Vec<CachedPart> {
    if !state.knows_evacuations() {
        return Vec::new();
    }
    let addresses = list_engines(state);
    let max_parts = MAX_LISTED_PARTS / addresses.len().max(1);
    let engines = addresses.keys().copied();
    let engines =
        state.cache_sync.borrow_mut().take_assigned_engines(state.local_vm, routers, engines);
    let mut loaded = Vec::new();
    for server in &engines {
        let server = *server;
        if state.is_paused(server) || state.is_evacuated(server) {
            continue;
        }
        let listed = match fetch_list::<W>(state.settings().server_source, addresses[&server]).await
        {
            Ok((notice, listed)) => {
                let source = NoticeSource::Other(state.now());
                state.record_notice(server, notice, source, "cache-list");
                listed
            }
            Err(reason) => Err(reason),
        };
        match listed {
            Ok(parts) => loaded.extend(record_list(state, server, parts, max_parts)),
            Err(reason) => {
                log::info!(
                    "servers: list of cached parts not received; its parts become known only as \
                     requests use them. server={server} reason={reason}"
                )
            }
        }
    }
    state.cache_sync.borrow_mut().record_lists(engines.into_iter());
    loaded
}

fn list_engines<W: EntryWire>(state: &EntryState<W>) -> BTreeMap<ServerId, SocketAddr> {
    let Some(table) = state.route_table() else { return BTreeMap::new() };
    let services = &table.declarations().services;
    let is_engine =
        |service: &str| services.get(service).is_some_and(|record| record.engine.is_some());
    let servers = state.servers.borrow();
    let engines = servers.iter().filter(|known| is_engine(&known.record.service));
    engines.map(|known| (known.server, known.record.address)).collect()
}

/// The list of cached parts of an answer, or why it can't be read.
type ListResult = Result<Vec<ListedPart>, String>;

/// Fetches a server's list of cached parts, and what the server states of itself in any answer.
async fn fetch_list<W: EntryWire>(
    source: Option<IpAddr>,
    address: SocketAddr,
) -> Result<(ServerNotice, ListResult), String> {
    let deadline = Instant::now() + LIST_TIMEOUT;
    let opened = HttpConnection::connect_from(source, address, deadline).await;
    let mut connection = opened.map_err(|error| error.to_string())?;
    let target = W::CACHE_LIST_TARGET;
    let request = format!("GET {target} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n");
    let exchanged = connection.exchange(request.as_bytes(), None, false, deadline).await;
    let head = exchanged.map_err(|error| format!("{:?}", error.failure))?;
    let notice = read_notice::<W>(&head);
    if head.status != 200 {
        return Ok((notice, Err(format!("status {}", head.status))));
    }
    let body = connection.read_body(MAX_LIST_BYTES, deadline).await;
    let body = body.map_err(|failure| format!("{failure:?}"));
    let decode = |body: Bytes| W::decode_cache_list(&body).map_err(|error| error.to_string());
    Ok((notice, body.and_then(decode)))
}

/// Records the longest parts of a list. Short parts take little time to prefill again, and every
/// part is sent to all routers.
fn record_list<W: EntryWire>(
    state: &EntryState<W>,
    server: ServerId,
    mut listed: Vec<ListedPart>,
    max_parts: usize,
) -> Vec<CachedPart> {
    let now = state.now();
    log::info!("servers: list of cached parts received. server={server} parts={}", listed.len());
    listed.sort_by_key(|part| Reverse(part.tokens));
    listed.truncate(max_parts);
    let mut index = state.cache_index.borrow_mut();
    let parts: Vec<CachedPart> = listed.iter().map(|part| cached_part(part, server)).collect();
    for part in &parts {
        index.record_part(now, *part);
    }
    parts
}

/// Returns a cached part that counts zero tokens of the server's cache until a request uses it.
/// Most listed parts belong to single requests and are never requested again.
fn cached_part(listed: &ListedPart, server: ServerId) -> CachedPart {
    CachedPart { key: part_key(&listed.model, listed.part), server, tokens: 0 }
}
