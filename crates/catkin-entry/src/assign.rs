//! Assigns a request to a server: lists the candidates from the router's state, selects one, and
//! counts the request there.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use catkin_base::{ClockTime, ServerId};
use catkin_policy::RoomVerdict;
use tokio::time::{Instant, timeout_at};

use crate::attempt::AssignedCall;
use crate::cache_index::CachedPart;
use crate::call::EntryCall;
use crate::evacuation_exchange::EVACUATIONS_WAIT;
use crate::load_spread::{SpreadQuery, UnseenInput, estimate_unseen};
use crate::load_table::ServiceKey;
use crate::origin_book::SoftwareKey;
use crate::refusal::RefusalCause;
use crate::server_book::KnownServer;
use crate::server_selection::{
    CandidateState, SelectionError, SelectionQuery, ServerCandidate, ServerSelection, select_server,
};
use crate::speed_table::{combine_factors, find_typical_factor};
use crate::state::{EntryState, OpenSlot};
use crate::waiting_room::LinePlace;
use crate::wire::EntryWire;

/// The maximum wait for free capacity is the target latency of the route divided by this.
const CAPACITY_WAIT_DIVISOR: u32 = 2;
/// The maximum wait for the end of a pause of all servers is the target latency divided by this. Only one
/// request goes first then, so that a longer wait is mostly in vain.
const PAUSE_WAIT_DIVISOR: u32 = 8;
/// Minimum and maximum wait until the limits and pauses of servers are checked again.
const MIN_OPENING_WAIT: Duration = Duration::from_millis(10);
const MAX_OPENING_WAIT: Duration = Duration::from_secs(60);
/// How long after the start of the router requests with a shared prefix wait until it is known
/// which parts servers cache.
const CACHE_INDEX_WAIT: Duration = Duration::from_millis(900);
/// Fraction of an engine's cache that shared parts may fill; running requests and the parts of
/// single requests use the rest.
const SHARED_CACHE_FRACTION: f64 = 0.6;
/// One request in this many copies a part that only one server caches to a second server.
const SECOND_COPY_PERIOD: u64 = 10;

/// Assigns a request to a server, of the given software version if there is one. If all servers are
/// full, waits for free capacity, at most for the target latency divided by
/// [`CAPACITY_WAIT_DIVISOR`].
pub(crate) async fn assign_server<W: EntryWire>(
    state: &Rc<EntryState<W>>,
    call: &EntryCall,
    tried: &BTreeSet<ServerId>,
    software: Option<SoftwareKey>,
) -> Result<AssignedCall<W>, RefusalCause> {
    wait_for_evacuations(state, call.deadline).await;
    if call.shared_prefix().is_some() {
        wait_for_cache_index(state, call.deadline).await;
    }
    if state.orders_requests()
        && software.is_none()
        && let Some(result) = assign_in_line(state, call, tried).await
    {
        return result;
    }
    let wait_until =
        (Instant::now() + call.route.target_latency / CAPACITY_WAIT_DIVISOR).min(call.deadline);
    let pause_until =
        (Instant::now() + call.route.target_latency / PAUSE_WAIT_DIVISOR).min(call.deadline);
    loop {
        let freed = state.selection_input_change.notified();
        if state.is_service_evacuated(&call.service) {
            state.record_kept_away(&call.service, call.id_text());
            return Err(RefusalCause::Evacuated);
        }
        if let Some(software) = software
            && !has_version(state, call, software)
        {
            let evacuated = has_evacuated_version(state, call, software);
            return Err(if evacuated {
                RefusalCause::Evacuated
            } else {
                RefusalCause::VersionGone
            });
        }
        let cause = match try_assign(state, call, tried, software) {
            Ok(assigned) => return Ok(assigned),
            Err(SelectionError::NoServer) => {
                find_pause(state, call).unwrap_or(RefusalCause::NoServer)
            }
            Err(SelectionError::Full) => RefusalCause::Full,
            Err(SelectionError::Restricted) => {
                find_pause(state, call).unwrap_or(RefusalCause::Limited)
            }
        };
        let opening = find_next_opening(state, call, tried);
        let opens_by = |latest| opening.is_some_and(|at| at <= latest);
        let is_vain = match cause {
            RefusalCause::Limited => !opens_by(wait_until),
            RefusalCause::Paused(_) => !opens_by(pause_until),
            _ => false,
        };
        if is_vain {
            return Err(cause);
        }
        let until = opening.map_or(wait_until, |at| at.min(wait_until));
        let is_freed = timeout_at(until, freed).await.is_ok();
        if !is_freed && until == wait_until {
            let over = Instant::now() >= call.deadline;
            return Err(if over { RefusalCause::TimeOver } else { cause });
        }
    }
}

