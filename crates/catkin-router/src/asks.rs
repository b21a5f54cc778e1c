//! One ask of the entry router for one server.

use std::sync::Arc;
use std::time::Duration;

use catkin_base::{ClockTime, RefusalReason, RequestId, VmId, hash_parts};
use catkin_policy::{
    GrantAnswer, GrantAsk, GrantRefusal, GrantResult, PlacementPlan, PlanAsk, PlanStep,
};
use tokio::time::{Instant, sleep, timeout_at};

use crate::admission::decide_ask;
use crate::candidates::AttemptScope;
use crate::environment::RouterEnvironment;
use crate::grants::GrantHolder;
use crate::parts::{AnswerQueue, RouterParts};
use crate::wire::ask_to_wire;

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

/// An ask under way. Dropping it withdraws the ask.
struct AskHandle<E: RouterEnvironment> {
    holder: GrantHolder<E>,
    queue: AnswerQueue,
    /// The router to which the last one asked handed the server.
    ceded_to: Option<VmId>,
}

/// How an ask ended.
pub(crate) enum AskEnd<E: RouterEnvironment> {
    Granted(GrantHolder<E>),
    Step(PlanStep),
}

/// Asks for one server until its owner grants or declines it.
pub(crate) async fn run_ask<E: RouterEnvironment>(
    scope: &AttemptScope<'_, E>,
    plan: &mut PlacementPlan,
    plan_ask: PlanAsk,
    number: u32,
) -> AskEnd<E> {
    let AttemptScope { parts, index, call, .. } = scope;
    let Some(entry) = index.server(plan_ask.server) else {
        return AskEnd::Step(plan.handle_timeout());
    };
    let mut handle = AskHandle::open(parts, build_ask(scope, plan_ask, number));
    let deadline = parts.clock.instant_of(call.deadline);
    let mut silent_tries = 0;
    loop {
        if parts.now() >= call.deadline {
            return AskEnd::Step(refuse_late());
        }
        let Some(owner) = handle.ceded_to.take().or_else(|| parts.owner_of(&entry.spec)) else {
            return AskEnd::Step(plan.handle_timeout());
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
            StepWait::Refresh if plan_ask.must_queue && scope.has_unranked() => {
                return AskEnd::Step(plan.handle_queue_timeout(scope.list_others()));
            }
            StepWait::Refresh => silent_tries = 0,
            StepWait::Silent => silent_tries += 1,
        }
        if silent_tries >= ASK_TRIES {
            return AskEnd::Step(plan.handle_timeout());
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
        let holder = GrantHolder::new(parts, ask);
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
            match plan.handle_answer(&received.answer) {
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

fn build_ask<E: RouterEnvironment>(
    scope: &AttemptScope<'_, E>,
    plan_ask: PlanAsk,
    number: u32,
) -> GrantAsk {
    let AttemptScope { parts, call, .. } = scope;
    let request = call.request.0.to_le_bytes();
    let numbers = [scope.attempt.to_le_bytes(), number.to_le_bytes()];
    GrantAsk {
        // Each ask has its own identifier: a late answer to one must not pass for another's.
        request: RequestId(hash_parts(&[&request, &numbers[0], &numbers[1]])),
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

fn refuse_late() -> PlanStep {
    PlanStep::Refuse(GrantRefusal {
        reason: RefusalReason::DeadlineUnmet,
        retry_after_millis: LATE_RETRY_MILLIS,
    })
}
