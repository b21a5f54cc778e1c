//! Deletes stored chunks that no retained revision of the declarations refers to.

use std::time::Duration;

use catkin_operator::collect_garbage;
use catkin_policy::choose_key_router;
use tokio::time::sleep;

use crate::environment::RouterEnvironment;
use crate::state::RouterState;

/// Time between two collections.
const RUN_INTERVAL: Duration = Duration::from_secs(1_800);
/// Pause between most calls to the platform in a collection, which keeps the router well within its
/// share of the platform's call limit.
const CALL_PAUSE: Duration = Duration::from_millis(400);
/// Key (ASCII "garbage" and a zero byte) by which the routers choose the one that collects garbage.
const COLLECTOR_KEY: u64 = 0x6761_7262_6167_6500;

/// Collects garbage at intervals on one router of the fleet. Concurrent collections by two routers
/// are harmless.
pub(crate) async fn run_garbage_collection<E: RouterEnvironment>(state: &RouterState<E>) {
    loop {
        sleep(RUN_INTERVAL).await;
        if !is_collector(state) {
            continue;
        }
        match collect_garbage(&*state.store, CALL_PAUSE).await {
            Ok(outcome) => log::info!(
                "revisions: deleted unreferenced chunks and dropped old revisions. chunks={} revisions={}",
                outcome.deleted_chunks,
                outcome.deleted_revisions
            ),
            Err(error) => log::debug!(
                "revisions: garbage collection failed; retrying after the interval. error={error}"
            ),
        }
    }
}

fn is_collector<E: RouterEnvironment>(state: &RouterState<E>) -> bool {
    let roster = state.policy().roster.clone();
    choose_key_router(COLLECTOR_KEY, &roster) == Some(state.identity.vm)
}