/// Assigns a request in the order of the line of its service, or refuses it. `None` if no server takes it
/// for another reason than a lack of room: it must not hold up those behind it.
async fn assign_in_line<W: EntryWire>(
    state: &Rc<EntryState<W>>,
    call: &EntryCall,
    tried: &BTreeSet<ServerId>,
) -> Option<Result<AssignedCall<W>, RefusalCause>> {
    let place = LinePlace::join(state, call, !tried.is_empty());
    loop {
        let refusal = match place.decide() {
            RoomVerdict::Wait(until) => {
                place.wait(until).await;
                continue;
            }
            RoomVerdict::Refuse(refusal) => refusal,
            RoomVerdict::Go => match try_assign(state, call, tried, None) {
                Ok(assigned) => {
                    place.record_grant();
                    return Some(Ok(assigned));
                }
                Err(SelectionError::Full) if tried.is_empty() => {
                    match place.wait_for_server().await {
                        Ok(()) => continue,
                        Err(refusal) => refusal,
                    }
                }
                Err(_) => return None,
            },
        };
        return Some(Err(place.describe_refusal(refusal)));
    }
}

/// The pause that ends first, if all servers of the call's service asked for one, those that the request
/// was sent to included.
fn find_pause<W: EntryWire>(state: &EntryState<W>, call: &EntryCall) -> Option<RefusalCause> {
    let pauses = state.pauses.borrow();
    let now = state.now();
    let servers = state.servers.borrow();
    let rests = state
        .usable_servers(&servers, &call.service)
        .map(|known| pauses.wait_millis(now, known.server));
    let first = rests.min().filter(|millis| *millis > 0)?;
    Some(RefusalCause::Paused(Duration::from_millis(first)))
}

/// When a server that is held back by its limit or by a pause may get a request again; `None` if there
/// is no such server.
fn find_next_opening<W: EntryWire>(
    state: &EntryState<W>,
    call: &EntryCall,
    tried: &BTreeSet<ServerId>,
) -> Option<Instant> {
    let is_unlimited = state.limits.borrow().is_empty() && state.cold.borrow().table.is_empty();
    let is_sturdy = state.brittle.borrow().is_empty();
    if is_unlimited && is_sturdy && state.pauses.borrow().is_empty() {
        return None;
    }
    let now = state.now();
    let cold_share = state.compute_cold_share(&call.service);
    let mut cold = state.cold.borrow_mut();
    let mut limits = state.limits.borrow_mut();
    let pauses = state.pauses.borrow();
    let share = state.compute_limit_share(&call.service);
    let room_share = state.compute_room_share(&call.service);
    let servers = state.servers.borrow();
    let untried = state
        .usable_servers(&servers, &call.service)
        .filter(|known| !tried.contains(&known.server));
    let waits = untried.map(|known| {
        let credit = limits.wait_millis(now, known.server, share(known.server));
        let cold = cold_share
            .as_ref()
            .map_or(0, |share| cold.table.wait_millis(now, known.server, &share(known.server)));
        let room = state.brittle_wait(known, room_share.as_ref());
        credit.max(cold).max(room).max(pauses.wait_millis(now, known.server))
    });
    let wait = waits.filter(|millis| *millis > 0).min()?;
    Some(Instant::now() + Duration::from_millis(wait).clamp(MIN_OPENING_WAIT, MAX_OPENING_WAIT))
}

/// Waits, just after the start of the router, until it is known which failure domains are evacuated.
async fn wait_for_evacuations<W: EntryWire>(state: &EntryState<W>, deadline: Instant) {
    while !state.knows_evacuations() {
        let changed = state.selection_input_change.notified();
        let until = (state.started + EVACUATIONS_WAIT).min(deadline);
        if timeout_at(until, changed).await.is_err() {
            return;
        }
    }
}

/// Waits, just after the start of the router, until it is known which parts servers cache: the
/// wait costs less than a prompt that is prefilled a second time.
async fn wait_for_cache_index<W: EntryWire>(state: &EntryState<W>, deadline: Instant) {
    let until = (state.started + CACHE_INDEX_WAIT).min(deadline);
    while !state.cache_sync.borrow().is_usable() {
        let changed = state.selection_input_change.notified();
        if timeout_at(until, changed).await.is_err() {
            return;
        }
    }
}

