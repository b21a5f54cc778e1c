//! Calls that may run at most once: claimed in the platform before anything is sent.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use catkin_backend::{AnswerHead, BackendLink};
use catkin_base::{CallRefusal, RefusalReason, RunVerdict, ServerId, digest_hex};
use catkin_platform::{
    ClaimKey, ClaimMoment, ClaimOutcome, ClaimTicket, MarkError, RecordedAnswer, RecordedBody,
    UnknownClaim,
};

use crate::answer::{WholeAnswer, collect_answer, finish_whole};
use crate::attempts::{AttemptRunner, OpenAttempt};
use crate::checked_call::{CheckedCall, ServiceCall};
use crate::environment::RouterEnvironment;
use crate::fleet_index::FleetIndex;
use crate::state::RouterState;

/// Longest wait for a service's look-up of a recorded key.
const LOOK_UP_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time after which a call may be sent again while the platform is down, in seconds.
const PLATFORM_RETRY_SECONDS: u32 = 10;
/// Content type of an answer found by a look-up.
const JSON_TYPE: &str = "application/json";

/// An answer to a call that may run only once.
pub(crate) struct OnceAnswer {
    pub(crate) answer: WholeAnswer,
    pub(crate) replayed: bool,
}

/// Runs a call at most once, whoever sends it how often.
///
/// The call goes on to its end if its caller goes away: its outcome must be recorded.
pub(crate) async fn run_once<E: RouterEnvironment>(
    state: &Arc<RouterState<E>>,
    index: Arc<FleetIndex>,
    call: CheckedCall,
) -> Result<OnceAnswer, CallRefusal> {
    let (sender, receiver) = flume::bounded(1);
    let runner = AttemptRunner::new(Arc::clone(state), index, call);
    state.once_tasks.spawn(async move {
        let result = run_claimed(runner).await;
        // The caller may have gone away.
        let _ = sender.send_async(result).await;
    });
    receiver.recv_async().await.unwrap_or_else(|_| Err(refuse_unknown()))
}

async fn run_claimed<E: RouterEnvironment>(
    mut runner: AttemptRunner<E>,
) -> Result<OnceAnswer, CallRefusal> {
    let Some(service) = runner.call.service.clone() else { return Err(refuse_unknown()) };
    let state = Arc::clone(&runner.state);
    let key = ClaimKey {
        team: runner.call.team,
        service: service.name.clone(),
        key: service.key.clone().unwrap_or_default(),
    };
    let body_digest = digest_call(&runner.call);
    let moment = ClaimMoment { now: state.now(), unix_seconds: state.clock.unix_seconds() };
    match state.claims.claim(&key, &body_digest, moment).await {
        ClaimOutcome::Fresh(ticket) => run_ticket(&mut runner, &service, ticket).await,
        ClaimOutcome::Recorded(recorded) => replay_recorded(recorded),
        ClaimOutcome::InProgress { retry_after } => Err(refuse_in_progress(retry_after)),
        ClaimOutcome::KeyReused => Err(refuse_reused()),
        ClaimOutcome::PlatformDown | ClaimOutcome::Unsettled => {
            Err(refuse_unclaimed(&runner, &service).await)
        }
        ClaimOutcome::Unknown(unknown) => resolve_unknown(&runner, &service, unknown).await,
    }
}

/// Digest of what a key stands for: the path and the body.
fn digest_call(call: &CheckedCall) -> String {
    let mut text = call.path.clone().into_bytes();
    text.push(b'\n');
    text.extend_from_slice(&call.body);
    digest_hex(&text)
}

/// Sends a claimed call, and again only as long as it surely was not run.
async fn run_ticket<E: RouterEnvironment>(
    runner: &mut AttemptRunner<E>,
    service: &ServiceCall,
    mut ticket: ClaimTicket,
) -> Result<OnceAnswer, CallRefusal> {
    let state = Arc::clone(&runner.state);
    loop {
        let mut grant = match runner.acquire().await {
            Ok(grant) => grant,
            Err(refusal) => return end_failed(runner, service, ticket, refusal).await,
        };
        state.claims.mark_sent(&mut ticket).await.map_err(refuse_mark)?;
        let error = match runner.send(grant.server(), None).await {
            Ok(answer) => {
                let mut open = OpenAttempt { answer, grant };
                match collect_answer(runner, &mut open).await {
                    Ok(body) => {
                        let answer = finish_whole(open, body);
                        record_answer(&state, ticket, &answer).await;
                        return Ok(OnceAnswer { answer, replayed: false });
                    }
                    Err(error) => {
                        grant = open.grant;
                        error
                    }
                }
            }
            Err(error) => error,
        };
        if error.ran == RunVerdict::NotRun {
            ticket.note_not_run();
        }
        if let Err(refusal) = runner.note_failure(&mut grant, error) {
            return end_failed(runner, service, ticket, refusal).await;
        }
    }
}

