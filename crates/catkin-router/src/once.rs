//! Calls that may run at most once: the idempotency key is claimed on the platform before the call
//! is sent, and the outcome is recorded under the claim.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use catkin_backend::{AnswerHead, BackendLink};
use catkin_base::{CallRefusal, RefusalReason, RunVerdict, ServerId, digest_hex};
use catkin_platform::{
    ClaimKey, ClaimOutcome, ClaimTicket, ClaimTime, MarkError, RecordedAnswer, RecordedBody,
    UnknownClaim,
};

use crate::answer::{BufferedAnswer, collect_body, finish_buffered};
use crate::attempts::{AttemptRunner, OpenAttempt};
use crate::checked_call::{CheckedCall, ServiceCall};
use crate::environment::RouterEnvironment;
use crate::fleet_index::FleetIndex;
use crate::state::RouterState;

/// Timeout of a request to one server for the recorded answer to a key.
const LOOK_UP_TIMEOUT: Duration = Duration::from_millis(1_000);
/// `Retry-After` of a call refused because the platform is down, in seconds.
const PLATFORM_RETRY_SECONDS: u32 = 10;
/// Content type of an answer that a server returns for a key.
const JSON_TYPE: &str = "application/json";

/// An answer to a call that may run at most once.
pub(crate) struct AtMostOnceAnswer {
    pub(crate) answer: BufferedAnswer,
    /// Whether an earlier call with the same key gave the answer.
    pub(crate) replayed: bool,
}

/// Runs a call at most once, however many callers send it and however often.
///
/// The call runs in a task of its own and is not cancelled when its caller disconnects, because its
/// outcome must be recorded.
pub(crate) async fn run_at_most_once<E: RouterEnvironment>(
    state: &Arc<RouterState<E>>,
    index: Arc<FleetIndex>,
    call: CheckedCall,
) -> Result<AtMostOnceAnswer, CallRefusal> {
    let (sender, receiver) = flume::bounded(1);
    let runner = AttemptRunner::new(Arc::clone(state), index, call);
    state.detached_calls.spawn(async move {
        let result = claim_and_run(runner).await;
        // Fails if the caller has disconnected; the outcome is recorded all the same.
        let _ = sender.send_async(result).await;
    });
    receiver.recv_async().await.unwrap_or_else(|_| Err(refuse_unknown()))
}

/// Claims the call's key and acts on the outcome: runs the call, replays a recorded answer, or
/// refuses the call.
async fn claim_and_run<E: RouterEnvironment>(
    mut runner: AttemptRunner<E>,
) -> Result<AtMostOnceAnswer, CallRefusal> {
    let Some(service) = runner.call.service.clone() else { return Err(refuse_unknown()) };
    let state = Arc::clone(&runner.state);
    let key = ClaimKey {
        team: runner.call.team,
        service: service.name.clone(),
        key: service.key.clone().unwrap_or_default(),
    };
    let claim_digest = digest_claimed_call(&runner.call);
    let time = ClaimTime { now: state.now(), unix_seconds: state.clock.unix_seconds() };
    match state.claims.claim(&key, &claim_digest, time).await {
        ClaimOutcome::Fresh(ticket) => run_claimed_call(&mut runner, &service, ticket).await,
        ClaimOutcome::Recorded(recorded) => replay_recorded(recorded),
        ClaimOutcome::InProgress { retry_after } => Err(refuse_in_progress(retry_after)),
        ClaimOutcome::KeyReused => Err(refuse_reused_key()),
        ClaimOutcome::PlatformDown | ClaimOutcome::Unconfirmed => {
            Err(refuse_unclaimed(&runner, &service).await)
        }
        ClaimOutcome::Unknown(unknown) => resolve_unknown(&runner, &service, unknown).await,
    }
}

/// Digest of path and body, stored with the claim. A later call with the same key and another
/// digest is refused.
fn digest_claimed_call(call: &CheckedCall) -> String {
    let mut text = call.path.clone().into_bytes();
    text.push(b'\n');
    text.extend_from_slice(&call.body);
    digest_hex(&text)
}

