//! Draws the faults of a soak and their times from a seed.

use catkin_base::copy_type;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;

use catkin_entry::ColdRecord;

use crate::ledger::{CallKind, DOMAINS};
use crate::source_cut::CutKind;

/// Time before the first fault, in milliseconds.
const QUIET_START_MILLIS: u64 = 1_500;
/// Mean interval between the starts of two faults, in milliseconds. Faults overlap.
const MEAN_PAUSE_MILLIS: u64 = 700;
/// Minimum and maximum duration of a fault, in milliseconds.
const MIN_LENGTH_MILLIS: u64 = 300;
const MAX_LENGTH_MILLIS: u64 = 4_000;
/// Mean interval between two faults of the store that affect all routers, in milliseconds.
const MEAN_STORE_PAUSE_MILLIS: u64 = 10_000;
/// Mean interval between two limits that servers name, in milliseconds.
const MEAN_LIMIT_PAUSE_MILLIS: u64 = 4_000;
/// Time for which a server names a limit, in milliseconds. Longer than the time after which it must be
/// kept and the window in which requests are counted.
const LIMIT_MILLIS: u64 = 9_000;
/// Mean interval between two times in which a server asks for pauses, in milliseconds.
const MEAN_REST_PAUSE_MILLIS: u64 = 5_000;
/// Shortest and longest pause that a server asks for, in milliseconds.
const MIN_REST_MILLIS: u64 = 800;
const MAX_REST_MILLIS: u64 = 4_000;
/// Mean interval between two cuts of routers from all servers, in milliseconds.
const MEAN_CUT_PAUSE_MILLIS: u64 = 12_000;
/// Duration of such a cut, in milliseconds. Longer than the time after which requests must be served.
const CUT_MILLIS: u64 = 8_000;
/// Maximum percentage of the routers that are cut off at once.
const MAX_CUT_PERCENT: usize = 60;
/// Mean interval between two times in which servers are silent, in milliseconds.
const MEAN_SILENCE_PAUSE_MILLIS: u64 = 12_000;
/// Shortest and longest silence, in milliseconds. Shorter than the time after which a router gives a
/// connection up.
const MIN_SILENCE_MILLIS: u64 = 900;
const MAX_SILENCE_MILLIS: u64 = 1_400;
/// Smallest percentage of the servers that is silent at once.
const MIN_SILENT_PERCENT: usize = 60;
/// Largest limit, in requests per second; below what a server gets without one.
const MAX_LIMIT: u64 = 4;
/// One seed in so many has evacuations, and one in so many has cold servers.
const EVACUATION_PERIOD: u32 = 2;
const COLD_PERIOD: u32 = 2;
/// Mean interval between two evacuations, in milliseconds. One in so many is soon followed by another.
const MEAN_EVACUATION_PAUSE_MILLIS: u64 = 12_000;
const SECOND_EVACUATION_PERIOD: u32 = 3;
/// Shortest and longest evacuation, in milliseconds. Longer than the time within which it must be obeyed.
const MIN_EVACUATION_MILLIS: u64 = 7_000;
const MAX_EVACUATION_MILLIS: u64 = 14_000;
/// Mean interval between two faults that make a server cold, in milliseconds.
const MEAN_COLD_PAUSE_MILLIS: u64 = 4_000;
/// Requests that a cold server takes, in a thousand seconds.
const COLD_PER_THOUSAND_SECONDS: u32 = 1_000;
/// One seed in so many has releases of the servers' software.
const RELEASE_PERIOD: u32 = 2;
/// Mean interval between two releases, in milliseconds. One in so many is followed by the end of all
/// routers within the second time.
const MEAN_RELEASE_PAUSE_MILLIS: u64 = 8_000;
const RELEASE_KILL_PERIOD: u32 = 2;
const MAX_KILL_DELAY_MILLIS: u64 = 4_000;
/// One release in so many begins while all routers are being stopped in turn, within the second time after that began.
const RELEASE_STOP_PERIOD: u32 = 3;
const MAX_STOP_LEAD_MILLIS: u64 = 6_000;
/// Time after the other faults from which on two versions serve, in milliseconds, and times at which all
/// routers end then. Callers that wait until routers are in touch resume their streams in between.
const LAST_RELEASE_MILLIS: u64 = 5_000;
const LAST_KILLS_MILLIS: [u64; 2] = [7_000, 17_000];
/// One router fault in so many is soon followed by another one on the same router.
const REPEAT_PERIOD: u32 = 4;

