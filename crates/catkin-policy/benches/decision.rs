//! Time of one placement decision, by the number of servers, chats and teams.

use std::collections::BTreeMap;
use std::hint::black_box;

use catkin_base::{
    ChatId, ClassId, ClockTime, DomainId, PoolId, RegionId, RequestDigest, RequestId, ServerId,
    TeamId, VmId,
};
use catkin_policy::{
    AdmissionOwner, ClassPolicy, GrantAsk, GrantRelease, GrantResult, PlacementPlan, PolicyRules,
    PoolLoad, RankTable, ReleaseOutcome, ServerReport, ServerSpec, TeamPolicy,
};
use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};

const CLASS: ClassId = ClassId(1);
const POOL: PoolId = PoolId(1);
const NOW: ClockTime = ClockTime::from_millis(60_000);
/// Number of servers of a chat's ranking that a plan considers.
const RANK_LIMIT: usize = 5;
/// Number of servers that one router owns in a fleet of the size to design for.
const OWNED_SERVERS: usize = 3;

fn build_specs(count: usize) -> Vec<ServerSpec> {
    let spec = |index: usize| ServerSpec {
        server: ServerId(index as u64 + 1),
        pools: vec![POOL],
        domain: DomainId(index as u64 % 6),
        region: RegionId(index as u64 % 2),
        weight: 1 + index as u32 % 2,
        slots: 64,
    };
    (0..count).map(spec).collect()
}

fn build_rules(teams: usize) -> PolicyRules {
    let quick = ClassPolicy { quick: true, priority: 1, expected_tokens: 100 };
    let team = |index: usize| (TeamId(index as u64), TeamPolicy { weight: 1, max_open: 1_000 });
    PolicyRules {
        classes: BTreeMap::from([(CLASS, quick)]),
        teams: (0..teams).map(team).collect(),
        ..PolicyRules::default()
    }
}

/// Creates an owner of the servers `owned` that knows `chats` chats and `teams` teams.
fn build_owner(owned: &[ServerSpec], chats: usize, teams: usize) -> AdmissionOwner {
    let mut owner = AdmissionOwner::new(VmId(1));
    owner.set_rules(build_rules(teams));
    owner.set_owned(ClockTime::ZERO, owned);
    for spec in owned {
        owner.give_up_handover(ClockTime::ZERO, spec.server);
        let report = ServerReport {
            incarnation: 1,
            open: 0,
            leaving: false,
            event_sequence: 0,
            events: Vec::new(),
        };
        owner.record_probe(NOW, spec.server, &report);
        for chat in 0..chats / owned.len() {
            owner.record_placement(ChatId(chat as u64 | 1 << 60), spec.server, ServerId(1 << 40));
        }
    }
    owner.record_pool_load(NOW, &build_pool_load());
    owner
}

fn build_pool_load() -> PoolLoad {
    PoolLoad {
        pool: POOL,
        open: 25_000,
        weight: 860,
        servers: 860,
        age_millis: 1_000,
        light_servers: Vec::new(),
    }
}

fn build_ask(request: u64, server: ServerId, teams: u64) -> GrantAsk {
    GrantAsk {
        request: RequestId(request),
        entry: VmId(1 + request % 330),
        server,
        chat: ChatId(request),
        team: TeamId(request % teams),
        class: CLASS,
        pool: POOL,
        digest: RequestDigest(request),
        prompt_tokens: 3_000,
        expected_tokens: 0,
        deadline_millis: 20_000,
        rank: 0,
        must_queue: false,
        follow_directory: true,
    }
}

/// Ranks the servers for one request, requests its grant and releases it. Returns whether the
/// request was granted.
fn decide(table: &RankTable, owner: &mut AdmissionOwner, request: u64, teams: u64) -> bool {
    let chat = ChatId(request);
    let ranked = table.rank(chat, RANK_LIMIT);
    let plan = PlacementPlan::new(chat, ranked, Vec::new(), None);
    let first = plan.next_ask().map(|ask| ask.server);
    let owned = ServerId(1 + request % OWNED_SERVERS as u64);
    black_box(first);
    let answer = owner.handle_ask(NOW, &build_ask(request, owned, teams));
    let release = GrantRelease {
        request: RequestId(request),
        server: owned,
        chat,
        outcome: ReleaseOutcome::Done,
        generated_tokens: 100,
    };
    owner.handle_release(NOW, &release);
    matches!(answer.result, GrantResult::Granted { .. })
}

fn bench_decision_by_servers(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("decision by servers");
    for count in [10, 100, 860, 2_000] {
        let servers = build_specs(count);
        let table = RankTable::new(&servers);
        let mut owner = build_owner(&servers[..OWNED_SERVERS], 20_000, 31_000);
        let mut request = 0;
        group.bench_function(BenchmarkId::from_parameter(count), |bencher| {
            bencher.iter(|| {
                request += 1;
                decide(&table, &mut owner, request, 31_000)
            });
        });
    }
    group.finish();
}

fn bench_rank_by_servers(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("rank by servers");
    for count in [10, 100, 860, 2_000] {
        let table = RankTable::new(&build_specs(count));
        let mut chat = 0;
        group.bench_function(BenchmarkId::from_parameter(count), |bencher| {
            bencher.iter(|| {
                chat += 1;
                table.rank(ChatId(chat), RANK_LIMIT)
            });
        });
    }
    group.finish();
}

fn bench_decision_by_chats(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("decision by chats");
    let servers = build_specs(860);
    let table = RankTable::new(&servers);
    for chats in [1_000, 10_000, 40_000] {
        let mut owner = build_owner(&servers[..OWNED_SERVERS], chats, 31_000);
        let mut request = 0;
        group.bench_function(BenchmarkId::from_parameter(chats), |bencher| {
            bencher.iter(|| {
                request += 1;
                decide(&table, &mut owner, request, 31_000)
            });
        });
    }
    group.finish();
}

fn bench_decision_by_teams(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("decision by teams");
    let servers = build_specs(860);
    let table = RankTable::new(&servers);
    for teams in [10, 1_000, 31_000] {
        let mut owner = build_owner(&servers[..OWNED_SERVERS], 20_000, teams);
        let mut request = 0;
        group.bench_function(BenchmarkId::from_parameter(teams), |bencher| {
            bencher.iter(|| {
                request += 1;
                decide(&table, &mut owner, request, teams as u64)
            });
        });
    }
    group.finish();
}

criterion_group!(
    benches,
    bench_decision_by_servers,
    bench_rank_by_servers,
    bench_decision_by_chats,
    bench_decision_by_teams
);
criterion_main!(benches);
