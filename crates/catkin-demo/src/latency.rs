//! Latency that a router adds, against the caller speaking to an engine directly.

use std::net::SocketAddr;
use std::time::Duration;

use crate::caller::{CallEnd, send_call};
use crate::trace::{PlannedCall, PlannedWork};
use crate::world::DemoWorld;

/// Tokens of the answers that are timed.
const ANSWER_TOKENS: u32 = 2;

/// Measures pairs of calls; returns the added time to the first byte of each, in microseconds.
pub(crate) async fn measure_added(world: &DemoWorld, pairs: u32) -> Vec<u64> {
    let Some(router) = world.entries().first().copied() else { return Vec::new() };
    let engine = world.engines[0].address();
    let mut added = Vec::new();
    for pair in 0..pairs {
        let direct = time_call(world, engine, &format!("direct-{pair}")).await;
        let routed = time_call(world, router, &format!("routed-{pair}")).await;
        if let (Some(direct), Some(routed)) = (direct, routed) {
            added.push(routed.saturating_sub(direct).as_micros() as u64);
        }
    }
    added
}

async fn time_call(world: &DemoWorld, address: SocketAddr, chat: &str) -> Option<Duration> {
    let work = PlannedWork::Turn {
        chat: chat.to_owned(),
        turn: 0,
        long: false,
        tokens: ANSWER_TOKENS,
        poison: false,
    };
    let call = PlannedCall { at: Duration::ZERO, team: world.shape.teams[2], work };
    let record = send_call(address, &world.shape, &call, None).await;
    if record.end == CallEnd::Whole { record.first_byte } else { None }
}
