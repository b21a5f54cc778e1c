//! Handles messages from other routers.

use std::sync::Arc;

use catkin_base::{ChatId, ClockTime, RequestDigest, RequestId, ServerId, VmId};
use catkin_membership::{MemberAction, MessageOrigin};
use catkin_peer::messages as wire;
use catkin_peer::messages::peer_message::Kind;
use catkin_peer::{MessageSource, PeerLink, message_from_wire, message_to_wire};
use catkin_policy::{LoadReport, ReportMode};

use crate::admission::decide_ask;
use crate::environment::RouterEnvironment;
use crate::orders::{take_order, take_state};
use crate::parts::{ReceivedAnswer, RouterParts};
use crate::pool_relay::relay_sum;
use crate::strikes::{CrashSuspicion, check_suspicion, note_strike};
use crate::wire::{
    answer_from_wire, ask_from_wire, export_from_wire, export_to_wire, pool_load_from_wire,
    release_from_wire, report_from_wire, wrap_kind,
};

/// Receives and handles messages until the link is closed.
pub(crate) async fn run_peers<E: RouterEnvironment>(parts: &Arc<RouterParts<E>>) {
    while let Some((source, message)) = parts.peers.receive().await {
        parts.control().note_address(source.vm, source.address);
        handle_message(parts, source, &message);
    }
}

fn handle_message<E: RouterEnvironment>(
    parts: &Arc<RouterParts<E>>,
    source: MessageSource,
    message: &wire::PeerMessage,
) {
    if let Some(member_message) = message_from_wire(message) {
        let origin = MessageOrigin {
            vm: source.vm,
            incarnation: source.incarnation,
            address: source.address,
        };
        let now = parts.now();
        let actions = parts.control().members.receive(now, origin, &member_message);
        send_actions(parts, &actions);
        return;
    }
    let Some(kind) = &message.kind else { return };
    handle_kind(parts, source.vm, kind);
}

fn handle_kind<E: RouterEnvironment>(parts: &Arc<RouterParts<E>>, from: VmId, kind: &Kind) {
    let now = parts.now();
    match kind {
        Kind::GrantAsk(ask) => {
            let answer = decide_ask(parts, &ask_from_wire(from, ask));
            parts.deliver_answer(&answer);
            parts.admission_due.notify_one();
        }
        Kind::GrantAnswer(message) => take_answer(parts, from, message),
        Kind::GrantRelease(release) => parts.pass_release(from, &release_from_wire(release)),
        Kind::GrantAudit(audit) => answer_audit(parts, from, audit),
        Kind::GrantAuditAnswer(answer) => close_audited(parts, from, answer),
        Kind::LoadReport(report) => {
            take_load_report(parts, now, from, &report_from_wire(report));
        }
        Kind::PoolLoad(load) => take_pool_load(parts, now, from, load),
        Kind::OwnerQuery(query) => answer_owner_query(parts, from, ServerId(query.server)),
        Kind::OwnerCount(count) => take_owner_count(parts, now, from, count),
        Kind::PlacementNote(note) => {
            let (home, server) = (ServerId(note.home), ServerId(note.server));
            parts.control().owner.record_placement(ChatId(note.chat), home, server);
        }
        Kind::StrikeReport(report) => take_strike(parts, report),
        Kind::StrikeAnswer(answer) => {
            let digest = RequestDigest(answer.digest);
            parts.control().note_quarantine(now, digest, answer.hold_millis.into());
        }
        Kind::ChunkAsk(ask) => answer_chunk_ask(parts, from, &ask.digest),
        Kind::ChunkData(data) => parts.chunks.take(data),
        Kind::ServerOrder(order) => take_order(parts, from, order),
        Kind::ServerOrderAnswer(answer) => parts.order_replies.take(answer),
        Kind::ServerState(state) => take_state(parts, state),
        // Entry routers speak these among themselves.
        Kind::EntryReport(_) | Kind::DeclarationAsk(_) | Kind::DeclarationCopy(_) => {}
        // Membership messages were handled before.
        Kind::Ping(_) | Kind::PingAck(_) | Kind::PingRequest(_) => {}
    }
}