copy_type! {
    /// A fault of the connections through a link.
    pub enum LinkFault {
        /// Bytes are delayed in both directions.
        Delay,
        /// Open connections are reset.
        Reset,
        /// Bytes towards the listening side are held back.
        HoldForward,
        /// Bytes towards the connecting side are held back.
        HoldBackward,
        /// Open connections pass no more bytes; new ones work.
        Blackhole,
    }
}

copy_type! {
    /// Kind of a fault, with the index of its router or server.
    pub enum FaultKind {
        /// A router gets SIGTERM and is started again.
        StopRouter(usize),
        /// A router is killed and started again.
        KillRouter(usize),
        /// A router's process is paused by SIGSTOP.
        PauseRouter(usize),
        /// A router's settings file changes, followed by SIGHUP.
        ReloadSettings(usize),
        /// A router's settings file changes without a signal.
        RewriteSettings(usize),
        /// All routers are killed.
        KillAll,
        /// All routers get SIGTERM one after the other.
        StopAll,
        /// A fault of the connections between callers and a router.
        CallerLink(usize, LinkFault),
        /// A fault of the connections between a router and the store.
        StoreLink(usize, LinkFault),
        /// A fault of the connections to a server.
        ServerLink(usize, LinkFault),
        /// The store refuses all calls.
        StoreDown,
        /// The store answers slowly.
        StoreSlow,
        /// The store executes calls and its answers are lost.
        StoreLosesAnswers,
        /// The store drops its history of changes, so that watches must start over.
        StoreDropsHistory,
        /// The store is restored from a copy: what was written in the time before is lost. The operator
        /// and the servers write it again a little later.
        RestoreStore,
        /// The open connections of all routers to the store pass no more bytes, and the operator
        /// writes a new version of the declarations.
        SilenceStore,
        /// A server crashes; a server with another name starts at its address.
        CrashServer(usize),
        /// A server announces that it leaves; later another server of any service has its address.
        AnnounceLeave(usize),
        /// A server's entry is removed without an announcement; the server keeps serving for a
        /// while.
        RemoveServer(usize),
        /// The operator writes a new version of the declarations.
        WriteDeclarations,
        /// A server names a limit on the requests of all routers, in requests per second.
        NameLimit(usize, u64),
        /// A server declines all requests and asks for pauses of this length, in milliseconds.
        AskPauses(usize, u64),
        /// A number of routers, from one on, is cut off from all servers.
        CutRouters(usize, usize, CutKind),
        /// A number of sound servers, from one on, is silent for about a second, and the operator writes a
        /// new version of the declarations.
        SilenceServers(usize, usize),
        /// The operator evacuates a failure domain.
        EvacuateDomain(usize),
        /// A server crashes and starts again under its name at once.
        RestartServer(usize),
        /// A server turns cold without a restart and says so in its entry.
        TurnCold(usize),
        /// A percentage of the servers that stream is replaced with servers of a newer software version,
        /// one after the other.
        ReleaseSoftware(usize),
    }
}

copy_type! {
    /// A fault with its time.
    pub struct PlannedFault {
        /// Time of its start, in milliseconds since the start of traffic.
        pub at: u64,
        /// Duration, in milliseconds.
        pub length: u64,
        /// Kind of the fault.
        pub kind: FaultKind,
    }
}

copy_type! {
    /// Size of a soak.
    pub struct SoakSize {
        /// Number of routers, each a process.
        pub routers: usize,
        /// Number of servers.
        pub servers: usize,
        /// Time in which faults start, in milliseconds.
        pub millis: u64,
    }
}

