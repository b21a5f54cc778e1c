//! Runs callers' calls: [`RouterService`] checks each and sends it to a backend server.

use std::sync::Arc;

use catkin_base::{CallRefusal, RefusalReason};
use catkin_caller::{CallRequest, CallService};

use crate::admission::build_quarantine_refusal;
use crate::answer::{AnswerTimer, BufferedAnswer, RouterAnswer, run_buffered};
use crate::attempts::AttemptRunner;
use crate::checked_call::CheckedCall;
use crate::drain::{DrainGate, OpenCall};
use crate::environment::RouterEnvironment;
use crate::fleet_index::FleetIndex;
use crate::grants::to_call_refusal;
use crate::metric::{OPEN_CALLS, count_completed, count_refusal};
use crate::once::run_at_most_once;
use crate::state::RouterState;

/// `Retry-After` of a call refused because the router is draining, in seconds.
const DRAIN_RETRY_SECONDS: u32 = 1;
/// `Retry-After` of a call refused before declarations are in force, in seconds.
const DECLARATIONS_RETRY_SECONDS: u32 = 5;

/// The [`CallService`] of one router.
pub struct RouterService<E: RouterEnvironment> {
    state: Arc<RouterState<E>>,
}

impl<E: RouterEnvironment> RouterService<E> {
    pub(crate) fn new(state: Arc<RouterState<E>>) -> Self {
        Self { state }
    }

    /// Checks a call and runs it, at most once if its service is not idempotent.
    async fn run_call(&self, request: CallRequest) -> Result<RouterAnswer<E>, CallRefusal> {
        let open = DrainGate::open_call(&self.state.gate).ok_or_else(refuse_draining)?;
        let index = self.state.index().filter(|_| self.state.is_joined());
        let index = index.ok_or_else(refuse_undeclared)?;
        let now = self.state.now();
        let call = CheckedCall::check(&index, &self.state.hints, request, now)?;
        self.check_quarantine(&call)?;
        self.state.policy().budget.record_request(now);
        let timer = AnswerTimer::start(&call, index.declarations().teams.len(), now);
        if call.is_idempotent() {
            self.run_idempotent(index, call, timer, open).await
        } else {
            self.run_non_idempotent(index, call, timer, open).await
        }
    }

    async fn run_idempotent(
        &self,
        index: Arc<FleetIndex>,
        call: CheckedCall,
        mut timer: AnswerTimer,
        open: OpenCall,
    ) -> Result<RouterAnswer<E>, CallRefusal> {
        let streamed = call.streamed;
        let mut runner = AttemptRunner::new(Arc::clone(&self.state), index, call);
        if streamed {
            let attempt = runner.start_attempt().await?;
            return Ok(RouterAnswer::from_stream(runner, attempt, timer, open));
        }
        let answer = run_buffered(&mut runner).await?;
        self.record_completion(&runner.call, &mut timer);
        let hint = self.issue_hint(&runner.call, &answer);
        Ok(RouterAnswer::from_buffered(answer, hint, false, open))
    }

    async fn run_non_idempotent(
        &self,
        index: Arc<FleetIndex>,
        call: CheckedCall,
        mut timer: AnswerTimer,
        open: OpenCall,
    ) -> Result<RouterAnswer<E>, CallRefusal> {
        let checked = call.clone();
        let answer = run_at_most_once(&self.state, index, call).await?;
        self.record_completion(&checked, &mut timer);
        Ok(RouterAnswer::from_buffered(answer.answer, None, answer.replayed, open))
    }

    /// The hint that names the server of an answer to the caller's team.
    fn issue_hint(&self, call: &CheckedCall, answer: &BufferedAnswer) -> Option<String> {
        answer.server.map(|server| self.state.hints.sign_hint(call.team, server))
    }

    /// Records the time and the outcome of a buffered answer.
    fn record_completion(&self, call: &CheckedCall, timer: &mut AnswerTimer) {
        let now = self.state.now();
        timer.record_part(now);
        timer.record_end(now);
        count_completed(call);
    }

    fn check_quarantine(&self, call: &CheckedCall) -> Result<(), CallRefusal> {
        let now = self.state.now();
        let hold_millis = self.state.policy().quarantine_millis(now, call.digest);
        if hold_millis == 0 {
            return Ok(());
        }
        Err(to_call_refusal(build_quarantine_refusal(hold_millis)))
    }
}

impl<E: RouterEnvironment> CallService for RouterService<E> {
    type Answer = RouterAnswer<E>;

    async fn call(&self, request: CallRequest) -> Result<RouterAnswer<E>, CallRefusal> {
        let id = request.request;
        let class = request.class.clone().unwrap_or_default();
        metrics::gauge!(OPEN_CALLS).set(self.state.gate.open_calls() as f64);
        let result = self.run_call(request).await;
        if let Err(refusal) = &result {
            log::info!(
                "caller: call refused; the caller gets an error answer. request={id} {refusal}"
            );
            let known = self.state.index().is_some_and(|index| index.class(Some(&class)).is_some());
            count_refusal(if known { &class } else { "" }, refusal);
        }
        result
    }
}

fn refuse_draining() -> CallRefusal {
    CallRefusal::not_run(RefusalReason::ShuttingDown, "This router is shutting down.")
        .with_retry_after(DRAIN_RETRY_SECONDS)
}

fn refuse_undeclared() -> CallRefusal {
    CallRefusal::not_run(
        RefusalReason::NoDeclarations,
        "This router has no declarations in force yet.",
    )
    .with_retry_after(DECLARATIONS_RETRY_SECONDS)
}
