//! Serves one checked request: places it, sends it, passes the answer on, and tries again where
//! that is allowed.

use std::collections::BTreeSet;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use catkin_base::{RunVerdict, ServerId};
use tokio::time::{Instant, timeout_at};

use crate::attempt::{AttemptError, AttemptFault, BegunAnswer, PlacedCall, send_attempt};
use crate::call::EntryCall;
use crate::caller::{CallEnd, CallerWriter, write_refusal};
use crate::kept_book::KeptPair;
use crate::outcome_book::AttemptOutcome;
use crate::place::{Candidate, CandidateUse, NoPlace, PlaceChoice, PlaceQuery, choose_place};
use crate::record::RouteKind;
use crate::refuse::{Refusal, RefusalCause};
use crate::relay::{AnswerRelay, RelayEnd};
use crate::server_book::KnownServer;
use crate::state::{EntryState, OpenPlace};
use crate::wire::EntryWire;

/// Part of the target latency for which a request waits for a place.
const WAIT_PART: u32 = 2;
/// How long after the start requests with shared prompts wait for word of what servers keep.
const KEPT_WAIT: Duration = Duration::from_millis(900);
/// One request in so many brings a part with a single copy to a second server.
const SECOND_COPY_PERIOD: u64 = 10;
/// Part of an engine's memory that shared parts fill; running requests and what belongs to single
/// requests take the rest.
const SHARED_ROOM: f64 = 0.6;
/// Most sends of one request that no server ran.
const MAX_UNRUN_SENDS: u32 = 4;
/// How many target latencies a repeatable request waits for a server's first bytes while it may
/// still go elsewhere.
const PATIENCE_TARGETS: u32 = 3;
/// The shortest such wait.
const MIN_PATIENCE: Duration = Duration::from_millis(250);

/// What happened to a request so far.
struct CallProgress {
    tried: BTreeSet<ServerId>,
    /// Sends that a server may have run.
    run_sends: u32,
    /// Sends that were certainly not run.
    unrun_sends: u32,
    ran: RunVerdict,
}

/// Serves a request. Fails if the caller can't be written to.
pub(crate) async fn serve_call<W: EntryWire>(
    state: &Rc<EntryState<W>>,
    call: &EntryCall,
    writer: &mut CallerWriter,
) -> io::Result<CallEnd> {
    let _open = OpenCall::new(state);
    let now = state.now();
    let routers = state.routers();
    state.budgets.borrow_mut().note_request(now, &call.service, routers);
    let served = run_call(state, call, writer).await;
    let millis = call.arrived.elapsed().as_millis();
    let route = &call.route.name;
    match served {
        Ok(ServedCall::Whole { status, attempts }) => {
            log::info!(
                "call: Answered. request={} route={route} status={status} attempts={attempts} \
                 millis={millis}",
                call.id_text()
            );
            note_answer(call, status);
            let last = writer.closing;
            Ok(if last { CallEnd::AnsweredLast } else { CallEnd::Answered })
        }
        Ok(ServedCall::Cut(error)) => {
            log::warn!(
                "call: Cut off midway. request={} route={route} fault={:?} millis={millis}",
                call.id_text(),
                error.fault
            );
            metrics::counter!("catkin_entry_cut_total").increment(1);
            Ok(CallEnd::Cut)
        }
        Ok(ServedCall::Refused(refusal)) => {
            let left = call.limit.saturating_duration_since(Instant::now());
            let pause = refusal.retry_after(left, &mut rand::rng());
            log::info!(
                "call: Refused. request={} route={route} cause={} ran={} status={} \
                 retry_after={pause:?} millis={millis}",
                call.id_text(),
                refusal.as_word(),
                refusal.ran.as_word(),
                refusal.status()
            );
            write_refusal(writer, refusal, pause).await?;
            Ok(if writer.closing { CallEnd::AnsweredLast } else { CallEnd::Answered })
        }
        Err(error) => {
            log::info!("call: Not delivered. request={} error={error}", call.id_text());
            Err(error)
        }
    }
}

/// Whether the router stops and ends before the request must have its answer. Until the balancer
/// has taken the router out, requests are taken all the same.
fn outlasts_process<W: EntryWire>(state: &EntryState<W>, call: &EntryCall) -> bool {
    let exit = state.exit.get();
    state.closing.is_cancelled() && exit.is_some_and(|exit| call.limit > exit)
}

enum ServedCall {
    Whole { status: u16, attempts: u32 },
    Cut(AttemptError),
    Refused(Refusal),
}

