//! Fleets of member tables through joins, leaves, crashes, restarts, splits and loss.

mod common;

use catkin_membership::{MemberEventKind, MemberSpec};
use common::{SimFleet, spec, specs};

const FLEET: u16 = 16;
/// Time after which a crash must be known everywhere, in milliseconds.
const DETECTION_MILLIS: u64 = 15_000;

#[test]
fn routers_of_one_list_find_each_other() {
    let mut fleet = SimFleet::new(1);

    fleet.start_all(FLEET);
    let joined = fleet.run_until(10_000, |fleet| fleet.all_see(FLEET.into()));

    assert!(joined.is_some());
}

#[test]
fn router_without_the_platform_joins_by_one_address() {
    let mut fleet = SimFleet::settled(FLEET, 2);
    let contact = MemberSpec { vm: catkin_base::VmId(0), incarnation: 0, ..spec(3) };

    fleet.start(spec(FLEET), &[contact]);
    let joined = fleet.run_until(10_000, |fleet| fleet.all_see(usize::from(FLEET) + 1));

    assert!(joined.is_some());
}

#[test]
fn crashed_router_is_dead_everywhere() {
    let mut fleet = SimFleet::settled(FLEET, 3);

    fleet.crash(5);
    let detected = fleet.run_until(DETECTION_MILLIS, |fleet| fleet.all_see(usize::from(FLEET) - 1));

    assert!(detected.is_some());
    assert_eq!(fleet.count_events(MemberEventKind::Died), usize::from(FLEET) - 1);
}

#[test]
fn leaving_router_is_not_live_and_is_reported_dead_once_it_ended() {
    let mut fleet = SimFleet::settled(FLEET, 4);

    fleet.leave(5);
    let left = fleet.run_until(5_000, |fleet| fleet.all_see(usize::from(FLEET) - 1));
    let died_early = fleet.count_events(MemberEventKind::Died);
    fleet.crash(5);
    fleet.run_millis(30_000);

    assert!(left.is_some());
    assert_eq!(fleet.count_events(MemberEventKind::Left), usize::from(FLEET) - 1);
    assert_eq!(died_early, 0);
    assert_eq!(fleet.count_events(MemberEventKind::Died), usize::from(FLEET) - 1);
}

#[test]
fn leaving_router_that_drains_long_is_not_reported_dead() {
    let mut fleet = SimFleet::settled(FLEET, 5);

    fleet.leave(5);
    fleet.run_millis(60_000);

    assert_eq!(fleet.count_events(MemberEventKind::Died), 0);
}

#[test]
fn restart_at_the_same_address_is_reported_by_every_other_router() {
    let mut fleet = SimFleet::settled(FLEET, 6);

    fleet.crash(5);
    fleet.start(MemberSpec { incarnation: 2, ..spec(5) }, &specs(FLEET));
    fleet.run_millis(10_000);

    assert_eq!(fleet.count_events(MemberEventKind::Restarted), usize::from(FLEET) - 1);
    assert!(fleet.all_see(FLEET.into()));
}

#[test]
fn older_process_of_the_same_vm_learns_that_it_was_displaced() {
    let mut fleet = SimFleet::settled(FLEET, 7);

    fleet.start(MemberSpec { incarnation: 2, address: spec(90).address, ..spec(5) }, &specs(FLEET));
    fleet.run_millis(20_000);

    let displaced =
        |(_, event): &(_, catkin_membership::MemberEvent)| event.kind == MemberEventKind::Displaced;
    assert!(fleet.node(5).events.iter().any(displaced));
}

#[test]
fn split_halves_run_alone_and_merge_again() {
    let mut fleet = SimFleet::settled(FLEET, 8);

    fleet.split(FLEET / 2);
    fleet.run_millis(120_000);
    let alone = fleet.all_see(usize::from(FLEET / 2));
    fleet.heal();
    let merged = fleet.run_until(60_000, |fleet| fleet.all_see(FLEET.into()));

    assert!(alone);
    assert!(merged.is_some());
}

#[test]
fn router_that_was_paused_refutes_and_takes_nobody_as_dead() {
    let mut fleet = SimFleet::settled(FLEET, 9);

    fleet.node_mut(5).paused = true;
    fleet.run_millis(20_000);
    let missed = fleet.live_at(0).contains(&5);
    fleet.clear_events();
    fleet.node_mut(5).paused = false;
    let back = fleet.run_until(20_000, |fleet| fleet.all_see(FLEET.into()));

    assert!(!missed);
    assert!(back.is_some());
    assert_eq!(fleet.count_events(MemberEventKind::Died), 0);
}

#[test]
fn loss_of_a_hundredth_takes_nobody_as_dead() {
    let mut fleet = SimFleet::settled(FLEET, 10);

    fleet.loss_percent = 1;
    fleet.run_millis(300_000);

    assert_eq!(fleet.count_events(MemberEventKind::Died), 0);
}

#[test]
fn loss_of_a_tenth_takes_nobody_as_dead() {
    let mut fleet = SimFleet::settled(FLEET, 11);

    fleet.loss_percent = 10;
    fleet.run_millis(300_000);

    assert_eq!(fleet.count_events(MemberEventKind::Died), 0);
}

#[test]
fn highest_revision_reaches_every_router() {
    let mut fleet = SimFleet::settled(FLEET, 12);

    fleet.node_mut(3).table.set_revision(41);
    let known = fleet.run_until(10_000, |fleet| {
        fleet.nodes.values().all(|node| node.table.highest_revision() == 41)
    });

    assert!(known.is_some());
    let in_force = fleet.node(0).table.live_members().filter(|view| view.revision == 41);
    assert!(in_force.count() <= 1);
}

#[test]
fn same_seed_gives_the_same_run() {
    let run = |seed| {
        let mut fleet = SimFleet::settled(FLEET, seed);
        fleet.loss_percent = 10;
        fleet.crash(2);
        fleet.run_millis(20_000);
        fleet.nodes.into_values().map(|node| node.events).collect::<Vec<_>>()
    };

    assert_eq!(run(13), run(13));
}

#[test]
fn forgotten_member_does_not_come_back() {
    let mut fleet = SimFleet::settled(FLEET, 14);

    fleet.crash(5);
    fleet.run_millis(20 * 60 * 1_000);

    let known = fleet.node(0).table.members().filter(|view| view.spec.vm == spec(5).vm);
    assert_eq!(known.count(), 0);
    assert!(fleet.all_see(usize::from(FLEET) - 1));
}
