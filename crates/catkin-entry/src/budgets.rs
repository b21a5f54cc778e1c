//! This router's share of each service's retry budget.

use std::collections::BTreeMap;

use catkin_base::ClockTime;
use catkin_policy::RetryBudget;

/// Part of the fleet's free retries that all routers together use: routers that do not see one
/// another for a moment must not pass the whole.
const SHARED_PART: f64 = 0.8;

/// Retry budgets by service.
#[derive(Debug, Clone)]
pub struct BudgetBook {
    percent: u32,
    extra: f64,
    rows: BTreeMap<String, RetryBudget>,
}

impl BudgetBook {
    /// Budgets of `ratio` retries a request and `extra` for the whole fleet in each window.
    pub fn new(ratio: f64, extra: f64) -> Self {
        // Rounded down, so that the share is never passed.
        let percent = (ratio * 100.0) as u32;
        Self { percent, extra, rows: BTreeMap::new() }
    }

    /// Changes the limits.
    pub fn set_limits(&mut self, ratio: f64, extra: f64) {
        self.percent = (ratio * 100.0) as u32;
        self.extra = extra;
        for row in self.rows.values_mut() {
            row.set_percent(self.percent);
        }
    }

    /// Counts a first attempt at `service`.
    pub fn note_request(&mut self, now: ClockTime, service: &str, routers: u32) {
        self.row(service, routers).record_request(now);
    }

    /// Takes one retry at `service`; false if none is left.
    pub fn try_retry(&mut self, now: ClockTime, service: &str, routers: u32) -> bool {
        self.row(service, routers).try_retry(now)
    }

    fn row(&mut self, service: &str, routers: u32) -> &mut RetryBudget {
        // Rounded down, as above.
        let share = (self.extra * SHARED_PART / f64::from(routers.max(1))) as u64;
        if !self.rows.contains_key(service) {
            self.rows.insert(service.to_owned(), RetryBudget::new(self.percent));
        }
        let row = self.rows.get_mut(service).expect("the row was inserted above");
        row.set_min_retries(share);
        row
    }
}
