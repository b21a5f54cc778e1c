//! Deletes claims that are past their retention.

use std::sync::Arc;
use std::time::Duration;

use catkin_base::hash_parts;
use catkin_platform::{ClaimRetention, ClaimSweeper};
use catkin_policy::choose_key_router;
use tokio::time::sleep;

use crate::environment::RouterEnvironment;
use crate::state::RouterState;

/// Maximum number of claims that one step reads.
const CLAIMS_PER_STEP: u32 = 10;
/// Pause before a step of one router in a fleet of up to 50 routers, in milliseconds. Jitter
/// shortens it to as little as half.
const STEP_MILLIS: u64 = 5_000;
/// Pause per router of a larger fleet, in milliseconds. Without jitter the fleet then reads 100
/// claims per second; with it, at most 200.
const FLEET_STEP_MILLIS: u64 = 100;

/// Sweeps the claims of the shards that are assigned to this router until the task is stopped.
pub(crate) async fn run_claim_sweeps<E: RouterEnvironment>(state: &RouterState<E>) {
    let mut sweeper = ClaimSweeper::new(Arc::clone(&state.store), ClaimRetention::default());
    loop {
        sleep(step_pause(state)).await;
        let roster = state.policy().roster.clone();
        let owns_shard = |shard: u8| {
            let key = hash_parts(&[b"claims", &[shard]]);
            choose_key_router(key, &roster) == Some(state.identity.vm)
        };
        let unix_seconds = state.clock.unix_seconds();
        match sweeper.step(owns_shard, CLAIMS_PER_STEP, unix_seconds).await {
            Ok(counts) if counts.deleted > 0 => {
                log::info!("claims: deleted claims past their retention. count={}", counts.deleted);
            }
            Ok(_) => {}
            Err(error) => log::debug!(
                "claims: deleting claims past their retention failed; retrying in the next step. error={error}"
            ),
        }
    }
}

/// The pause before this router's next step. It grows with the number of routers, so that the
/// fleet's rate of reads stays bounded.
fn step_pause<E: RouterEnvironment>(state: &RouterState<E>) -> Duration {
    let routers = state.policy().roster.len() as u64;
    let millis = (routers * FLEET_STEP_MILLIS).max(STEP_MILLIS);
    Duration::from_millis(state.jitter_millis(millis))
}
