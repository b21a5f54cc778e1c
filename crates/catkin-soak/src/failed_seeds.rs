//! Seeds of soaks that once failed, for regression runs.

use crate::plan::SoakSize;

/// A soak that once violated a guarantee.
#[derive(Debug, Clone, Copy)]
pub struct FailedSeed {
    /// Seed of the faults.
    pub seed: u64,
    /// Size of the soak.
    pub size: SoakSize,
    /// Cause of the failure.
    pub cause: &'static str,
}

const MINUTE: u64 = 60_000;

/// All failed seeds. The cause of each also has a test that does not depend on timing.
pub const FAILED_SEEDS: [FailedSeed; 10] = [
    FailedSeed {
        seed: 1,
        size: SoakSize { routers: 12, servers: 8, millis: MINUTE },
        cause: "requests were sent repeatedly to an address that another server had taken over",
    },
    FailedSeed {
        seed: 100,
        size: SoakSize { routers: 12, servers: 8, millis: MINUTE },
        cause: "SIGHUP right after the start ended the process, which had no handler yet",
    },
    FailedSeed {
        seed: 1304,
        size: SoakSize { routers: 24, servers: 8, millis: MINUTE },
        cause: "content that all callers request was quarantined because servers crashed",
    },
    FailedSeed {
        seed: 1310,
        size: SoakSize { routers: 24, servers: 8, millis: MINUTE },
        cause: "content that all callers request was quarantined because servers crashed",
    },
    FailedSeed {
        seed: 6_202,
        size: SoakSize { routers: 12, servers: 8, millis: MINUTE },
        cause: "routers that had not served a popular page refused it after three servers crashed",
    },
    FailedSeed {
        seed: 9_103,
        size: SoakSize { routers: 12, servers: 8, millis: MINUTE },
        cause: "streams resumed after the end of all routers were refused or joined from two versions",
    },
    FailedSeed {
        seed: 9_105,
        size: SoakSize { routers: 12, servers: 8, millis: MINUTE },
        cause: "streams resumed after the end of all routers were refused or joined from two versions",
    },
    FailedSeed {
        seed: 7_513,
        size: SoakSize { routers: 12, servers: 8, millis: MINUTE },
        cause: "other routers knew the team by another name, and did not know of a router whose entry a \
                restore had lost",
    },
    FailedSeed {
        seed: 7_536,
        size: SoakSize { routers: 12, servers: 8, millis: MINUTE },
        cause: "other routers knew the team by another name; the rest was not traced",
    },
    FailedSeed {
        seed: 7_544,
        size: SoakSize { routers: 12, servers: 8, millis: MINUTE },
        cause: "the store removed a router's entry late, so that no other router knew of its next start",
    },
];
