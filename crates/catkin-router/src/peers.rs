//! Handles messages from other routers.

use std::sync::Arc;

use catkin_base::{ChatId, ClockTime, RequestDigest, RequestId, ServerId, VmId};
use catkin_membership::{MemberAction, MessageOrigin};
use catkin_peer::messages;
use catkin_peer::messages::peer_message::Kind;
use catkin_peer::{MessageSource, PeerLink, message_from_wire, message_to_wire};
use catkin_policy::{LoadReport, ReportMode};

use crate::admission::decide_grant;
use crate::environment::RouterEnvironment;
use crate::orders::{handle_server_order, handle_server_state};
use crate::pool_relay::relay_pool_load;
use crate::state::{ReceivedAnswer, RouterState};
use crate::strikes::{CrashSuspicion, queue_suspicion, record_strike};
use crate::wire::{
    answer_from_wire, ask_from_wire, export_from_wire, export_to_wire, pool_load_from_wire,
    release_from_wire, report_from_wire, wrap_kind,
};

/// Receives and handles messages until the peer link is closed.
pub(crate) async fn run_peers<E: RouterEnvironment>(state: &Arc<RouterState<E>>) {
    while let Some((source, message)) = state.peers.receive().await {
        state.policy().set_address(source.vm, source.address);
        handle_message(state, source, &message);
    }
}

fn handle_message<E: RouterEnvironment>(
    state: &Arc<RouterState<E>>,
    source: MessageSource,
    message: &messages::PeerMessage,
) {
    if let Some(member_message) = message_from_wire(message) {
        let origin = MessageOrigin {
            vm: source.vm,
            incarnation: source.incarnation,
            address: source.address,
        };
        let now = state.now();
        let actions = state.policy().members.handle_message(now, origin, &member_message);
        send_actions(state, &actions);
        return;
    }
    let Some(kind) = &message.kind else { return };
    handle_kind(state, source.vm, kind);
}

/// Handles a message that does not belong to membership.
fn handle_kind<E: RouterEnvironment>(state: &Arc<RouterState<E>>, from: VmId, kind: &Kind) {
    let now = state.now();
    match kind {
        Kind::GrantAsk(ask) => {
            let answer = decide_grant(state, &ask_from_wire(from, ask));
            state.send_answer(&answer);
            state.admission_due.notify_one();
        }
        Kind::GrantAnswer(message) => handle_grant_answer(state, from, message),
        Kind::GrantRelease(release) => state.forward_release(from, &release_from_wire(release)),
        Kind::GrantAudit(audit) => answer_audit(state, from, audit),
        Kind::GrantAuditAnswer(answer) => handle_audit_answer(state, from, answer),
        Kind::LoadReport(report) => {
            handle_load_report(state, now, from, &report_from_wire(report));
        }
        Kind::PoolLoad(load) => handle_pool_load(state, now, from, load),
        Kind::OwnerQuery(query) => answer_owner_query(state, from, ServerId(query.server)),
        Kind::OwnerCount(count) => handle_owner_count(state, now, from, count),
        Kind::PlacementNote(note) => {
            let (home, server) = (ServerId(note.home), ServerId(note.server));
            state.policy().admission.record_placement(ChatId(note.chat), home, server);
        }
        Kind::StrikeReport(report) => handle_strike_report(state, report),
        Kind::StrikeAnswer(answer) => {
            let digest = RequestDigest(answer.digest);
            state.policy().quarantine_digest(now, digest, answer.hold_millis.into());
        }
        Kind::ChunkAsk(ask) => answer_chunk_ask(state, from, &ask.digest),
        Kind::ChunkData(data) => state.chunks.deliver_chunk(data),
        Kind::ServerOrder(order) => handle_server_order(state, from, order),
        Kind::ServerOrderAnswer(answer) => state.order_replies.deliver_reply(answer),
        Kind::ServerState(server_state) => handle_server_state(state, server_state),
        // Messages between the routers of crate `catkin-entry`; this router does not use them.
        Kind::EntryReport(_)
        | Kind::DeclarationAsk(_)
        | Kind::DeclarationCopy(_)
        | Kind::ServerListAsk(_)
        | Kind::ServerListCopy(_)
        | Kind::StreamOrigins(_)
        | Kind::StreamOriginAsk(_)
        | Kind::ForwardedCall(_) => {}
        // Membership messages are handled by `handle_message`.
        Kind::Ping(_) | Kind::PingAck(_) | Kind::PingRequest(_) => {}
    }
}

