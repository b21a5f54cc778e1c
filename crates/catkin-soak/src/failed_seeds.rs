//! Seeds that once failed, to be played again.

use crate::plan::SoakSize;

/// A soak that once broke a promise.
#[derive(Debug, Clone, Copy)]
pub struct FailedSeed {
    /// Its seed.
    pub seed: u64,
    /// How much of everything it had.
    pub size: SoakSize,
    /// Why it failed.
    pub cause: &'static str,
}

const MINUTE: u64 = 60_000;

/// All of them. Each cause has a test of its own that does not depend on timing.
pub const FAILED_SEEDS: [FailedSeed; 4] = [
    FailedSeed {
        seed: 1,
        size: SoakSize { routers: 12, servers: 8, millis: MINUTE },
        cause: "requests went on to a server whose address another one had",
    },
    FailedSeed {
        seed: 100,
        size: SoakSize { routers: 12, servers: 8, millis: MINUTE },
        cause: "SIGHUP right after the start ended the process",
    },
    FailedSeed {
        seed: 1304,
        size: SoakSize { routers: 24, servers: 8, millis: MINUTE },
        cause: "a page that all ask for was held for crashes of servers",
    },
    FailedSeed {
        seed: 1310,
        size: SoakSize { routers: 24, servers: 8, millis: MINUTE },
        cause: "a page that all ask for was held for crashes of servers",
    },
];
