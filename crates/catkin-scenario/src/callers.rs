//! Callers: steady loads, calls that are sent again with their key, and crashing requests.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use catkin_base::{RefusalReason, RequestId, RunVerdict};
use catkin_caller::{AnswerPart, CallAnswer, CallRequest, CallService, CallTarget};
use tokio::time::{Instant, sleep, sleep_until};
use tokio_util::task::TaskTracker;

use crate::answer::{AnswerEvent, ScenarioBody};
use crate::script::{CallerLoad, LoadKind};
use crate::tally::{CallEnd, ScenarioClass};
use crate::world::{FleetWorld, MODEL, SERVICE, team_token};

const MINUTE: Duration = Duration::from_secs(60);
const RETRY_PAUSE: Duration = Duration::from_secs(1);
/// How long a caller sends a call with a key again.
const RECORD_RETRY_LIMIT: Duration = Duration::from_secs(45);
const POISON_PAUSE: Duration = Duration::from_millis(500);

/// One request of a scenario.
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
    fn of_load(load: &CallerLoad, world: &FleetWorld) -> Self {
        let chat = world.random_word() % u64::from(load.chats);
        Self {
            kind: load.kind,
            nonce: world.random_word(),
            team: load.team,
            class: load.class,
            chat: format!("chat-{chat}"),
            tokens: load.tokens,
            prompt: load.prompt,
            poison: false,
        }
    }

    fn to_request(&self, world: &FleetWorld) -> CallRequest {
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
            request: RequestId(world.random_word()),
            target,
            token: team_token(self.team),
            class: Some(class_word(self.class).to_owned()),
            chat: (!is_record).then(|| self.chat.clone()),
            deadline_millis: None,
            idempotency_key: is_record.then(|| format!("key-{:x}", self.nonce)),
            hint: None,
            body: serde_json::to_vec(&body).map(Bytes::from).unwrap_or_default(),
        }
    }
}

/// Sends the requests of a load, each in a task of its own.
pub(crate) async fn run_load(world: Arc<FleetWorld>, load: CallerLoad, calls: TaskTracker) {
    let start = Instant::now();
    let end = start + load.to.unwrap_or(world.setup.run);
    let interval = MINUTE / load.per_minute.max(1);
    let mut next = start + load.from + jitter(&world, interval);
    while next < end {
        sleep_until(next).await;
        next += interval / 2 + jitter(&world, interval);
        let plan = CallPlan::of_load(&load, &world);
        calls.spawn(run_call(Arc::clone(&world), plan));
    }
}

fn jitter(world: &FleetWorld, interval: Duration) -> Duration {
    let micros = interval.as_micros().max(1) as u64;
    Duration::from_micros(world.random_word() % micros)
}

async fn run_call(world: Arc<FleetWorld>, plan: CallPlan) {
    world.tally.change(|counts| counts.open_calls += 1);
    match plan.kind {
        LoadKind::Chats => {
            if let Some(end) = call_once(&world, &plan).await {
                world.tally.note_end(plan.nonce, end);
            }
        }
        LoadKind::Records => run_record(&world, &plan).await,
    }
    world.tally.change(|counts| counts.open_calls -= 1);
}

/// Sends a call with a key until its outcome is told.
async fn run_record(world: &FleetWorld, plan: &CallPlan) {
    let started = Instant::now();
    let mut first = true;
    while started.elapsed() < RECORD_RETRY_LIMIT {
        let Some(end) = call_once(world, plan).await else {
            sleep(RETRY_PAUSE).await;
            continue;
        };
        let answered = end == CallEnd::Answered;
        let pause = retry_pause(&end);
        let told_not_run = first && is_not_run(&end);
        first = false;
        world.tally.note_attempt(end);
        if answered {
            world.tally.change(|counts| counts.settled_records += 1);
            return;
        }
        sleep(pause).await;
        if told_not_run {
            world.tally.check_not_run(plan.nonce);
        }
    }
    world.tally.change(|counts| counts.unsettled_records += 1);
}

fn is_not_run(end: &CallEnd) -> bool {
    matches!(end, CallEnd::Refused(refusal) if refusal.ran == RunVerdict::NotRun)
}

fn retry_pause(end: &CallEnd) -> Duration {
    match end {
        CallEnd::Refused(refusal) => {
            let seconds = refusal.retry_after_seconds.unwrap_or(1);
            RETRY_PAUSE.max(Duration::from_secs(seconds.into()))
        }
        _ => RETRY_PAUSE,
    }
}

/// Sends a request that crashes engines, and sends it again after each failure.
pub(crate) async fn run_poison(world: Arc<FleetWorld>, team: u32, times: u32) {
    let plan = CallPlan {
        kind: LoadKind::Chats,
        nonce: world.random_word(),
        team,
        class: ScenarioClass::Quick,
        chat: "poison".to_owned(),
        tokens: 4,
        prompt: 500,
        poison: true,
    };
    world.tally.change(|counts| counts.open_calls += 1);
    for _ in 0..times {
        if let Some(end) = call_once(&world, &plan).await {
            let held = matches!(&end, CallEnd::Refused(refusal)
                if refusal.reason == RefusalReason::Quarantined);
            log::debug!("callers: A crashing request ended. quarantined={held}");
            world.tally.note_attempt(end);
        }
        sleep(POISON_PAUSE).await;
    }
    world.tally.change(|counts| counts.open_calls -= 1);
}

/// Sends a call to one router; `None` if no router takes calls.
async fn call_once(world: &FleetWorld, plan: &CallPlan) -> Option<CallEnd> {
    let entry = world.choose_router()?;
    let request = plan.to_request(world);
    tokio::select! {
        biased;
        () = entry.died.cancelled() => Some(CallEnd::Lost),
        end = async {
            entry.gate.wait().await;
            exchange(world, plan, &*entry.service, request).await
        } => Some(end),
    }
}

async fn exchange<S: CallService>(
    world: &FleetWorld,
    plan: &CallPlan,
    service: &S,
    request: CallRequest,
) -> CallEnd {
    let sent = Instant::now();
    let mut answer = match service.call(request).await {
        Ok(answer) => answer,
        Err(refusal) => return CallEnd::Refused(refusal),
    };
    let mut body = Vec::new();
    loop {
        match answer.next_part().await {
            Ok(AnswerPart::Data(bytes)) => {
                if body.is_empty() {
                    world.tally.note_wait(plan.class, sent.elapsed());
                }
                body.extend_from_slice(&bytes);
            }
            Ok(AnswerPart::End) => return judge_answer(plan, &body),
            Err(cut) => return CallEnd::Cut(cut.refusal),
        }
    }
}

/// Whether an answer is the whole one to this request.
fn judge_answer(plan: &CallPlan, body: &[u8]) -> CallEnd {
    let text = String::from_utf8_lossy(body);
    let events: Vec<AnswerEvent> = text
        .lines()
        .map(|line| line.strip_prefix("data: ").unwrap_or(line))
        .filter_map(|line| serde_json::from_str(line).ok())
        .collect();
    if events.iter().any(|event| event.nonce != plan.nonce) {
        return CallEnd::Stranger;
    }
    let whole = events.last().is_some_and(|event| event.tokens == plan.tokens)
        && events.windows(2).all(|pair| pair[0].tokens < pair[1].tokens);
    if whole { CallEnd::Answered } else { CallEnd::Partial }
}

fn class_word(class: ScenarioClass) -> &'static str {
    match class {
        ScenarioClass::Quick => "quick",
        ScenarioClass::Long => "long",
    }
}