/// Assigns a request to a server if one has free capacity now.
fn try_assign<W: EntryWire>(
    state: &Rc<EntryState<W>>,
    call: &EntryCall,
    tried: &BTreeSet<ServerId>,
    software: Option<SoftwareKey>,
) -> Result<AssignedCall<W>, SelectionError> {
    let now = state.now();
    let capacity = shared_capacity(state, call);
    state.check_cold_pause(false);
    let candidates = list_candidates(state, call, tried, software, capacity);
    let shared = call.shared_prefix();
    let prompt = call.prefixes.last().map_or(0, |prefix| prefix.tokens);
    let own_tokens = u64::from(prompt - shared.map_or(0, |shared| shared.tokens.min(prompt)));
    let queue_millis = if state.runs_engines(&call.service) {
        0.0
    } else {
        (call.route.target_latency / CAPACITY_WAIT_DIVISOR).as_secs_f64() * 1_000.0
    };
    let query = SelectionQuery {
        affinity: shared.map_or(call.digest.0, |shared| shared.key),
        shared_tokens: shared.map_or(0, |shared| shared.tokens),
        second_copy: call.digest.0.is_multiple_of(SECOND_COPY_PERIOD),
        token_millis: 1.0 / state.speeds.borrow().tokens_per_milli(&call.service),
        answer_millis: state.speeds.borrow().expected_millis(&call.service, own_tokens),
        queue_millis,
        spread: plan_spread(state, call, own_tokens),
    };
    let selection = select_server(query, &candidates, &state.load_bounds())?;
    let fetched = selection.fetch_from.map_or(0, |_| query.shared_tokens);
    let unread_tokens = u64::from(prompt.saturating_sub(selection.cached_tokens.max(fetched)));
    let tokens_ahead = selection.unread_tokens + unread_tokens;
    log_selection(state, call, &selection, tokens_ahead);
    state.record_kept_away(&call.service, call.id_text());
    // How long fetching takes is not known, so such answers are not compared.
    let measured_tokens = selection.fetch_from.is_none().then_some(tokens_ahead);
    for prefix in call.shared_prefixes() {
        let part =
            CachedPart { key: prefix.key, server: selection.server, tokens: prefix.part_tokens };
        if state.cache_index.borrow_mut().record_part(now, part) {
            state.updates.borrow_mut().cached_parts.push(part);
        }
    }
    state.cache_index.borrow_mut().evict_beyond(selection.server, capacity);
    let share = state.compute_limit_share(&call.service)(selection.server);
    state.limits.borrow_mut().record_send(now, selection.server, share);
    if let Some(share) = state.compute_cold_share(&call.service) {
        let mut cold = state.cold.borrow_mut();
        cold.table.record_send(now, selection.server, &share(selection.server));
    }
    state.brittle.borrow_mut().record_send(now, selection.server);
    state.pauses.borrow_mut().record_send(now, selection.server);
    let servers = state.servers.borrow();
    let source = |server| servers.get(server).map(|known| (server, known.record.address));
    let known = servers.get(selection.server).ok_or(SelectionError::NoServer)?;
    Ok(AssignedCall {
        slot: OpenSlot::acquire(state, selection.server, unread_tokens, measured_tokens),
        name: known.name.clone(),
        address: known.record.address,
        software: known.software,
        fetch_from: selection.fetch_from.and_then(source),
    })
}

/// How the request is spread over the servers, if the platform's terms ask for even load.
fn plan_spread<W: EntryWire>(
    state: &EntryState<W>,
    call: &EntryCall,
    own_tokens: u64,
) -> Option<SpreadQuery> {
    if !state.settings().contracts.contains(W::EVEN_LOAD_TERM) {
        return None;
    }
    let now = state.now();
    let service = ServiceKey::from_name(&call.service);
    let loads = state.loads.borrow();
    let input = UnseenInput {
        own_rate: state.demands.borrow().rate(now, service),
        routers: loads.live_routers(now),
        servers: state.servers.borrow().usable(&call.service).count(),
        age_millis: loads.mean_report_millis(now),
    };
    Some(SpreadQuery {
        lot: state.lots.borrow_mut().next_lot(state.local_vm.0, service),
        unseen_requests: estimate_unseen(&input),
        own_millis: own_tokens as f64 / state.speeds.borrow().tokens_per_milli(&call.service),
    })
}

