//! Ranking of servers, selection of owners and relays, and the entry router's plan.

mod fixture;

use std::collections::BTreeMap;

use catkin_base::{ChatId, DomainId, PoolId, RefusalReason, RegionId, RequestId, ServerId};
use catkin_policy::{
    GrantAnswer, GrantRefusal, GrantResult, OverflowCause, PlacementPlan, PlanStep, RankTable,
    RouterSpec, ServerSpec, choose_key_router, choose_owner, choose_relay, rank_servers,
};
use fixture::{server, spec, vm};

const CHAT: ChatId = ChatId(7);

fn answer(server: ServerId, result: GrantResult) -> GrantAnswer {
    GrantAnswer { request: RequestId(1), entry: vm(1), server, result }
}

fn overflow(cause: OverflowCause) -> GrantResult {
    GrantResult::Overflow { cause, light: None }
}

fn full() -> GrantResult {
    overflow(OverflowCause::Full)
}

fn router(number: u64, domain: u64, region: u64) -> RouterSpec {
    RouterSpec { vm: vm(number), domain: DomainId(domain), region: RegionId(region) }
}

fn ranked() -> Vec<ServerId> {
    (1..=5).map(server).collect()
}

/// Answers the grant requests of a plan by `reply` until it ends. Returns the servers in the order
/// of the requests, and the last step.
fn answer_until_end(
    plan: &mut PlacementPlan,
    mut reply: impl FnMut(ServerId) -> GrantResult,
) -> (Vec<ServerId>, PlanStep) {
    let mut asked = Vec::new();
    loop {
        let ask = plan.next_ask().expect("the plan has not ended");
        asked.push(ask.server);
        let step = plan.handle_answer(&answer(ask.server, reply(ask.server)));
        if !matches!(step, PlanStep::Ask(_)) {
            return (asked, step);
        }
    }
}

#[test]
fn ranking_follows_the_weights() {
    let mut specs: Vec<ServerSpec> = (1..=4).map(spec).collect();
    specs[0].weight = 3;
    let table = RankTable::new(&specs);

    let mut first = BTreeMap::new();
    for chat in 0..6_000 {
        *first.entry(table.rank(ChatId(chat), 1)[0]).or_insert(0) += 1;
    }

    assert!((2_850..3_150).contains(&first[&server(1)]), "{first:?}");
}

#[test]
fn rank_table_and_rank_servers_agree() {
    let specs: Vec<ServerSpec> = (1..=50).map(spec).collect();
    let table = RankTable::new(&specs);

    for chat in (0..200).map(ChatId) {
        assert_eq!(table.rank(chat, 4), rank_servers(chat, &specs, 4));
        assert_eq!(table.rank(chat, 50)[..4], table.rank(chat, 4));
    }
}

#[test]
fn joined_server_moves_only_chats_that_rank_it_first() {
    let before: Vec<ServerSpec> = (1..=10).map(spec).collect();
    let after: Vec<ServerSpec> = (1..=11).map(spec).collect();

    for chat in (0..1_000).map(ChatId) {
        let old = rank_servers(chat, &before, 2);
        let new = rank_servers(chat, &after, 2);
        assert!(new[0] == old[0] || (new[0] == server(11) && new[1] == old[0]));
    }
}

#[test]
fn owner_is_in_the_domain_of_the_server_else_its_region_else_anywhere() {
    let target = ServerSpec { domain: DomainId(1), region: RegionId(1), ..spec(1) };
    let same_domain = router(1, 1, 1);
    let same_region = router(2, 2, 1);
    let remote = router(3, 3, 2);

    assert_eq!(choose_owner(&target, &[remote, same_region, same_domain]), Some(same_domain.vm));
    assert_eq!(choose_owner(&target, &[remote, same_region]), Some(same_region.vm));
    assert_eq!(choose_owner(&target, &[remote]), Some(remote.vm));
    assert_eq!(choose_owner(&target, &[]), None);
}

