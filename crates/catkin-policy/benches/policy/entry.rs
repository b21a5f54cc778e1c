//! Calls at their entry routers, from the first grant request to the release.

use catkin_base::{
    ChatId, ClockTime, RefusalReason, RequestDigest, RequestId, ServerId, VmId, hash_parts,
};
use catkin_policy::{
    GrantAnswer, GrantAsk, GrantRelease, GrantResult, PlacementPlan, PlanAsk, PlanStep,
    ReleaseOutcome, ReportMode,
};

use super::fleet::{FleetEvent, FleetSimulator, FleetStrategy, report_mode};
use super::message::PeerMessage;
use super::simulator::OpenRequest;
use super::trace::TraceRequest;

/// Time after which a grant request without a final answer is sent again.
const ASK_TIMEOUT_MILLIS: u64 = 60;
/// Maximum number of times that a grant request is sent to one owner without an answer.
const MAX_SENDS: u32 = 3;
/// Time after which a router of a small fleet repeats a release, since the first may be lost.
const RELEASE_REPEAT_MILLIS: u64 = 50;
/// Fraction of the callers that return the name of the server of the last answer as a hint.
const HINT_FRACTION: f64 = 0.5;

/// A request at its entry router.
pub(super) struct EntryCall {
    pub(super) entry: VmId,
    pub(super) trace: TraceRequest,
    pub(super) plan: PlacementPlan,
    /// The grant request that was sent last.
    pub(super) asked: Option<AskedOwner>,
    /// How often that grant request was sent.
    pub(super) send_count: u32,
    /// Number of different grant requests of the call.
    pub(super) ask_count: u32,
    /// Whether the owner queued the request.
    pub(super) waiting: bool,
    pub(super) deadline: ClockTime,
}

/// A grant request and the owner to which it was sent.
#[derive(Debug, Clone, Copy)]
pub(super) struct AskedOwner {
    pub(super) ask: PlanAsk,
    pub(super) owner: VmId,
}

impl FleetStrategy {
    /// Handles an answer of an owner. A grant that the call no longer needs is released.
    pub(super) fn handle_answer_message(
        &mut self,
        simulator: &mut FleetSimulator,
        vm: VmId,
        from: VmId,
        answer: &GrantAnswer,
        ceded: Option<VmId>,
    ) {
        let granted = matches!(answer.result, GrantResult::Granted { .. });
        let call = self.calls.get_mut(&answer.request).filter(|call| call.entry == vm);
        let current = call.filter(|call| {
            let asked = call.asked.filter(|asked| asked.ask.server == answer.server);
            asked.is_some()
                && !simulator.open_request(answer.request).is_some_and(|open| open.started)
        });
        let Some(call) = current else {
            if granted && !self.runs_on(simulator, answer.request, answer.server) {
                simulator.withdraw_request(answer.request, answer.server);
                self.send_release(
                    simulator,
                    vm,
                    from,
                    answer.request,
                    answer.server,
                    ReleaseOutcome::Cancelled,
                );
            }
            return;
        };
        if answer.result == GrantResult::NotOwner {
            call.waiting = false;
        }
        let step = call.plan.handle_answer(answer);
        match (answer.result, step, ceded) {
            (GrantResult::NotOwner, PlanStep::Ask(ask), Some(owner)) => {
                self.ask_router(simulator, answer.request, ask, owner);
            }
            _ => self.run_step(simulator, answer.request, step),
        }
    }

    pub(super) fn runs_on(
        &self,
        simulator: &FleetSimulator,
        request: RequestId,
        server: ServerId,
    ) -> bool {
        simulator
            .open_request(request)
            .is_some_and(|open| open.started && open.server == Some(server))
    }

    pub(super) fn run_step(
        &mut self,
        simulator: &mut FleetSimulator,
        request: RequestId,
        step: PlanStep,
    ) {
        match step {
            PlanStep::Ask(ask) => self.ask_owner(simulator, request, ask),
            PlanStep::Wait => {
                if let Some(call) = self.calls.get_mut(&request) {
                    call.waiting = true;
                }
            }
            PlanStep::Use(server) => self.start_on_server(simulator, request, server),
            PlanStep::Refuse(refusal) => self.refuse_call(simulator, request, refusal.reason),
        }
    }

    pub(super) fn refuse_call(
        &mut self,
        simulator: &mut FleetSimulator,
        request: RequestId,
        reason: RefusalReason,
    ) {
        self.calls.remove(&request);
        simulator.refuse_request(request, reason);
    }

    /// Sends a grant request to the router that owns its server by the view of the entry router.
    pub(super) fn ask_owner(
        &mut self,
        simulator: &mut FleetSimulator,
        request: RequestId,
        ask: PlanAsk,
    ) {
        let Some(call) = self.calls.get(&request) else {
            return;
        };
        let entry = call.entry;
        let Some(owner) = self.node(entry).view.owner(ask.server) else {
            return self.refuse_call(simulator, request, RefusalReason::Overloaded);
        };
        self.ask_router(simulator, request, ask, owner);
    }

    pub(super) fn ask_router(
        &mut self,
        simulator: &mut FleetSimulator,
        request: RequestId,
        ask: PlanAsk,
        owner: VmId,
    ) {
        let Some(call) = self.calls.get_mut(&request) else {
            return;
        };
        call.asked = Some(AskedOwner { ask, owner });
        call.send_count = 0;
        call.ask_count += 1;
        call.waiting = false;
        self.send_ask(simulator, request);
    }