fn take_answer<E: RouterEnvironment>(
    parts: &RouterParts<E>,
    from: VmId,
    message: &wire::GrantAnswer,
) {
    let answer = answer_from_wire(parts.identity.vm, message);
    let ceded_to = (message.owner != 0).then_some(VmId(message.owner));
    let wanted = parts.take_answer(ReceivedAnswer { answer, from, ceded_to });
    if !wanted && message.result() == wire::GrantResult::Granted {
        // Nobody waits for the grant any more, so it must not occupy the server.
        let mut release = wire::GrantRelease {
            request: message.request,
            server: message.server,
            ..wire::GrantRelease::default()
        };
        release.set_outcome(wire::ReleaseOutcome::Cancelled);
        parts.send_to(from, &wrap_kind(Kind::GrantRelease(release)));
    }
}

fn answer_audit<E: RouterEnvironment>(
    parts: &RouterParts<E>,
    from: VmId,
    audit: &wire::GrantAudit,
) {
    let requests = audit.requests.iter().copied().map(RequestId);
    let closed = parts.list_closed(ServerId(audit.server), requests);
    let closed = closed.into_iter().map(|request| request.0).collect();
    let answer = wire::GrantAuditAnswer { server: audit.server, closed };
    parts.send_to(from, &wrap_kind(Kind::GrantAuditAnswer(answer)));
}

fn close_audited<E: RouterEnvironment>(
    parts: &RouterParts<E>,
    from: VmId,
    answer: &wire::GrantAuditAnswer,
) {
    let closed: Vec<RequestId> = answer.closed.iter().copied().map(RequestId).collect();
    parts.control().owner.close_audited(from, ServerId(answer.server), &closed);
    parts.admission_due.notify_one();
}

fn take_pool_load<E: RouterEnvironment>(
    parts: &RouterParts<E>,
    now: ClockTime,
    from: VmId,
    load: &wire::PoolLoad,
) {
    let load = pool_load_from_wire(load);
    relay_sum(parts, from, &load);
    parts.control().take_pool_load(now, load);
    parts.admission_due.notify_one();
}

fn take_load_report<E: RouterEnvironment>(
    parts: &RouterParts<E>,
    now: ClockTime,
    from: VmId,
    report: &LoadReport,
) {
    let mut control = parts.control();
    control.sums.record_report(now, from, report);
    if control.report_mode() == ReportMode::Broadcast {
        control.take_own_sum(now, report.pool);
        parts.admission_due.notify_one();
    }
}

fn take_owner_count<E: RouterEnvironment>(
    parts: &RouterParts<E>,
    now: ClockTime,
    from: VmId,
    count: &wire::OwnerCount,
) {
    let mut control = parts.control();
    if count.unknown {
        control.owner.give_up_handover(now, ServerId(count.server));
    } else {
        control.owner.end_cession(ServerId(count.server), from);
        control.owner.import_grants(now, &export_from_wire(count));
    }
    drop(control);
    parts.admission_due.notify_one();
}

fn answer_owner_query<E: RouterEnvironment>(parts: &RouterParts<E>, from: VmId, server: ServerId) {
    let now = parts.now();
    let export = parts.control().owner.cede(now, server, from);
    let unknown =
        wire::OwnerCount { server: server.0, unknown: true, ..wire::OwnerCount::default() };
    let message =
        export.map_or(wrap_kind(Kind::OwnerCount(unknown)), |export| export_to_wire(&export));
    parts.send_to(from, &message);
    parts.admission_due.notify_one();
}

fn take_strike<E: RouterEnvironment>(parts: &RouterParts<E>, report: &wire::StrikeReport) {
    let suspicion =
        CrashSuspicion { server: ServerId(report.server), digest: RequestDigest(report.digest) };
    if report.confirmed {
        note_strike(parts, suspicion);
    } else {
        check_suspicion(parts, suspicion);
    }
}

fn answer_chunk_ask<E: RouterEnvironment>(parts: &RouterParts<E>, from: VmId, digest: &str) {
    let content = parts.revisions.shared_content(digest);
    let data = wire::ChunkData { digest: digest.to_owned(), content: content.unwrap_or_default() };
    parts.send_to(from, &wrap_kind(Kind::ChunkData(data)));
}

/// Sends the messages that membership wants sent.
pub(crate) fn send_actions<E: RouterEnvironment>(parts: &RouterParts<E>, actions: &[MemberAction]) {
    for action in actions {
        let MemberAction::Send { vm, address, message } = action;
        parts.send_at(*vm, *address, &message_to_wire(message));
    }
}
