//! Time and memory of one decision by servers, chats and teams.

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
/// Servers of a chat's ranking that a plan considers.
const RANK_LIMIT: usize = 5;
/// Servers that one router owns at the size to design for.
const OWNED_SERVERS: usize = 3;

fn specs(count: usize) -> Vec<ServerSpec> {
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

fn rules(teams: usize) -> PolicyRules {
    let quick = ClassPolicy { quick: true, priority: 1, expected_tokens: 100 };
    let team = |index: usize| (TeamId(index as u64), TeamPolicy { weight: 1, max_open: 1_000 });
    PolicyRules {
        classes: BTreeMap::from([(CLASS, quick)]),
        teams: (0..teams).map(team).collect(),
        ..PolicyRules::default()
    }
}

/// A book that owns `owned` and knows `chats` chats and `teams` teams.
fn book(owned: &[ServerSpec], chats: usize, teams: usize) -> AdmissionOwner {
    let mut book = AdmissionOwner::new(VmId(1));
    book.set_rules(rules(teams));
    book.set_owned(ClockTime::ZERO, owned);
    for spec in owned {
        book.give_up_handover(ClockTime::ZERO, spec.server);
        let report = ServerReport {
            incarnation: 1,
            open: 0,
            leaving: false,
            event_sequence: 0,
            events: Vec::new(),
        };
        book.record_probe(NOW, spec.server, &report);
        for chat in 0..chats / owned.len() {
            book.record_placement(ChatId(chat as u64 | 1 << 60), spec.server, ServerId(1 << 40));
        }
    }
    book.record_pool_load(NOW, &pool_load());
    book
}

fn pool_load() -> PoolLoad {
    PoolLoad {
        pool: POOL,
        open: 25_000,
        weight: 860,
        servers: 860,
        age_millis: 1_000,
        light_servers: Vec::new(),
    }
}

fn ask(request: u64, server: ServerId, teams: u64) -> GrantAsk {
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

/// Ranks, asks and releases one request; returns whether it was granted.
fn decide(table: &RankTable, book: &mut AdmissionOwner, request: u64, teams: u64) -> bool {
    let chat = ChatId(request);
    let ranked = table.rank(chat, RANK_LIMIT);
    let plan = PlacementPlan::new(chat, ranked, Vec::new(), None);
    let first = plan.next_ask().map(|ask| ask.server);
    let owned = ServerId(1 + request % OWNED_SERVERS as u64);
    black_box(first);
    let answer = book.handle_ask(NOW, &ask(request, owned, teams));
    let release = GrantRelease {
        request: RequestId(request),
        server: owned,
        chat,
        outcome: ReleaseOutcome::Done,
        generated_tokens: 100,
    };
    book.handle_release(NOW, &release);
    matches!(answer.result, GrantResult::Granted { .. })
}

fn by_servers(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("decision by servers");
    for count in [10, 100, 860, 2_000] {
        let servers = specs(count);
        let table = RankTable::new(&servers);
        let mut book = book(&servers[..OWNED_SERVERS], 20_000, 31_000);
        let mut request = 0;
        group.bench_function(BenchmarkId::from_parameter(count), |bencher| {
            bencher.iter(|| {
                request += 1;
                decide(&table, &mut book, request, 31_000)
            });
        });
    }
    group.finish();
}

fn rank_only(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("rank by servers");
    for count in [10, 100, 860, 2_000] {
        let table = RankTable::new(&specs(count));
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

fn by_chats(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("decision by chats");
    let servers = specs(860);
    let table = RankTable::new(&servers);
    for chats in [1_000, 10_000, 40_000] {
        let mut book = book(&servers[..OWNED_SERVERS], chats, 31_000);
        let mut request = 0;
        group.bench_function(BenchmarkId::from_parameter(chats), |bencher| {
            bencher.iter(|| {
                request += 1;
                decide(&table, &mut book, request, 31_000)
            });
        });
    }
    group.finish();
}

fn by_teams(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("decision by teams");
    let servers = specs(860);
    let table = RankTable::new(&servers);
    for teams in [10, 1_000, 31_000] {
        let mut book = book(&servers[..OWNED_SERVERS], 20_000, teams);
        let mut request = 0;
        group.bench_function(BenchmarkId::from_parameter(teams), |bencher| {
            bencher.iter(|| {
                request += 1;
                decide(&table, &mut book, request, teams as u64)
            });
        });
    }
    group.finish();
}

criterion_group!(benches, by_servers, rank_only, by_chats, by_teams);
criterion_main!(benches);
