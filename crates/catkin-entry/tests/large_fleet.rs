//! Checks that totals and indices, which server selection reads for every server of a large fleet,
//! agree with the data they are derived from.

use std::collections::BTreeMap;

use catkin_base::{ClockTime, ServerId, VmId};
use catkin_entry::{
    LoadSource, LoadTable, OpenLoad, ReportedLoads, ServerBook, ServerRecord, StorePoint,
    derive_server_id,
};
use proptest::prelude::*;

fn at(millis: u64) -> ClockTime {
    ClockTime::from_millis(millis)
}

#[derive(Debug, Clone)]
enum LoadStep {
    Report(u64, Vec<(u64, u32, u64)>),
    Remove(u64),
    Open(u64, u64),
    Close(u64),
    Wait(u64),
    Clear,
}

fn load_step() -> impl Strategy<Value = LoadStep> {
    let loads = prop::collection::vec((0..6u64, 1..9u32, 0..5_000u64), 0..5);
    prop_oneof![
        6 => (0..5u64, loads).prop_map(|(vm, loads)| LoadStep::Report(vm, loads)),
        1 => (0..5u64).prop_map(LoadStep::Remove),
        2 => (0..6u64, 0..5_000u64).prop_map(|(server, tokens)| LoadStep::Open(server, tokens)),
        2 => (0..6u64).prop_map(LoadStep::Close),
        2 => (0..2_000u64).prop_map(LoadStep::Wait),
        1 => Just(LoadStep::Clear),
    ]
}

proptest! {
    #[test]
    fn load_totals_agree_with_the_reports(steps in prop::collection::vec(load_step(), 1..60)) {
        let mut table = LoadTable::default();
        let mut reports: BTreeMap<u64, (u64, BTreeMap<ServerId, OpenLoad>)> = BTreeMap::new();
        let mut now = 0;
        for step in steps {
            match step {
                LoadStep::Report(vm, loads) => {
                    let loads: BTreeMap<ServerId, OpenLoad> = loads
                        .into_iter()
                        .map(|(server, open, unread_tokens)| {
                            (ServerId(server), OpenLoad { open, unread_tokens, ..OpenLoad::default() })
                        })
                        .collect();
                    reports.insert(vm, (now, loads.clone()));
                    let source = LoadSource::Router(VmId(vm));
                    table.record_report(at(now), source, ReportedLoads::of_router(loads));
                }
                LoadStep::Remove(vm) => {
                    reports.remove(&vm);
                    table.remove_router(VmId(vm));
                }
                LoadStep::Open(server, tokens) => table.open(ServerId(server), tokens),
                LoadStep::Close(server) => table.close(ServerId(server)),
                LoadStep::Wait(millis) => {
                    now += millis;
                    reports.retain(|_, (received, _)| now - *received < 3_000);
                    table.remove_expired(at(now));
                }
                LoadStep::Clear => {
                    reports.clear();
                    table.clear_reports();
                }
            }
            for server in (0..6).map(ServerId) {
                let local = table.local_loads().get(&server).copied().unwrap_or_default();
                let reported = reports.values().filter_map(|(_, loads)| loads.get(&server));
                let open: u32 = reported.clone().map(|load| load.open).sum();
                let unread: u64 = reported.map(|load| load.unread_tokens).sum();
                let total = table.total_load(server);
                prop_assert_eq!(total.open, local.open + open);
                prop_assert_eq!(total.unread_tokens, local.unread_tokens + unread);
            }
        }
    }
}

#[test]
fn a_restarted_server_is_found_only_by_the_id_of_its_new_start() {
    let record = |started: u64| ServerRecord {
        service: "s".to_owned(),
        address: "127.0.0.1:1".parse().unwrap(),
        domain: "a".to_owned(),
        slots: 1,
        leaving: false,
        software: "v1".to_owned(),
        started_unix_millis: started,
        cold_millis: 0,
    };
    let mut book = ServerBook::default();

    book.apply_entry(at(0), "i-1", StorePoint::new(0, 1), Some(record(1)));
    book.apply_entry(at(1), "i-1", StorePoint::new(0, 2), Some(record(2)));

    assert!(book.get(derive_server_id("i-1", &record(1))).is_none());
    assert_eq!(book.get(derive_server_id("i-1", &record(2))).unwrap().point, StorePoint::new(0, 2));
    book.apply_removal(at(2), "i-1", StorePoint::new(0, 3), None);
    assert!(book.get(derive_server_id("i-1", &record(2))).is_none());
}
