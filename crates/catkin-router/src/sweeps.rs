//! Deletes claims that are past their retention.

use std::sync::Arc;
use std::time::Duration;

use catkin_base::hash_parts;
use catkin_platform::{ClaimRetention, ClaimSweeper};
use catkin_policy::choose_key_router;
use tokio::time::sleep;

use crate::environment::RouterEnvironment;
use crate::parts::RouterParts;

/// Claims that one step reads.
const CLAIMS_PER_STEP: u32 = 10;
/// Least time between two steps of one router, in milliseconds.
const STEP_MILLIS: u64 = 5_000;
/// Time between two steps of the whole fleet, in milliseconds: 100 claims read a second.
const FLEET_STEP_MILLIS: u64 = 100;

/// Sweeps over this router's share of the claims until the task is stopped.
pub(crate) async fn run_sweeps<E: RouterEnvironment>(parts: &RouterParts<E>) {
    let mut sweeper = ClaimSweeper::new(Arc::clone(&parts.store), ClaimRetention::default());
    loop {
        sleep(step_pause(parts)).await;
        let roster = parts.control().roster.clone();
        let owns_shard = |shard: u8| {
            let key = hash_parts(&[b"claims", &[shard]]);
            choose_key_router(key, &roster) == Some(parts.identity.vm)
        };
        let unix_seconds = parts.clock.unix_seconds();
        match sweeper.step(owns_shard, CLAIMS_PER_STEP, unix_seconds).await {
            Ok(counts) if counts.deleted > 0 => {
                log::info!("claims: Old claims were deleted. count={}", counts.deleted);
            }
            Ok(_) => {}
            Err(error) => log::debug!("claims: A sweep was put off. error={error}"),
        }
    }
}

/// The pause before a router's next step, which grows with the fleet.
fn step_pause<E: RouterEnvironment>(parts: &RouterParts<E>) -> Duration {
    let routers = parts.control().roster.len() as u64;
    let millis = (routers * FLEET_STEP_MILLIS).max(STEP_MILLIS);
    Duration::from_millis(parts.jitter_millis(millis))
}