/// Draws the faults of a soak, ordered by time.
pub fn plan_faults(seed: u64, size: SoakSize) -> Vec<PlannedFault> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut faults = Vec::new();
    let mut at = QUIET_START_MILLIS;
    while at < size.millis {
        let kind = draw_kind(&mut random, size);
        faults.push(PlannedFault { at, length: draw_length(&mut random), kind });
        if let (Some(router), true) = (target_router(kind), random.random_ratio(1, REPEAT_PERIOD)) {
            let kind = draw_router_kind(&mut random, router);
            let repeat_at = at + random.random_range(0..MAX_LENGTH_MILLIS);
            faults.push(PlannedFault { at: repeat_at, length: draw_length(&mut random), kind });
        }
        at += random.random_range(0..=2 * MEAN_PAUSE_MILLIS);
    }
    faults.extend(plan_store_faults(seed, size));
    faults.extend(plan_limits(seed, size));
    faults.extend(plan_pauses(seed, size));
    faults.extend(plan_cuts(seed, size));
    faults.extend(plan_evacuations(seed, size));
    faults.extend(plan_cold_servers(seed, size));
    faults.extend(plan_releases(seed, size));
    faults.extend(plan_silences(seed, size));
    faults.sort_by_key(|fault| fault.at);
    faults
}

/// Draws the faults of the store that affect all routers. They have random numbers of their own, so
/// that the other faults of a seed stay what they were before these kinds existed.
fn plan_store_faults(seed: u64, size: SoakSize) -> Vec<PlannedFault> {
    let mut random = StdRng::seed_from_u64(seed ^ u64::MAX);
    let mut faults = Vec::new();
    let mut at = QUIET_START_MILLIS;
    loop {
        at += random.random_range(0..=2 * MEAN_STORE_PAUSE_MILLIS);
        if at >= size.millis {
            return faults;
        }
        let kind = if random.random() { FaultKind::RestoreStore } else { FaultKind::SilenceStore };
        faults.push(PlannedFault { at, length: draw_length(&mut random), kind });
    }
}

/// Draws the limits that servers name. They have random numbers of their own, too.
fn plan_limits(seed: u64, size: SoakSize) -> Vec<PlannedFault> {
    let mut random = StdRng::seed_from_u64(seed.rotate_left(32));
    let mut faults = Vec::new();
    let mut at = QUIET_START_MILLIS;
    loop {
        at += random.random_range(0..=2 * MEAN_LIMIT_PAUSE_MILLIS);
        if at >= size.millis {
            return faults;
        }
        let server = random.random_range(0..size.servers);
        let kind = FaultKind::NameLimit(server, random.random_range(0..=MAX_LIMIT));
        faults.push(PlannedFault { at, length: LIMIT_MILLIS, kind });
    }
}

/// Draws the pauses that servers ask for. They have random numbers of their own, too.
fn plan_pauses(seed: u64, size: SoakSize) -> Vec<PlannedFault> {
    let mut random = StdRng::seed_from_u64(seed.rotate_left(16) ^ u64::MAX);
    let mut faults = Vec::new();
    let mut at = QUIET_START_MILLIS;
    loop {
        at += random.random_range(0..=2 * MEAN_REST_PAUSE_MILLIS);
        if at >= size.millis {
            return faults;
        }
        let server = random.random_range(0..size.servers);
        let pause = random.random_range(MIN_REST_MILLIS..=MAX_REST_MILLIS);
        let length = draw_length(&mut random);
        faults.push(PlannedFault { at, length, kind: FaultKind::AskPauses(server, pause) });
    }
}

/// Draws the cuts of routers from all servers. They have random numbers of their own, too.
fn plan_cuts(seed: u64, size: SoakSize) -> Vec<PlannedFault> {
    let mut random = StdRng::seed_from_u64(seed.rotate_left(48));
    let mut faults = Vec::new();
    let mut at = QUIET_START_MILLIS;
    loop {
        at += random.random_range(0..=2 * MEAN_CUT_PAUSE_MILLIS);
        if at >= size.millis {
            return faults;
        }
        let first = random.random_range(0..size.routers);
        let count = random.random_range(1..=size.routers * MAX_CUT_PERCENT / 100);
        let cut = match random.random_range(0..3) {
            0 => CutKind::Silent,
            1 => CutKind::Reset,
            _ => CutKind::NewOnly,
        };
        let kind = FaultKind::CutRouters(first, count, cut);
        faults.push(PlannedFault { at, length: CUT_MILLIS, kind });
    }
}

