//! Requests at their entry routers.

use catkin_base::{
    ChatId, ClockTime, RefusalReason, RequestDigest, RequestId, ServerId, VmId, hash_parts,
};
use catkin_policy::{
    GrantAnswer, GrantAsk, GrantRelease, GrantResult, PlacementPlan, PlanAsk, PlanStep,
    ReleaseOutcome, ReportMode,
};

use super::fleet::{FleetEvent, FleetStage, FleetWay, report_mode};
use super::message::PeerMessage;
use super::stage::OpenRequest;
use super::trace::TraceRequest;

const ASK_TIMEOUT_MILLIS: u64 = 60;
const MAX_SENDS: u32 = 3;
/// Time after which a small fleet sends a release again, since the first may be lost.
const RELEASE_REPEAT_MILLIS: u64 = 50;
/// Share of the callers that carry back the name of the server that they were answered by.
const HINT_SHARE: f64 = 0.5;

/// A request at its entry router.
pub(super) struct EntryCall {
    pub(super) entry: VmId,
    pub(super) trace: TraceRequest,
    pub(super) plan: PlacementPlan,
    pub(super) asked: Option<AskedOwner>,
    pub(super) sends: u32,
    pub(super) asks: u32,
    pub(super) waiting: bool,
    pub(super) deadline: ClockTime,
}

#[derive(Debug, Clone, Copy)]
pub(super) struct AskedOwner {
    pub(super) ask: PlanAsk,
    pub(super) owner: VmId,
}

