//! Requests that crash servers: a suspected crash is confirmed by a probe and counted as a strike,
//! and a request with too many strikes is quarantined.

use catkin_base::{RequestDigest, ServerId};
use catkin_peer::messages;
use catkin_peer::messages::peer_message::Kind;
use catkin_policy::choose_key_router;

use crate::environment::RouterEnvironment;
use crate::fleet_index::FleetIndex;
use crate::state::RouterState;
use crate::wire::wrap_kind;

/// A request after which a server may have crashed.
#[derive(Debug, Clone, Copy)]
pub(crate) struct CrashSuspicion {
    pub(crate) server: ServerId,
    pub(crate) digest: RequestDigest,
}

/// Reports to the owner of a server that the server may have crashed under a request.
pub(crate) fn report_suspicion<E: RouterEnvironment>(
    state: &RouterState<E>,
    index: &FleetIndex,
    digest: RequestDigest,
    server: ServerId,
) {
    let Some(owner) = index.server(server).and_then(|entry| state.owner_of(&entry.spec)) else {
        return;
    };
    if owner == state.identity.vm {
        queue_suspicion(state, CrashSuspicion { server, digest });
        return;
    }
    let report = messages::StrikeReport { digest: digest.0, server: server.0, confirmed: false };
    state.send_to(owner, &wrap_kind(Kind::StrikeReport(report)));
}

/// Queues a probe of the suspected server; drops the suspicion if the queue is full.
pub(crate) fn queue_suspicion<E: RouterEnvironment>(
    state: &RouterState<E>,
    suspicion: CrashSuspicion,
) {
    if state.suspicions.try_send(suspicion).is_err() {
        log::warn!(
            "owner: probe queue is full; the suspected crash is not checked. server={}",
            suspicion.server
        );
    }
}

/// Reports a confirmed crash to the router that counts the digest's strikes.
pub(crate) fn confirm_strike<E: RouterEnvironment>(
    state: &RouterState<E>,
    suspicion: CrashSuspicion,
) {
    let CrashSuspicion { server, digest } = suspicion;
    let strike_counter = choose_key_router(digest.0, &state.policy().roster);
    if strike_counter == Some(state.identity.vm) {
        record_strike(state, suspicion);
        return;
    }
    let Some(strike_counter) = strike_counter else { return };
    let report = messages::StrikeReport { digest: digest.0, server: server.0, confirmed: true };
    state.send_to(strike_counter, &wrap_kind(Kind::StrikeReport(report)));
}

/// Counts a strike. At the limit, quarantines the request and notifies all routers, which then
/// refuse it.
pub(crate) fn record_strike<E: RouterEnvironment>(
    state: &RouterState<E>,
    suspicion: CrashSuspicion,
) {
    let CrashSuspicion { server, digest } = suspicion;
    let now = state.now();
    let mut policy = state.policy();
    policy.strikes.record_strike(now, digest, server);
    let strike_state = policy.strikes.state(now, digest);
    if strike_state.hold_millis == 0 {
        return;
    }
    policy.quarantine_digest(now, digest, strike_state.hold_millis);
    let peers = policy.list_peers(state.identity.vm);
    drop(policy);
    log::warn!(
        "owner: strike limit reached; request quarantined. digest={digest} strikes={}",
        strike_state.strikes
    );
    let answer = messages::StrikeAnswer {
        digest: digest.0,
        strikes: strike_state.strikes,
        hold_millis: u32::try_from(strike_state.hold_millis).unwrap_or(u32::MAX),
    };
    let message = wrap_kind(Kind::StrikeAnswer(answer));
    for vm in peers {
        state.send_to(vm, &message);
    }
}
