//! Serves one checked request: sends it, passes the answer on, and tries again where that is
//! allowed.

use std::collections::BTreeSet;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use catkin_base::{RunVerdict, ServerId};
use tokio::time::{Instant, timeout_at};

use crate::attempt::{AttemptError, AttemptFault, BegunAnswer, send_attempt};
use crate::call::EntryCall;
use crate::caller::{CallEnd, CallerWriter, write_refusal};
use crate::outcome_book::AttemptOutcome;
use crate::placing::find_place;
use crate::record::RouteKind;
use crate::refuse::{Refusal, RefusalCause};
use crate::relay::{AnswerRelay, RelayEnd};
use crate::state::EntryState;
use crate::wire::EntryWire;

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
        let placed = match find_place(state, call, &progress.tried).await {
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
                            if status < 500 {
                                state.strikes.borrow_mut().record_served(call.digest);
                            }
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
        // Its entry is left over until the store removes it.
        AttemptFault::Unreachable | AttemptFault::Misdirected => AttemptOutcome::Unreachable,
        AttemptFault::StaleChannel => return,
        _ => AttemptOutcome::Failed,
    };
    if error.fault == AttemptFault::Broken && error.ran != RunVerdict::NotRun {
        state.strikes.borrow_mut().record_strike(state.now(), call.digest, server);
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
    let peers = servers.usable(&call.service).map(|known| known.server);
    let now = state.now();
    if state.outcomes.borrow_mut().note(now, server, outcome, peers) {
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
