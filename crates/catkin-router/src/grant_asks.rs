//! Requests the grant of one server from the router that owns it.

use std::sync::Arc;
use std::time::Duration;

use catkin_base::{ClockTime, RefusalReason, RequestId, VmId, hash_parts};
use catkin_policy::{
    GrantAnswer, GrantAsk, GrantRefusal, GrantResult, PlacementPlan, PlanAsk, PlanStep,
};
use tokio::time::{Instant, sleep, timeout_at};

use crate::admission::decide_grant;
use crate::candidates::AttemptScope;
use crate::environment::RouterEnvironment;
use crate::grants::GrantGuard;
use crate::state::{AnswerQueue, RouterState};
use crate::wire::ask_to_wire;

/// Wait before an unanswered request is sent again.
const ASK_RETRANSMIT_INTERVAL: Duration = Duration::from_millis(150);
/// Number of times that a request is sent before its owner counts as not answering.
const MAX_ASK_SENDS: u32 = 3;
/// Interval at which a queued request is sent again, to recover from a lost answer and to reach a
/// new owner.
const QUEUED_ASK_INTERVAL: Duration = Duration::from_millis(1_000);
/// Wait before a request is sent again after a router answered that it is not the owner.
const NOT_OWNER_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Retry time of a call refused because its deadline has passed, in milliseconds.
const DEADLINE_RETRY_MILLIS: u32 = 1_000;

/// A grant request that awaits its answer. Dropping the handle withdraws the request.
struct AskHandle<E: RouterEnvironment> {
    grant: GrantGuard<E>,
    queue: AnswerQueue,
    /// Router to which the last router that answered has ceded the server.
    ceded_to: Option<VmId>,
}

/// Result of requesting one server.
pub(crate) enum AskResult<E: RouterEnvironment> {
    /// The server is granted.
    Granted(GrantGuard<E>),
    /// The server is not granted; the plan goes on with this step.
    Step(PlanStep),
}

/// Requests one server until its owner grants or declines it, does not answer, or the call's
/// deadline passes.
pub(crate) async fn request_grant<E: RouterEnvironment>(
    scope: &AttemptScope<'_, E>,
    plan: &mut PlacementPlan,
    plan_ask: PlanAsk,
    number: u32,
) -> AskResult<E> {
    let AttemptScope { state, index, call, .. } = scope;
    let Some(entry) = index.server(plan_ask.server) else {
        return AskResult::Step(plan.handle_timeout());
    };
    let mut handle = AskHandle::open(state, build_ask(scope, plan_ask, number));
    let deadline = state.clock.instant_of(call.deadline);
    let mut unanswered_sends = 0;
    loop {
        if state.now() >= call.deadline {
            return AskResult::Step(refuse_deadline());
        }
        let Some(owner) = handle.ceded_to.take().or_else(|| state.owner_of(&entry.spec)) else {
            return AskResult::Step(plan.handle_timeout());
        };
        handle.grant.declined = false;
        send_ask(state, owner, handle.ask_until(call.deadline));
        match handle.wait_step(plan, deadline).await {
            WaitResult::Step(PlanStep::Use(_)) => return AskResult::Granted(handle.into_grant()),
            WaitResult::Step(PlanStep::Ask(next)) if next == plan_ask => {
                unanswered_sends = 0;
                if handle.ceded_to.is_none() {
                    sleep(NOT_OWNER_RETRY_DELAY).await;
                }
            }
            WaitResult::Step(step) => return AskResult::Step(step),
            WaitResult::Resend if plan_ask.must_queue && scope.has_unranked() => {
                return AskResult::Step(plan.handle_queue_timeout(scope.list_alternatives()));
            }
            WaitResult::Resend => unanswered_sends = 0,
            WaitResult::TimedOut => unanswered_sends += 1,
        }
        if unanswered_sends >= MAX_ASK_SENDS {
            return AskResult::Step(plan.handle_timeout());
        }
    }
}

/// Result of waiting for an answer.
enum WaitResult {
    /// An answer led to this step of the plan.
    Step(PlanStep),
    /// The request is queued at the owner and should be sent again.
    Resend,
    /// No answer arrived in time.
    TimedOut,
}

impl<E: RouterEnvironment> AskHandle<E> {
    fn open(state: &Arc<RouterState<E>>, ask: GrantAsk) -> Self {
        let queue = state.register_request(ask.request, ask.server);
        let grant = GrantGuard::new(state, ask);
        Self { grant, queue, ceded_to: None }
    }

    fn into_grant(self) -> GrantGuard<E> {
        self.grant
    }

    /// The request with the time that is left until `deadline`, which the owner reads.
    fn ask_until(&self, deadline: ClockTime) -> GrantAsk {
        let left = deadline.millis_since(self.grant.state.now());
        let deadline_millis = u32::try_from(left).unwrap_or(u32::MAX);
        GrantAsk { deadline_millis, ..self.grant.ask }
    }

    /// Waits for answers until one leads to a step, or the request should be sent again.
    async fn wait_step(&mut self, plan: &mut PlacementPlan, deadline: Instant) -> WaitResult {
        let mut queued = false;
        let mut resend_at = Instant::now() + ASK_RETRANSMIT_INTERVAL;
        loop {
            let received = timeout_at(resend_at.min(deadline), self.queue.recv_async()).await;
            let Ok(Ok(received)) = received else {
                return if queued { WaitResult::Resend } else { WaitResult::TimedOut };
            };
            self.ceded_to = received.ceded_to;
            self.grant.answered_by = Some(received.from);
            self.grant.declined = is_declined(&received.answer);
            match plan.handle_answer(&received.answer) {
                PlanStep::Wait => {
                    queued = true;
                    resend_at = Instant::now() + QUEUED_ASK_INTERVAL;
                }
                step => return WaitResult::Step(step),
            }
        }
    }
}

/// Whether the owner holds neither a grant nor a queued request after this answer.
fn is_declined(answer: &GrantAnswer) -> bool {
    !matches!(answer.result, GrantResult::Granted { .. } | GrantResult::Queued)
}

/// Sends a grant request to the owner of its server; decides at once if that is this router.
fn send_ask<E: RouterEnvironment>(state: &RouterState<E>, owner: VmId, ask: GrantAsk) {
    if owner != state.identity.vm {
        state.send_to(owner, &ask_to_wire(&ask));
        return;
    }
    let answer = decide_grant(state, &ask);
    state.send_answer(&answer);
    state.admission_due.notify_one();
}

fn build_ask<E: RouterEnvironment>(
    scope: &AttemptScope<'_, E>,
    plan_ask: PlanAsk,
    number: u32,
) -> GrantAsk {
    let AttemptScope { state, call, .. } = scope;
    let request = call.request.0.to_le_bytes();
    let numbers = [scope.attempt.to_le_bytes(), number.to_le_bytes()];
    GrantAsk {
        // Each request has an identifier of its own, so that a late answer to an earlier request
        // is not taken for the answer to this one.
        request: RequestId(hash_parts(&[&request, &numbers[0], &numbers[1]])),
        entry: state.identity.vm,
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

fn refuse_deadline() -> PlanStep {
    PlanStep::Refuse(GrantRefusal {
        reason: RefusalReason::DeadlineUnmet,
        retry_after_millis: DEADLINE_RETRY_MILLIS,
    })
}