/// Whether a server of the call's service that may get requests has this software version.
fn has_version<W: EntryWire>(
    state: &EntryState<W>,
    call: &EntryCall,
    software: SoftwareKey,
) -> bool {
    let servers = state.servers.borrow();
    state.usable_servers(&servers, &call.service).any(|known| known.software == software)
}

/// Whether a server in an evacuated failure domain has this software version.
fn has_evacuated_version<W: EntryWire>(
    state: &EntryState<W>,
    call: &EntryCall,
    software: SoftwareKey,
) -> bool {
    let servers = state.servers.borrow();
    servers
        .usable(&call.service)
        .any(|known| known.software == software && state.is_evacuated(known.server))
}

/// Tokens of shared parts that one server of the call's service can cache without evicting them.
fn shared_capacity<W: EntryWire>(state: &EntryState<W>, call: &EntryCall) -> u64 {
    let table = state.route_table.borrow();
    let services = table.as_ref().map(|table| &table.declarations().services);
    let record = services.and_then(|services| services.get(&call.service));
    let engine = record.and_then(|record| record.engine.as_ref());
    engine.map_or(u64::MAX, |engine| {
        (engine.kv_capacity_tokens as f64 * SHARED_CACHE_FRACTION) as u64
    })
}

/// Lists the versions at which the call must not begin a stream yet. None if it can't begin at others.
fn list_pending_versions<W: EntryWire>(
    state: &EntryState<W>,
    call: &EntryCall,
    tried: &BTreeSet<ServerId>,
    software: Option<SoftwareKey>,
) -> Vec<SoftwareKey> {
    if software.is_some() || !call.is_stream() {
        return Vec::new();
    }
    let pending = state.origins.borrow().pending_versions(state.now(), &call.service);
    let servers = state.servers.borrow();
    let mut usable = state.usable_servers(&servers, &call.service);
    let is_other =
        |known: &KnownServer| !tried.contains(&known.server) && !pending.contains(&known.software);
    if usable.any(is_other) { pending } else { Vec::new() }
}

/// Lists the servers of the call's service that were not tried yet, and the leaving ones that
/// others may fetch from.
fn list_candidates<W: EntryWire>(
    state: &EntryState<W>,
    call: &EntryCall,
    tried: &BTreeSet<ServerId>,
    software: Option<SoftwareKey>,
    capacity: u64,
) -> Vec<ServerCandidate> {
    let now = state.now();
    let settings = state.settings();
    let pending = list_pending_versions(state, call, tried, software);
    let servers = state.servers.borrow();
    let loads = state.loads.borrow();
    let index = state.cache_index.borrow();
    let outcomes = state.outcomes.borrow();
    let speeds = state.speeds.borrow();
    let cold_share = state.compute_cold_share(&call.service);
    let mut cold = state.cold.borrow_mut();
    let mut kept_away = 0;
    let mut lacking_room = 0;
    let mut limits = state.limits.borrow_mut();
    let pauses = state.pauses.borrow();
    let share = state.compute_limit_share(&call.service);
    let room_share = state.compute_room_share(&call.service);
    let usable = state
        .usable_servers(&servers, &call.service)
        .filter(|known| !tried.contains(&known.server));
    let cached_by_server = index.cached_tokens(now, call.shared_prefixes());
    let capacity = capacity.max(1) as f64;
    let candidate = |known: &KnownServer| {
        let server = known.server;
        let names_limit = limits.rate(server).is_some();
        let is_used_up = names_limit && limits.wait_millis(now, server, share(server)) > 0;
        let is_paused = pauses.wait_millis(now, server) > 0;
        let is_cold = cold_share.is_some() && cold.table.is_cold(now, server);
        let is_too_cold = cold_share
            .as_ref()
            .is_some_and(|share| cold.table.wait_millis(now, server, &share(server)) > 0);
        kept_away += u32::from(is_too_cold);
        let is_brittle = state.is_brittle(server, room_share.as_ref());
        let has_no_room = state.brittle_wait(known, room_share.as_ref()) > 0;
        lacking_room += u32::from(has_no_room);
        let load = loads.total_load(server);
        ServerCandidate {
            server,
            load: load.open,
            unread_tokens: load.unread_tokens,
            slots: known.record.slots,
            same_domain: known.record.domain == settings.domain,
            cached_tokens: cached_by_server.get(&server).copied().unwrap_or(0),
            slow_factor: speeds.slow_factor(now, server),
            software: known.software,
            is_restricted: names_limit || is_cold || is_paused || is_brittle,
            cache_fill: index.tokens_on(server) as f64 / capacity,
            state: if known.record.leaving {
                CandidateState::Leaving
            } else if software.is_some_and(|software| known.software != software)
                || pending.contains(&known.software)
            {
                CandidateState::OtherVersion
            } else if is_paused {
                CandidateState::Paused
            } else if is_used_up || is_too_cold || has_no_room {
                CandidateState::Limited
            } else if outcomes.is_unreachable(now, server) {
                CandidateState::Unreachable
            } else if outcomes.is_ejected(now, server) {
                CandidateState::Ejected
            } else {
                CandidateState::Available
            },
        }
    };
    let sources = servers.leaving(&call.service);
    let evacuations = state.evacuations.borrow();
    let sources = sources.filter(|known| {
        !outcomes.is_unreachable(now, known.server) && !evacuations.contains(known.domain)
    });
    let mut candidates: Vec<ServerCandidate> = usable.chain(sources).map(candidate).collect();
    apply_statements(state, now, &call.service, &mut candidates);
    if lacking_room > 0 {
        metrics::counter!("catkin_entry_brittle_kept_away_total").increment(1);
    }
    if kept_away > 0 {
        log::info!(
            "call: cold servers take no more requests now; using others. request={} servers={kept_away}",
            call.id_text()
        );
        metrics::counter!("catkin_entry_cold_kept_away_total").increment(1);
    }
    candidates
}