async fn run_call<W: EntryWire>(
    state: &Rc<EntryState<W>>,
    call: &EntryCall,
    writer: &mut CallerWriter,
) -> io::Result<ServedCall> {
    if outlasts_process(state, call) {
        return Ok(ServedCall::Refused(Refusal::not_run(RefusalCause::Stopping)));
    }
    let held = state.strikes.borrow().state(state.now(), call.digest).hold_millis > 0;
    if held {
        return Ok(ServedCall::Refused(Refusal::not_run(RefusalCause::Quarantined)));
    }
    let mut progress = CallProgress {
        tried: BTreeSet::new(),
        run_sends: 0,
        unrun_sends: 0,
        ran: RunVerdict::NotRun,
    };
    let mut relay = AnswerRelay::new(call);
    loop {
        let placed = match find_place(state, call, &progress).await {
            Ok(placed) => placed,
            Err(cause) if relay.is_begun() => {
                log::info!("call: No server to go on. request={} cause={cause:?}", call.id_text());
                return Ok(ServedCall::Cut(AttemptError::BROKEN));
            }
            Err(cause) => {
                return Ok(ServedCall::Refused(Refusal { cause, ran: progress.ran }));
            }
        };
        let server = placed.place.server;
        progress.tried.insert(server);
        let patience = first_bytes_limit(call, &progress);
        let error = match send_attempt(state, call, placed, patience, relay.last_event()).await {
            Err(error) => error,
            Ok(begun) => {
                let retries_failure = progress.run_sends + 1 < call.route.max_attempts;
                let kept = keep_failure(call, &begun, retries_failure);
                if kept && take_retry(state, call) {
                    AttemptError::answered_failure()
                } else {
                    match pass_answer(state, call, begun, &mut relay, writer, patience).await? {
                        RelayEnd::Whole { status } => {
                            note_outcome(state, call, server, outcome_of(status));
                            let attempts = progress.run_sends + progress.unrun_sends + 1;
                            return Ok(ServedCall::Whole { status, attempts });
                        }
                        RelayEnd::Failed(error) => error,
                    }
                }
            }
        };
        note_failure(state, call, server, error);
        if error.ran == RunVerdict::NotRun {
            progress.unrun_sends += 1;
        } else {
            progress.run_sends += 1;
        }
        progress.ran = progress.ran.combine(error.ran);
        if let Some(end) = decide_end(state, call, &progress, error, relay.is_begun()) {
            return Ok(end);
        }
        log::info!(
            "call: Tries another server. request={} failed={server} fault={:?} ran={}",
            call.id_text(),
            error.fault,
            error.ran.as_word()
        );
    }
}

/// Decides whether a request ends after a failed attempt.
fn decide_end<W: EntryWire>(
    state: &EntryState<W>,
    call: &EntryCall,
    progress: &CallProgress,
    error: AttemptError,
    begun: bool,
) -> Option<ServedCall> {
    let over = Instant::now() >= call.limit;
    let cause = if over { RefusalCause::TimeOver } else { RefusalCause::ServerFailed };
    let end = if begun {
        ServedCall::Cut(error)
    } else {
        ServedCall::Refused(Refusal { cause, ran: progress.ran })
    };
    let allowed = progress.ran == RunVerdict::NotRun || call.may_repeat();
    let sends_left =
        progress.run_sends < call.route.max_attempts && progress.unrun_sends < MAX_UNRUN_SENDS;
    if over || !allowed || !sends_left {
        return Some(end);
    }
    // A send that reached no server costs the service nothing.
    let reached = error.fault != AttemptFault::Unreachable;
    let paid = error.fault == AttemptFault::Answered || !reached || take_retry(state, call);
    (!paid).then_some(end)
}

fn take_retry<W: EntryWire>(state: &EntryState<W>, call: &EntryCall) -> bool {
    let routers = state.routers();
    let taken = state.budgets.borrow_mut().try_retry(state.now(), &call.service, routers);
    if !taken {
        log::info!("call: The retry budget is spent. request={}", call.id_text());
        metrics::counter!("catkin_entry_budget_spent_total").increment(1);
    }
    taken
}

/// Whether a server's failure is kept back to try another server.
fn keep_failure(call: &EntryCall, begun: &BegunAnswer<impl EntryWire>, retries: bool) -> bool {
    begun.head.status >= 500 && call.may_repeat() && retries && Instant::now() < call.limit
}

/// When the wait for a server's first bytes ends, if the request may still go elsewhere.
fn first_bytes_limit(call: &EntryCall, progress: &CallProgress) -> Instant {
    let more = progress.run_sends + 1 < call.route.max_attempts;
    if !call.may_repeat() || !more {
        return call.limit;
    }
    let patience = (call.route.target_latency * PATIENCE_TARGETS).max(MIN_PATIENCE);
    call.limit.min(Instant::now() + patience)
}

async fn pass_answer<W: EntryWire>(
    state: &Rc<EntryState<W>>,
    call: &EntryCall,
    begun: BegunAnswer<W>,
    relay: &mut AnswerRelay,
    writer: &mut CallerWriter,
    patience: Instant,
) -> io::Result<RelayEnd> {
    match timeout_at(call.limit, relay.pass(state, begun, writer, patience)).await {
        Ok(end) => end,
        Err(_) => Ok(RelayEnd::Failed(AttemptError::TIMED_OUT)),
    }
}

