//! Grants that this router holds for its callers' calls: acquired from the owners of servers, and
//! released when the request ends.

use std::sync::Arc;

use catkin_base::{CallRefusal, RefusalReason, RunVerdict, ServerId, VmId};
use catkin_peer::messages;
use catkin_peer::messages::peer_message::Kind;
use catkin_policy::{
    GrantAsk, GrantRefusal, GrantRelease, PlacementPlan, PlanStep, ReleaseOutcome,
};

use crate::candidates::AttemptScope;
use crate::environment::RouterEnvironment;
use crate::grant_asks::{AskResult, request_grant};
use crate::state::RouterState;
use crate::wire::wrap_kind;

/// `Retry-After` of a call for which no server is available, in seconds.
const NO_SERVER_RETRY_SECONDS: u32 = 5;

/// Guard of a requested or granted use of one server. Dropping it unfinished releases the grant as
/// cancelled.
pub(crate) struct GrantGuard<E: RouterEnvironment> {
    pub(crate) state: Arc<RouterState<E>>,
    pub(crate) ask: GrantAsk,
    /// Router that sent the last answer to the request.
    pub(crate) answered_by: Option<VmId>,
    /// Whether that router declined, so that no grant is left to release.
    pub(crate) declined: bool,
    finished: bool,
}

impl<E: RouterEnvironment> GrantGuard<E> {
    /// Creates the guard of a grant request that has no answer yet.
    pub(crate) fn new(state: &Arc<RouterState<E>>, ask: GrantAsk) -> Self {
        Self { state: Arc::clone(state), ask, answered_by: None, declined: false, finished: false }
    }

    pub(crate) fn server(&self) -> ServerId {
        self.ask.server
    }

    /// Releases the grant with the outcome of the request; later calls do nothing.
    pub(crate) fn finish(&mut self, outcome: ReleaseOutcome, generated_tokens: u32) {
        if !self.finished {
            self.finished = true;
            release_grant(self, outcome, generated_tokens);
        }
    }
}

impl<E: RouterEnvironment> Drop for GrantGuard<E> {
    fn drop(&mut self) {
        self.finish(ReleaseOutcome::Cancelled, 0);
    }
}

/// Requests grants by the call's placement plan until an owner grants a server.
pub(crate) async fn acquire_grant<E: RouterEnvironment>(
    scope: &AttemptScope<'_, E>,
) -> Result<GrantGuard<E>, CallRefusal> {
    let mut plan = scope.plan_placement();
    let Some(first) = plan.next_ask() else {
        return Err(refuse_no_server());
    };
    let mut step = PlanStep::Ask(first);
    let mut asks: u32 = 0;
    loop {
        match step {
            PlanStep::Ask(ask) => {
                asks += 1;
                match request_grant(scope, &mut plan, ask, asks).await {
                    AskResult::Granted(grant) => {
                        report_placement(scope, &plan, grant.server());
                        return Ok(grant);
                    }
                    AskResult::Step(next) => step = next,
                }
            }
            PlanStep::Refuse(refusal) => return Err(to_call_refusal(refusal)),
            // Does not happen: a request ends in a grant, the next request or a refusal.
            PlanStep::Wait | PlanStep::Use(_) => return Err(refuse_no_server()),
        }
    }
}

/// Stops waiting for answers and sends the release, unless the owner declined.
fn release_grant<E: RouterEnvironment>(
    grant: &GrantGuard<E>,
    outcome: ReleaseOutcome,
    generated_tokens: u32,
) {
    let ask = &grant.ask;
    grant.state.remove_request(ask.request);
    if grant.declined {
        return;
    }
    let release = GrantRelease {
        request: ask.request,
        server: ask.server,
        chat: ask.chat,
        outcome,
        generated_tokens,
    };
    grant.state.send_release(grant.answered_by, &release);
}

/// Notifies the owner of the chat's home server of the placement, unless it knows it.
fn report_placement<E: RouterEnvironment>(
    scope: &AttemptScope<'_, E>,
    plan: &PlacementPlan,
    server: ServerId,
) {
    let AttemptScope { state, index, .. } = scope;
    let Some(home) = plan.home_to_notify(server) else { return };
    let Some(owner) = index.server(home).and_then(|entry| state.owner_of(&entry.spec)) else {
        return;
    };
    if owner == state.identity.vm {
        state.policy().admission.record_placement(plan.chat(), home, server);
        return;
    }
    let note = messages::PlacementNote { chat: plan.chat().0, home: home.0, server: server.0 };
    state.send_to(owner, &wrap_kind(Kind::PlacementNote(note)));
}

fn refuse_no_server() -> CallRefusal {
    CallRefusal::not_run(RefusalReason::Overloaded, "No server can take the request now.")
        .with_retry_after(NO_SERVER_RETRY_SECONDS)
}

/// Converts the refusal of a server's owner to the one that the caller gets.
pub(crate) fn to_call_refusal(refusal: GrantRefusal) -> CallRefusal {
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
