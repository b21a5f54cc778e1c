//! Member tables converge to the same view after joins, leaves, crashes, restarts and partitions,
//! and no running member is declared dead because of message loss or a pause.

mod common;

use catkin_membership::{MemberEventKind, MemberSpec};
use common::{SimFleet, spec, specs};

const FLEET: u16 = 16;
/// Maximum time until all routers have detected a crash, in milliseconds.
const DETECTION_MILLIS: u64 = 15_000;

#[test]
fn routers_with_the_same_list_see_each_other() {
    let mut fleet = SimFleet::new(1);

    fleet.start_all(FLEET);
    let joined = fleet.run_until(10_000, |fleet| fleet.all_see_live(FLEET.into()));

    assert!(joined.is_some());
}

#[test]
fn router_joins_by_one_seed_address() {
    let mut fleet = SimFleet::converged(FLEET, 2);
    let seed = MemberSpec { vm: catkin_base::VmId(0), incarnation: 0, ..spec(3) };

    fleet.start(spec(FLEET), &[seed]);
    let joined = fleet.run_until(10_000, |fleet| fleet.all_see_live(usize::from(FLEET) + 1));

    assert!(joined.is_some());
}

#[test]
fn crashed_router_is_declared_dead_by_all() {
    let mut fleet = SimFleet::converged(FLEET, 3);

    fleet.crash(5);
    let detected =
        fleet.run_until(DETECTION_MILLIS, |fleet| fleet.all_see_live(usize::from(FLEET) - 1));

    assert!(detected.is_some());
    assert_eq!(fleet.count_events(MemberEventKind::Died), usize::from(FLEET) - 1);
}

#[test]
fn leaving_router_is_not_live_and_is_declared_dead_after_its_process_ended() {
    let mut fleet = SimFleet::converged(FLEET, 4);

    fleet.leave(5);
    let left = fleet.run_until(5_000, |fleet| fleet.all_see_live(usize::from(FLEET) - 1));
    let died_early = fleet.count_events(MemberEventKind::Died);
    fleet.crash(5);
    fleet.run_millis(30_000);

    assert!(left.is_some());
    assert_eq!(fleet.count_events(MemberEventKind::Left), usize::from(FLEET) - 1);
    assert_eq!(died_early, 0);
    assert_eq!(fleet.count_events(MemberEventKind::Died), usize::from(FLEET) - 1);
}

#[test]
fn leaving_router_with_a_long_drain_is_not_declared_dead() {
    let mut fleet = SimFleet::converged(FLEET, 5);

    fleet.leave(5);
    fleet.run_millis(60_000);

    assert_eq!(fleet.count_events(MemberEventKind::Died), 0);
}

#[test]
fn restart_at_the_same_address_is_reported_by_all_other_routers() {
    let mut fleet = SimFleet::converged(FLEET, 6);

    fleet.crash(5);
    fleet.start(MemberSpec { incarnation: 2, ..spec(5) }, &specs(FLEET));
    fleet.run_millis(10_000);

    assert_eq!(fleet.count_events(MemberEventKind::Restarted), usize::from(FLEET) - 1);
    assert!(fleet.all_see_live(FLEET.into()));
}

#[test]
fn older_process_on_the_same_vm_is_notified_of_the_newer_one() {
    let mut fleet = SimFleet::converged(FLEET, 7);

    fleet.start(MemberSpec { incarnation: 2, address: spec(90).address, ..spec(5) }, &specs(FLEET));
    fleet.run_millis(20_000);

    let displaced =
        |(_, event): &(_, catkin_membership::MemberEvent)| event.kind == MemberEventKind::Displaced;
    assert!(fleet.node(5).events.iter().any(displaced));
}

#[test]
fn partitioned_halves_converge_after_the_partition_heals() {
    let mut fleet = SimFleet::converged(FLEET, 8);

    fleet.start_partition(FLEET / 2);
    fleet.run_millis(120_000);
    let separate = fleet.all_see_live(usize::from(FLEET / 2));
    fleet.end_partition();
    let merged = fleet.run_until(60_000, |fleet| fleet.all_see_live(FLEET.into()));

    assert!(separate);
    assert!(merged.is_some());
}

#[test]
fn paused_router_refutes_and_declares_no_member_dead() {
    let mut fleet = SimFleet::converged(FLEET, 9);

    fleet.node_mut(5).paused = true;
    fleet.run_millis(20_000);
    let still_live = fleet.list_live(0).contains(&5);
    fleet.clear_events();
    fleet.node_mut(5).paused = false;
    let recovered = fleet.run_until(20_000, |fleet| fleet.all_see_live(FLEET.into()));

    assert!(!still_live);
    assert!(recovered.is_some());
    assert_eq!(fleet.count_events(MemberEventKind::Died), 0);
}

#[test]
fn loss_of_one_percent_declares_no_member_dead() {
    let mut fleet = SimFleet::converged(FLEET, 10);

    fleet.loss_percent = 1;
    fleet.run_millis(300_000);

    assert_eq!(fleet.count_events(MemberEventKind::Died), 0);
}

#[test]
fn loss_of_ten_percent_declares_no_member_dead() {
    let mut fleet = SimFleet::converged(FLEET, 11);

    fleet.loss_percent = 10;
    fleet.run_millis(300_000);

    assert_eq!(fleet.count_events(MemberEventKind::Died), 0);
}

#[test]
fn highest_revision_reaches_every_router() {
    let mut fleet = SimFleet::converged(FLEET, 12);

    fleet.node_mut(3).table.set_revision_in_force(41);
    let known = fleet.run_until(10_000, |fleet| {
        fleet.nodes.values().all(|node| node.table.highest_revision() == 41)
    });

    assert!(known.is_some());
    let in_force = fleet.node(0).table.live_members().filter(|view| view.revision_in_force == 41);
    assert!(in_force.count() <= 1);
}

#[test]
fn same_seed_gives_the_same_run() {
    let run = |seed| {
        let mut fleet = SimFleet::converged(FLEET, seed);
        fleet.loss_percent = 10;
        fleet.crash(2);
        fleet.run_millis(20_000);
        fleet.nodes.into_values().map(|node| node.events).collect::<Vec<_>>()
    };

    assert_eq!(run(13), run(13));
}

#[test]
fn removed_member_does_not_reappear() {
    let mut fleet = SimFleet::converged(FLEET, 14);

    fleet.crash(5);
    fleet.run_millis(20 * 60 * 1_000);

    let known = fleet.node(0).table.members().filter(|view| view.spec.vm == spec(5).vm);
    assert_eq!(known.count(), 0);
    assert!(fleet.all_see_live(usize::from(FLEET) - 1));
}
