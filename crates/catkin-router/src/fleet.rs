//! Fleet tasks of a router: membership, ownership, periodic load reports and audits, and reads of
//! the platform's list of VMs.

use std::net::SocketAddr;
use std::time::Duration;

use catkin_base::{DomainId, RegionId, VmId};
use catkin_membership::MemberSpec;
use catkin_peer::PeerLink;
use catkin_platform::{VmDirectory, VmListing};
use tokio::time::{MissedTickBehavior, interval, sleep, sleep_until};

use crate::admission::{send_audits, send_load_reports, send_pool_loads};
use crate::environment::RouterEnvironment;
use crate::metric::PEER_BYTES_TOTAL;
use crate::ownership::{HandoverTable, apply_changes, retry_handovers};
use crate::peers::send_actions;
use crate::state::RouterState;

/// Interval of load reports and pool load totals.
const REPORT_INTERVAL: Duration = Duration::from_millis(1_000);
/// Interval at which queries to former owners are repeated.
const HANDOVER_INTERVAL: Duration = Duration::from_millis(200);
/// Time that a router has to discover the others before it owns servers.
const JOIN_TIME: Duration = Duration::from_millis(1_500);
/// Interval of audits of old grants and of retries of pending claim writes.
const AUDIT_INTERVAL: Duration = Duration::from_millis(5_000);
/// Maximum interval between two reads of the platform's list of VMs, in milliseconds.
const MAX_LIST_INTERVAL_MILLIS: u64 = 20_000;
/// Interval between reads of the list of VMs while no other router is known.
const ALONE_LIST_INTERVAL: Duration = Duration::from_millis(1_000);

/// Drives the membership protocol, and applies changes of the live routers and the declarations
/// to the ownership of servers.
pub(crate) async fn run_fleet<E: RouterEnvironment>(state: &RouterState<E>) {
    let mut table = HandoverTable::default();
    let mut retries = interval(HANDOVER_INTERVAL);
    retries.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        let now = state.now();
        let actions = state.policy().members.tick(now);
        send_actions(state, &actions);
        apply_changes(state, &mut table);
        let due = state.policy().members.next_due();
        tokio::select! {
            biased;
            _ = retries.tick() => retry_handovers(state, &mut table),
            () = state.fleet_changed.notified() => {}
            () = sleep_until(state.clock.instant_of(due)) => {}
        }
    }
}

/// Sends load reports and pool load totals, and updates the count of bytes sent to peers, at a
/// fixed interval.
pub(crate) async fn run_reports<E: RouterEnvironment>(state: &RouterState<E>) {
    let mut ticks = interval(REPORT_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        send_load_reports(state);
        send_pool_loads(state);
        metrics::counter!(PEER_BYTES_TOTAL).absolute(state.peers.sent_bytes());
    }
}

/// Audits old grants and retries the pending writes of claims, at a fixed interval.
pub(crate) async fn run_audits<E: RouterEnvironment>(state: &RouterState<E>) {
    let mut ticks = interval(AUDIT_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        send_audits(state);
        state.claims.flush(state.now()).await;
    }
}

/// Reads the platform's list of VMs and seeds the membership with it and with `seed_addresses`.
///
/// Once the list was read, or another router is known, the router joins the fleet.
pub(crate) async fn run_vm_directory<E: RouterEnvironment>(
    state: &RouterState<E>,
    seed_addresses: Vec<SocketAddr>,
) {
    loop {
        let mut specs: Vec<MemberSpec> = seed_addresses.iter().copied().map(seed_spec).collect();
        let listed = state.store.list_vms().await;
        let is_read = listed.is_ok();
        match listed {
            Ok(listings) => {
                specs.extend(listings.iter().map(listing_spec));
                state.set_vm_names(&listings);
            }
            Err(error) => log::debug!(
                "members: the list of VMs was not read; reading again later. error={error}"
            ),
        }
        let now = state.now();
        state.policy().members.add_seeds(now, &specs);
        state.fleet_changed.notify_one();
        let is_alone = state.policy().roster.len() <= 1;
        // Without the list and without peers, the router cannot know whether it is the only one.
        if !state.is_joined() && (is_read || !is_alone) {
            join(state, &specs).await;
        }
        let millis = state.jitter_millis(MAX_LIST_INTERVAL_MILLIS);
        sleep(if is_alone { ALONE_LIST_INTERVAL } else { Duration::from_millis(millis) }).await;
    }
}

/// Marks this router as joined, after [`JOIN_TIME`] if there are other routers to discover.
async fn join<E: RouterEnvironment>(state: &RouterState<E>, specs: &[MemberSpec]) {
    let has_others = specs.iter().any(|spec| spec.vm != state.identity.vm);
    if has_others {
        sleep(JOIN_TIME).await;
    }
    state.mark_joined();
}

/// Specification of a router of which only the address is known.
fn seed_spec(address: SocketAddr) -> MemberSpec {
    MemberSpec { vm: VmId(0), incarnation: 0, address, domain: DomainId(0), region: RegionId(0) }
}

fn listing_spec(listing: &VmListing) -> MemberSpec {
    MemberSpec {
        vm: VmId::from_name(&listing.name),
        incarnation: 0,
        address: listing.peer_address,
        domain: DomainId::from_name(&listing.domain),
        region: RegionId::from_name(&listing.region),
    }
}
