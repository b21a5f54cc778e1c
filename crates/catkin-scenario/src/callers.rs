//! Simulated callers: constant loads, retried calls with idempotency keys, and requests that crash
//! engines.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use catkin_base::{RefusalReason, RequestId, RunVerdict};
use catkin_caller::{AnswerPart, CallAnswer, CallRequest, CallService, CallTarget};
use tokio::time::{Instant, sleep, sleep_until};
use tokio_util::task::TaskTracker;

use crate::answer::{AnswerEvent, ScenarioBody};
use crate::fleet::{MODEL, SERVICE, ScenarioFleet, team_token};
use crate::script::{CallerLoad, LoadKind};
use crate::tally::{CallOutcome, ScenarioClass};

const MINUTE: Duration = Duration::from_secs(60);
const RETRY_DELAY: Duration = Duration::from_secs(1);
/// Time for which a caller retries a call with a key.
const RECORD_RETRY_LIMIT: Duration = Duration::from_secs(45);
const POISON_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Content of one request.
#[derive(Debug, Clone)]
struct CallPlan {
    kind: LoadKind,
    nonce: u64,
    team: u32,
    class: ScenarioClass,
    chat: String,
    tokens: u32,
    prompt: u32,
    poison: bool,
}

impl CallPlan {
    fn from_load(load: &CallerLoad, fleet: &ScenarioFleet) -> Self {
        let chat = fleet.random_u64() % u64::from(load.chats);
        Self {
            kind: load.kind,
            nonce: fleet.random_u64(),
            team: load.team,
            class: load.class,
            chat: format!("chat-{chat}"),
            tokens: load.tokens,
            prompt: load.prompt,
            poison: false,
        }
    }

    fn build_request(&self, fleet: &ScenarioFleet) -> CallRequest {
        let streamed = self.kind == LoadKind::Chats;
        let body = ScenarioBody {
            model: MODEL.to_owned(),
            nonce: self.nonce,
            tokens: self.tokens,
            prompt: self.prompt,
            poison: self.poison,
            stream: streamed,
        };
        let target = match self.kind {
            LoadKind::Chats => CallTarget::Chat { model: MODEL.to_owned(), streamed },
            LoadKind::Records => {
                CallTarget::Service { service: SERVICE.to_owned(), path: "/record".to_owned() }
            }
        };
        let is_record = self.kind == LoadKind::Records;
        CallRequest {
            request: RequestId(fleet.random_u64()),
            target,
            token: team_token(self.team),
            class: Some(class_name(self.class).to_owned()),
            chat: (!is_record).then(|| self.chat.clone()),
            deadline_millis: None,
            idempotency_key: is_record.then(|| format!("key-{:x}", self.nonce)),
            hint: None,
            body: serde_json::to_vec(&body).map(Bytes::from).unwrap_or_default(),
        }
    }
}

/// Sends the requests of a load, each in its own task of `calls`.
pub(crate) async fn run_load(fleet: Arc<ScenarioFleet>, load: CallerLoad, calls: TaskTracker) {
    let start = Instant::now();
    let end = start + load.to.unwrap_or(fleet.setup.run);
    let interval = MINUTE / load.per_minute.max(1);
    let mut next = start + load.from + draw_jitter(&fleet, interval);
    while next < end {
        sleep_until(next).await;
        next += interval / 2 + draw_jitter(&fleet, interval);
        let plan = CallPlan::from_load(&load, &fleet);
        calls.spawn(run_call(Arc::clone(&fleet), plan));
    }
}

fn draw_jitter(fleet: &ScenarioFleet, interval: Duration) -> Duration {
    let micros = interval.as_micros().max(1) as u64;
    Duration::from_micros(fleet.random_u64() % micros)
}

async fn run_call(fleet: Arc<ScenarioFleet>, plan: CallPlan) {
    fleet.tally.update(|counts| counts.open_calls += 1);
    match plan.kind {
        LoadKind::Chats => {
            if let Some(outcome) = call_once(&fleet, &plan).await {
                fleet.tally.record_outcome(plan.nonce, outcome);
            }
        }
        LoadKind::Records => run_record(&fleet, &plan).await,
    }
    fleet.tally.update(|counts| counts.open_calls -= 1);
}