    pub(super) fn send_ask(&mut self, simulator: &mut FleetSimulator, request: RequestId) {
        let Some(call) = self.calls.get_mut(&request) else {
            return;
        };
        let Some(asked) = call.asked else {
            return;
        };
        call.send_count += 1;
        let (entry, ask_count) = (call.entry, call.ask_count);
        let message = PeerMessage::Ask(build_ask(simulator.now, call, asked.ask));
        let timeout = simulator.now.plus_millis(ASK_TIMEOUT_MILLIS);
        simulator.schedule(timeout, FleetEvent::AskTimeout(request, ask_count));
        self.send(simulator, entry, asked.owner, message);
    }

    pub(super) fn handle_ask_timeout(
        &mut self,
        simulator: &mut FleetSimulator,
        request: RequestId,
        ask_count: u32,
    ) {
        let started = simulator.open_request(request).is_none_or(|open| open.started);
        let Some(call) =
            self.calls.get_mut(&request).filter(|call| call.ask_count == ask_count && !started)
        else {
            return;
        };
        if call.waiting {
            // The grant request of a queued call is repeated, since the answer may have been lost.
            call.send_count = 0;
            call.waiting = false;
        }
        if call.send_count < MAX_SENDS {
            return self.send_ask(simulator, request);
        }
        let Some(asked) = call.asked else {
            return;
        };
        let entry = call.entry;
        let step = call.plan.handle_timeout();
        self.send_release(
            simulator,
            entry,
            asked.owner,
            request,
            asked.ask.server,
            ReleaseOutcome::Cancelled,
        );
        simulator.withdraw_request(request, asked.ask.server);
        self.run_step(simulator, request, step);
    }

    /// Starts a granted request, and reports its placement if it is not on the home server of its
    /// chat.
    pub(super) fn start_on_server(
        &mut self,
        simulator: &mut FleetSimulator,
        request: RequestId,
        server: ServerId,
    ) {
        if !simulator.start_request(request, server) {
            return self.skip_unreachable(simulator, request, server);
        }
        let Some(call) = self.calls.get(&request) else {
            return;
        };
        let (entry, chat) = (call.entry, call.trace.chat);
        if returns_hints(chat) {
            self.hints.insert(chat, server);
        }
        let Some(call) = self.calls.get(&request) else {
            return;
        };
        let home = call.plan.home_to_notify(server);
        let Some(home) = home else {
            return;
        };
        if let Some(owner) = self.node(entry).view.owner(home) {
            self.send(simulator, entry, owner, PeerMessage::Placement { chat, home, server });
        }
    }

    pub(super) fn skip_unreachable(
        &mut self,
        simulator: &mut FleetSimulator,
        request: RequestId,
        server: ServerId,
    ) {
        simulator.withdraw_request(request, server);
        let Some(call) = self.calls.get_mut(&request) else {
            return;
        };
        let (entry, asked) = (call.entry, call.asked);
        let step = call.plan.handle_unreachable();
        if let Some(asked) = asked {
            self.send_release(
                simulator,
                entry,
                asked.owner,
                request,
                server,
                ReleaseOutcome::Unreachable,
            );
        }
        self.run_step(simulator, request, step);
    }

    /// Sends a release to the owner that granted the request, and to the current owner if that
    /// changed.
    pub(super) fn send_release(
        &mut self,
        simulator: &mut FleetSimulator,
        entry: VmId,
        owner: VmId,
        request: RequestId,
        server: ServerId,
        outcome: ReleaseOutcome,
    ) {
        let chat = self.calls.get(&request).map(|call| call.trace.chat);
        let release = GrantRelease {
            request,
            server,
            chat: chat.unwrap_or(ChatId(0)),
            outcome,
            generated_tokens: 0,
        };
        self.send(simulator, entry, owner, PeerMessage::Release(release));
        if report_mode(&simulator.deployment) == ReportMode::Broadcast {
            let at = simulator.now.plus_millis(RELEASE_REPEAT_MILLIS);
            simulator.schedule(at, FleetEvent::RepeatRelease(entry, owner, release));
        }
        let current = self.node(entry).view.owner(server).filter(|current| *current != owner);
        if let Some(current) = current {
            self.send(simulator, entry, current, PeerMessage::Release(release));
        }
    }

    pub(super) fn end_call(
        &mut self,
        simulator: &mut FleetSimulator,
        request: &OpenRequest,
        outcome: ReleaseOutcome,
    ) {
        let id = request.trace.request;
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let (entry, asked) = (call.entry, call.asked);
        if let (true, Some(asked), Some(server)) = (self.node(entry).up, asked, request.server) {
            self.send_release(simulator, entry, asked.owner, id, server, outcome);
        }
        self.calls.remove(&id);
    }
}

fn build_ask(now: ClockTime, call: &EntryCall, ask: PlanAsk) -> GrantAsk {
    GrantAsk {
        request: call.trace.request,
        entry: call.entry,
        server: ask.server,
        chat: call.trace.chat,
        team: call.trace.team,
        class: call.trace.class,
        pool: call.trace.pool,
        digest: RequestDigest(call.trace.request.0),
        prompt_tokens: call.trace.prompt_tokens,
        expected_tokens: 0,
        deadline_millis: call.deadline.millis_since(now) as u32,
        rank: ask.rank,
        must_queue: ask.must_queue,
        follow_directory: ask.follow_directory,
    }
}

/// Whether the caller of a chat returns hints.
fn returns_hints(chat: ChatId) -> bool {
    let bucket = hash_parts(&[b"hint", &chat.0.to_le_bytes()]) % 1_000;
    (bucket as f64) < HINT_FRACTION * 1_000.0
}
