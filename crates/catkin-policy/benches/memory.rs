//! Memory of the decisions' state for each server, chat, grant and team, from the growth of the
//! process's resident memory.

use catkin_base::{
    ChatId, ClassId, ClockTime, DomainId, PoolId, RegionId, RequestDigest, RequestId, ServerId,
    TeamId, VmId,
};
use catkin_policy::{
    AdmissionOwner, GrantAsk, PolicyRules, PoolLoad, RankTable, ServerReport, ServerSpec,
    TeamPolicy,
};

const POOL: PoolId = PoolId(1);
const PAGE_BYTES: u64 = 4_096;
const TABLE_SERVERS: u64 = 1_000_000;
const TEAMS: u64 = 1_000_000;
const OWNED_SERVERS: u64 = 100;
const CHATS_PER_SERVER: u64 = 8_000;
const GRANTS_PER_SERVER: u64 = 4_000;

fn main() {
    let servers = specs(TABLE_SERVERS);
    let mut book = owned_book();
    let table = print_growth("server in a rank table", TABLE_SERVERS, || RankTable::new(&servers));
    let rules = print_growth("team with a rule of its own", TEAMS, team_rules);
    print_growth("directory entry", OWNED_SERVERS * CHATS_PER_SERVER, || fill_directory(&mut book));
    print_growth("open grant and warm chat", OWNED_SERVERS * GRANTS_PER_SERVER, || {
        grant_all(&mut book)
    });
    // All of it stays until here, so that no measurement reuses what another one freed.
    println!("kept: {} servers, {} teams", table.len(), rules.teams.len());
}

/// Prints the growth of resident memory by what `build` returns or fills, for each of `count`.
fn print_growth<T>(name: &str, count: u64, build: impl FnOnce() -> T) -> T {
    let before = resident_bytes();
    let kept = build();
    let grown = resident_bytes().saturating_sub(before);
    println!("{name}: {:.0} bytes", grown as f64 / count as f64);
    kept
}

fn resident_bytes() -> u64 {
    let status = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = status.split_whitespace().nth(1).and_then(|word| word.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}

fn spec(server: u64) -> ServerSpec {
    ServerSpec {
        server: ServerId(server),
        pools: vec![POOL],
        domain: DomainId(1),
        region: RegionId(1),
        weight: 1,
        slots: GRANTS_PER_SERVER as u32,
    }
}

fn specs(count: u64) -> Vec<ServerSpec> {
    (1..=count).map(spec).collect()
}

fn team_rules() -> PolicyRules {
    let team = |number| (TeamId(number), TeamPolicy::default());
    PolicyRules { teams: (0..TEAMS).map(team).collect(), ..PolicyRules::default() }
}

fn owned_book() -> AdmissionOwner {
    let mut book = AdmissionOwner::new(VmId(1));
    let specs = specs(OWNED_SERVERS);
    book.set_rules(PolicyRules { long_share_percent: 100, ..PolicyRules::default() });
    book.set_owned(ClockTime::ZERO, &specs);
    for spec in &specs {
        book.give_up_handover(ClockTime::ZERO, spec.server);
        book.record_probe(ClockTime::ZERO, spec.server, &in_service());
    }
    let open = (OWNED_SERVERS * GRANTS_PER_SERVER) as u32;
    book.record_pool_load(ClockTime::ZERO, &pool_load(open));
    book
}

fn in_service() -> ServerReport {
    ServerReport { incarnation: 1, open: 0, leaving: false, event_sequence: 1, events: Vec::new() }
}

fn pool_load(open: u32) -> PoolLoad {
    PoolLoad {
        pool: POOL,
        open,
        weight: OWNED_SERVERS as u32,
        servers: OWNED_SERVERS as u32,
        age_millis: 0,
        light_servers: Vec::new(),
    }
}

fn fill_directory(book: &mut AdmissionOwner) {
    for server in 1..=OWNED_SERVERS {
        for chat in 0..CHATS_PER_SERVER {
            book.record_placement(ChatId(server << 32 | chat), ServerId(server), ServerId(1 << 40));
        }
    }
}

fn grant_all(book: &mut AdmissionOwner) {
    for server in 1..=OWNED_SERVERS {
        for number in 0..GRANTS_PER_SERVER {
            book.handle_ask(ClockTime::ZERO, &ask(server << 32 | number, server));
        }
    }
    let open: u32 = book.server_states(ClockTime::ZERO).iter().map(|state| state.open).sum();
    assert_eq!(u64::from(open), OWNED_SERVERS * GRANTS_PER_SERVER);
}

fn ask(request: u64, server: u64) -> GrantAsk {
    GrantAsk {
        request: RequestId(request),
        entry: VmId(1),
        server: ServerId(server),
        chat: ChatId(request),
        team: TeamId(1),
        class: ClassId(1),
        pool: POOL,
        digest: RequestDigest(request),
        prompt_tokens: 3_000,
        expected_tokens: 0,
        deadline_millis: 60_000,
        rank: 0,
        must_queue: false,
        follow_directory: false,
    }
}
