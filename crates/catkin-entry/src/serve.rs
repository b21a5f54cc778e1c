//! Serves one checked request: sends it to a server, forwards the answer, and retries at another
//! server where that is allowed.

use std::cell::Cell;
use std::collections::BTreeSet;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use catkin_base::{RunVerdict, ServerId, VmId};
use catkin_policy::CrashEvidence;
use tokio::time::{Instant, timeout_at};

use crate::answer_forwarder::{AnswerForwarder, ForwardEnd, ForwardStep};
use crate::assign::assign_server;
use crate::attempt::{AttemptError, AttemptFailure, AttemptLimits, StartedAnswer, send_attempt};
use crate::break_cause::ServerCheck;
use crate::call::EntryCall;
use crate::call_relay::{RelayResult, passes_on, send_relayed};
use crate::caller::{CallEnd, CallerWriter, write_refusal};
use crate::crash_book::CrashSource;
use crate::crash_check::check_server;
use crate::crash_reports::CallVerdict;
use crate::load_table::ServiceKey;
use crate::outcome_book::AttemptOutcome;
use crate::record::RouteKind;
use crate::refusal::{Refusal, RefusalCause};
use crate::resumption::find_resumed_software;
use crate::retry_payment::RetryPayment;
use crate::state::EntryState;
use crate::wire::EntryWire;

/// Maximum number of attempts for one request that certainly did not run.
const MAX_NOT_RUN_ATTEMPTS: u32 = 4;
/// Timeout for the first bytes of an answer to a request that may be retried, in multiples of the
/// target latency of its route.
const FIRST_BYTE_TARGETS: u32 = 3;
/// Minimum of this timeout.
const MIN_FIRST_BYTE_TIMEOUT: Duration = Duration::from_millis(250);

/// Maximum number of other routers that a request is passed on to, one after the other.
const MAX_HELPERS: u32 = 3;
/// Maximum number of prompt parts in a log line.
const MAX_LOGGED_PARTS: usize = 16;
/// Attempts made so far for a request.
struct CallProgress {
    /// Servers that were tried.
    tried: BTreeSet<ServerId>,
    /// Attempts that a server may have run.
    possibly_run_attempts: u32,
    /// Attempts that certainly did not run.
    not_run_attempts: u32,
    /// Whether any attempt may have run.
    ran: RunVerdict,
    /// The payment for the next attempt, unless it is the first one.
    payment: Option<RetryPayment>,
}

