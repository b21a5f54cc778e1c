//! Measures the latency that a router adds, compared with calling an engine directly.

use std::net::SocketAddr;
use std::time::Duration;

use crate::caller::{CallOutcome, send_call};
use crate::fleet::DemoFleet;
use crate::trace::{PlannedCall, PlannedWork};

/// Number of tokens of the timed answers.
const ANSWER_TOKENS: u32 = 2;

/// Measures pairs of a direct and a routed call. Returns for each pair by how much the router
/// delayed the first byte, in microseconds.
pub(crate) async fn measure_added_latency(fleet: &DemoFleet, pairs: u32) -> Vec<u64> {
    let Some(router) = fleet.caller_addresses().first().copied() else { return Vec::new() };
    let engine = fleet.engines[0].address();
    let mut added = Vec::new();
    for pair in 0..pairs {
        let direct = time_call(fleet, engine, &format!("direct-{pair}")).await;
        let routed = time_call(fleet, router, &format!("routed-{pair}")).await;
        if let (Some(direct), Some(routed)) = (direct, routed) {
            added.push(routed.saturating_sub(direct).as_micros() as u64);
        }
    }
    added
}

async fn time_call(fleet: &DemoFleet, address: SocketAddr, chat: &str) -> Option<Duration> {
    let work = PlannedWork::Turn {
        chat: chat.to_owned(),
        turn: 0,
        long: false,
        tokens: ANSWER_TOKENS,
        poison: false,
    };
    let call = PlannedCall { at: Duration::ZERO, team: fleet.shape.teams[2], work };
    let attempt = send_call(address, &fleet.shape, &call, None).await;
    if attempt.outcome == CallOutcome::Complete { attempt.first_byte } else { None }
}