/// Corrects the factors by which servers are slow by their measured pace with what they state, if servers
/// of their service state their speed.
fn apply_statements<W>(
    state: &EntryState<W>,
    now: ClockTime,
    service: &str,
    candidates: &mut [ServerCandidate],
) {
    let speeds = state.speeds.borrow();
    let stated_speeds = state.stated_speeds.borrow();
    let servers = state.servers.borrow();
    let of_service = servers.usable(service).map(|known| known.server);
    let Some(median) = stated_speeds.find_median(now, of_service) else { return };
    let typical = find_typical_factor(candidates.iter().map(|candidate| candidate.slow_factor));
    for candidate in candidates {
        let stated = stated_speeds.stated_factor(now, candidate.server, median);
        let measured = speeds.measured_pace(now, candidate.server);
        let slow_factor = (candidate.slow_factor / typical).max(1.0);
        candidate.slow_factor = combine_factors(stated, slow_factor, measured);
    }
}

/// Logs a selection with the figures that it is based on.
fn log_selection<W>(
    state: &EntryState<W>,
    call: &EntryCall,
    selection: &ServerSelection,
    tokens_ahead: u64,
) {
    let now = state.now();
    let servers = state.servers.borrow();
    let speeds = state.speeds.borrow();
    let stated_speeds = state.stated_speeds.borrow();
    let slow_factor = selection.slow_factor;
    let stated = stated_speeds.statement(now, selection.server);
    let expected = speeds.expected_millis(&call.service, tokens_ahead);
    log::info!(
        "call: assigned to a server; sending. request={} server={} load={} mean={:.1} servers={} \
         part={:016x} shared={} kept={} unread={} fetch_from={} loads_age_millis={} \
         slow_factor={:.1} stated_percent={} stated_age_millis={} \
         expected_millis={:.0} left_millis={} declarations={} software={} \
         resumes={} evacuated={}",
        call.id_text(),
        selection.server,
        selection.load,
        selection.mean,
        selection.servers,
        call.shared_prefix().map_or(0, |shared| shared.key),
        call.shared_prefix().map_or(0, |shared| shared.tokens),
        selection.cached_tokens,
        selection.unread_tokens,
        selection.fetch_from.map_or_else(|| "-".to_owned(), |server| server.to_string()),
        state.loads.borrow().oldest_report_millis(now),
        slow_factor,
        stated.map_or_else(|| "-".to_owned(), |stated| stated.percent.to_string()),
        stated.map_or(0, |stated| now.millis_since(stated.stated)),
        expected * slow_factor,
        call.deadline.saturating_duration_since(Instant::now()).as_millis(),
        call.version,
        servers.get(selection.server).map_or("?", |known| known.record.software.as_str()),
        call.resumed_id.as_deref().unwrap_or("-"),
        state.count_evacuated(&call.service)
    );
}
