//! Rules in force, as taken from the declarations.

use std::collections::BTreeMap;

use catkin_base::{ClassId, TeamId, value_type};

value_type! {
    /// Everything that the decisions take from the declarations.
    pub struct PolicyRules {
        /// Most load on a server relative to the mean, in percent.
        pub bound_percent: u32,
        /// Cost of computing one prompt token that is not cached, in microseconds.
        pub prefill_micros_per_token: u32,
        /// Weight of a lost cached prefix against waiting, in percent.
        pub reuse_weight_percent: u32,
        /// Weight of waiting for a loaded server, in percent.
        pub skew_weight_percent: u32,
        /// Share of a server's slots that long work may hold, in percent.
        pub long_share_percent: u32,
        /// Retries allowed relative to recent requests, in percent.
        pub retry_percent: u32,
        /// Servers that a request may crash before it is refused.
        pub crash_strikes: u32,
        /// How long such a request is refused, in milliseconds.
        pub quarantine_millis: u64,
        /// How long a flapping server gets no work, in milliseconds.
        pub hold_down_millis: u64,
        /// Treatment of each class.
        pub classes: BTreeMap<ClassId, ClassPolicy>,
        /// Teams with a weight or limit of their own; others get the default.
        pub teams: BTreeMap<TeamId, TeamPolicy>,
    }

    /// Treatment of one class.
    #[derive(Copy)]
    pub struct ClassPolicy {
        /// Whether it must be prompt and may use the reserved slots.
        pub quick: bool,
        /// Priority; lower is admitted first among classes of the same kind.
        pub priority: u32,
        /// Tokens expected in an answer before any was seen.
        pub expected_tokens: u32,
    }

    /// Share and limit of one team.
    #[derive(Copy)]
    pub struct TeamPolicy {
        /// Share relative to other teams, at least one.
        pub weight: u32,
        /// Most requests open at once on the servers of one owner.
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
    /// Treatment of `class`; that of long work if it is not declared.
    pub fn class(&self, class: ClassId) -> ClassPolicy {
        self.classes.get(&class).copied().unwrap_or_default()
    }

    /// Share and limit of `team`.
    pub fn team(&self, team: TeamId) -> TeamPolicy {
        self.teams.get(&team).copied().unwrap_or_default()
    }

    /// Most slots of a server with `slots` that long work may hold, at least one.
    pub fn long_slots(&self, slots: u32) -> u32 {
        let share = u64::from(slots) * u64::from(self.long_share_percent) / 100;
        (share as u32).clamp(1, slots.max(1))
    }
}
