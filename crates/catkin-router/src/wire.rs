//! Conversions between the policy's types and the messages of the peer protocol.

use catkin_base::{
    ChatId, ClassId, PoolId, RefusalReason, RequestDigest, RequestId, ServerId, TeamId, VmId,
};
use catkin_peer::messages::peer_message::Kind;
use catkin_peer::messages::{self, PeerMessage};
use catkin_policy::{
    GrantAnswer, GrantAsk, GrantExport, GrantRefusal, GrantRelease, GrantResult, LoadReport,
    OpenGrant, OverflowCause, PoolLoad, ReleaseOutcome, ServerLoad, WarmChat,
};

/// Builds a peer message of one kind.
pub(crate) fn wrap_kind(kind: Kind) -> PeerMessage {
    PeerMessage { kind: Some(kind) }
}

pub(crate) fn ask_to_wire(ask: &GrantAsk) -> PeerMessage {
    wrap_kind(Kind::GrantAsk(messages::GrantAsk {
        request: ask.request.0,
        server: ask.server.0,
        chat: ask.chat.0,
        team: ask.team.0,
        class: ask.class.0,
        pool: ask.pool.0,
        digest: ask.digest.0,
        prompt_tokens: ask.prompt_tokens,
        expected_tokens: ask.expected_tokens,
        deadline_millis: ask.deadline_millis,
        rank: ask.rank,
        must_queue: ask.must_queue,
        follow_directory: ask.follow_directory,
    }))
}

/// Decodes a grant request; `entry` is the router that sent it.
pub(crate) fn ask_from_wire(entry: VmId, ask: &messages::GrantAsk) -> GrantAsk {
    GrantAsk {
        request: RequestId(ask.request),
        entry,
        server: ServerId(ask.server),
        chat: ChatId(ask.chat),
        team: TeamId(ask.team),
        class: ClassId(ask.class),
        pool: PoolId(ask.pool),
        digest: RequestDigest(ask.digest),
        prompt_tokens: ask.prompt_tokens,
        expected_tokens: ask.expected_tokens,
        deadline_millis: ask.deadline_millis,
        rank: ask.rank,
        must_queue: ask.must_queue,
        follow_directory: ask.follow_directory,
    }
}

/// Encodes an answer to a grant request; `ceded_to` is the server's new owner, if this router ceded
/// it.
pub(crate) fn answer_to_wire(answer: &GrantAnswer, ceded_to: Option<VmId>) -> PeerMessage {
    let mut message = messages::GrantAnswer {
        request: answer.request.0,
        server: answer.server.0,
        owner: ceded_to.map_or(0, |vm| vm.0),
        ..messages::GrantAnswer::default()
    };
    match answer.result {
        GrantResult::Granted { warm } => {
            message.set_result(messages::GrantResult::Granted);
            message.warm = warm;
        }
        GrantResult::Queued => message.set_result(messages::GrantResult::Queued),
        GrantResult::Redirect { server } => {
            message.set_result(messages::GrantResult::Redirect);
            message.light = server.0;
        }
        GrantResult::Overflow { cause, light } => {
            message.set_result(messages::GrantResult::Overflow);
            message.set_cause(cause_to_wire(cause));
            message.light = light.map_or(0, |server| server.0);
        }
        GrantResult::NotOwner => message.set_result(messages::GrantResult::NotOwner),
        GrantResult::Refused(refusal) => {
            message.set_result(messages::GrantResult::Refused);
            message.set_reason(reason_to_wire(refusal.reason));
            message.retry_after_millis = refusal.retry_after_millis;
        }
    }
    wrap_kind(Kind::GrantAnswer(message))
}

/// Decodes an answer to a grant request; `entry` is the router that sent the request.
pub(crate) fn answer_from_wire(entry: VmId, message: &messages::GrantAnswer) -> GrantAnswer {
    let light = (message.light != 0).then_some(ServerId(message.light));
    let result = match message.result() {
        messages::GrantResult::Granted => GrantResult::Granted { warm: message.warm },
        messages::GrantResult::Queued => GrantResult::Queued,
        messages::GrantResult::Redirect => {
            GrantResult::Redirect { server: ServerId(message.light) }
        }
        messages::GrantResult::Overflow => {
            GrantResult::Overflow { cause: cause_from_wire(message.cause()), light }
        }
        messages::GrantResult::NotOwner => GrantResult::NotOwner,
        messages::GrantResult::Refused => GrantResult::Refused(GrantRefusal {
            reason: reason_from_wire(message.reason()),
            retry_after_millis: message.retry_after_millis,
        }),
    };
    GrantAnswer {
        request: RequestId(message.request),
        entry,
        server: ServerId(message.server),
        result,
    }
}

pub(crate) fn release_to_wire(release: &GrantRelease) -> PeerMessage {
    let mut message = messages::GrantRelease {
        request: release.request.0,
        server: release.server.0,
        chat: release.chat.0,
        generated_tokens: release.generated_tokens,
        ..messages::GrantRelease::default()
    };
    message.set_outcome(match release.outcome {
        ReleaseOutcome::Done => messages::ReleaseOutcome::Done,
        ReleaseOutcome::Cancelled => messages::ReleaseOutcome::Cancelled,
        ReleaseOutcome::Refused => messages::ReleaseOutcome::Refused,
        ReleaseOutcome::Unreachable => messages::ReleaseOutcome::Unreachable,
        ReleaseOutcome::Crashed => messages::ReleaseOutcome::Crashed,
    });
    wrap_kind(Kind::GrantRelease(message))
}