/// Sends a claimed call. It is sent again only if the server certainly did not run it.
async fn run_claimed_call<E: RouterEnvironment>(
    runner: &mut AttemptRunner<E>,
    service: &ServiceCall,
    mut ticket: ClaimTicket,
) -> Result<AtMostOnceAnswer, CallRefusal> {
    let state = Arc::clone(&runner.state);
    loop {
        let mut grant = match runner.acquire_server().await {
            Ok(grant) => grant,
            Err(refusal) => return resolve_failure(runner, service, ticket, refusal).await,
        };
        state.claims.mark_sent(&mut ticket).await.map_err(refuse_unmarked)?;
        let error = match runner.send_attempt(grant.server(), None).await {
            Ok(answer) => {
                let mut attempt = OpenAttempt { answer, grant };
                match collect_body(runner, &mut attempt).await {
                    Ok(body) => {
                        let answer = finish_buffered(attempt, body);
                        record_answer(&state, ticket, &answer).await;
                        return Ok(AtMostOnceAnswer { answer, replayed: false });
                    }
                    Err(error) => {
                        grant = attempt.grant;
                        error
                    }
                }
            }
            Err(error) => error,
        };
        if error.ran == RunVerdict::NotRun {
            ticket.mark_not_run();
        }
        if let Err(refusal) = runner.handle_failure(&mut grant, error) {
            return resolve_failure(runner, service, ticket, refusal).await;
        }
    }
}

/// Ends a claimed call that no further attempt may follow: withdraws the claim if nothing ran, else
/// looks for the answer in the service and records it, or that the outcome is unknown.
async fn resolve_failure<E: RouterEnvironment>(
    runner: &AttemptRunner<E>,
    service: &ServiceCall,
    ticket: ClaimTicket,
    refusal: CallRefusal,
) -> Result<AtMostOnceAnswer, CallRefusal> {
    if runner.run_verdict() == RunVerdict::NotRun {
        runner.state.claims.withdraw(ticket).await;
        return Err(refusal);
    }
    match look_up_key(runner, service).await {
        KeyLookUp::Found(answer) => {
            record_answer(&runner.state, ticket, &answer).await;
            Ok(AtMostOnceAnswer { answer, replayed: false })
        }
        KeyLookUp::Absent | KeyLookUp::Inconclusive => {
            runner.state.claims.record_unknown(ticket).await;
            Err(refusal)
        }
    }
}

/// Answers a call whose key has a claim without an outcome, if the service has a record of the key.
async fn resolve_unknown<E: RouterEnvironment>(
    runner: &AttemptRunner<E>,
    service: &ServiceCall,
    unknown: UnknownClaim,
) -> Result<AtMostOnceAnswer, CallRefusal> {
    let KeyLookUp::Found(answer) = look_up_key(runner, service).await else {
        return Err(refuse_unknown());
    };
    let recorded = to_recorded(&answer);
    let end = runner.state.claims.resolve(unknown, &recorded).await;
    log::info!(
        "entry: the service has a record of the key; answering from it. request={} end={end:?}",
        runner.call.request
    );
    Ok(AtMostOnceAnswer { answer, replayed: true })
}

/// Outcome of requesting a key's recorded answer from a service's servers.
enum KeyLookUp {
    /// A server has a record of the key, with this answer.
    Found(BufferedAnswer),
    /// Each server answered that it has no record of the key.
    Absent,
    /// No record was found, and some server did not answer or the service has no look-up path.
    Inconclusive,
}

/// Requests the recorded answer to the call's key from the servers of a service, one after the
/// other.
async fn look_up_key<E: RouterEnvironment>(
    runner: &AttemptRunner<E>,
    service: &ServiceCall,
) -> KeyLookUp {
    let (Some(path), Some(key)) = (&service.look_up_path, &service.server_key) else {
        return KeyLookUp::Inconclusive;
    };
    let backend = &runner.state.backend;
    let pool = runner.call.pool;
    let mut end = KeyLookUp::Absent;
    for entry in runner.index.servers().filter(|entry| entry.spec.pools.contains(&pool)) {
        match backend.look_up(entry.address, path, key, LOOK_UP_TIMEOUT).await {
            Ok(Some(body)) => return KeyLookUp::Found(found_answer(entry.spec.server, body)),
            Ok(None) => {}
            Err(_) => end = KeyLookUp::Inconclusive,
        }
    }
    end
}