/// Finds a server, and waits a while if there is no room.
async fn find_place<W: EntryWire>(
    state: &Rc<EntryState<W>>,
    call: &EntryCall,
    progress: &CallProgress,
) -> Result<PlacedCall<W>, RefusalCause> {
    if call.shared().is_some() {
        wait_for_kept(state, call.limit).await;
    }
    let wait_until = (Instant::now() + call.route.target_latency / WAIT_PART).min(call.limit);
    loop {
        let room = state.room.notified();
        let cause = match try_place(state, call, progress) {
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
    while !state.knows_kept.get() {
        let news = state.room.notified();
        if timeout_at(until, news).await.is_err() {
            return;
        }
    }
}

fn try_place<W: EntryWire>(
    state: &Rc<EntryState<W>>,
    call: &EntryCall,
    progress: &CallProgress,
) -> Result<PlacedCall<W>, NoPlace> {
    let now = state.now();
    let candidates = list_candidates(state, call, &progress.tried);
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
        let pair = KeptPair { key: prefix.key, server: choice.server, tokens: prefix.own_tokens };
        if state.kept.borrow_mut().note(now, pair) {
            state.news.borrow_mut().kept.push(pair);
        }
    }
    state.kept.borrow_mut().drop_beyond(choice.server, shared_room(state, call));
    let servers = state.servers.borrow();
    let address = |server| servers.get(server).map(|known| known.record.address);
    let known = servers.get(choice.server).ok_or(NoPlace::NoServer)?;
    Ok(PlacedCall {
        place: OpenPlace::take(state, choice.server, u64::from(unread_tokens)),
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
) -> Vec<Candidate> {
    let now = state.now();
    let settings = state.settings();
    let servers = state.servers.borrow();
    let loads = state.loads.borrow();
    let kept = state.kept.borrow();
    let outcomes = state.outcomes.borrow();
    let usable = servers.usable(&call.service).filter(|known| !tried.contains(&known.server));
    let prefixes = call.shared_prefixes();
    let room = shared_room(state, call).max(1) as f64;
    let candidate = |known: &KnownServer| {
        let server = known.server;
        let load = loads.total(server);
        Candidate {
            server,
            load: load.open,
            unread_tokens: load.unread_tokens,
            slots: known.record.slots,
            near: known.record.domain == settings.domain,
            kept_tokens: kept.kept_tokens(now, prefixes, server),
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
        state.loads.borrow().oldest_millis(state.now()),
        call.version
    );
}

fn outcome_of(status: u16) -> AttemptOutcome {
    if status >= 500 { AttemptOutcome::Failed } else { AttemptOutcome::Served }
}

fn note_failure<W: EntryWire>(
    state: &EntryState<W>,
    call: &EntryCall,
    server: ServerId,
    error: AttemptError,
) {
    let fault = format!("{:?}", error.fault);
    metrics::counter!("catkin_entry_failed_attempts_total", "fault" => fault).increment(1);
    let outcome = match error.fault {
        AttemptFault::Unreachable => AttemptOutcome::Unreachable,
        AttemptFault::StaleChannel | AttemptFault::Misdirected => return,
        _ => AttemptOutcome::Failed,
    };
    if error.fault == AttemptFault::Broken && error.ran != RunVerdict::NotRun {
        state.strikes.borrow_mut().note_strike(state.now(), call.digest, server);
        state.news.borrow_mut().strikes.push((call.digest, server));
    }
    note_outcome(state, call, server, outcome);
}

fn note_outcome<W: EntryWire>(
    state: &EntryState<W>,
    call: &EntryCall,
    server: ServerId,
    outcome: AttemptOutcome,
) {
    let servers = state.servers.borrow();
    let peers: Vec<ServerId> = servers.usable(&call.service).map(|known| known.server).collect();
    let now = state.now();
    if state.outcomes.borrow_mut().note(now, server, outcome, &peers) {
        log::info!("servers: Set aside. server={server} outcome={outcome:?}");
        state.news.borrow_mut().urgent = true;
    }
}

fn note_answer(call: &EntryCall, status: u16) {
    let class = format!("{}xx", status / 100);
    metrics::counter!("catkin_entry_answers_total", "status" => class).increment(1);
    let seconds = call.arrived.elapsed().as_secs_f64();
    let kind = match call.route.kind {
        RouteKind::Idempotent => "idempotent",
        RouteKind::Single => "single",
        RouteKind::Streaming => "streaming",
    };
    let team = call.team.clone().unwrap_or_default();
    metrics::histogram!("catkin_entry_answer_seconds", "kind" => kind, "team" => team)
        .record(seconds);
}

/// Counts a request as open until dropped.
struct OpenCall<W> {
    state: Rc<EntryState<W>>,
}

impl<W> OpenCall<W> {
    fn new(state: &Rc<EntryState<W>>) -> Self {
        state.open_calls.set(state.open_calls.get() + 1);
        Self { state: Rc::clone(state) }
    }
}

impl<W> Drop for OpenCall<W> {
    fn drop(&mut self) {
        self.state.open_calls.set(self.state.open_calls.get() - 1);
    }
}
