//! Estimated service times from earlier requests of the same class.

use std::collections::BTreeMap;

use catkin_base::ClassId;

use crate::rules::ClassPolicy;

/// Time to generate one token, for a class without a completed request, in microseconds.
const DEFAULT_TOKEN_MICROS: u64 = 25_000;
/// The newest request has the weight of one over this in the moving mean of its class.
const CLASS_MEAN_DIVISOR: u64 = 16;
/// The newest request has the weight of one over this in the moving mean over all classes.
const OVERALL_MEAN_DIVISOR: u64 = 128;
/// Initial value of the mean over all classes, in microseconds.
const INITIAL_MEAN_MICROS: u64 = 5_000_000;

/// Exponential moving mean of the service time of requests, by class and over all classes.
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
    /// Records that a request occupied a server for `micros` microseconds.
    pub(crate) fn record_service(&mut self, class: ClassId, micros: u64) {
        let mean = self.classes.entry(class).or_insert(micros);
        *mean = (*mean * (CLASS_MEAN_DIVISOR - 1) + micros) / CLASS_MEAN_DIVISOR;
        self.mean_micros =
            (self.mean_micros * (OVERALL_MEAN_DIVISOR - 1) + micros) / OVERALL_MEAN_DIVISOR;
    }

    /// Returns the mean service time over all classes, in microseconds.
    pub(crate) fn mean_micros(&self) -> u64 {
        self.mean_micros
    }

    /// Returns the expected service time of a request of `class`, in microseconds.
    pub(crate) fn estimate_micros(&self, class: ClassId, policy: ClassPolicy) -> u64 {
        let declared = u64::from(policy.expected_tokens.max(1)) * DEFAULT_TOKEN_MICROS;
        self.classes.get(&class).copied().unwrap_or(declared).max(1)
    }
}
