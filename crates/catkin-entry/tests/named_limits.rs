//! Tests of the limits that servers name: how they are read, reported and what selection makes of them.

use std::collections::BTreeMap;

use catkin_base::{ClockTime, DomainId, ServerId, VmId};
use catkin_entry::{
    CandidateState, LimitNotice, LoadBounds, LoadSource, LoadTable, OpenLoad, ReportedLoads,
    SelectionError, SelectionQuery, ServerCandidate, ServiceKey, SoftwareKey, read_limit,
    select_server,
};
use catkin_policy::RequestRate;

fn candidate(server: u64, load: u32) -> ServerCandidate {
    ServerCandidate {
        server: ServerId(server),
        load,
        unread_tokens: 0,
        slots: 64,
        same_domain: true,
        cached_tokens: 0,
        cache_fill: 0.0,
        slow_factor: 1.0,
        software: SoftwareKey(1),
        is_restricted: false,
        state: CandidateState::Available,
    }
}

/// A server that names a limit, which is used up if `state` says so.
fn limited(server: u64, state: CandidateState) -> ServerCandidate {
    ServerCandidate { is_restricted: true, state, ..candidate(server, 0) }
}

fn query() -> SelectionQuery {
    SelectionQuery {
        affinity: 1,
        shared_tokens: 2_000,
        second_copy: false,
        token_millis: 0.02,
        answer_millis: 30.0,
        queue_millis: 0.0,
        spread: None,
    }
}

fn bounds() -> LoadBounds {
    LoadBounds { soft_factor: 1.6, soft_extra: 2.0, hard_factor: 1.84, hard_extra: 2.0 }
}

fn named(per_thousand_seconds: u32) -> LimitNotice {
    LimitNotice::Named(RequestRate { per_thousand_seconds })
}

/// A report with requests to server 1 and for one service.
fn report(sends: u32, demand: u32) -> ReportedLoads {
    let load = OpenLoad { recent_sends: sends, ..OpenLoad::default() };
    let demands = BTreeMap::from([(ServiceKey::from_name("s"), demand)]);
    ReportedLoads { demands, ..ReportedLoads::of_router(BTreeMap::from([(ServerId(1), load)])) }
}

#[test]
fn a_limit_is_a_decimal_number_of_requests_a_second() {
    let read = ["2.3", " 4 ", "0", "0.0004", "99999999999"].map(|text| read_limit(text.as_bytes()));

    assert_eq!(read, [named(2_300), named(4_000), named(0), named(0), named(u32::MAX)]);
}

#[test]
fn what_is_no_decimal_number_is_no_limit() {
    for text in ["", "-1", "+1", "few", "NaN", "inf", "1e3", ".", "1.2.3", "9999999999999"] {
        assert_eq!(read_limit(text.as_bytes()), LimitNotice::Unreadable, "{text:?}");
    }
}

#[test]
fn a_server_whose_limit_is_used_up_gets_no_request_and_others_fetch_from_it() {
    let caching = ServerCandidate { cached_tokens: 2_000, ..limited(1, CandidateState::Limited) };

    let selection = select_server(query(), &[caching, candidate(2, 0)], &bounds());

    let selection = selection.expect("server 2 has free capacity");
    assert_eq!((selection.server, selection.fetch_from), (ServerId(2), Some(ServerId(1))));
}

/// Guards against servers without limits that count as overloaded because those with limits, which
/// have few requests, lower the mean.
#[test]
fn servers_that_name_limits_do_not_lower_the_mean_of_the_others() {
    let used_up = (1..=6).map(|server| limited(server, CandidateState::Limited));
    let servers: Vec<ServerCandidate> =
        used_up.chain([candidate(7, 20), candidate(8, 20)]).collect();

    let selection = select_server(query(), &servers, &bounds()).expect("two have free capacity");

    assert_eq!((selection.mean, selection.servers), (20.0, 2));
}

/// Guards against limits that are used up by requests whose prompts are read again there, while those
/// whose parts the server caches go elsewhere.
#[test]
fn a_server_that_names_a_limit_is_left_to_requests_whose_parts_it_caches() {
    let idle_limited = limited(1, CandidateState::Available);
    let caching = ServerCandidate { cached_tokens: 2_000, ..idle_limited };
    let busier = candidate(2, 8);

    let selected = [idle_limited, caching].map(|limited| {
        select_server(query(), &[limited, busier], &bounds()).map(|selection| selection.server)
    });

    assert_eq!(selected, [Ok(ServerId(2)), Ok(ServerId(1))]);
}

/// Guards against servers with limits that count as overloaded because the only one without is idle, for
/// example since it can't be reached.
#[test]
fn an_idle_server_without_a_limit_does_not_lower_the_mean() {
    let busy = ServerCandidate { load: 8, ..limited(1, CandidateState::Available) };
    let unreachable = ServerCandidate { state: CandidateState::Unreachable, ..candidate(2, 0) };

    let selection = select_server(query(), &[busy, busy, busy, unreachable], &bounds());

    let selection = selection.expect("a server with a limit has free capacity");
    assert_eq!((selection.server, selection.mean), (ServerId(1), 6.0));
}

#[test]
fn the_mean_is_taken_over_all_servers_if_all_name_limits() {
    let busy = ServerCandidate { load: 4, ..limited(1, CandidateState::Available) };

    let selection =
        select_server(query(), &[busy, limited(2, CandidateState::Available)], &bounds());

    assert_eq!(selection.map(|selection| selection.mean), Ok(2.0));
}

#[test]
fn the_error_tells_whether_only_limits_prevent_a_selection() {
    let used_up = limited(1, CandidateState::Limited);
    let full = ServerCandidate { load: 64, ..candidate(2, 0) };

    assert_eq!(select_server(query(), &[used_up], &bounds()), Err(SelectionError::Restricted));
    assert_eq!(select_server(query(), &[used_up, full], &bounds()), Err(SelectionError::Full));
}

#[test]
fn requests_of_other_routers_are_summed_over_all_reports() {
    let mut table = LoadTable::default();
    let now = ClockTime::from_millis(1_000);
    table.record_report(now, LoadSource::Router(VmId(1)), report(150, 400));
    table.record_report(now, LoadSource::Router(VmId(2)), report(50, 100));
    table.record_report(now, LoadSource::Domain(DomainId(3)), report(700, 900));
    table.record_report(now, LoadSource::Router(VmId(2)), report(60, 200));

    let service = ServiceKey::from_name("s");
    assert_eq!(table.reported_sends(ServerId(1)), 150 + 60 + 700);
    assert_eq!(table.reported_demand(service), 400 + 200 + 900);
    table.remove_router(VmId(1));
    assert_eq!(table.reported_sends(ServerId(1)), 60 + 700);
}

#[test]
fn a_relay_aggregates_its_own_requests_and_those_of_its_domain() {
    let mut table = LoadTable::default();
    let now = ClockTime::from_millis(1_000);
    let service = ServiceKey::from_name("s");
    table.record_report(now, LoadSource::Router(VmId(1)), report(150, 400));
    table.record_report(now, LoadSource::Domain(DomainId(3)), report(700, 900));

    table.set_local_rates(BTreeMap::from([(ServerId(1), 30)]), BTreeMap::from([(service, 70)]));

    let (_, loads) = table.aggregate_domain(now);
    assert_eq!(loads[&ServerId(1)].recent_sends, 150 + 30);
    assert_eq!(table.domain_demands()[&service], 400 + 70);
    assert_eq!(table.other_domain_demands()[&service], 900);
}
