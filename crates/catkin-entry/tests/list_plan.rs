//! Simulates without a network how the routers of a large fleet get a long list of servers when all
//! of them start at once, and checks the copy of the list that they pass on.

use std::collections::BTreeMap;

use catkin_base::{ClockTime, DomainId, VmId};
use catkin_entry::{
    FleetMember, ListSource, ServerBook, ServerRecord, StorePoint, choose_asked_router,
    choose_list_source, decode_server_list, encode_server_list,
};

const DOMAINS: u64 = 6;

fn member(index: u64) -> FleetMember {
    FleetMember {
        vm: VmId(index + 1),
        domain: Some(DomainId(index % DOMAINS)),
        alive: true,
        strength: if index.is_multiple_of(7) { 100 } else { 2 },
    }
}

fn fleet(count: u64) -> Vec<FleetMember> {
    (0..count).map(member).collect()
}

/// Where each router of the fleet gets the list from.
fn plan_fleet(members: &[FleetMember]) -> BTreeMap<VmId, ListSource> {
    let others = |local: &FleetMember| -> Vec<FleetMember> {
        members.iter().filter(|other| other.vm != local.vm).copied().collect()
    };
    members.iter().map(|local| (local.vm, choose_list_source(*local, &others(local)))).collect()
}

/// Number of routers that the list passes before it reaches `vm`, if the routers in `down` do not
/// run; `None` if it does not arrive.
fn count_hops(plan: &BTreeMap<VmId, ListSource>, vm: VmId, down: &[VmId]) -> Option<usize> {
    match &plan[&vm] {
        ListSource::Store => Some(0),
        ListSource::Routers(sources) => {
            let asked = choose_asked_router(sources, 1, |source| !down.contains(&source))?;
            (!down.contains(&asked)).then(|| count_hops(plan, asked, down))?.map(|hops| hops + 1)
        }
    }
}

fn server(index: u64) -> ServerRecord {
    ServerRecord {
        service: format!("s-{}", index % 2),
        address: if index.is_multiple_of(5) {
            ([0, 0, 0, 0, 0, 0, 0, 1], 8_000).into()
        } else {
            ([10, 0, (index / 250) as u8, (index % 250) as u8], 8_000).into()
        },
        domain: format!("d-{}", index % DOMAINS),
        slots: 12,
        leaving: index == 3,
        software: format!("v{}", index % 3),
        started_unix_millis: 1_700_000_000_000 + index,
        cold_millis: index as u32,
    }
}

/// A point of a store that was restored twice.
fn point(revision: u64) -> StorePoint {
    StorePoint::new(2, revision)
}

fn book(count: u64) -> ServerBook {
    let entries =
        (0..count).map(|index| (format!("i-{index:05}"), point(index + 1), Some(server(index))));
    let mut book = ServerBook::default();
    book.apply_list(ClockTime::ZERO, point(90_000), entries.collect(), None);
    book
}

/// Guards against a store whose link is busy for seconds because each of 302 routers lists 3,000
/// servers from it.
#[test]
fn when_all_routers_start_few_read_the_store_and_each_sends_few_copies() {
    for count in [13, 58, 195, 302, 1_000] {
        let members = fleet(count);

        let plan = plan_fleet(&members);

        let from_store = plan.values().filter(|source| **source == ListSource::Store).count();
        assert!(from_store <= 2 * DOMAINS as usize, "{from_store} of {count} read the store");
        let mut copies: BTreeMap<VmId, usize> = BTreeMap::new();
        for source in plan.values() {
            if let ListSource::Routers(sources) = source {
                *copies.entry(sources[0]).or_default() += 1;
            }
        }
        assert!(copies.values().all(|copies| *copies <= 4), "{count}: {copies:?}");
        let hops = members.iter().map(|member| count_hops(&plan, member.vm, &[]));
        assert!(hops.flatten().max().unwrap() <= 4, "the tree of {count} is too deep");
    }
}

#[test]
fn strong_routers_pass_the_list_on_first() {
    let members = fleet(195);

    let plan = plan_fleet(&members);

    for member in members.iter().filter(|member| plan[&member.vm] == ListSource::Store) {
        assert_eq!(member.strength, 100, "router {}", member.vm);
    }
}

#[test]
fn a_small_fleet_reads_the_store() {
    assert!(plan_fleet(&fleet(9)).values().all(|source| *source == ListSource::Store));
}

#[test]
fn routers_behind_one_that_does_not_run_get_the_list_from_the_one_before_it() {
    let members = fleet(302);
    let plan = plan_fleet(&members);
    let is_passing = |vm: &VmId| {
        plan.values().any(|source| matches!(source, ListSource::Routers(list) if list[0] == *vm))
    };
    let from_routers = members.iter().filter(|member| plan[&member.vm] != ListSource::Store);
    let down: Vec<VmId> = from_routers.map(|member| member.vm).filter(is_passing).collect();

    for member in members.iter().filter(|member| !down.contains(&member.vm)) {
        assert!(count_hops(&plan, member.vm, &down).is_some(), "router {}", member.vm);
    }
}

#[test]
fn a_router_not_heard_from_is_asked_once_then_the_one_before_it() {
    let sources = [VmId(3), VmId(2), VmId(1)];

    let silent = [0, 1, 2, 3].map(|attempt| choose_asked_router(&sources, attempt, |_| false));
    let heard = choose_asked_router(&sources, 0, |vm| vm == VmId(2));

    assert_eq!(silent, [3, 2, 1, 1].map(|vm| Some(VmId(vm))));
    assert_eq!(heard, Some(VmId(2)));
    assert_eq!(choose_asked_router(&[], 0, |_| false), None);
}

#[test]
fn a_copied_list_equals_the_original() {
    let original = book(3_000);

    let copy = encode_server_list(&original);
    let list = decode_server_list(&copy).unwrap();
    let mut copied = ServerBook::default();
    copied.apply_list(ClockTime::ZERO, list.point, list.entries, None);

    assert!(copied.iter().eq(original.iter()));
    assert_eq!(copied.point(), point(90_000));
    assert_eq!(copied.latest_change(), original.latest_change());
}

#[test]
fn servers_whose_entries_are_missing_are_not_passed_on() {
    let mut book = book(2);
    book.apply_removal(
        ClockTime::ZERO,
        "i-00001",
        point(90_001),
        Some(ClockTime::from_millis(2_000)),
    );

    let list = decode_server_list(&encode_server_list(&book)).unwrap();

    let names: Vec<&str> = list.entries.iter().map(|(name, ..)| name.as_str()).collect();
    assert_eq!(names, ["i-00000"]);
}

#[test]
fn a_copy_with_a_missing_name_or_an_invalid_address_is_rejected() {
    let mut without_name = encode_server_list(&book(2));
    without_name.services.clear();
    let mut bad_address = encode_server_list(&book(2));
    bad_address.rows[0].ipv6 = vec![1, 2, 3];

    assert_eq!(decode_server_list(&without_name), None);
    assert_eq!(decode_server_list(&bad_address), None);
}