/// Ends a claimed call that no further attempt may follow.
async fn end_failed<E: RouterEnvironment>(
    runner: &AttemptRunner<E>,
    service: &ServiceCall,
    ticket: ClaimTicket,
    refusal: CallRefusal,
) -> Result<OnceAnswer, CallRefusal> {
    if runner.verdict() == RunVerdict::NotRun {
        runner.state.claims.abandon(ticket).await;
        return Err(refusal);
    }
    match look_up(runner, service).await {
        LookUpEnd::Found(answer) => {
            record_answer(&runner.state, ticket, &answer).await;
            Ok(OnceAnswer { answer, replayed: false })
        }
        LookUpEnd::Absent | LookUpEnd::Unsure => {
            runner.state.claims.record_unknown(ticket).await;
            Err(refusal)
        }
    }
}

/// Answers from the service's own record a claim whose outcome was lost.
async fn resolve_unknown<E: RouterEnvironment>(
    runner: &AttemptRunner<E>,
    service: &ServiceCall,
    unknown: UnknownClaim,
) -> Result<OnceAnswer, CallRefusal> {
    let LookUpEnd::Found(answer) = look_up(runner, service).await else {
        return Err(refuse_unknown());
    };
    let recorded = to_recorded(&answer);
    let end = runner.state.claims.resolve(unknown, &recorded).await;
    log::info!("entry: A lost outcome was found. request={} end={end:?}", runner.call.request);
    Ok(OnceAnswer { answer, replayed: true })
}

/// What a service's look-up of a key came to.
enum LookUpEnd {
    /// The key is recorded, with this answer.
    Found(WholeAnswer),
    /// No server has a record of it.
    Absent,
    /// Not every server said whether it has one.
    Unsure,
}

/// Asks the servers of a service, one after the other, for the recorded answer to a key.
async fn look_up<E: RouterEnvironment>(
    runner: &AttemptRunner<E>,
    service: &ServiceCall,
) -> LookUpEnd {
    let (Some(path), Some(key)) = (&service.look_up_path, &service.server_key) else {
        return LookUpEnd::Unsure;
    };
    let backend = &runner.state.backend;
    let pool = runner.call.pool;
    let mut end = LookUpEnd::Absent;
    for entry in runner.index.servers().filter(|entry| entry.spec.pools.contains(&pool)) {
        match backend.look_up(entry.address, path, key, LOOK_UP_TIMEOUT).await {
            Ok(Some(body)) => return LookUpEnd::Found(found_answer(entry.spec.server, body)),
            Ok(None) => {}
            Err(_) => end = LookUpEnd::Unsure,
        }
    }
    end
}

/// Refuses a call that could not be claimed. Nothing of it was sent; whether an earlier call with
/// its key ran, only the service can tell as long as the platform does not answer.
async fn refuse_unclaimed<E: RouterEnvironment>(
    runner: &AttemptRunner<E>,
    service: &ServiceCall,
) -> CallRefusal {
    match look_up(runner, service).await {
        LookUpEnd::Absent => refuse_platform(),
        LookUpEnd::Found(_) | LookUpEnd::Unsure => {
            refuse_platform().with_verdict(RunVerdict::MayHaveRun)
        }
    }
}

fn found_answer(server: ServerId, body: Bytes) -> WholeAnswer {
    WholeAnswer { head: json_head(200, JSON_TYPE), body, server: Some(server) }
}

async fn record_answer<E: RouterEnvironment>(
    state: &RouterState<E>,
    ticket: ClaimTicket,
    answer: &WholeAnswer,
) {
    let end = state.claims.record(ticket, &to_recorded(answer)).await;
    log::debug!("entry: An answer is recorded. end={end:?}");
}

fn to_recorded(answer: &WholeAnswer) -> RecordedAnswer {
    RecordedAnswer::new(answer.head.status, &answer.head.content_type, &answer.body)
}

fn replay_recorded(recorded: RecordedAnswer) -> Result<OnceAnswer, CallRefusal> {
    let RecordedBody::Whole(body) = recorded.body else { return Err(refuse_unrecorded()) };
    let head = json_head(recorded.status, &recorded.content_type);
    let answer = WholeAnswer { head, body: body.into(), server: None };
    Ok(OnceAnswer { answer, replayed: true })
}

fn json_head(status: u16, content_type: &str) -> AnswerHead {
    AnswerHead {
        status,
        content_type: content_type.to_owned(),
        streamed: false,
        cached_tokens: None,
    }
}

fn refuse_mark(error: MarkError) -> CallRefusal {
    match error {
        MarkError::NotHeld => refuse_in_progress(Duration::from_secs(1)),
        MarkError::PlatformDown => refuse_platform(),
    }
}

fn refuse_in_progress(retry_after: Duration) -> CallRefusal {
    let seconds = u32::try_from(retry_after.as_millis().div_ceil(1_000)).unwrap_or(u32::MAX);
    let detail = "Another call with this key is being worked on; this one was not sent.";
    // The other call may run, and it is the same request to its caller.
    CallRefusal::not_run(RefusalReason::KeyInProgress, detail)
        .with_verdict(RunVerdict::MayHaveRun)
        .with_retry_after(seconds.max(1))
}

fn refuse_reused() -> CallRefusal {
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
