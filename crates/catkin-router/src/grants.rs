//! Grants that this router holds as the entry of calls.

use std::sync::Arc;

use catkin_base::{CallRefusal, RefusalReason, RunVerdict, ServerId, VmId};
use catkin_peer::messages as wire;
use catkin_peer::messages::peer_message::Kind;
use catkin_policy::{
    GrantAsk, GrantRefusal, GrantRelease, PlacementPlan, PlanStep, ReleaseOutcome,
};

use crate::asks::{AskEnd, run_ask};
use crate::candidates::AttemptScope;
use crate::environment::RouterEnvironment;
use crate::parts::RouterParts;
use crate::wire::wrap_kind;

/// Time after which a request without any server may be sent again, in seconds.
const UNSERVED_RETRY_SECONDS: u32 = 5;

/// A grant to use one server. Dropping it unfinished releases the grant as cancelled.
pub(crate) struct GrantHolder<E: RouterEnvironment> {
    pub(crate) parts: Arc<RouterParts<E>>,
    pub(crate) ask: GrantAsk,
    /// The router that answered last.
    pub(crate) granter: Option<VmId>,
    /// Whether that router declined, so that nothing is left to release.
    pub(crate) settled: bool,
    finished: bool,
}

impl<E: RouterEnvironment> GrantHolder<E> {
    /// A holder of an ask that has no answer yet.
    pub(crate) fn new(parts: &Arc<RouterParts<E>>, ask: GrantAsk) -> Self {
        Self { parts: Arc::clone(parts), ask, granter: None, settled: false, finished: false }
    }

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

/// Finds a server for a call and the grant to use it.
pub(crate) async fn acquire_grant<E: RouterEnvironment>(
    scope: &AttemptScope<'_, E>,
) -> Result<GrantHolder<E>, CallRefusal> {
    let mut plan = scope.plan_placement();
    let Some(first) = plan.next_ask() else {
        return Err(refuse_unserved());
    };
    let mut step = PlanStep::Ask(first);
    let mut asks: u32 = 0;
    loop {
        match step {
            PlanStep::Ask(ask) => {
                asks += 1;
                match run_ask(scope, &mut plan, ask, asks).await {
                    AskEnd::Granted(holder) => {
                        note_placement(scope, &plan, holder.server());
                        return Ok(holder);
                    }
                    AskEnd::Step(next) => step = next,
                }
            }
            PlanStep::Refuse(refusal) => return Err(refuse_placement(refusal)),
            // An ask ends in a grant, another ask or a refusal.
            PlanStep::Wait | PlanStep::Use(_) => return Err(refuse_unserved()),
        }
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
    scope: &AttemptScope<'_, E>,
    plan: &PlacementPlan,
    server: ServerId,
) {
    let AttemptScope { parts, index, .. } = scope;
    let Some(home) = plan.home_to_notify(server) else { return };
    let Some(owner) = index.server(home).and_then(|entry| parts.owner_of(&entry.spec)) else {
        return;
    };
    if owner == parts.identity.vm {
        parts.control().owner.record_placement(plan.chat(), home, server);
        return;
    }
    let note = wire::PlacementNote { chat: plan.chat().0, home: home.0, server: server.0 };
    parts.send_to(owner, &wrap_kind(Kind::PlacementNote(note)));
}

fn refuse_unserved() -> CallRefusal {
    CallRefusal::not_run(RefusalReason::Overloaded, "No server can take the request now.")
        .with_retry_after(UNSERVED_RETRY_SECONDS)
}

/// The refusal that a caller gets for one by an owner.
pub(crate) fn refuse_placement(refusal: GrantRefusal) -> CallRefusal {
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
