//! Placement under the loads that it must answer, without network.

use std::collections::BTreeMap;

use catkin_base::{ClockTime, ServerId, VmId};
use catkin_entry::{
    CacheIndex, CachedPart, Candidate, CandidateUse, LoadBounds, LoadSource, LoadTable, NoPlace,
    PlaceQuery, PrefixPart, PromptPart, ReportedLoads, choose_place, hash_prefixes,
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

fn idle_server(id: u64) -> Candidate {
    Candidate {
        server: ServerId(id),
        load: 0,
        unread_tokens: 0,
        slots: 64,
        near: true,
        kept_tokens: 0,
        memory_share: 0.0,
        usable: CandidateUse::Open,
    }
}

fn pool(count: u64) -> Vec<Candidate> {
    (1..=count).map(idle_server).collect()
}

fn pair(key: u64, tokens: u32) -> CachedPart {
    CachedPart { key, server: ServerId(1), tokens }
}

fn long_prompt() -> PlaceQuery {
    PlaceQuery { affinity: 77, shared_tokens: 10_000, second_copy: false }
}

fn plain_request(affinity: u64) -> PlaceQuery {
    PlaceQuery { affinity, shared_tokens: 0, second_copy: false }
}

/// Tokens of a prompt that the first server is known to keep.
fn kept_tokens(book: &CacheIndex, now: ClockTime, prefixes: &[PrefixPart]) -> u32 {
    book.cached_tokens(now, prefixes).get(&ServerId(1)).copied().unwrap_or(0)
}

#[test]
fn returning_prompts_go_to_the_server_that_keeps_them() {
    let mut servers = pool(9);
    for server in &mut servers {
        server.load = 3;
    }
    servers[4].kept_tokens = 10_000;
    servers[4].load = 4;

    let choice = choose_place(long_prompt(), &servers, &bounds()).unwrap();

    assert_eq!(choice.server, ServerId(5));
    assert_eq!(choice.fetch_from, None);
}

#[test]
fn routers_agree_on_the_server_of_a_new_prompt() {
    let first = pool(9);
    let mut second = pool(9);
    second[3].load = 1;
    second.reverse();

    let choices =
        [first, second].map(|servers| choose_place(long_prompt(), &servers, &bounds()).unwrap());

    assert_eq!(choices[0].server, choices[1].server);
}

#[test]
fn a_hot_prompt_spills_to_another_server_which_fetches_it() {
    let mut servers = pool(9);
    for server in &mut servers {
        server.load = 4;
    }
    servers[0].kept_tokens = 10_000;
    servers[0].load = 12;

    let choice = choose_place(long_prompt(), &servers, &bounds()).unwrap();

    assert_ne!(choice.server, ServerId(1));
    assert_eq!(choice.fetch_from, Some(ServerId(1)));
}

#[test]
fn long_prompts_waiting_at_the_keeper_send_the_next_one_elsewhere() {
    let mut servers = pool(3);
    servers[0].kept_tokens = 10_000;
    servers[0].unread_tokens = 30_000;

    let choice = choose_place(long_prompt(), &servers, &bounds()).unwrap();

    assert_ne!(choice.server, ServerId(1));
    assert_eq!(choice.fetch_from, Some(ServerId(1)));
}

#[test]
fn a_part_with_one_copy_is_brought_to_a_second_server() {
    let mut servers = pool(4);
    servers[2].kept_tokens = 10_000;
    let query = PlaceQuery { second_copy: true, ..long_prompt() };

    let first = choose_place(query, &servers, &bounds()).unwrap();
    servers[3].kept_tokens = 10_000;
    let second = choose_place(query, &servers, &bounds()).unwrap();

    assert_eq!((first.server != ServerId(3), first.fetch_from), (true, Some(ServerId(3))));
    assert!([ServerId(3), ServerId(4)].contains(&second.server));
    assert_eq!(second.fetch_from, None);
}

#[test]
fn new_parts_spread_over_the_memory_of_servers() {
    let mut servers = pool(12);
    for (index, server) in servers.iter_mut().enumerate() {
        server.memory_share = if index < 10 { 0.9 } else { 0.1 };
    }

    let choices: Vec<ServerId> = (0..40)
        .map(|affinity| PlaceQuery { affinity, ..long_prompt() })
        .map(|query| choose_place(query, &servers, &bounds()).unwrap().server)
        .collect();

    assert!(choices.iter().all(|server| server.0 > 10), "{choices:?}");
}

#[test]
fn parts_beyond_a_servers_room_are_taken_as_given_up_oldest_first() {
    let mut book = CacheIndex::default();
    for key in 1..=4 {
        book.record_part(ClockTime::from_millis(key), pair(key, 100));
    }
    book.record_part(ClockTime::from_millis(5), pair(1, 100));

    book.evict_beyond(ServerId(1), 250);

    let now = ClockTime::from_millis(6);
    let kept: Vec<u64> = (1..=4).filter(|key| book.has_part(now, *key, ServerId(1))).collect();
    assert_eq!(kept, [1, 4]);
    assert_eq!(book.tokens_on(ServerId(1)), 200);
}

#[test]
fn what_only_a_leaving_server_keeps_is_fetched_from_it() {
    let mut servers = pool(3);
    servers[0].kept_tokens = 10_000;
    servers[0].usable = CandidateUse::Leaving;

    let choice = choose_place(long_prompt(), &servers, &bounds()).unwrap();

    assert_ne!(choice.server, ServerId(1));
    assert_eq!(choice.fetch_from, Some(ServerId(1)));
}

#[test]
fn what_a_failing_server_keeps_is_fetched_from_it() {
    let mut servers = pool(3);
    servers[0].kept_tokens = 10_000;
    servers[0].usable = CandidateUse::Held;

    let choice = choose_place(long_prompt(), &servers, &bounds()).unwrap();

    assert_ne!(choice.server, ServerId(1));
    assert_eq!(choice.fetch_from, Some(ServerId(1)));
}

#[test]
fn nothing_is_fetched_from_a_server_that_cannot_be_reached() {
    let mut servers = pool(3);
    servers[0].kept_tokens = 10_000;
    servers[0].usable = CandidateUse::Unreachable;

    let choice = choose_place(long_prompt(), &servers, &bounds()).unwrap();

    assert_ne!(choice.server, ServerId(1));
    assert_eq!(choice.fetch_from, None);
}

#[test]
fn servers_set_aside_are_used_when_all_are() {
    let mut servers = pool(3);
    for server in &mut servers {
        server.usable = CandidateUse::Held;
    }

    assert!(choose_place(plain_request(1), &servers, &bounds()).is_ok());
}

#[test]
fn a_service_without_servers_and_a_full_one_are_told_apart() {
    let mut full = pool(2);
    for server in &mut full {
        server.load = server.slots;
    }
    let mut leaving = pool(1);
    leaving[0].usable = CandidateUse::Leaving;

    assert_eq!(choose_place(plain_request(1), &[], &bounds()), Err(NoPlace::NoServer));
    assert_eq!(choose_place(plain_request(1), &leaving, &bounds()), Err(NoPlace::NoServer));
    assert_eq!(choose_place(plain_request(1), &full, &bounds()), Err(NoPlace::Full));
}

#[test]
fn plain_requests_stay_in_their_domain_between_equals() {
    let mut servers = pool(4);
    for server in &mut servers {
        server.near = server.server == ServerId(3);
        server.slots = 6;
    }

    let choices = (0..20).map(|seed| choose_place(plain_request(seed), &servers, &bounds()));

    assert!(choices.into_iter().all(|choice| choice.unwrap().server == ServerId(3)));
}

proptest! {
    /// One part asked for again and again, requests that never end: the pattern of a hot key.
    #[test]
    fn no_server_passes_the_bound_under_a_hot_key(requests in 1usize..400, servers in 2u64..14) {
        let mut rows = pool(servers);
        for _ in 0..requests {
            let Ok(choice) = choose_place(long_prompt(), &rows, &bounds()) else { break };
            let mean = choice.mean;
            let row = rows.iter_mut().find(|row| row.server == choice.server).unwrap();
            row.load += 1;
            row.kept_tokens = 10_000;
            prop_assert!(f64::from(row.load) <= LOAD_FACTOR * mean + 3.0);
        }
    }
}

#[test]
fn a_kept_part_stands_for_all_parts_before_it() {
    let now = ClockTime::from_millis(1);
    let parts = [PromptPart { id: 1, tokens: 500 }, PromptPart { id: 2, tokens: 10_000 }];
    let prefixes = hash_prefixes("m", &parts);
    let mut book = CacheIndex::default();
    book.record_part(ClockTime::ZERO, pair(prefixes[0].key, 500));
    let first_only = kept_tokens(&book, now, &prefixes);

    book.record_part(now, pair(prefixes[1].key, 10_000));
    book.evict_beyond(ServerId(1), 10_000);

    assert_eq!(first_only, 500);
    assert!(!book.has_part(now, prefixes[0].key, ServerId(1)));
    assert_eq!(kept_tokens(&book, now, &prefixes), 10_500);
}

#[test]
fn a_server_that_started_again_keeps_nothing() {
    let now = ClockTime::from_millis(1);
    let mut book = CacheIndex::default();
    book.record_part(now, pair(7, 10));

    book.forget_server(ServerId(1));

    let prefix = PrefixPart { key: 7, tokens: 10, part_tokens: 10 };
    assert_eq!(kept_tokens(&book, now, &[prefix]), 0);
}

#[test]
fn loads_of_a_silent_router_count_for_a_while() {
    let start = ClockTime::from_millis(10);
    let mut table = LoadTable::default();
    let opens =
        BTreeMap::from([(ServerId(1), catkin_entry::OpenLoad { open: 4, unread_tokens: 100 })]);
    table.record_report(start, LoadSource::Router(VmId(9)), ReportedLoads::of_router(opens));
    table.open(ServerId(1), 50);

    table.drop_expired(start.plus_millis(2_900));
    let while_silent = table.total_load(ServerId(1));
    table.drop_expired(start.plus_millis(3_000));

    assert_eq!((while_silent.open, while_silent.unread_tokens), (5, 150));
    assert_eq!(table.total_load(ServerId(1)).open, 1);
    assert_eq!(table.live_routers(start.plus_millis(3_000)), 1);
}