#[test]
fn router_of_a_key_does_not_depend_on_the_order_of_routers() {
    let routers = [router(1, 1, 1), router(2, 1, 1), router(3, 2, 1)];
    let rotated = [routers[2], routers[0], routers[1]];

    for key in 0..100 {
        assert_eq!(choose_key_router(key, &routers), choose_key_router(key, &rotated));
    }
}

#[test]
fn plan_requests_the_hinted_server_first_and_home_next() {
    let mut plan = PlacementPlan::new(CHAT, ranked(), Vec::new(), Some(server(4)));

    let hinted = plan.next_ask().map(|ask| ask.server);
    let step = plan.handle_answer(&answer(server(4), full()));

    assert_eq!(hinted, Some(server(4)));
    assert!(matches!(step, PlanStep::Ask(ask) if ask.server == server(1) && ask.follow_directory));
}

#[test]
fn plan_follows_a_redirect() {
    let mut plan = PlacementPlan::new(CHAT, ranked(), Vec::new(), None);

    let step = plan.handle_answer(&answer(server(1), GrantResult::Redirect { server: server(5) }));
    let end = plan.handle_answer(&answer(server(5), GrantResult::Granted { warm: true }));

    assert!(matches!(step, PlanStep::Ask(ask) if ask.server == server(5)));
    assert_eq!(end, PlanStep::Use(server(5)));
}

#[test]
fn chat_that_is_cold_at_a_joined_home_is_searched_for_at_the_former_home() {
    let mut plan = PlacementPlan::new(CHAT, ranked(), Vec::new(), None);

    let step = plan.handle_answer(&answer(server(1), overflow(OverflowCause::NotWarm)));
    let end = plan.handle_answer(&answer(server(2), GrantResult::Granted { warm: true }));

    assert!(matches!(step, PlanStep::Ask(ask) if ask.server == server(2) && ask.follow_directory));
    assert_eq!(end, PlanStep::Use(server(2)));
}

#[test]
fn chat_that_is_warm_nowhere_is_placed_at_home() {
    let mut plan = PlacementPlan::new(CHAT, ranked(), Vec::new(), None);
    let mut asks = 0;

    let (asked, end) = answer_until_end(&mut plan, |_| {
        asks += 1;
        if asks <= 2 {
            overflow(OverflowCause::NotWarm)
        } else {
            GrantResult::Granted { warm: false }
        }
    });

    assert_eq!(asked, [server(1), server(2), server(1)]);
    assert_eq!(end, PlanStep::Use(server(1)));
}

#[test]
fn home_is_notified_only_of_placements_that_it_does_not_know() {
    let hinted = PlacementPlan::new(CHAT, ranked(), Vec::new(), Some(server(4)));
    let mut redirected = PlacementPlan::new(CHAT, ranked(), Vec::new(), None);
    redirected.handle_answer(&answer(server(1), GrantResult::Redirect { server: server(5) }));

    assert_eq!(hinted.home_to_notify(server(4)), None);
    assert_eq!(redirected.home_to_notify(server(5)), None);
    assert_eq!(redirected.home_to_notify(server(1)), None);
    assert_eq!(redirected.home_to_notify(server(2)), Some(server(1)));
}

#[test]
fn plan_queues_at_home_when_all_are_full() {
    let mut plan = PlacementPlan::new(CHAT, ranked(), Vec::new(), None).without_cached_prefix();

    let mut queued_at = None;
    for _ in 0..20 {
        let ask = plan.next_ask().expect("the plan has not ended");
        if ask.must_queue {
            queued_at = Some(ask.server);
            break;
        }
        plan.handle_answer(&answer(ask.server, full()));
    }

    assert_eq!(queued_at, Some(server(1)));
}

#[test]
fn plan_does_not_queue_at_a_leaving_server() {
    let mut plan = PlacementPlan::new(CHAT, ranked(), Vec::new(), None).without_cached_prefix();

    let (asked, end) = answer_until_end(&mut plan, |server| match server.0 {
        1 => overflow(OverflowCause::Leaving),
        _ => full(),
    });

    assert_eq!(asked.iter().filter(|asked| **asked == server(1)).count(), 1);
    assert!(matches!(
        end,
        PlanStep::Refuse(GrantRefusal { reason: RefusalReason::Overloaded, .. })
    ));
}

