//! Rules of the decisions, from the declarations in force.

use std::collections::BTreeMap;

use catkin_base::{ClassId, TeamId, value_type};

value_type! {
    /// Settings of the decisions, from the declarations in force.
    pub struct PolicyRules {
        /// Maximum load of a server relative to the mean, in percent.
        pub bound_percent: u32,
        /// Cost of computing one prompt token that is not cached, in microseconds.
        pub prefill_micros_per_token: u32,
        /// Weight of the cost to compute a prefix again, in percent.
        pub reuse_weight_percent: u32,
        /// Weight of the time to wait for a loaded server, in percent.
        pub skew_weight_percent: u32,
        /// Percentage of a server's slots that requests of long classes may occupy.
        pub long_share_percent: u32,
        /// Number of retries allowed per hundred recent requests.
        pub retry_percent: u32,
        /// Number of servers that a request may crash before it is refused.
        pub crash_strikes: u32,
        /// Time for which such a request is refused, in milliseconds.
        pub quarantine_millis: u64,
        /// Time for which a flapping server is held down at first, in milliseconds; it doubles with
        /// further failures.
        pub hold_down_millis: u64,
        /// Policies of the declared classes.
        pub classes: BTreeMap<ClassId, ClassPolicy>,
        /// Policies of the teams that declare one; other teams get the default.
        pub teams: BTreeMap<TeamId, TeamPolicy>,
    }

    /// Policy of one class of requests.
    #[derive(Copy)]
    pub struct ClassPolicy {
        /// Whether the class is quick: its requests need a short wait, and may use the slots
        /// reserved from long classes.
        pub quick: bool,
        /// Priority among quick classes or among long classes; the lowest number is admitted first.
        pub priority: u32,
        /// Number of tokens expected in an answer, until a request of the class has completed.
        pub expected_tokens: u32,
    }

    /// Weight and limit of one team.
    #[derive(Copy)]
    pub struct TeamPolicy {
        /// Weight of the team's share of service time relative to other teams, at least one.
        pub weight: u32,
        /// Maximum number of requests open at once on the servers of one owner.
        pub max_open: u32,
    }
}

impl Default for TeamPolicy {
    fn default() -> Self {
        Self { weight: 1, max_open: u32::MAX }
    }
}

impl Default for ClassPolicy {
    fn default() -> Self {
        Self { quick: false, priority: 100, expected_tokens: 500 }
    }
}

impl Default for PolicyRules {
    fn default() -> Self {
        Self {
            bound_percent: 125,
            prefill_micros_per_token: 100,
            reuse_weight_percent: 100,
            skew_weight_percent: 100,
            long_share_percent: 80,
            retry_percent: 10,
            crash_strikes: 2,
            quarantine_millis: 600_000,
            hold_down_millis: 10_000,
            classes: BTreeMap::new(),
            teams: BTreeMap::new(),
        }
    }
}

impl PolicyRules {
    /// Returns the policy of `class`; the default one, which is long, if it is not declared.
    pub fn class(&self, class: ClassId) -> ClassPolicy {
        self.classes.get(&class).copied().unwrap_or_default()
    }

    /// Returns the policy of `team`; the default one if it is not declared.
    pub fn team(&self, team: TeamId) -> TeamPolicy {
        self.teams.get(&team).copied().unwrap_or_default()
    }

    /// Returns the maximum number of slots that requests of long classes may occupy on a server
    /// with `slots` slots, at least one.
    pub fn long_slots(&self, slots: u32) -> u32 {
        let share = u64::from(slots) * u64::from(self.long_share_percent) / 100;
        (share as u32).clamp(1, slots.max(1))
    }
}