/// Draws the times in which servers are silent. They have random numbers of their own, too.
fn plan_silences(seed: u64, size: SoakSize) -> Vec<PlannedFault> {
    let mut random = StdRng::seed_from_u64(seed.rotate_left(56));
    let mut faults = Vec::new();
    let mut at = QUIET_START_MILLIS;
    loop {
        at += random.random_range(0..=2 * MEAN_SILENCE_PAUSE_MILLIS);
        if at >= size.millis {
            return faults;
        }
        let first = random.random_range(0..size.servers);
        let fewest = size.servers * MIN_SILENT_PERCENT / 100;
        let count = random.random_range(fewest..=size.servers);
        let length = random.random_range(MIN_SILENCE_MILLIS..=MAX_SILENCE_MILLIS);
        faults.push(PlannedFault { at, length, kind: FaultKind::SilenceServers(first, count) });
    }
}

/// Draws the evacuations of failure domains. They have random numbers of their own, too.
fn plan_evacuations(seed: u64, size: SoakSize) -> Vec<PlannedFault> {
    let mut random = StdRng::seed_from_u64(seed.rotate_left(8));
    let mut faults = Vec::new();
    if !random.random_ratio(1, EVACUATION_PERIOD) {
        return faults;
    }
    // One lasts longer than the other faults, so that routers and store are in touch.
    let last_at = size.millis - size.millis.min(random.random_range(0..=MAX_LENGTH_MILLIS));
    let last_domain = random.random_range(0..DOMAINS);
    faults.push(draw_evacuation(&mut random, last_at, last_domain));
    let mut at = QUIET_START_MILLIS;
    loop {
        at += random.random_range(0..=2 * MEAN_EVACUATION_PAUSE_MILLIS);
        if at >= size.millis {
            return faults;
        }
        let domain = random.random_range(0..DOMAINS);
        faults.push(draw_evacuation(&mut random, at, domain));
        if random.random_ratio(1, SECOND_EVACUATION_PERIOD) {
            let second_at = at + random.random_range(0..MIN_EVACUATION_MILLIS);
            faults.push(draw_evacuation(&mut random, second_at, (domain + 1) % DOMAINS));
        }
    }
}

fn draw_evacuation(random: &mut StdRng, at: u64, domain: usize) -> PlannedFault {
    let length = random.random_range(MIN_EVACUATION_MILLIS..=MAX_EVACUATION_MILLIS);
    PlannedFault { at, length, kind: FaultKind::EvacuateDomain(domain) }
}

/// Draws the service whose servers are cold after a start, if the seed has one, and how long.
pub(crate) fn draw_cold_service(seed: u64) -> Option<(CallKind, ColdRecord)> {
    let mut random = StdRng::seed_from_u64(seed.rotate_left(24) ^ u64::MAX);
    let has_cold = random.random_ratio(1, COLD_PERIOD);
    let kind = if random.random() { CallKind::Single } else { CallKind::Stream };
    let start = Duration::from_secs(random.random_range(2..=3));
    let record = ColdRecord { start, per_thousand_seconds: COLD_PER_THOUSAND_SECONDS };
    has_cold.then_some((kind, record))
}

/// Draws the faults that make servers cold. They have random numbers of their own, too.
fn plan_cold_servers(seed: u64, size: SoakSize) -> Vec<PlannedFault> {
    let mut random = StdRng::seed_from_u64(seed.rotate_left(40));
    let mut faults = Vec::new();
    let mut at = QUIET_START_MILLIS;
    if draw_cold_service(seed).is_none() {
        return faults;
    }
    loop {
        at += random.random_range(0..=2 * MEAN_COLD_PAUSE_MILLIS);
        if at >= size.millis {
            return faults;
        }
        let server = random.random_range(0..size.servers);
        let restarts = random.random();
        let kind =
            if restarts { FaultKind::RestartServer(server) } else { FaultKind::TurnCold(server) };
        faults.push(PlannedFault { at, length: MIN_LENGTH_MILLIS, kind });
    }
}

/// Draws whether a seed has releases of the servers' software.
pub(crate) fn draw_has_releases(seed: u64) -> bool {
    StdRng::seed_from_u64(seed.rotate_left(56)).random_ratio(1, RELEASE_PERIOD)
}

