//! Collects what no kept revision of the declarations refers to.

use std::time::Duration;

use catkin_operator::collect_garbage;
use catkin_policy::choose_key_router;
use tokio::time::sleep;

use crate::environment::RouterEnvironment;
use crate::parts::RouterParts;

/// Time between two runs.
const RUN_INTERVAL: Duration = Duration::from_secs(1_800);
/// Pause after each call to the platform, well within a router's share of them.
const CALL_PAUSE: Duration = Duration::from_millis(400);
/// Key under which the routers choose the one that collects.
const COLLECTOR_KEY: u64 = 0x6761_7262_6167_6500;

/// Collects garbage on one router of the fleet. Two that collect at once do no harm.
pub(crate) async fn run_garbage<E: RouterEnvironment>(parts: &RouterParts<E>) {
    loop {
        sleep(RUN_INTERVAL).await;
        if !is_collector(parts) {
            continue;
        }
        match collect_garbage(&*parts.store, CALL_PAUSE).await {
            Ok(outcome) => log::info!(
                "revisions: Garbage was collected. chunks={} revisions={}",
                outcome.deleted,
                outcome.forgotten
            ),
            Err(error) => log::debug!("revisions: No garbage was collected. error={error}"),
        }
    }
}

fn is_collector<E: RouterEnvironment>(parts: &RouterParts<E>) -> bool {
    let roster = parts.control().roster.clone();
    choose_key_router(COLLECTOR_KEY, &roster) == Some(parts.identity.vm)
}
