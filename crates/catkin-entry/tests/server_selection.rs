//! Server selection, cached parts and load totals, without network. They guard against routers that
//! ignore cached prompts, overload one server for a popular prompt, or select different servers
//! for the same new prompt.

use std::collections::BTreeMap;

use catkin_base::{ClockTime, ServerId, VmId};
use catkin_entry::{
    CacheIndex, CachedPart, CandidateState, LoadBounds, LoadSource, LoadTable, PrefixPart,
    PromptPart, ReportedLoads, SelectionError, SelectionQuery, ServerCandidate, SoftwareKey,
    list_prefix_parts, select_server,
};
use proptest::prelude::*;

const LOAD_FACTOR: f64 = 2.0;

fn bounds() -> LoadBounds {
    LoadBounds {
        soft_factor: LOAD_FACTOR * 0.8,
        soft_extra: 2.0,
        hard_factor: LOAD_FACTOR * 0.92,
        hard_extra: 2.0,
    }
}

fn idle_server(id: u64) -> ServerCandidate {
    ServerCandidate {
        server: ServerId(id),
        load: 0,
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

fn pool(count: u64) -> Vec<ServerCandidate> {
    (1..=count).map(idle_server).collect()
}

fn cached_part(key: u64, tokens: u32) -> CachedPart {
    CachedPart { key, server: ServerId(1), tokens }
}

fn long_prompt() -> SelectionQuery {
    SelectionQuery { affinity: 77, shared_tokens: 10_000, ..plain_request(77) }
}

fn plain_request(affinity: u64) -> SelectionQuery {
    SelectionQuery {
        affinity,
        shared_tokens: 0,
        second_copy: false,
        token_millis: 1.0 / 60.0,
        answer_millis: 20.0,
        queue_millis: 0.0,
        spread: None,
    }
}

/// Tokens of a prompt that the first server is known to cache.
fn cached_tokens(index: &CacheIndex, now: ClockTime, prefixes: &[PrefixPart]) -> u32 {
    index.cached_tokens(now, prefixes).get(&ServerId(1)).copied().unwrap_or(0)
}

#[test]
fn a_cached_prompt_goes_to_the_server_that_caches_it() {
    let mut servers = pool(9);
    for server in &mut servers {
        server.load = 3;
    }
    servers[4].cached_tokens = 10_000;
    servers[4].load = 4;

    let selection = select_server(long_prompt(), &servers, &bounds()).unwrap();

    assert_eq!(selection.server, ServerId(5));
    assert_eq!(selection.fetch_from, None);
}

#[test]
fn routers_with_different_loads_select_the_same_server_for_a_new_prompt() {
    let first = pool(9);
    let mut second = pool(9);
    second[3].load = 1;
    second.reverse();

    let selections =
        [first, second].map(|servers| select_server(long_prompt(), &servers, &bounds()).unwrap());

    assert_eq!(selections[0].server, selections[1].server);
}

#[test]
fn a_popular_prompt_overflows_to_another_server_which_fetches_it() {
    let mut servers = pool(9);
    for server in &mut servers {
        server.load = 4;
    }
    servers[0].cached_tokens = 10_000;
    servers[0].load = 12;

    let selection = select_server(long_prompt(), &servers, &bounds()).unwrap();

    assert_ne!(selection.server, ServerId(1));
    assert_eq!(selection.fetch_from, Some(ServerId(1)));
}

#[test]
fn unread_tokens_at_the_caching_server_send_the_next_prompt_elsewhere() {
    let mut servers = pool(3);
    servers[0].cached_tokens = 10_000;
    servers[0].unread_tokens = 30_000;

    let selection = select_server(long_prompt(), &servers, &bounds()).unwrap();

    assert_ne!(selection.server, ServerId(1));
    assert_eq!(selection.fetch_from, Some(ServerId(1)));
}

#[test]
fn a_part_with_one_copy_is_copied_to_a_second_server() {
    let mut servers = pool(4);
    servers[2].cached_tokens = 10_000;
    let query = SelectionQuery { second_copy: true, ..long_prompt() };

    let first = select_server(query, &servers, &bounds()).unwrap();
    servers[3].cached_tokens = 10_000;
    let second = select_server(query, &servers, &bounds()).unwrap();

    assert_eq!((first.server != ServerId(3), first.fetch_from), (true, Some(ServerId(3))));
    assert!([ServerId(3), ServerId(4)].contains(&second.server));
    assert_eq!(second.fetch_from, None);
}

#[test]
fn new_parts_go_to_servers_with_free_cache_capacity() {
    let mut servers = pool(12);
    for (index, server) in servers.iter_mut().enumerate() {
        server.cache_fill = if index < 10 { 0.9 } else { 0.1 };
    }

    let selections: Vec<ServerId> = (0..40)
        .map(|affinity| SelectionQuery { affinity, ..long_prompt() })
        .map(|query| select_server(query, &servers, &bounds()).unwrap().server)
        .collect();

    assert!(selections.iter().all(|server| server.0 > 10), "{selections:?}");
}

#[test]
fn parts_beyond_a_servers_capacity_count_as_evicted_oldest_first() {
    let mut index = CacheIndex::default();
    for key in 1..=4 {
        index.record_part(ClockTime::from_millis(key), cached_part(key, 100));
    }
    index.record_part(ClockTime::from_millis(5), cached_part(1, 100));

    index.evict_beyond(ServerId(1), 250);

    let now = ClockTime::from_millis(6);
    let cached: Vec<u64> = (1..=4).filter(|key| index.has_part(now, *key, ServerId(1))).collect();
    assert_eq!(cached, [1, 4]);
    assert_eq!(index.tokens_on(ServerId(1)), 200);
}

#[test]
fn a_part_cached_only_by_a_leaving_server_is_fetched_from_it() {
    let mut servers = pool(3);
    servers[0].cached_tokens = 10_000;
    servers[0].state = CandidateState::Leaving;

    let selection = select_server(long_prompt(), &servers, &bounds()).unwrap();

    assert_ne!(selection.server, ServerId(1));
    assert_eq!(selection.fetch_from, Some(ServerId(1)));
}

#[test]
fn a_part_cached_by_an_ejected_server_is_fetched_from_it() {
    let mut servers = pool(3);
    servers[0].cached_tokens = 10_000;
    servers[0].state = CandidateState::Ejected;

    let selection = select_server(long_prompt(), &servers, &bounds()).unwrap();

    assert_ne!(selection.server, ServerId(1));
    assert_eq!(selection.fetch_from, Some(ServerId(1)));
}

#[test]
fn nothing_is_fetched_from_an_unreachable_server() {
    let mut servers = pool(3);
    servers[0].cached_tokens = 10_000;
    servers[0].state = CandidateState::Unreachable;

    let selection = select_server(long_prompt(), &servers, &bounds()).unwrap();

    assert_ne!(selection.server, ServerId(1));
    assert_eq!(selection.fetch_from, None);
}

#[test]
fn ejected_servers_are_used_when_all_are_ejected() {
    let mut servers = pool(3);
    for server in &mut servers {
        server.state = CandidateState::Ejected;
    }

    assert!(select_server(plain_request(1), &servers, &bounds()).is_ok());
}

#[test]
fn missing_servers_and_full_servers_are_different_errors() {
    let mut full = pool(2);
    for server in &mut full {
        server.load = server.slots;
    }
    let mut leaving = pool(1);
    leaving[0].state = CandidateState::Leaving;

    assert_eq!(select_server(plain_request(1), &[], &bounds()), Err(SelectionError::NoServer));
    assert_eq!(select_server(plain_request(1), &leaving, &bounds()), Err(SelectionError::NoServer));
    assert_eq!(select_server(plain_request(1), &full, &bounds()), Err(SelectionError::Full));
}

/// A service with few slots and short requests loses servers. Guards against refusals of requests
/// that a server would start within their target latency.
#[test]
fn short_requests_queue_at_full_servers_as_long_as_they_start_in_time() {
    let mut servers = pool(2);
    for server in &mut servers {
        server.slots = 6;
        server.load = 6;
    }
    let query = SelectionQuery { answer_millis: 30.0, queue_millis: 75.0, ..plain_request(1) };

    let full = select_server(query, &servers, &bounds());
    let must_not_wait =
        select_server(SelectionQuery { queue_millis: 0.0, ..query }, &servers, &bounds());
    for server in &mut servers {
        server.load = 6 + 15;
    }
    let too_late = select_server(query, &servers, &bounds());

    assert!(full.is_ok());
    assert_eq!(must_not_wait, Err(SelectionError::Full));
    assert_eq!(too_late, Err(SelectionError::Full));
}

#[test]
fn requests_without_shared_prompt_prefer_their_domain_at_equal_load() {
    let mut servers = pool(4);
    for server in &mut servers {
        server.same_domain = server.server == ServerId(3);
        server.slots = 6;
    }

    let selections = (0..20).map(|seed| select_server(plain_request(seed), &servers, &bounds()));

    assert!(selections.into_iter().all(|selection| selection.unwrap().server == ServerId(3)));
}

proptest! {
    /// Repeated requests for one part that never end, as with a hot key, must not overload the
    /// servers that cache it.
    #[test]
    fn no_server_exceeds_the_bound_under_a_hot_key(requests in 1usize..400, servers in 2u64..14) {
        let mut candidates = pool(servers);
        for _ in 0..requests {
            let Ok(selection) = select_server(long_prompt(), &candidates, &bounds()) else { break };
            let mean = selection.mean;
            let candidate = candidates.iter_mut().find(|candidate| candidate.server == selection.server).unwrap();
            candidate.load += 1;
            candidate.cached_tokens = 10_000;
            prop_assert!(f64::from(candidate.load) <= LOAD_FACTOR * mean + 3.0);
        }
    }
}

#[test]
fn a_cached_part_implies_all_parts_before_it() {
    let now = ClockTime::from_millis(1);
    let parts = [PromptPart { id: 1, tokens: 500 }, PromptPart { id: 2, tokens: 10_000 }];
    let prefixes = list_prefix_parts("m", &parts);
    let mut index = CacheIndex::default();
    index.record_part(ClockTime::ZERO, cached_part(prefixes[0].key, 500));
    let first_only = cached_tokens(&index, now, &prefixes);

    index.record_part(now, cached_part(prefixes[1].key, 10_000));
    index.evict_beyond(ServerId(1), 10_000);

    assert_eq!(first_only, 500);
    assert!(!index.has_part(now, prefixes[0].key, ServerId(1)));
    assert_eq!(cached_tokens(&index, now, &prefixes), 10_500);
}

#[test]
fn a_restarted_server_caches_nothing() {
    let now = ClockTime::from_millis(1);
    let mut index = CacheIndex::default();
    index.record_part(now, cached_part(7, 10));

    index.remove_server(ServerId(1));

    let prefix = PrefixPart { key: 7, tokens: 10, part_tokens: 10 };
    assert_eq!(cached_tokens(&index, now, &[prefix]), 0);
}

#[test]
fn loads_of_a_silent_router_count_until_they_expire() {
    let start = ClockTime::from_millis(10);
    let mut table = LoadTable::default();
    let opens = BTreeMap::from([(
        ServerId(1),
        catkin_entry::OpenLoad { open: 4, unread_tokens: 100, recent_sends: 0 },
    )]);
    table.record_report(start, LoadSource::Router(VmId(9)), ReportedLoads::of_router(opens));
    table.open(ServerId(1), 50);

    table.remove_expired(start.plus_millis(2_900));
    let while_silent = table.total_load(ServerId(1));
    table.remove_expired(start.plus_millis(3_000));

    assert_eq!((while_silent.open, while_silent.unread_tokens), (5, 150));
    assert_eq!(table.total_load(ServerId(1)).open, 1);
    assert_eq!(table.live_routers(start.plus_millis(3_000)), 1);
}

/// Guards against a server that gets more than its bound from streams which only its software version
/// can continue: the bound was taken from the mean load of that version, not of the service.
#[test]
fn servers_of_other_software_versions_count_in_the_mean_load() {
    let mut servers = pool(10);
    for (index, server) in servers.iter_mut().enumerate() {
        let is_only_version = index < 2;
        server.load = if is_only_version { 10 } else { 1 };
        server.state =
            if is_only_version { CandidateState::Available } else { CandidateState::OtherVersion };
    }

    let selection = select_server(plain_request(1), &servers, &bounds());

    assert_eq!(selection, Err(SelectionError::Full));
    servers.retain(|server| server.state == CandidateState::OtherVersion);
    assert_eq!(select_server(plain_request(1), &servers, &bounds()), Err(SelectionError::NoServer));
}

/// Guards against a server that fetches cached parts which another software version wrote.
#[test]
fn nothing_is_fetched_from_another_software_version() {
    let mut servers = pool(2);
    servers[0].cached_tokens = 10_000;
    servers[0].state = CandidateState::Leaving;
    servers[0].software = SoftwareKey(2);

    let selection = select_server(long_prompt(), &servers, &bounds()).unwrap();

    assert_eq!((selection.server, selection.fetch_from), (ServerId(2), None));
}
