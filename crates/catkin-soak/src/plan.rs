//! Which faults come when, drawn from a seed.

use catkin_base::copy_type;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Time before the first fault, in milliseconds.
const LEAD_MILLIS: u64 = 1_500;
/// Mean pause between the starts of two faults, in milliseconds. Faults overlap.
const MEAN_PAUSE_MILLIS: u64 = 700;
/// Shortest and longest fault, in milliseconds.
const MIN_LENGTH_MILLIS: u64 = 300;
const MAX_LENGTH_MILLIS: u64 = 4_000;
/// One fault in so many is followed at once by one on the same router.
const SERIES_PERIOD: u32 = 4;

copy_type! {
    /// What a link does.
    pub enum LinkTrouble {
        /// Bytes arrive late, both ways.
        Late,
        /// Open connections are reset.
        Reset,
        /// Bytes wait in one direction.
        CutForward,
        /// Bytes wait in the other direction.
        CutBack,
        /// Open connections pass nothing any more; new ones work.
        Silence,
    }
}

copy_type! {
    /// A fault.
    pub enum FaultKind {
        /// A router is told to stop, and started again.
        Stop(usize),
        /// A router is killed, and started again.
        Kill(usize),
        /// A router stands still.
        Pause(usize),
        /// A router is told that its settings changed.
        Reload(usize),
        /// A router's settings file changes without a signal.
        Rewrite(usize),
        /// All routers are killed.
        KillAll,
        /// All routers are told to stop, one after the other.
        StopAll,
        /// The connections between callers and a router.
        CallerLink(usize, LinkTrouble),
        /// The connections between a router and the store.
        StoreLink(usize, LinkTrouble),
        /// The connections to a server.
        ServerLink(usize, LinkTrouble),
        /// The store refuses all calls.
        StoreDown,
        /// The store is slow.
        StoreSlow,
        /// The store's answers are lost.
        StoreLosesAnswers,
        /// The store forgets its history.
        StoreForgets,
        /// A server crashes and comes back as another start.
        CrashServer(usize),
        /// A server says that it leaves; later another one of any service has its address.
        LeaveServer(usize),
        /// A server's entry goes without a word; it serves on for a while.
        RemoveServer(usize),
        /// The operator writes a new version of the declarations.
        Declare,
    }
}

copy_type! {
    /// A fault and its time.
    pub struct PlannedFault {
        /// Milliseconds since the start of traffic.
        pub at: u64,
        /// How long it lasts, in milliseconds.
        pub length: u64,
        /// What it is.
        pub kind: FaultKind,
    }
}

copy_type! {
    /// What a soak is made of.
    pub struct SoakSize {
        /// Routers, each a process.
        pub routers: usize,
        /// Servers.
        pub servers: usize,
        /// Milliseconds in which faults begin.
        pub millis: u64,
    }
}

/// Draws the faults of a soak, in the order of their times.
pub fn plan_faults(seed: u64, size: SoakSize) -> Vec<PlannedFault> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut faults = Vec::new();
    let mut at = LEAD_MILLIS;
    while at < size.millis {
        let kind = draw_kind(&mut random, size);
        faults.push(PlannedFault { at, length: draw_length(&mut random), kind });
        if let (Some(router), true) = (router_of(kind), random.random_ratio(1, SERIES_PERIOD)) {
            let kind = draw_router_kind(&mut random, router);
            let soon = at + random.random_range(0..MAX_LENGTH_MILLIS);
            faults.push(PlannedFault { at: soon, length: draw_length(&mut random), kind });
        }
        at += random.random_range(0..=2 * MEAN_PAUSE_MILLIS);
    }
    faults.sort_by_key(|fault| fault.at);
    faults
}

fn draw_length(random: &mut StdRng) -> u64 {
    random.random_range(MIN_LENGTH_MILLIS..=MAX_LENGTH_MILLIS)
}

fn router_of(kind: FaultKind) -> Option<usize> {
    match kind {
        FaultKind::Stop(router)
        | FaultKind::Kill(router)
        | FaultKind::Pause(router)
        | FaultKind::Reload(router)
        | FaultKind::Rewrite(router) => Some(router),
        _ => None,
    }
}

fn draw_router_kind(random: &mut StdRng, router: usize) -> FaultKind {
    match random.random_range(0..5) {
        0 => FaultKind::Stop(router),
        1 => FaultKind::Kill(router),
        2 => FaultKind::Pause(router),
        3 => FaultKind::Reload(router),
        _ => FaultKind::Rewrite(router),
    }
}

fn draw_trouble(random: &mut StdRng) -> LinkTrouble {
    match random.random_range(0..5) {
        0 => LinkTrouble::Late,
        1 => LinkTrouble::Reset,
        2 => LinkTrouble::CutForward,
        3 => LinkTrouble::CutBack,
        _ => LinkTrouble::Silence,
    }
}

fn draw_kind(random: &mut StdRng, size: SoakSize) -> FaultKind {
    let router = random.random_range(0..size.routers);
    let server = random.random_range(0..size.servers);
    match random.random_range(0..20) {
        0..=5 => draw_router_kind(random, router),
        6 => FaultKind::CallerLink(router, draw_trouble(random)),
        7 => FaultKind::StoreLink(router, draw_trouble(random)),
        8 => FaultKind::ServerLink(server, draw_trouble(random)),
        9 => FaultKind::StoreDown,
        10 => FaultKind::StoreSlow,
        11 => FaultKind::StoreLosesAnswers,
        12 => FaultKind::StoreForgets,
        13 => FaultKind::CrashServer(server),
        14 => FaultKind::LeaveServer(server),
        15 => FaultKind::RemoveServer(server),
        16 => FaultKind::StopAll,
        17 if random.random_ratio(1, 3) => FaultKind::KillAll,
        _ => FaultKind::Declare,
    }
}