/// Serves a request and records the result. The error is a failed write to the caller.
pub(crate) async fn serve_call<W: EntryWire>(
    state: &Rc<EntryState<W>>,
    call: &EntryCall,
    writer: &mut CallerWriter,
) -> io::Result<CallEnd> {
    let _open = OpenCall::new(state);
    let now = state.now();
    if call.forwarded_attempts.is_none() {
        state.budgets.borrow_mut().record_request(now, &call.service);
    }
    if !state.is_out_of_reach(&call.service) {
        state.demands.borrow_mut().record_request(now, ServiceKey::from_name(&call.service));
        state.record_room_request(call);
    }
    let ran_so_far = Cell::new(RunVerdict::NotRun);
    let served = tokio::select! {
        biased;
        served = run_call(state, call, writer, &ran_so_far) => served,
        () = state.end_calls.cancelled() => Ok(end_with_process(writer, ran_so_far.get())),
    };
    let millis = call.arrived.elapsed().as_millis();
    let route = &call.route.name;
    match served {
        Ok(ServedCall::Complete { status, attempts, server, stated_load, stated_limit }) => {
            log::info!(
                "call: answered in full. request={} route={route} status={status} \
                 attempts={attempts} millis={millis} server={server} stated_load={} stated_limit={}",
                call.id_text(),
                stated_load.as_deref().unwrap_or("-"),
                stated_limit.as_deref().unwrap_or("-")
            );
            record_answer(call, status);
            let last = writer.closing;
            Ok(if last { CallEnd::AnsweredLast } else { CallEnd::Answered })
        }
        Ok(ServedCall::Relayed { status, helper }) => {
            log::info!(
                "call: answered through another router. request={} route={route} status={status} \
                 millis={millis} helper={helper}",
                call.id_text()
            );
            record_answer(call, status);
            let last = writer.closing;
            Ok(if last { CallEnd::AnsweredLast } else { CallEnd::Answered })
        }
        Ok(ServedCall::Truncated(error)) => {
            log::warn!(
                "call: answer broke off after the caller had a part; closing the connection. \
                 request={} route={route} fault={:?} millis={millis}",
                call.id_text(),
                error.failure
            );
            metrics::counter!("catkin_entry_cut_total").increment(1);
            Ok(CallEnd::Truncated)
        }
        Ok(ServedCall::Refused(refusal)) => {
            let left = call.deadline.saturating_duration_since(Instant::now());
            let pause = refusal.retry_after(left, &mut rand::rng());
            pause.into_iter().for_each(|pause| state.record_return(call, refusal.cause, pause));
            log::info!(
                "call: refused by the router. request={} route={route} cause={} ran={} status={} \
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
            log::info!(
                "call: writing to the caller failed; closing the connection. request={} \
                 error={error}",
                call.id_text()
            );
            Err(error)
        }
    }
}

/// Ends a request that has no complete answer when the router exits.
fn end_with_process(writer: &mut CallerWriter, ran: RunVerdict) -> ServedCall {
    writer.closing = true;
    if writer.started {
        return ServedCall::Truncated(AttemptError::BROKEN);
    }
    ServedCall::Refused(Refusal { cause: RefusalCause::GraceOver, ran })
}

/// Whether the router is stopping and exits before the deadline of the request. Callers' requests are
/// accepted in any case until the load balancer has taken the router out.
fn outlives_process<W: EntryWire>(state: &EntryState<W>, call: &EntryCall) -> bool {
    let exit = state.exit_deadline.get();
    let may_refuse = state.close_idle_callers.is_cancelled() || call.forwarded_attempts.is_some();
    may_refuse && exit.is_some_and(|exit| call.deadline > exit)
}

/// How a request ended.
enum ServedCall {
    /// The caller has the complete answer.
    Complete {
        status: u16,
        attempts: u32,
        /// The server whose answer was complete.
        server: ServerId,
        /// What the server stated of its load, as received.
        stated_load: Option<String>,
        /// The limit that the server named, as received.
        stated_limit: Option<String>,
    },
    /// The caller has the complete answer, which another router forwarded.
    Relayed { status: u16, helper: VmId },
    /// The answer broke off after the caller had a part of it.
    Truncated(AttemptError),
    /// The caller gets a refusal instead of an answer.
    Refused(Refusal),
}

/// Makes attempts until one succeeds or no further one is allowed. `ran_so_far` tells at any time
/// whether a server may have run the request.
async fn run_call<W: EntryWire>(
    state: &Rc<EntryState<W>>,
    call: &EntryCall,
    writer: &mut CallerWriter,
    ran_so_far: &Cell<RunVerdict>,
) -> io::Result<ServedCall> {
    if outlives_process(state, call) {
        return Ok(ServedCall::Refused(Refusal::not_run(RefusalCause::Stopping)));
    }
    if state.check_quarantine(call) == CallVerdict::Refused {
        return Ok(ServedCall::Refused(Refusal::not_run(RefusalCause::Quarantined)));
    }
    let mut progress = CallProgress {
        tried: BTreeSet::new(),
        possibly_run_attempts: call.forwarded_attempts.unwrap_or(0),
        not_run_attempts: 0,
        ran: RunVerdict::NotRun,
        payment: None,
    };
    let mut forwarder = AnswerForwarder::new(state, call);
    if passes_on(state, call) {
        return relay_call(state, call, &progress, &mut forwarder, writer, ran_so_far).await;
    }
    let resumed_software = match find_resumed_software(state, call).await {
        Ok(software) => software,
        Err(cause) => return Ok(ServedCall::Refused(Refusal::not_run(cause))),
    };
    loop {
        if !writer.started && passes_on(state, call) {
            return relay_call(state, call, &progress, &mut forwarder, writer, ran_so_far).await;
        }
        let software = forwarder.software().or(resumed_software);
        let assigned = match assign_server(state, call, &progress.tried, software).await {
            Ok(assigned) => assigned,
            Err(cause) if writer.started => {
                log::info!(
                    "call: no server to resume the stream; ending the answer early. request={} \
                     cause={cause:?}",
                    call.id_text()
                );
                return Ok(ServedCall::Truncated(AttemptError::BROKEN));
            }
            Err(cause) => {
                return Ok(ServedCall::Refused(Refusal { cause, ran: progress.ran }));
            }
        };
        if state.is_quarantined(call) {
            return Ok(end_quarantined(&progress, writer.started));
        }
        let server = assigned.slot.server;
        let address = assigned.address;
        forwarder.begin_attempt();
        progress.tried.insert(server);
        let answer_deadline = choose_answer_deadline(call, &progress);
        let last_event = forwarder.last_event();
        let limits = AttemptLimits { answer_deadline, payment: progress.payment };
        ran_so_far.set(RunVerdict::MayHaveRun);
        let started = send_attempt(state, call, assigned, limits, last_event).await;
        record_room_answer(state, call, started.as_ref().err());
        let error = match started {
            Err(error) => error,
            Ok(answer) => {
                let retries_failure = progress.possibly_run_attempts + 1 < call.route.max_attempts;
                let withheld = withholds_failure(call, &answer, retries_failure);
                let payment = if withheld { state.spend_retry(call) } else { None };
                if payment.is_some() {
                    progress.payment = payment;
                    AttemptError::answered_failure()
                } else {
                    let stated = |name| answer.head.fields.text(name).map(str::to_owned);
                    let stated_load = stated(W::HEADERS.load);
                    let stated_limit = stated(W::HEADERS.limit);
                    match forward_answer(
                        state,
                        call,
                        answer,
                        &mut forwarder,
                        writer,
                        answer_deadline,
                    )
                    .await?
                    {
                        ForwardEnd::Complete { status } => {
                            record_outcome(state, call, server, classify_status(status));
                            if status < 500 {
                                state.record_served(call.digest);
                            }
                            if (200..300).contains(&status) && !forwarder.is_answered() {
                                state.record_part_answer(&call.part_keys());
                            }
                            let attempts =
                                progress.possibly_run_attempts + progress.not_run_attempts + 1;
                            return Ok(ServedCall::Complete {
                                status,
                                attempts,
                                server,
                                stated_load,
                                stated_limit,
                            });
                        }
                        ForwardEnd::Failed(error) => error,
                    }
                }
            }
        };
        // A router that is cut off sees connections break as if their servers had crashed.
        let is_in_reach = !state.may_be_out_of_reach(&call.service);
        // The servers of a domain that is emptied end without having crashed.
        let may_blame = error.may_have_crashed() && is_in_reach && !state.is_evacuated(server);
        if may_blame && !call.prefixes.is_empty() && !forwarder.is_answered() {
            let check = check_server(state, server, address).await;
            log_possible_crash(call, server, forwarder.first_events(), check);
            if let Some(evidence) = assess_crash(error.failure, check) {
                state.record_local_crash(call, server, evidence);
            }
        }
        record_failure(state, call, server, error);
        match (error.failure, error.ran) {
            // Nothing was tried at this server.
            (AttemptFailure::Withdrawn | AttemptFailure::Evacuated | AttemptFailure::Unpaid, _) => {
            }
            (_, RunVerdict::NotRun) => progress.not_run_attempts += 1,
            _ => progress.possibly_run_attempts += 1,
        }
        progress.ran = progress.ran.combine(error.ran);
        ran_so_far.set(progress.ran);
        let payment = match decide_next(state, call, &progress, error, writer.started) {
            NextStep::End(end) => return Ok(end),
            NextStep::Repeat(payment) => payment,
        };
        progress.payment = payment.or(progress.payment);
        log::info!(
            "call: attempt failed; trying another server. request={} failed={server} fault={:?} \
             ran={} paid={}",
            call.id_text(),
            error.failure,
            error.ran.as_word(),
            payment.is_some()
        );
    }
}

/// Passes a request on to other routers, since this one reaches no server of its service or may reach none. `progress` has
/// the attempts that this router made itself before it knew that.
async fn relay_call<W: EntryWire>(
    state: &Rc<EntryState<W>>,
    call: &EntryCall,
    progress: &CallProgress,
    forwarder: &mut AnswerForwarder,
    writer: &mut CallerWriter,
    ran_so_far: &Cell<RunVerdict>,
) -> io::Result<ServedCall> {
    let refuse = |cause, ran| Ok(ServedCall::Refused(Refusal { cause, ran }));
    // A request is passed on once only, so that no two routers pass it to one another.
    if call.forwarded_attempts.is_some() {
        return refuse(RefusalCause::OutOfReach, progress.ran);
    }
    let mut attempts = progress.possibly_run_attempts;
    let mut ran = progress.ran;
    let mut tried = BTreeSet::new();
    for _ in 0..MAX_HELPERS {
        ran_so_far.set(RunVerdict::MayHaveRun);
        let relayed = send_relayed(state, call, attempts, &mut tried).await;
        let (helper, answer) = match relayed {
            RelayResult::NoHelper => break,
            RelayResult::Refused { may_have_sent } => {
                if may_have_sent && state.spend_retry(call).is_none() {
                    return refuse(RefusalCause::OutOfReach, ran);
                }
                continue;
            }
            RelayResult::Failed(error) => {
                ran = ran.combine(error.ran);
                attempts += u32::from(error.ran != RunVerdict::NotRun);
                let allowed = ran == RunVerdict::NotRun || call.may_repeat();
                let paid = error.ran == RunVerdict::NotRun || state.spend_retry(call).is_some();
                if Instant::now() >= call.deadline {
                    return refuse(RefusalCause::TimeOver, ran);
                }
                if !allowed || !paid || attempts >= call.route.max_attempts {
                    return refuse(RefusalCause::ServerFailed, ran);
                }
                continue;
            }
            RelayResult::Answered(helper, answer) => (helper, answer),
        };
        // Only this router knows of its own attempts.
        if ran != RunVerdict::NotRun && answer.promises_not_run() {
            return refuse(RefusalCause::ServerFailed, ran);
        }
        let deadline = call.deadline;
        return match forward_answer(state, call, answer.started, forwarder, writer, deadline)
            .await?
        {
            ForwardEnd::Complete { status } => Ok(ServedCall::Relayed { status, helper }),
            ForwardEnd::Failed(error) if writer.started => Ok(ServedCall::Truncated(error)),
            ForwardEnd::Failed(error) => refuse(RefusalCause::ServerFailed, ran.combine(error.ran)),
        };
    }
    let over = Instant::now() >= call.deadline;
    refuse(if over { RefusalCause::TimeOver } else { RefusalCause::OutOfReach }, ran)
}

/// Ends a request whose content was quarantined while it waited for a server.
fn end_quarantined(progress: &CallProgress, started: bool) -> ServedCall {
    if started {
        return ServedCall::Truncated(AttemptError::BROKEN);
    }
    ServedCall::Refused(Refusal { cause: RefusalCause::Quarantined, ran: progress.ran })
}

/// What follows a failed attempt.
enum NextStep {
    /// The request ends.
    End(ServedCall),
    /// The request is sent to another server. `None` if the payment for the failed attempt covers it.
    Repeat(Option<RetryPayment>),
}

/// Decides what follows a failed attempt.
fn decide_next<W: EntryWire>(
    state: &EntryState<W>,
    call: &EntryCall,
    progress: &CallProgress,
    error: AttemptError,
    started: bool,
) -> NextStep {
    let over = Instant::now() >= call.deadline;
    let quarantined = state.is_quarantined(call);
    let cause = match (over, quarantined) {
        (true, _) => RefusalCause::TimeOver,
        (false, true) => RefusalCause::Quarantined,
        (false, false) => RefusalCause::ServerFailed,
    };
    let end = if started {
        ServedCall::Truncated(error)
    } else {
        ServedCall::Refused(Refusal { cause, ran: progress.ran })
    };
    // Only a stream goes on at another server; another body can't follow a part of this one.
    let can_follow = !started || call.route.kind == RouteKind::Streaming;
    let allowed = (progress.ran == RunVerdict::NotRun || call.may_repeat()) && can_follow;
    let attempts_left = progress.possibly_run_attempts < call.route.max_attempts
        && progress.not_run_attempts < MAX_NOT_RUN_ATTEMPTS;
    let unpaid = error.failure == AttemptFailure::Unpaid;
    if over || quarantined || unpaid || !allowed || !attempts_left {
        return NextStep::End(end);
    }
    // An attempt that reached no server adds no load to the service, so it spends no retry.
    let reached = !matches!(
        error.failure,
        AttemptFailure::Unreachable | AttemptFailure::Withdrawn | AttemptFailure::Evacuated
    );
    // The retry was spent before the error answer was withheld.
    if !reached || error.failure == AttemptFailure::Answered {
        return NextStep::Repeat(None);
    }
    match state.spend_retry(call) {
        None => NextStep::End(end),
        payment => NextStep::Repeat(payment),
    }
}

/// Whether a server's error answer is withheld from the caller to try another server.
fn withholds_failure(
    call: &EntryCall,
    answer: &StartedAnswer<impl EntryWire>,
    retries: bool,
) -> bool {
    answer.head.status >= 500 && call.may_repeat() && retries && Instant::now() < call.deadline
}

/// Chooses the deadline for the first bytes of an answer: earlier than that of the request if it
/// may still be retried.
fn choose_answer_deadline(call: &EntryCall, progress: &CallProgress) -> Instant {
    let more = progress.possibly_run_attempts + 1 < call.route.max_attempts;
    if !call.may_repeat() || !more {
        return call.deadline;
    }
    let timeout = (call.route.target_latency * FIRST_BYTE_TARGETS).max(MIN_FIRST_BYTE_TIMEOUT);
    call.deadline.min(Instant::now() + timeout)
}

/// Forwards an answer to the caller. It must be complete at the deadline of the request; what the caller has
/// not read of a complete answer by then is delivered late.
async fn forward_answer<W: EntryWire>(
    state: &Rc<EntryState<W>>,
    call: &EntryCall,
    answer: StartedAnswer<W>,
    forwarder: &mut AnswerForwarder,
    writer: &mut CallerWriter,
    answer_deadline: Instant,
) -> io::Result<ForwardEnd> {
    let forwarding = forwarder.forward(state, answer, writer, answer_deadline);
    match timeout_at(call.deadline, forwarding).await {
        Ok(step) => match step? {
            ForwardStep::Ready(ready) => forwarder.write_ready(ready, writer).await,
            ForwardStep::Ended(end) => Ok(end),
        },
        Err(_) => Ok(ForwardEnd::Failed(AttemptError::TIMED_OUT)),
    }
}

fn classify_status(status: u16) -> AttemptOutcome {
    if status >= 500 { AttemptOutcome::Failed } else { AttemptOutcome::Served }
}

/// How certain it is that a server crashed, after an attempt there failed and it was checked.
fn assess_crash(failure: AttemptFailure, check: ServerCheck) -> Option<CrashEvidence> {
    match (failure, check) {
        (AttemptFailure::Crashed, _) | (_, ServerCheck::Gone) => Some(CrashEvidence::Certain),
        (AttemptFailure::TimedOut, ServerCheck::Listening) => None,
        (_, ServerCheck::Listening | ServerCheck::Silent) => Some(CrashEvidence::Possible),
    }
}

/// Logs what may show which part of a request crashed a server.
fn log_possible_crash(
    call: &EntryCall,
    server: ServerId,
    first_events: Option<Instant>,
    check: ServerCheck,
) {
    let parts: Vec<String> = call
        .prefixes
        .iter()
        .map(|part| format!("{:016x}", part.key))
        .take(MAX_LOGGED_PARTS)
        .collect();
    let begun_millis = first_events.map(|first| first.elapsed().as_millis());
    log::info!(
        "server: connection broke off or was silent while a request was open. request={} \
         server={server} begun_millis={begun_millis:?} check={check:?} parts={}",
        call.id_text(),
        parts.join(",")
    );
}

/// Records for the room of the service whether a server took a request.
fn record_room_answer<W: EntryWire>(
    state: &EntryState<W>,
    call: &EntryCall,
    error: Option<&AttemptError>,
) {
    match error.map(|error| error.failure) {
        None => state.record_room_answer(&call.service, false),
        Some(AttemptFailure::Declined) => state.record_room_answer(&call.service, true),
        Some(_) => {}
    }
}

/// Records a failed attempt: its metric, a strike if it may have crashed the server, and its
/// outcome.
fn record_failure<W: EntryWire>(
    state: &EntryState<W>,
    call: &EntryCall,
    server: ServerId,
    error: AttemptError,
) {
    let failure = format!("{:?}", error.failure);
    metrics::counter!("catkin_entry_failed_attempts_total", "fault" => failure).increment(1);
    let outcome = match error.failure {
        // The server is gone; its entry remains until the store removes it.
        AttemptFailure::Unreachable | AttemptFailure::Misdirected | AttemptFailure::Crashed => {
            Some(AttemptOutcome::Unreachable)
        }
        AttemptFailure::StaleChannel
        | AttemptFailure::Withdrawn
        | AttemptFailure::Evacuated
        | AttemptFailure::Unpaid => return,
        // It counts against the request, but the server accepts connections.
        AttemptFailure::BrokenReused => None,
        _ => Some(AttemptOutcome::Failed),
    };
    let broke = matches!(
        error.failure,
        AttemptFailure::Broken | AttemptFailure::BrokenReused | AttemptFailure::Crashed
    );
    if broke && error.may_have_crashed() && outcome.is_some() {
        state.record_cold_failure(server);
    }
    if broke
        && error.may_have_crashed()
        && !state.may_be_out_of_reach(&call.service)
        && !state.is_evacuated(server)
        && state.record_strike(call.digest, server, CrashSource::Local)
    {
        state.updates.borrow_mut().crashes.strikes.push((call.digest, server));
    }
    if let Some(outcome) = outcome {
        record_outcome(state, call, server, outcome);
    }
}

/// Records the outcome of an attempt, which may eject the server. A failure with which the server asked
/// this router for a pause says nothing to the others, to which an ejection is reported.
fn record_outcome<W: EntryWire>(
    state: &EntryState<W>,
    call: &EntryCall,
    server: ServerId,
    outcome: AttemptOutcome,
) {
    let servers = state.servers.borrow();
    let service_servers = state.usable_servers(&servers, &call.service).map(|known| known.server);
    let now = state.now();
    let failed = outcome == AttemptOutcome::Failed;
    if failed && state.is_paused(server) {
        return;
    }
    match outcome {
        AttemptOutcome::Unreachable => state.record_cold_failure(server),
        AttemptOutcome::Served => state.record_cold_answer(server),
        AttemptOutcome::Failed => {}
    }
    if state.outcomes.borrow_mut().record(now, server, outcome, service_servers) {
        log::info!(
            "servers: server ejected for failed attempts; used only if no available server has free \
             capacity. server={server} outcome={outcome:?}"
        );
        state.updates.borrow_mut().send_now = true;
    }
}

/// Records the metrics of a complete answer.
fn record_answer(call: &EntryCall, status: u16) {
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
