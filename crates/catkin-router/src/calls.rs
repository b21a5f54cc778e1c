//! Answers callers' calls.

use std::sync::Arc;

use catkin_base::{CallRefusal, RefusalReason};
use catkin_caller::{CallRequest, CallService};

use crate::admission::quarantine_refusal;
use crate::answer::{AnswerTimer, RouterAnswer, WholeAnswer, run_whole};
use crate::attempts::AttemptRunner;
use crate::call::CheckedCall;
use crate::drain::{DrainGate, OpenCall};
use crate::environment::RouterEnvironment;
use crate::grants::refuse_placement;
use crate::index::FleetIndex;
use crate::metric::{OPEN_CALLS, count_refusal, count_whole};
use crate::once::run_once;
use crate::parts::RouterParts;

/// Time after which a caller may try another router, in seconds.
const DRAIN_RETRY_SECONDS: u32 = 1;
/// Time after which a router without declarations may have some, in seconds.
const DECLARATIONS_RETRY_SECONDS: u32 = 5;

/// Answers callers' calls on one router.
pub struct RouterService<E: RouterEnvironment> {
    parts: Arc<RouterParts<E>>,
}

impl<E: RouterEnvironment> RouterService<E> {
    pub(crate) fn new(parts: Arc<RouterParts<E>>) -> Self {
        Self { parts }
    }

    async fn run(&self, request: CallRequest) -> Result<RouterAnswer<E>, CallRefusal> {
        let open = DrainGate::open_call(&self.parts.gate).ok_or_else(refuse_draining)?;
        let index = self.parts.index().filter(|_| self.parts.is_joined());
        let index = index.ok_or_else(refuse_undeclared)?;
        let now = self.parts.now();
        let call = CheckedCall::check(&index, &self.parts.hints, request, now)?;
        self.check_quarantine(&call)?;
        self.parts.control().budget.record_request(now);
        let timer = AnswerTimer::start(&call, index.declarations().teams.len(), now);
        if call.is_idempotent() {
            self.run_idempotent(index, call, timer, open).await
        } else {
            self.run_claimed(index, call, timer, open).await
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
        let mut runner = AttemptRunner::new(Arc::clone(&self.parts), index, call);
        if streamed {
            let attempt = runner.start().await?;
            return Ok(RouterAnswer::live(runner, attempt, timer, open));
        }
        let answer = run_whole(&mut runner).await?;
        self.note_whole(&runner.call, &mut timer);
        let hint = self.write_hint(&runner.call, &answer);
        Ok(RouterAnswer::whole(answer, hint, false, open))
    }

    async fn run_claimed(
        &self,
        index: Arc<FleetIndex>,
        call: CheckedCall,
        mut timer: AnswerTimer,
        open: OpenCall,
    ) -> Result<RouterAnswer<E>, CallRefusal> {
        let checked = call.clone();
        let answer = run_once(&self.parts, index, call).await?;
        self.note_whole(&checked, &mut timer);
        Ok(RouterAnswer::whole(answer.answer, None, answer.replayed, open))
    }

    fn write_hint(&self, call: &CheckedCall, answer: &WholeAnswer) -> Option<String> {
        answer.server.map(|server| self.parts.hints.write(call.team, server))
    }

    fn note_whole(&self, call: &CheckedCall, timer: &mut AnswerTimer) {
        let now = self.parts.now();
        timer.note_part(now);
        timer.note_end(now);
        count_whole(call);
    }

    fn check_quarantine(&self, call: &CheckedCall) -> Result<(), CallRefusal> {
        let now = self.parts.now();
        let hold_millis = self.parts.control().quarantine_millis(now, call.digest);
        if hold_millis == 0 {
            return Ok(());
        }
        Err(refuse_placement(quarantine_refusal(hold_millis)))
    }
}

impl<E: RouterEnvironment> CallService for RouterService<E> {
    type Answer = RouterAnswer<E>;

    async fn call(&self, request: CallRequest) -> Result<RouterAnswer<E>, CallRefusal> {
        let id = request.request;
        let class = request.class.clone().unwrap_or_default();
        metrics::gauge!(OPEN_CALLS).set(self.parts.gate.open_calls() as f64);
        let result = self.run(request).await;
        if let Err(refusal) = &result {
            log::info!("caller: A call is refused. request={id} {refusal}");
            let known = self.parts.index().is_some_and(|index| index.class(Some(&class)).is_some());
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
    CallRefusal::not_run(RefusalReason::NoDeclarations, "No declarations are in force here.")
        .with_retry_after(DECLARATIONS_RETRY_SECONDS)
}
