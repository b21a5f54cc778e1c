//! The entry router's side of admission: asks owners and holds the grant.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use catkin_base::{
    CallRefusal, ChatId, ClockTime, RefusalReason, RequestId, RunVerdict, ServerId, VmId,
    hash_parts,
};
use catkin_peer::messages as wire;
use catkin_peer::messages::peer_message::Kind;
use catkin_policy::{
    GrantAnswer, GrantAsk, GrantRefusal, GrantRelease, GrantResult, PlacementPlan, PlanAsk,
    PlanStep, ReleaseOutcome,
};
use tokio::time::{Instant, sleep, timeout_at};

use crate::call::CheckedCall;
use crate::environment::RouterEnvironment;
use crate::index::FleetIndex;
use crate::parts::{AnswerQueue, RouterParts};
use crate::wire::{ask_to_wire, wrap_kind};

/// Servers of a pool that are considered for one request.
const RANK_LIMIT: usize = 8;
/// Servers drawn at random when a request has waited.
const RANDOM_SERVERS: usize = 4;
/// Wait before an unanswered ask is sent again.
const ASK_RETRANSMIT: Duration = Duration::from_millis(150);
/// Times that an ask is sent before its owner counts as silent.
const ASK_TRIES: u32 = 3;
/// Interval at which a queued ask is sent again, so that a lost answer or a new owner shows.
const QUEUED_REFRESH: Duration = Duration::from_millis(1_000);
/// Wait before asking again after a router said that it is not the owner.
const OWNER_DISPUTE_WAIT: Duration = Duration::from_millis(100);
/// Time after which a request that came too late may be sent again, in milliseconds.
const LATE_RETRY_MILLIS: u32 = 1_000;
/// Time after which a request without any server may be sent again, in seconds.
const UNSERVED_RETRY_SECONDS: u32 = 5;

/// A grant to use one server. Dropping it unfinished releases the grant as cancelled.
pub(crate) struct GrantHolder<E: RouterEnvironment> {
    parts: Arc<RouterParts<E>>,
    ask: GrantAsk,
    /// The router that answered last.
    granter: Option<VmId>,
    /// Whether that router declined, so that nothing is left to release.
    settled: bool,
    finished: bool,
}

impl<E: RouterEnvironment> GrantHolder<E> {
    pub(crate) fn server(&self) -> ServerId {
        self.ask.server
    }

    /// Ends the grant with what became of the request.
    pub(crate) fn finish(&mut self, outcome: ReleaseOutcome, generated_tokens: u32) {
        if !self.finished {
            self.finished = true;
            release_ask(self, outcome, generated_tokens);
        }
    }
}

impl<E: RouterEnvironment> Drop for GrantHolder<E> {
    fn drop(&mut self) {
        self.finish(ReleaseOutcome::Cancelled, 0);
    }
}

/// An ask under way. Dropping it withdraws the ask.
struct AskHandle<E: RouterEnvironment> {
    holder: GrantHolder<E>,
    queue: AnswerQueue,
    /// The router to which the last one asked handed the server.
    ceded_to: Option<VmId>,
}

/// How an ask ended.
enum AskEnd<E: RouterEnvironment> {
    Granted(GrantHolder<E>),
    Step(PlanStep),
}

/// Finds a server for a call and the grant to use it.
pub(crate) async fn acquire_grant<E: RouterEnvironment>(
    parts: &Arc<RouterParts<E>>,
    index: &FleetIndex,
    call: &CheckedCall,
    excluded: &BTreeSet<ServerId>,
    attempt: u32,
) -> Result<GrantHolder<E>, CallRefusal> {
    let mut plan = plan_placement(parts, index, call, excluded);
    let Some(first) = plan.next_ask() else {
        return Err(refuse_unserved());
    };
    let mut step = PlanStep::Ask(first);
    let mut asks: u32 = 0;
    loop {
        match step {
            PlanStep::Ask(ask) => {
                asks += 1;
                let number = (u64::from(attempt) << 32) | u64::from(asks);
                match run_ask(parts, index, call, &mut plan, ask, number).await {
                    AskEnd::Granted(holder) => {
                        note_placement(parts, index, &plan, holder.server());
                        return Ok(holder);
                    }
                    AskEnd::Step(next) => step = next,
                }
            }
            PlanStep::GiveUp(refusal) => return Err(refuse_placement(refusal)),
            // An ask ends in a grant, another ask or a refusal.
            PlanStep::Wait | PlanStep::Use(_) => return Err(refuse_unserved()),
        }
    }
}

fn plan_placement<E: RouterEnvironment>(
    parts: &RouterParts<E>,
    index: &FleetIndex,
    call: &CheckedCall,
    excluded: &BTreeSet<ServerId>,
) -> PlacementPlan {
    let usable = |server: &ServerId| !excluded.contains(server) && index.server(*server).is_some();
    let limit = RANK_LIMIT + excluded.len();
    let mut ranked = index.rank_table(call.pool).map_or(Vec::new(), |t| t.rank(call.chat, limit));
    ranked.retain(usable);
    let mut light = light_servers(parts, call);
    light.retain(usable);
    let hint = call.hint.filter(usable).filter(|_| call.returning);
    let plan = PlacementPlan::new(call.chat, ranked, light, hint);
    if call.returning { plan } else { plan.without_history() }
}