/// Queues an answer for the call that waits for it, and releases a grant that no call waits for.
fn handle_grant_answer<E: RouterEnvironment>(
    state: &RouterState<E>,
    from: VmId,
    message: &messages::GrantAnswer,
) {
    let answer = answer_from_wire(state.identity.vm, message);
    let ceded_to = (message.owner != 0).then_some(VmId(message.owner));
    let wanted = state.queue_answer(ReceivedAnswer { answer, from, ceded_to });
    if !wanted && message.result() == messages::GrantResult::Granted {
        // No call waits for the grant any more; without a release it would occupy the server.
        let mut release = messages::GrantRelease {
            request: message.request,
            server: message.server,
            ..messages::GrantRelease::default()
        };
        release.set_outcome(messages::ReleaseOutcome::Cancelled);
        state.send_to(from, &wrap_kind(Kind::GrantRelease(release)));
    }
}

/// Answers which of the audited grants this router no longer holds.
fn answer_audit<E: RouterEnvironment>(
    state: &RouterState<E>,
    from: VmId,
    audit: &messages::GrantAudit,
) {
    let requests = audit.requests.iter().copied().map(RequestId);
    let closed = state.list_unknown_requests(ServerId(audit.server), requests);
    let closed = closed.into_iter().map(|request| request.0).collect();
    let answer = messages::GrantAuditAnswer { server: audit.server, closed };
    state.send_to(from, &wrap_kind(Kind::GrantAuditAnswer(answer)));
}

/// Closes the audited grants that their entry router no longer holds.
fn handle_audit_answer<E: RouterEnvironment>(
    state: &RouterState<E>,
    from: VmId,
    answer: &messages::GrantAuditAnswer,
) {
    let closed: Vec<RequestId> = answer.closed.iter().copied().map(RequestId).collect();
    state.policy().admission.close_audited(from, ServerId(answer.server), &closed);
    state.admission_due.notify_one();
}

/// Relays a pool's load total within this router's failure domain, and stores it.
fn handle_pool_load<E: RouterEnvironment>(
    state: &RouterState<E>,
    now: ClockTime,
    from: VmId,
    load: &messages::PoolLoad,
) {
    let load = pool_load_from_wire(load);
    relay_pool_load(state, from, &load);
    state.policy().update_pool_load(now, load);
    state.admission_due.notify_one();
}

/// Records a load report; with few routers, each aggregates the pool's load itself.
fn handle_load_report<E: RouterEnvironment>(
    state: &RouterState<E>,
    now: ClockTime,
    from: VmId,
    report: &LoadReport,
) {
    let mut policy = state.policy();
    policy.load_aggregator.record_report(now, from, report);
    if policy.report_mode() == ReportMode::Broadcast {
        policy.update_local_total(now, report.pool);
        state.admission_due.notify_one();
    }
}

/// Imports the grants that a former owner hands over, or ends the handover if it has none.
fn handle_owner_count<E: RouterEnvironment>(
    state: &RouterState<E>,
    now: ClockTime,
    from: VmId,
    count: &messages::OwnerCount,
) {
    let mut policy = state.policy();
    if count.unknown {
        policy.admission.give_up_handover(now, ServerId(count.server));
    } else {
        policy.admission.end_cede(ServerId(count.server), from);
        policy.admission.import_grants(now, &export_from_wire(count));
    }
    drop(policy);
    state.admission_due.notify_one();
}

/// Cedes a server to the router that queries it, with its grants; answers `unknown` if there are
/// none to hand over.
fn answer_owner_query<E: RouterEnvironment>(state: &RouterState<E>, from: VmId, server: ServerId) {
    let now = state.now();
    let export = state.policy().admission.cede(now, server, from);
    let unknown =
        messages::OwnerCount { server: server.0, unknown: true, ..messages::OwnerCount::default() };
    let message =
        export.map_or(wrap_kind(Kind::OwnerCount(unknown)), |export| export_to_wire(&export));
    state.send_to(from, &message);
    state.admission_due.notify_one();
}

/// Counts a confirmed crash as a strike, and probes the server for a suspected one.
fn handle_strike_report<E: RouterEnvironment>(
    state: &RouterState<E>,
    report: &messages::StrikeReport,
) {
    let suspicion =
        CrashSuspicion { server: ServerId(report.server), digest: RequestDigest(report.digest) };
    if report.confirmed {
        record_strike(state, suspicion);
    } else {
        queue_suspicion(state, suspicion);
    }
}

/// Sends a requested chunk, or an empty one if this router does not have it.
fn answer_chunk_ask<E: RouterEnvironment>(state: &RouterState<E>, from: VmId, digest: &str) {
    let content = state.revisions.shared_content(digest);
    let data =
        messages::ChunkData { digest: digest.to_owned(), content: content.unwrap_or_default() };
    state.send_to(from, &wrap_kind(Kind::ChunkData(data)));
}

/// Sends the messages that the membership table returned.
pub(crate) fn send_actions<E: RouterEnvironment>(state: &RouterState<E>, actions: &[MemberAction]) {
    for action in actions {
        let MemberAction::Send { vm, address, message } = action;
        state.send_at(*vm, *address, &message_to_wire(message));
    }
}