/// The refusal of a call whose key could not be claimed. The call was not sent, but an earlier one
/// with the same key may have run: while the platform is down, only the service can rule that out.
async fn refuse_unclaimed<E: RouterEnvironment>(
    runner: &AttemptRunner<E>,
    service: &ServiceCall,
) -> CallRefusal {
    match look_up_key(runner, service).await {
        KeyLookUp::Absent => refuse_platform(),
        KeyLookUp::Found(_) | KeyLookUp::Inconclusive => {
            refuse_platform().with_verdict(RunVerdict::MayHaveRun)
        }
    }
}

fn found_answer(server: ServerId, body: Bytes) -> BufferedAnswer {
    BufferedAnswer { head: build_head(200, JSON_TYPE), body, server: Some(server) }
}

async fn record_answer<E: RouterEnvironment>(
    state: &RouterState<E>,
    ticket: ClaimTicket,
    answer: &BufferedAnswer,
) {
    let end = state.claims.record(ticket, &to_recorded(answer)).await;
    log::debug!("entry: recording the answer under its claim ended. end={end:?}");
}

fn to_recorded(answer: &BufferedAnswer) -> RecordedAnswer {
    RecordedAnswer::new(answer.head.status, &answer.head.content_type, &answer.body)
}

fn replay_recorded(recorded: RecordedAnswer) -> Result<AtMostOnceAnswer, CallRefusal> {
    let RecordedBody::Complete(body) = recorded.body else { return Err(refuse_unrecorded()) };
    let head = build_head(recorded.status, &recorded.content_type);
    let answer = BufferedAnswer { head, body: body.into(), server: None };
    Ok(AtMostOnceAnswer { answer, replayed: true })
}

fn build_head(status: u16, content_type: &str) -> AnswerHead {
    AnswerHead {
        status,
        content_type: content_type.to_owned(),
        streamed: false,
        cached_tokens: None,
    }
}

fn refuse_unmarked(error: MarkError) -> CallRefusal {
    match error {
        MarkError::NotHeld => refuse_in_progress(Duration::from_secs(1)),
        MarkError::PlatformDown => refuse_platform(),
    }
}

fn refuse_in_progress(retry_after: Duration) -> CallRefusal {
    let seconds = u32::try_from(retry_after.as_millis().div_ceil(1_000)).unwrap_or(u32::MAX);
    let detail = "Another call with this key is being worked on; this one was not sent.";
    // The other call may run, and the caller takes both for the same request.
    CallRefusal::not_run(RefusalReason::KeyInProgress, detail)
        .with_verdict(RunVerdict::MayHaveRun)
        .with_retry_after(seconds.max(1))
}

fn refuse_reused_key() -> CallRefusal {
    let detail = "The key was used before with another body.";
    CallRefusal::not_run(RefusalReason::KeyReused, detail)
}

fn refuse_platform() -> CallRefusal {
    let detail = "The platform does not answer, and this call may not run without it.";
    CallRefusal::not_run(RefusalReason::PlatformDown, detail)
        .with_retry_after(PLATFORM_RETRY_SECONDS)
}

fn refuse_unrecorded() -> CallRefusal {
    let detail = "The call ran; its answer was too large to be recorded.";
    CallRefusal::not_run(RefusalReason::OutcomeUnknown, detail).with_verdict(RunVerdict::HasRun)
}

fn refuse_unknown() -> CallRefusal {
    let detail = "An earlier call with this key may have run; its outcome is not known.";
    CallRefusal::not_run(RefusalReason::OutcomeUnknown, detail).with_verdict(RunVerdict::MayHaveRun)
}
