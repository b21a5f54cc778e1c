//! Memory that the state of the decisions takes for each server, chat, grant and team, measured as
//! growth of the resident memory of the process.

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
    let servers = build_specs(TABLE_SERVERS);
    let mut owner = build_owner();
    let table = print_growth("server in a rank table", TABLE_SERVERS, || RankTable::new(&servers));
    let rules = print_growth("team with a rule of its own", TEAMS, build_team_rules);
    print_growth("directory entry", OWNED_SERVERS * CHATS_PER_SERVER, || {
        fill_directory(&mut owner)
    });
    print_growth("open grant and warm chat", OWNED_SERVERS * GRANTS_PER_SERVER, || {
        grant_all(&mut owner)
    });
    // All values live until here, so that no measurement reuses memory that another one freed.
    println!("kept: {} servers, {} teams", table.len(), rules.teams.len());
}

/// Prints the growth of resident memory through `build`, divided by `count`.
fn print_growth<T>(name: &str, count: u64, build: impl FnOnce() -> T) -> T {
    let before = read_resident_bytes();
    let built = build();
    let grown = read_resident_bytes().saturating_sub(before);
    println!("{name}: {:.0} bytes", grown as f64 / count as f64);
    built
}

fn read_resident_bytes() -> u64 {
    let status = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = status.split_whitespace().nth(1).and_then(|word| word.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}

fn build_spec(server: u64) -> ServerSpec {
    ServerSpec {
        server: ServerId(server),
        pools: vec![POOL],
        domain: DomainId(1),
        region: RegionId(1),
        weight: 1,
        slots: GRANTS_PER_SERVER as u32,
    }
}

fn build_specs(count: u64) -> Vec<ServerSpec> {
    (1..=count).map(build_spec).collect()
}

fn build_team_rules() -> PolicyRules {
    let team = |number| (TeamId(number), TeamPolicy::default());
    PolicyRules { teams: (0..TEAMS).map(team).collect(), ..PolicyRules::default() }
}

fn build_owner() -> AdmissionOwner {
    let mut owner = AdmissionOwner::new(VmId(1));
    let specs = build_specs(OWNED_SERVERS);
    owner.set_rules(PolicyRules { long_share_percent: 100, ..PolicyRules::default() });
    owner.set_owned(ClockTime::ZERO, &specs);
    for spec in &specs {
        owner.give_up_handover(ClockTime::ZERO, spec.server);
        owner.record_probe(ClockTime::ZERO, spec.server, &build_report());
    }
    let open = (OWNED_SERVERS * GRANTS_PER_SERVER) as u32;
    owner.record_pool_load(ClockTime::ZERO, &build_pool_load(open));
    owner
}

fn build_report() -> ServerReport {
    ServerReport { incarnation: 1, open: 0, leaving: false, event_sequence: 1, events: Vec::new() }
}

fn build_pool_load(open: u32) -> PoolLoad {
    PoolLoad {
        pool: POOL,
        open,
        weight: OWNED_SERVERS as u32,
        servers: OWNED_SERVERS as u32,
        age_millis: 0,
        light_servers: Vec::new(),
    }
}

fn fill_directory(owner: &mut AdmissionOwner) {
    for server in 1..=OWNED_SERVERS {
        for chat in 0..CHATS_PER_SERVER {
            owner.record_placement(
                ChatId(server << 32 | chat),
                ServerId(server),
                ServerId(1 << 40),
            );
        }
    }
}

fn grant_all(owner: &mut AdmissionOwner) {
    for server in 1..=OWNED_SERVERS {
        for number in 0..GRANTS_PER_SERVER {
            owner.handle_ask(ClockTime::ZERO, &build_ask(server << 32 | number, server));
        }
    }
    let open: u32 = owner.server_states(ClockTime::ZERO).iter().map(|state| state.open).sum();
    assert_eq!(u64::from(open), OWNED_SERVERS * GRANTS_PER_SERVER);
}

fn build_ask(request: u64, server: u64) -> GrantAsk {
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