/// Retries a call with a key until it is answered or [`RECORD_RETRY_LIMIT`] has passed.
async fn run_record(fleet: &ScenarioFleet, plan: &CallPlan) {
    let started = Instant::now();
    let mut first = true;
    while started.elapsed() < RECORD_RETRY_LIMIT {
        let Some(outcome) = call_once(fleet, plan).await else {
            sleep(RETRY_DELAY).await;
            continue;
        };
        let answered = outcome == CallOutcome::Answered;
        let delay = retry_delay(&outcome);
        let reported_not_run = first && is_not_run(&outcome);
        first = false;
        fleet.tally.record_attempt(outcome);
        if answered {
            fleet.tally.update(|counts| counts.settled_records += 1);
            return;
        }
        sleep(delay).await;
        if reported_not_run {
            fleet.tally.check_not_run(plan.nonce);
        }
    }
    fleet.tally.update(|counts| counts.unsettled_records += 1);
}

fn is_not_run(outcome: &CallOutcome) -> bool {
    matches!(outcome, CallOutcome::Refused(refusal) if refusal.ran == RunVerdict::NotRun)
}

fn retry_delay(outcome: &CallOutcome) -> Duration {
    match outcome {
        CallOutcome::Refused(refusal) => {
            let seconds = refusal.retry_after_seconds.unwrap_or(1);
            RETRY_DELAY.max(Duration::from_secs(seconds.into()))
        }
        _ => RETRY_DELAY,
    }
}

/// Sends a request that crashes engines `times` times, one attempt after the other.
pub(crate) async fn run_poison(fleet: Arc<ScenarioFleet>, team: u32, times: u32) {
    let plan = CallPlan {
        kind: LoadKind::Chats,
        nonce: fleet.random_u64(),
        team,
        class: ScenarioClass::Quick,
        chat: "poison".to_owned(),
        tokens: 4,
        prompt: 500,
        poison: true,
    };
    fleet.tally.update(|counts| counts.open_calls += 1);
    for _ in 0..times {
        if let Some(outcome) = call_once(&fleet, &plan).await {
            let quarantined = matches!(&outcome, CallOutcome::Refused(refusal)
                if refusal.reason == RefusalReason::Quarantined);
            log::debug!("callers: crashing request ended. quarantined={quarantined}");
            fleet.tally.record_attempt(outcome);
        }
        sleep(POISON_RETRY_DELAY).await;
    }
    fleet.tally.update(|counts| counts.open_calls -= 1);
}

/// Sends a call to one router; returns `None` if no router is ready.
async fn call_once(fleet: &ScenarioFleet, plan: &CallPlan) -> Option<CallOutcome> {
    let handle = fleet.choose_router()?;
    let request = plan.build_request(fleet);
    tokio::select! {
        biased;
        () = handle.crash_token.cancelled() => Some(CallOutcome::Lost),
        outcome = async {
            handle.gate.wait().await;
            perform_call(fleet, plan, &*handle.service, request).await
        } => Some(outcome),
    }
}

async fn perform_call<S: CallService>(
    fleet: &ScenarioFleet,
    plan: &CallPlan,
    service: &S,
    request: CallRequest,
) -> CallOutcome {
    let sent = Instant::now();
    let mut answer = match service.call(request).await {
        Ok(answer) => answer,
        Err(refusal) => return CallOutcome::Refused(refusal),
    };
    let mut body = Vec::new();
    loop {
        match answer.next_part().await {
            Ok(AnswerPart::Data(bytes)) => {
                if body.is_empty() {
                    fleet.tally.record_wait(plan.class, sent.elapsed());
                }
                body.extend_from_slice(&bytes);
            }
            Ok(AnswerPart::End) => return classify_answer(plan, &body),
            Err(cut) => return CallOutcome::Cut(cut.refusal),
        }
    }
}

/// Checks that an answer belongs to this request and is complete.
fn classify_answer(plan: &CallPlan, body: &[u8]) -> CallOutcome {
    let text = String::from_utf8_lossy(body);
    let events: Vec<AnswerEvent> = text
        .lines()
        .map(|line| line.strip_prefix("data: ").unwrap_or(line))
        .filter_map(|line| serde_json::from_str(line).ok())
        .collect();
    if events.iter().any(|event| event.nonce != plan.nonce) {
        return CallOutcome::Stranger;
    }
    let is_complete = events.last().is_some_and(|event| event.tokens == plan.tokens)
        && events.windows(2).all(|pair| pair[0].tokens < pair[1].tokens);
    if is_complete { CallOutcome::Answered } else { CallOutcome::Partial }
}

fn class_name(class: ScenarioClass) -> &'static str {
    match class {
        ScenarioClass::Quick => "quick",
        ScenarioClass::Long => "long",
    }
}
