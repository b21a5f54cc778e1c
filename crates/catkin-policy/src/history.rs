//! Expected service times from the history of similar requests.

use std::collections::BTreeMap;

use catkin_base::ClassId;

use crate::rules::ClassPolicy;

/// Time to generate one token before any request of a class was seen, in microseconds.
const DEFAULT_TOKEN_MICROS: u64 = 25_000;
/// Weight of the newest request in the running mean, as one over this.
const CLASS_MEAN_DIVISOR: u64 = 16;
/// The same for the mean over all classes.
const OVERALL_MEAN_DIVISOR: u64 = 128;
/// Mean time over all classes before any request ended, in microseconds.
const INITIAL_MEAN_MICROS: u64 = 5_000_000;

/// Running mean of the time that requests of each class occupy a server.
#[derive(Debug, Clone)]
pub(crate) struct ServiceHistory {
    classes: BTreeMap<ClassId, u64>,
    mean_micros: u64,
}

impl Default for ServiceHistory {
    fn default() -> Self {
        Self { classes: BTreeMap::new(), mean_micros: INITIAL_MEAN_MICROS }
    }
}

impl ServiceHistory {
    /// Notes that a request occupied a server for `micros`.
    pub(crate) fn record_service(&mut self, class: ClassId, micros: u64) {
        let mean = self.classes.entry(class).or_insert(micros);
        *mean = (*mean * (CLASS_MEAN_DIVISOR - 1) + micros) / CLASS_MEAN_DIVISOR;
        self.mean_micros =
            (self.mean_micros * (OVERALL_MEAN_DIVISOR - 1) + micros) / OVERALL_MEAN_DIVISOR;
    }

    /// Mean time that a request of any class occupies a server, in microseconds.
    pub(crate) fn mean_micros(&self) -> u64 {
        self.mean_micros
    }

    /// Expected time of a request of `class`, in microseconds.
    pub(crate) fn estimate_micros(&self, class: ClassId, policy: ClassPolicy) -> u64 {
        let declared = u64::from(policy.expected_tokens.max(1)) * DEFAULT_TOKEN_MICROS;
        self.classes.get(&class).copied().unwrap_or(declared).max(1)
    }
}