/// Whether the pool has servers that a chat's ranking leaves out.
fn has_unranked(index: &FleetIndex, call: &CheckedCall) -> bool {
    index.rank_table(call.pool).is_some_and(|table| table.len() > RANK_LIMIT)
}

/// Servers of the pool that may have room by now: lightly loaded ones and some at random.
fn list_others<E: RouterEnvironment>(
    parts: &RouterParts<E>,
    index: &FleetIndex,
    call: &CheckedCall,
) -> Vec<ServerId> {
    let any = ChatId(parts.random_word());
    let mut others = light_servers(parts, call);
    others.extend(index.rank_table(call.pool).map_or(Vec::new(), |t| t.rank(any, RANDOM_SERVERS)));
    others
}

/// Servers of the pool that had the least load when it was last summed.
fn light_servers<E: RouterEnvironment>(
    parts: &RouterParts<E>,
    call: &CheckedCall,
) -> Vec<ServerId> {
    let control = parts.control();
    let load = control.pool_loads.get(&call.pool);
    load.map_or(Vec::new(), |load| load.light_servers.clone())
}

/// Asks for one server until its owner grants or declines it.
async fn run_ask<E: RouterEnvironment>(
    parts: &Arc<RouterParts<E>>,
    index: &FleetIndex,
    call: &CheckedCall,
    plan: &mut PlacementPlan,
    plan_ask: PlanAsk,
    number: u64,
) -> AskEnd<E> {
    let Some(entry) = index.server(plan_ask.server) else {
        return AskEnd::Step(plan.note_silence());
    };
    let mut handle = AskHandle::open(parts, build_ask(parts, call, plan_ask, number));
    let deadline = parts.clock.instant_of(call.deadline);
    let mut silent_tries = 0;
    loop {
        if parts.now() >= call.deadline {
            return AskEnd::Step(refuse_late());
        }
        let Some(owner) = handle.ceded_to.take().or_else(|| parts.owner_of(&entry.spec)) else {
            return AskEnd::Step(plan.note_silence());
        };
        handle.holder.settled = false;
        submit_ask(parts, owner, handle.ask_until(call.deadline));
        match handle.wait_step(plan, deadline).await {
            StepWait::Step(PlanStep::Use(_)) => return AskEnd::Granted(handle.into_holder()),
            StepWait::Step(PlanStep::Ask(next)) if next == plan_ask => {
                silent_tries = 0;
                if handle.ceded_to.is_none() {
                    sleep(OWNER_DISPUTE_WAIT).await;
                }
            }
            StepWait::Step(step) => return AskEnd::Step(step),
            StepWait::Refresh if plan_ask.must_queue && has_unranked(index, call) => {
                return AskEnd::Step(plan.note_waited(list_others(parts, index, call)));
            }
            StepWait::Refresh => silent_tries = 0,
            StepWait::Silent => silent_tries += 1,
        }
        if silent_tries >= ASK_TRIES {
            return AskEnd::Step(plan.note_silence());
        }
    }
}

/// What came of waiting for an answer.
enum StepWait {
    /// The plan has a next step.
    Step(PlanStep),
    /// The ask is queued and should be sent again.
    Refresh,
    /// No answer came.
    Silent,
}

impl<E: RouterEnvironment> AskHandle<E> {
    fn open(parts: &Arc<RouterParts<E>>, ask: GrantAsk) -> Self {
        let queue = parts.open_ask(ask.request, ask.server);
        let holder = GrantHolder {
            parts: Arc::clone(parts),
            ask,
            granter: None,
            settled: false,
            finished: false,
        };
        Self { holder, queue, ceded_to: None }
    }

    fn into_holder(self) -> GrantHolder<E> {
        self.holder
    }

    /// The ask with the time that is left until `deadline`.
    fn ask_until(&self, deadline: ClockTime) -> GrantAsk {
        let left = deadline.millis_since(self.holder.parts.now());
        let deadline_millis = u32::try_from(left).unwrap_or(u32::MAX);
        GrantAsk { deadline_millis, ..self.holder.ask }
    }

    async fn wait_step(&mut self, plan: &mut PlacementPlan, deadline: Instant) -> StepWait {
        let mut queued = false;
        let mut until = Instant::now() + ASK_RETRANSMIT;
        loop {
            let received = timeout_at(until.min(deadline), self.queue.recv_async()).await;
            let Ok(Ok(received)) = received else {
                return if queued { StepWait::Refresh } else { StepWait::Silent };
            };
            self.ceded_to = received.ceded_to;
            self.holder.granter = Some(received.from);
            self.holder.settled = is_declined(&received.answer);
            match plan.note_answer(&received.answer) {
                PlanStep::Wait => {
                    queued = true;
                    until = Instant::now() + QUEUED_REFRESH;
                }
                step => return StepWait::Step(step),
            }
        }
    }
}