pub(crate) fn release_from_wire(message: &messages::GrantRelease) -> GrantRelease {
    GrantRelease {
        request: RequestId(message.request),
        server: ServerId(message.server),
        chat: ChatId(message.chat),
        outcome: match message.outcome() {
            messages::ReleaseOutcome::Done => ReleaseOutcome::Done,
            messages::ReleaseOutcome::Cancelled => ReleaseOutcome::Cancelled,
            messages::ReleaseOutcome::Refused => ReleaseOutcome::Refused,
            messages::ReleaseOutcome::Unreachable => ReleaseOutcome::Unreachable,
            messages::ReleaseOutcome::Crashed => ReleaseOutcome::Crashed,
        },
        generated_tokens: message.generated_tokens,
    }
}

pub(crate) fn report_to_wire(report: &LoadReport) -> PeerMessage {
    let loads = report.loads.iter().map(load_to_wire).collect();
    wrap_kind(Kind::LoadReport(messages::LoadReport { pool: report.pool.0, loads }))
}

pub(crate) fn report_from_wire(message: &messages::LoadReport) -> LoadReport {
    let loads = message.loads.iter().map(load_from_wire).collect();
    LoadReport { pool: PoolId(message.pool), loads }
}

pub(crate) fn pool_load_to_wire(load: &PoolLoad) -> PeerMessage {
    wrap_kind(Kind::PoolLoad(messages::PoolLoad {
        pool: load.pool.0,
        open: load.open,
        weight: load.weight,
        servers: load.servers,
        age_millis: load.age_millis,
        light_servers: load.light_servers.iter().map(|server| server.0).collect(),
    }))
}

pub(crate) fn pool_load_from_wire(message: &messages::PoolLoad) -> PoolLoad {
    PoolLoad {
        pool: PoolId(message.pool),
        open: message.open,
        weight: message.weight,
        servers: message.servers,
        age_millis: message.age_millis,
        light_servers: message.light_servers.iter().copied().map(ServerId).collect(),
    }
}

pub(crate) fn export_to_wire(export: &GrantExport) -> PeerMessage {
    wrap_kind(Kind::OwnerCount(messages::OwnerCount {
        server: export.server.0,
        grants: export.grants.iter().map(grant_to_wire).collect(),
        chats: export.chats.iter().map(chat_to_wire).collect(),
        foreign: export.foreign,
        unknown: false,
    }))
}

pub(crate) fn export_from_wire(message: &messages::OwnerCount) -> GrantExport {
    GrantExport {
        server: ServerId(message.server),
        grants: message.grants.iter().map(grant_from_wire).collect(),
        chats: message.chats.iter().map(chat_from_wire).collect(),
        foreign: message.foreign,
    }
}

fn cause_to_wire(cause: OverflowCause) -> messages::OverflowCause {
    match cause {
        OverflowCause::Full => messages::OverflowCause::Full,
        OverflowCause::NotWarm => messages::OverflowCause::NotWarm,
        OverflowCause::Leaving => messages::OverflowCause::Leaving,
        OverflowCause::HeldDown => messages::OverflowCause::HeldDown,
        OverflowCause::Handover => messages::OverflowCause::Handover,
        OverflowCause::WrongPool => messages::OverflowCause::WrongPool,
    }
}

fn cause_from_wire(cause: messages::OverflowCause) -> OverflowCause {
    match cause {
        messages::OverflowCause::Full => OverflowCause::Full,
        messages::OverflowCause::NotWarm => OverflowCause::NotWarm,
        messages::OverflowCause::Leaving => OverflowCause::Leaving,
        messages::OverflowCause::HeldDown => OverflowCause::HeldDown,
        messages::OverflowCause::Handover => OverflowCause::Handover,
        messages::OverflowCause::WrongPool => OverflowCause::WrongPool,
    }
}

/// Encodes a refusal's reason; owners refuse for these reasons only.
fn reason_to_wire(reason: RefusalReason) -> messages::RefusalCode {
    match reason {
        RefusalReason::DeadlineUnmet => messages::RefusalCode::DeadlineUnmet,
        RefusalReason::TeamLimit => messages::RefusalCode::TeamLimit,
        RefusalReason::Quarantined => messages::RefusalCode::Quarantined,
        _ => messages::RefusalCode::Overloaded,
    }
}

fn reason_from_wire(reason: messages::RefusalCode) -> RefusalReason {
    match reason {
        messages::RefusalCode::Overloaded => RefusalReason::Overloaded,
        messages::RefusalCode::DeadlineUnmet => RefusalReason::DeadlineUnmet,
        messages::RefusalCode::TeamLimit => RefusalReason::TeamLimit,
        messages::RefusalCode::Quarantined => RefusalReason::Quarantined,
    }
}

fn load_to_wire(load: &ServerLoad) -> messages::ServerLoad {
    messages::ServerLoad { server: load.server.0, open: load.open, weight: load.weight }
}

fn load_from_wire(load: &messages::ServerLoad) -> ServerLoad {
    ServerLoad { server: ServerId(load.server), open: load.open, weight: load.weight }
}

fn grant_to_wire(grant: &OpenGrant) -> messages::OpenGrant {
    messages::OpenGrant {
        request: grant.request.0,
        entry: grant.entry.0,
        team: grant.team.0,
        class: grant.class.0,
    }
}

fn grant_from_wire(grant: &messages::OpenGrant) -> OpenGrant {
    OpenGrant {
        request: RequestId(grant.request),
        entry: VmId(grant.entry),
        team: TeamId(grant.team),
        class: ClassId(grant.class),
    }
}

fn chat_to_wire(chat: &WarmChat) -> messages::WarmChat {
    messages::WarmChat { chat: chat.chat.0, server: chat.server.0 }
}

fn chat_from_wire(chat: &messages::WarmChat) -> WarmChat {
    WarmChat { chat: ChatId(chat.chat), server: ServerId(chat.server) }
}