/// Draws the releases of the servers' software. They have random numbers of their own, too.
fn plan_releases(seed: u64, size: SoakSize) -> Vec<PlannedFault> {
    let mut random = StdRng::seed_from_u64(seed.rotate_left(56).wrapping_add(1));
    let mut faults = Vec::new();
    if !draw_has_releases(seed) {
        return faults;
    }
    let release = |at, percent| {
        let kind = FaultKind::ReleaseSoftware(percent);
        PlannedFault { at, length: MIN_LENGTH_MILLIS, kind }
    };
    let stop_all = |at| PlannedFault { at, length: MIN_LENGTH_MILLIS, kind: FaultKind::StopAll };
    let mut stop_random = StdRng::seed_from_u64(seed.rotate_left(56).wrapping_add(2));
    let kill_all = |at| PlannedFault { at, length: MIN_LENGTH_MILLIS, kind: FaultKind::KillAll };
    let mut at = QUIET_START_MILLIS;
    loop {
        at += random.random_range(0..=2 * MEAN_RELEASE_PAUSE_MILLIS);
        if at >= size.millis {
            break;
        }
        faults.push(release(at, if random.random() { 50 } else { 100 }));
        if stop_random.random_ratio(1, RELEASE_STOP_PERIOD) {
            let lead = stop_random.random_range(0..=MAX_STOP_LEAD_MILLIS);
            faults.push(stop_all(at.saturating_sub(lead)));
        }
        if random.random_ratio(1, RELEASE_KILL_PERIOD) {
            faults.push(kill_all(at + random.random_range(0..=MAX_KILL_DELAY_MILLIS)));
        }
    }
    faults.push(release(size.millis, 100));
    faults.push(release(size.millis + LAST_RELEASE_MILLIS, 50));
    faults.extend(LAST_KILLS_MILLIS.map(|delay| kill_all(size.millis + delay)));
    faults
}

fn draw_length(random: &mut StdRng) -> u64 {
    random.random_range(MIN_LENGTH_MILLIS..=MAX_LENGTH_MILLIS)
}

fn target_router(kind: FaultKind) -> Option<usize> {
    match kind {
        FaultKind::StopRouter(router)
        | FaultKind::KillRouter(router)
        | FaultKind::PauseRouter(router)
        | FaultKind::ReloadSettings(router)
        | FaultKind::RewriteSettings(router) => Some(router),
        _ => None,
    }
}

fn draw_router_kind(random: &mut StdRng, router: usize) -> FaultKind {
    match random.random_range(0..5) {
        0 => FaultKind::StopRouter(router),
        1 => FaultKind::KillRouter(router),
        2 => FaultKind::PauseRouter(router),
        3 => FaultKind::ReloadSettings(router),
        _ => FaultKind::RewriteSettings(router),
    }
}

fn draw_link_fault(random: &mut StdRng) -> LinkFault {
    match random.random_range(0..5) {
        0 => LinkFault::Delay,
        1 => LinkFault::Reset,
        2 => LinkFault::HoldForward,
        3 => LinkFault::HoldBackward,
        _ => LinkFault::Blackhole,
    }
}

fn draw_kind(random: &mut StdRng, size: SoakSize) -> FaultKind {
    let router = random.random_range(0..size.routers);
    let server = random.random_range(0..size.servers);
    match random.random_range(0..20) {
        0..=5 => draw_router_kind(random, router),
        6 => FaultKind::CallerLink(router, draw_link_fault(random)),
        7 => FaultKind::StoreLink(router, draw_link_fault(random)),
        8 => FaultKind::ServerLink(server, draw_link_fault(random)),
        9 => FaultKind::StoreDown,
        10 => FaultKind::StoreSlow,
        11 => FaultKind::StoreLosesAnswers,
        12 => FaultKind::StoreDropsHistory,
        13 => FaultKind::CrashServer(server),
        14 => FaultKind::AnnounceLeave(server),
        15 => FaultKind::RemoveServer(server),
        16 => FaultKind::StopAll,
        17 if random.random_ratio(1, 3) => FaultKind::KillAll,
        _ => FaultKind::WriteDeclarations,
    }
}