impl FleetWay {
    pub(super) fn take_answer(
        &mut self,
        stage: &mut FleetStage,
        vm: VmId,
        from: VmId,
        answer: &GrantAnswer,
        ceded: Option<VmId>,
    ) {
        let granted = matches!(answer.result, GrantResult::Granted { .. });
        let call = self.calls.get_mut(&answer.request).filter(|call| call.entry == vm);
        let current = call.filter(|call| {
            let asked = call.asked.filter(|asked| asked.ask.server == answer.server);
            asked.is_some() && !stage.open_request(answer.request).is_some_and(|open| open.begun)
        });
        let Some(call) = current else {
            if granted && !self.runs_on(stage, answer.request, answer.server) {
                stage.withdraw(answer.request, answer.server);
                self.tell_release(
                    stage,
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
                self.ask_router(stage, answer.request, ask, owner);
            }
            _ => self.follow(stage, answer.request, step),
        }
    }

    pub(super) fn runs_on(&self, stage: &FleetStage, request: RequestId, server: ServerId) -> bool {
        stage.open_request(request).is_some_and(|open| open.begun && open.server == Some(server))
    }

    pub(super) fn follow(&mut self, stage: &mut FleetStage, request: RequestId, step: PlanStep) {
        match step {
            PlanStep::Ask(ask) => self.ask_owner(stage, request, ask),
            PlanStep::Wait => {
                if let Some(call) = self.calls.get_mut(&request) {
                    call.waiting = true;
                }
            }
            PlanStep::Use(server) => self.use_server(stage, request, server),
            PlanStep::Refuse(refusal) => self.give_up(stage, request, refusal.reason),
        }
    }

    pub(super) fn give_up(
        &mut self,
        stage: &mut FleetStage,
        request: RequestId,
        reason: RefusalReason,
    ) {
        self.calls.remove(&request);
        stage.refuse(request, reason);
    }

    pub(super) fn ask_owner(&mut self, stage: &mut FleetStage, request: RequestId, ask: PlanAsk) {
        let Some(call) = self.calls.get(&request) else {
            return;
        };
        let entry = call.entry;
        let Some(owner) = self.node(entry).view.owner(ask.server) else {
            return self.give_up(stage, request, RefusalReason::Overloaded);
        };
        self.ask_router(stage, request, ask, owner);
    }

    pub(super) fn ask_router(
        &mut self,
        stage: &mut FleetStage,
        request: RequestId,
        ask: PlanAsk,
        owner: VmId,
    ) {
        let Some(call) = self.calls.get_mut(&request) else {
            return;
        };
        call.asked = Some(AskedOwner { ask, owner });
        call.sends = 0;
        call.asks += 1;
        call.waiting = false;
        self.send_ask(stage, request);
    }

    pub(super) fn send_ask(&mut self, stage: &mut FleetStage, request: RequestId) {
        let Some(call) = self.calls.get_mut(&request) else {
            return;
        };
        let Some(asked) = call.asked else {
            return;
        };
        call.sends += 1;
        let (entry, asks) = (call.entry, call.asks);
        let message = PeerMessage::Ask(wire_ask(stage.now, call, asked.ask));
        let timeout = stage.now.plus_millis(ASK_TIMEOUT_MILLIS);
        stage.schedule(timeout, FleetEvent::AskTimeout(request, asks));
        self.send(stage, entry, asked.owner, message);
    }

    pub(super) fn time_out_ask(&mut self, stage: &mut FleetStage, request: RequestId, asks: u32) {
        let begun = stage.open_request(request).is_none_or(|open| open.begun);
        let Some(call) = self.calls.get_mut(&request).filter(|call| call.asks == asks && !begun)
        else {
            return;
        };
        if call.waiting {
            // A queued request is asked about again now and then, since its answer may be lost.
            call.sends = 0;
            call.waiting = false;
        }
        if call.sends < MAX_SENDS {
            return self.send_ask(stage, request);
        }
        let Some(asked) = call.asked else {
            return;
        };
        let entry = call.entry;
        let step = call.plan.handle_timeout();
        self.tell_release(
            stage,
            entry,
            asked.owner,
            request,
            asked.ask.server,
            ReleaseOutcome::Cancelled,
        );
        stage.withdraw(request, asked.ask.server);
        self.follow(stage, request, step);
    }

    pub(super) fn use_server(
        &mut self,
        stage: &mut FleetStage,
        request: RequestId,
        server: ServerId,
    ) {
        if !stage.start(request, server) {
            return self.skip_unreachable(stage, request, server);
        }
        let Some(call) = self.calls.get(&request) else {
            return;
        };
        let (entry, chat) = (call.entry, call.trace.chat);
        if carries_hint(chat) {
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
            self.send(stage, entry, owner, PeerMessage::Placement { chat, home, server });
        }
    }

    pub(super) fn skip_unreachable(
        &mut self,
        stage: &mut FleetStage,
        request: RequestId,
        server: ServerId,
    ) {
        stage.withdraw(request, server);
        let Some(call) = self.calls.get_mut(&request) else {
            return;
        };
        let (entry, asked) = (call.entry, call.asked);
        let step = call.plan.handle_unreachable();
        if let Some(asked) = asked {
            self.tell_release(
                stage,
                entry,
                asked.owner,
                request,
                server,
                ReleaseOutcome::Unreachable,
            );
        }
        self.follow(stage, request, step);
    }

    pub(super) fn tell_release(
        &mut self,
        stage: &mut FleetStage,
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
        self.send(stage, entry, owner, PeerMessage::Release(release));
        if report_mode(&stage.deployment) == ReportMode::Broadcast {
            let at = stage.now.plus_millis(RELEASE_REPEAT_MILLIS);
            stage.schedule(at, FleetEvent::RepeatRelease(entry, owner, release));
        }
        let current = self.node(entry).view.owner(server).filter(|current| *current != owner);
        if let Some(current) = current {
            self.send(stage, entry, current, PeerMessage::Release(release));
        }
    }

    pub(super) fn end_call(
        &mut self,
        stage: &mut FleetStage,
        request: &OpenRequest,
        outcome: ReleaseOutcome,
    ) {
        let id = request.trace.request;
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let (entry, asked) = (call.entry, call.asked);
        if let (true, Some(asked), Some(server)) = (self.node(entry).up, asked, request.server) {
            self.tell_release(stage, entry, asked.owner, id, server, outcome);
        }
        self.calls.remove(&id);
    }
}

fn wire_ask(now: ClockTime, call: &EntryCall, ask: PlanAsk) -> GrantAsk {
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

/// Whether the caller of a chat carries hints back.
fn carries_hint(chat: ChatId) -> bool {
    let place = hash_parts(&[b"hint", &chat.0.to_le_bytes()]) % 1_000;
    (place as f64) < HINT_SHARE * 1_000.0
}
