//! Requests that crash servers: suspicion, confirmation, quarantine.

use catkin_base::{RequestDigest, ServerId};
use catkin_peer::messages as wire;
use catkin_peer::messages::peer_message::Kind;
use catkin_policy::choose_key_router;

use crate::environment::RouterEnvironment;
use crate::index::FleetIndex;
use crate::parts::RouterParts;
use crate::wire::wrap_kind;

/// A request that may have crashed a server.
#[derive(Debug, Clone, Copy)]
pub(crate) struct CrashSuspicion {
    pub(crate) server: ServerId,
    pub(crate) digest: RequestDigest,
}

/// Tells the owner of a server that it may have crashed under a request.
pub(crate) fn report_suspicion<E: RouterEnvironment>(
    parts: &RouterParts<E>,
    index: &FleetIndex,
    digest: RequestDigest,
    server: ServerId,
) {
    let Some(owner) = index.server(server).and_then(|entry| parts.owner_of(&entry.spec)) else {
        return;
    };
    if owner == parts.identity.vm {
        check_suspicion(parts, CrashSuspicion { server, digest });
        return;
    }
    let report = wire::StrikeReport { digest: digest.0, server: server.0, confirmed: false };
    parts.send_to(owner, &wrap_kind(Kind::StrikeReport(report)));
}

/// Has the server of a suspicion probed; too many at once are dropped.
pub(crate) fn check_suspicion<E: RouterEnvironment>(
    parts: &RouterParts<E>,
    suspicion: CrashSuspicion,
) {
    if parts.suspects.try_send(suspicion).is_err() {
        log::warn!("owner: Too many servers are suspected of a crash. server={}", suspicion.server);
    }
}

/// Notes a confirmed crash with the router that keeps the digest's strikes.
pub(crate) fn confirm_strike<E: RouterEnvironment>(
    parts: &RouterParts<E>,
    suspicion: CrashSuspicion,
) {
    let CrashSuspicion { server, digest } = suspicion;
    let keyholder = choose_key_router(digest.0, &parts.control().roster);
    if keyholder == Some(parts.identity.vm) {
        note_strike(parts, suspicion);
        return;
    }
    let Some(keyholder) = keyholder else { return };
    let report = wire::StrikeReport { digest: digest.0, server: server.0, confirmed: true };
    parts.send_to(keyholder, &wrap_kind(Kind::StrikeReport(report)));
}

/// Counts a strike; at the limit, all routers are told to refuse the request.
pub(crate) fn note_strike<E: RouterEnvironment>(parts: &RouterParts<E>, suspicion: CrashSuspicion) {
    let CrashSuspicion { server, digest } = suspicion;
    let now = parts.now();
    let mut control = parts.control();
    control.strikes.record_strike(now, digest, server);
    let state = control.strikes.state(now, digest);
    if state.hold_millis == 0 {
        return;
    }
    control.note_quarantine(now, digest, state.hold_millis);
    let others = control.list_others(parts.identity.vm);
    drop(control);
    log::warn!("owner: A request is quarantined. digest={digest} strikes={}", state.strikes);
    let answer = wire::StrikeAnswer {
        digest: digest.0,
        strikes: state.strikes,
        hold_millis: u32::try_from(state.hold_millis).unwrap_or(u32::MAX),
    };
    let message = wrap_kind(Kind::StrikeAnswer(answer));
    for vm in others {
        parts.send_to(vm, &message);
    }
}
