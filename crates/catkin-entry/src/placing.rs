//! Puts what the router knows of servers before the choice of a place, and carries the choice out.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use catkin_base::ServerId;
use tokio::time::{Instant, timeout_at};

use crate::attempt::PlacedCall;
use crate::cache_index::CachedPart;
use crate::call::EntryCall;
use crate::place::{Candidate, CandidateUse, NoPlace, PlaceChoice, PlaceQuery, choose_place};
use crate::refuse::RefusalCause;
use crate::server_book::KnownServer;
use crate::state::{EntryState, OpenSlot};
use crate::wire::EntryWire;

/// Part of the target latency for which a request waits for a place.
const WAIT_PART: u32 = 2;
/// How long after the start requests with shared prompts wait for word of what servers keep.
const KEPT_WAIT: Duration = Duration::from_millis(900);
/// Part of an engine's memory that shared parts fill; running requests and what belongs to single
/// requests take the rest.
const SHARED_ROOM: f64 = 0.6;
/// One request in so many brings a part with a single copy to a second server.
const SECOND_COPY_PERIOD: u64 = 10;

/// Finds a server, and waits a while if there is no room.
pub(crate) async fn find_place<W: EntryWire>(
    state: &Rc<EntryState<W>>,
    call: &EntryCall,
    tried: &BTreeSet<ServerId>,
) -> Result<PlacedCall<W>, RefusalCause> {
    if call.shared().is_some() {
        wait_for_kept(state, call.limit).await;
    }
    let wait_until = (Instant::now() + call.route.target_latency / WAIT_PART).min(call.limit);
    loop {
        let room = state.capacity_change.notified();
        let cause = match try_place(state, call, tried) {
            Ok(placed) => return Ok(placed),
            Err(NoPlace::NoServer) => RefusalCause::NoServer,
            Err(NoPlace::Full) => RefusalCause::Full,
        };
        if timeout_at(wait_until, room).await.is_err() {
            let over = Instant::now() >= call.limit;
            return Err(if over { RefusalCause::TimeOver } else { cause });
        }
    }
}

/// A router that has just started learns in a moment what servers keep; a prompt that is read
/// again costs more than the wait.
async fn wait_for_kept<W: EntryWire>(state: &EntryState<W>, limit: Instant) {
    let until = (state.started + KEPT_WAIT).min(limit);
    while !state.cache_sync.borrow().is_usable() {
        let news = state.capacity_change.notified();
        if timeout_at(until, news).await.is_err() {
            return;
        }
    }
}

fn try_place<W: EntryWire>(
    state: &Rc<EntryState<W>>,
    call: &EntryCall,
    tried: &BTreeSet<ServerId>,
) -> Result<PlacedCall<W>, NoPlace> {
    let now = state.now();
    let room = shared_room(state, call);
    let candidates = list_candidates(state, call, tried, room);
    let shared = call.shared();
    let query = PlaceQuery {
        affinity: shared.map_or(call.digest.0, |shared| shared.key),
        shared_tokens: shared.map_or(0, |shared| shared.tokens),
        second_copy: call.digest.0.is_multiple_of(SECOND_COPY_PERIOD),
    };
    let choice = choose_place(query, &candidates, &state.load_bounds())?;
    log_choice(state, call, &choice);
    let fetched = choice.fetch_from.map_or(0, |_| query.shared_tokens);
    let prompt = call.prefixes.last().map_or(0, |prefix| prefix.tokens);
    let unread_tokens = prompt.saturating_sub(choice.kept_tokens.max(fetched));
    for prefix in call.shared_prefixes() {
        let pair =
            CachedPart { key: prefix.key, server: choice.server, tokens: prefix.part_tokens };
        if state.cache_index.borrow_mut().record_part(now, pair) {
            state.updates.borrow_mut().cached_parts.push(pair);
        }
    }
    state.cache_index.borrow_mut().evict_beyond(choice.server, room);
    let servers = state.servers.borrow();
    let address = |server| servers.get(server).map(|known| known.record.address);
    let known = servers.get(choice.server).ok_or(NoPlace::NoServer)?;
    Ok(PlacedCall {
        place: OpenSlot::acquire(state, choice.server, u64::from(unread_tokens)),
        name: known.name.clone(),
        address: known.record.address,
        fetch_from: choice.fetch_from.and_then(address),
    })
}

/// Tokens of shared parts that one server of the call's service keeps for long.
fn shared_room<W: EntryWire>(state: &EntryState<W>, call: &EntryCall) -> u64 {
    let table = state.table.borrow();
    let services = table.as_ref().map(|table| &table.declarations().services);
    let record = services.and_then(|services| services.get(&call.service));
    let engine = record.and_then(|record| record.engine.as_ref());
    engine.map_or(u64::MAX, |engine| (engine.memory_tokens as f64 * SHARED_ROOM) as u64)
}

fn list_candidates<W: EntryWire>(
    state: &EntryState<W>,
    call: &EntryCall,
    tried: &BTreeSet<ServerId>,
    room: u64,
) -> Vec<Candidate> {
    let now = state.now();
    let settings = state.settings();
    let servers = state.servers.borrow();
    let loads = state.loads.borrow();
    let kept = state.cache_index.borrow();
    let outcomes = state.outcomes.borrow();
    let usable = servers.usable(&call.service).filter(|known| !tried.contains(&known.server));
    let keepers = kept.cached_tokens(now, call.shared_prefixes());
    let room = room.max(1) as f64;
    let candidate = |known: &KnownServer| {
        let server = known.server;
        let load = loads.total_load(server);
        Candidate {
            server,
            load: load.open,
            unread_tokens: load.unread_tokens,
            slots: known.record.slots,
            near: known.record.domain == settings.domain,
            kept_tokens: keepers.get(&server).copied().unwrap_or(0),
            memory_share: kept.tokens_on(server) as f64 / room,
            usable: if known.record.leaving {
                CandidateUse::Leaving
            } else if outcomes.is_unreachable(now, server) {
                CandidateUse::Unreachable
            } else if outcomes.is_held(now, server) {
                CandidateUse::Held
            } else {
                CandidateUse::Open
            },
        }
    };
    let sources = servers.leaving(&call.service);
    let sources = sources.filter(|known| !outcomes.is_unreachable(now, known.server));
    usable.chain(sources).map(candidate).collect()
}

fn log_choice<W>(state: &EntryState<W>, call: &EntryCall, choice: &PlaceChoice) {
    log::info!(
        "call: Placed. request={} server={} load={} mean={:.1} part={:016x} shared={} kept={} \
         unread={} fetch_from={} loads_age_millis={} declarations={}",
        call.id_text(),
        choice.server,
        choice.load,
        choice.mean,
        call.shared().map_or(0, |shared| shared.key),
        call.shared().map_or(0, |shared| shared.tokens),
        choice.kept_tokens,
        choice.unread_tokens,
        choice.fetch_from.map_or_else(|| "-".to_owned(), |server| server.to_string()),
        state.loads.borrow().oldest_report_millis(state.now()),
        call.version
    );
}