/// Whether an owner's answer leaves nothing open at the owner.
fn is_declined(answer: &GrantAnswer) -> bool {
    !matches!(answer.result, GrantResult::Granted { .. } | GrantResult::Queued)
}

/// Brings an ask to the owner of its server, which may be this router.
fn submit_ask<E: RouterEnvironment>(parts: &RouterParts<E>, owner: VmId, ask: GrantAsk) {
    if owner != parts.identity.vm {
        parts.send_to(owner, &ask_to_wire(&ask));
        return;
    }
    let answer = decide_ask(parts, &ask);
    parts.deliver_answer(&answer);
    parts.admission_due.notify_one();
}

/// Decides on an ask at a server that this router owns.
pub(crate) fn decide_ask<E: RouterEnvironment>(
    parts: &RouterParts<E>,
    ask: &GrantAsk,
) -> GrantAnswer {
    let now = parts.now();
    let mut control = parts.control();
    let hold_millis = control.quarantine_millis(now, ask.digest);
    if hold_millis > 0 {
        return refuse_quarantined(ask, hold_millis);
    }
    control.owner.ask(now, ask)
}

fn refuse_quarantined(ask: &GrantAsk, hold_millis: u64) -> GrantAnswer {
    let refusal = GrantRefusal {
        reason: RefusalReason::Quarantined,
        retry_after_millis: u32::try_from(hold_millis).unwrap_or(u32::MAX),
    };
    GrantAnswer {
        request: ask.request,
        entry: ask.entry,
        server: ask.server,
        result: GrantResult::Refused(refusal),
    }
}

fn build_ask<E: RouterEnvironment>(
    parts: &RouterParts<E>,
    call: &CheckedCall,
    plan_ask: PlanAsk,
    number: u64,
) -> GrantAsk {
    let words = [call.request.0.to_le_bytes(), number.to_le_bytes()];
    GrantAsk {
        // Each ask has its own identifier: a late answer to one must not pass for another's.
        request: RequestId(hash_parts(&[&words[0], &words[1]])),
        entry: parts.identity.vm,
        server: plan_ask.server,
        chat: call.chat,
        team: call.team,
        class: call.class,
        pool: call.pool,
        digest: call.digest,
        prompt_tokens: call.prompt_tokens(),
        expected_tokens: 0,
        deadline_millis: 0,
        rank: plan_ask.rank,
        must_queue: plan_ask.must_queue,
        follow_directory: plan_ask.follow_directory,
    }
}

fn release_ask<E: RouterEnvironment>(
    holder: &GrantHolder<E>,
    outcome: ReleaseOutcome,
    generated_tokens: u32,
) {
    let ask = &holder.ask;
    holder.parts.close_ask(ask.request);
    if holder.settled {
        return;
    }
    let release = GrantRelease {
        request: ask.request,
        server: ask.server,
        chat: ask.chat,
        outcome,
        generated_tokens,
    };
    holder.parts.send_release(holder.granter, &release);
}

/// Tells the owner of the chat's home where the chat now is, if that is news to it.
fn note_placement<E: RouterEnvironment>(
    parts: &RouterParts<E>,
    index: &FleetIndex,
    plan: &PlacementPlan,
    server: ServerId,
) {
    let Some(home) = plan.home_to_note(server) else { return };
    let Some(owner) = index.server(home).and_then(|entry| parts.owner_of(&entry.spec)) else {
        return;
    };
    if owner == parts.identity.vm {
        parts.control().owner.note_placement(plan.chat(), home, server);
        return;
    }
    let note = wire::PlacementNote { chat: plan.chat().0, home: home.0, server: server.0 };
    parts.send_to(owner, &wrap_kind(Kind::PlacementNote(note)));
}

fn refuse_late() -> PlanStep {
    PlanStep::GiveUp(GrantRefusal {
        reason: RefusalReason::DeadlineUnmet,
        retry_after_millis: LATE_RETRY_MILLIS,
    })
}

fn refuse_unserved() -> CallRefusal {
    CallRefusal::not_run(RefusalReason::Overloaded, "No server can take the request now.")
        .with_retry_after(UNSERVED_RETRY_SECONDS)
}

fn refuse_placement(refusal: GrantRefusal) -> CallRefusal {
    let detail = match refusal.reason {
        RefusalReason::DeadlineUnmet => "No server can answer before the deadline.",
        RefusalReason::TeamLimit => "The team has as many open requests as it may.",
        RefusalReason::Quarantined => "This request crashed servers and is refused for a while.",
        _ => "No server can take the request now.",
    };
    let ran = match refusal.reason {
        RefusalReason::Quarantined => RunVerdict::HasRun,
        _ => RunVerdict::NotRun,
    };
    CallRefusal::not_run(refusal.reason, detail)
        .with_verdict(ran)
        .with_retry_after(refusal.retry_after_millis.div_ceil(1_000).max(1))
}
