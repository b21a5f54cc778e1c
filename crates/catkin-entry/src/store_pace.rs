//! Decides how long a router waits after a failed call to the store.
//!
//! Answers the pattern of a store that turns many routers away for seconds: a router that knows
//! declarations and servers serves on without the store, and learns of changes from other routers,
//! so it asks rarely. A router that has just started and knows nothing asks often.

use catkin_policy::BackoffPlan;
use rand::Rng;

/// Ceiling of the random delay after the first failed call; it doubles with each further failure.
const FIRST_MILLIS: u64 = 60;
/// Maximum ceiling at a router that can't serve yet.
const MAX_UNINFORMED_MILLIS: u64 = 600;
/// Maximum ceiling at a router that serves. It is below the time after an outage from which on
/// declarations must be applied on time.
const MAX_INFORMED_MILLIS: u64 = 2_000;

/// Delays after failed calls, one after the other.
#[derive(Debug, Clone)]
pub struct StorePace {
    uninformed: BackoffPlan,
    informed: BackoffPlan,
}

impl Default for StorePace {
    fn default() -> Self {
        Self {
            uninformed: BackoffPlan::new(FIRST_MILLIS, MAX_UNINFORMED_MILLIS),
            informed: BackoffPlan::new(FIRST_MILLIS, MAX_INFORMED_MILLIS),
        }
    }
}

impl StorePace {
    /// Returns the delay before the next call, in milliseconds, and counts a failure. `informed` is
    /// whether the router knows what it was calling for from earlier calls.
    pub fn next_delay(&mut self, informed: bool, random: &mut impl Rng) -> u64 {
        let uninformed_delay = self.uninformed.next_delay(random);
        let informed_delay = self.informed.next_delay(random);
        if informed { informed_delay } else { uninformed_delay }
    }

    /// Returns to the first delay after a successful call.
    pub fn reset(&mut self) {
        *self = Self::default();
    }
}