#[test]
fn plan_uses_the_least_loaded_server_that_an_owner_names() {
    let mut plan = PlacementPlan::new(CHAT, ranked(), Vec::new(), None).without_cached_prefix();
    let light = Some(server(9));

    let (asked, _) = answer_until_end(&mut plan, |asked| match asked.0 {
        9 => GrantResult::Granted { warm: false },
        _ => GrantResult::Overflow { cause: OverflowCause::Full, light },
    });

    assert_eq!(asked.last(), Some(&server(9)));
}

#[test]
fn plan_retries_a_disputed_owner_and_then_tries_the_next_server() {
    let mut plan = PlacementPlan::new(CHAT, ranked(), Vec::new(), None);

    let (asked, _) = answer_until_end(&mut plan, |asked| match asked.0 {
        1 => GrantResult::NotOwner,
        _ => GrantResult::Granted { warm: false },
    });

    assert_eq!(asked, [server(1), server(1), server(1), server(2)]);
}

#[test]
fn answer_of_another_server_changes_nothing() {
    let mut plan = PlacementPlan::new(CHAT, ranked(), Vec::new(), None);
    let before = plan.next_ask();

    let step = plan.handle_answer(&answer(server(3), GrantResult::Granted { warm: true }));

    assert_eq!(step, PlanStep::Wait);
    assert_eq!(plan.next_ask(), before);
}

#[test]
fn every_plan_ends() {
    for cause in [OverflowCause::Full, OverflowCause::NotWarm, OverflowCause::HeldDown] {
        let mut plan = PlacementPlan::new(CHAT, ranked(), vec![server(8)], Some(server(3)));

        let (asked, end) = answer_until_end(&mut plan, |_| overflow(cause));

        assert!(asked.len() < 20);
        assert!(matches!(end, PlanStep::Refuse(_)));
    }
}

#[test]
fn pool_has_one_relay_in_each_domain() {
    let routers: Vec<RouterSpec> = (1..=12).map(|number| router(number, number % 3, 1)).collect();

    let relays: Vec<_> =
        (0..3).filter_map(|domain| choose_relay(PoolId(5), DomainId(domain), &routers)).collect();

    let domains: Vec<u64> = relays.iter().map(|relay| relay.0 % 3).collect();
    assert_eq!(domains, [0, 1, 2]);
}

#[test]
fn dead_relay_is_replaced_in_its_domain() {
    let mut routers: Vec<RouterSpec> = (1..=4).map(|number| router(number, 1, 1)).collect();
    let first = choose_relay(PoolId(5), DomainId(1), &routers).expect("a router is live");

    routers.retain(|router| router.vm != first);
    let second = choose_relay(PoolId(5), DomainId(1), &routers).expect("a router is live");

    assert_ne!(first, second);
    assert_eq!(choose_relay(PoolId(5), DomainId(2), &routers), None);
}

#[test]
fn request_that_waited_too_long_tries_other_servers_before_it_queues_again() {
    let mut plan = PlacementPlan::new(CHAT, ranked(), Vec::new(), None).without_cached_prefix();
    let answer_until_queued = |plan: &mut PlacementPlan| loop {
        let ask = plan.next_ask().expect("the plan has not ended");
        if ask.must_queue {
            return ask.server;
        }
        plan.handle_answer(&answer(ask.server, full()));
    };
    let waited_at = answer_until_queued(&mut plan);

    let step = plan.handle_queue_timeout(vec![server(9)]);
    let mut asked = Vec::new();
    while let Some(ask) = plan.next_ask().filter(|ask| !ask.must_queue) {
        asked.push(ask.server);
        plan.handle_answer(&answer(ask.server, full()));
    }

    assert!(matches!(step, PlanStep::Ask(ask) if ask.server != waited_at));
    assert!(asked.contains(&server(9)) && !asked.contains(&waited_at), "{asked:?}");
    assert!(plan.next_ask().is_some_and(|ask| ask.must_queue));
}
