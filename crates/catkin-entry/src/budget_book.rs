//! Retry budgets of this router, one for each service.

use std::collections::BTreeMap;

use catkin_base::ClockTime;
use catkin_policy::{BudgetUsage, RetryBudget};

/// Fraction of the fleet's extra retries that all routers together use. The rest is for routers that
/// start again.
const EXTRA_RETRIES_FRACTION: f64 = 0.8;
/// The fraction that routers use just after they started again: what their earlier processes spent
/// still counts.
const RESTART_FRACTION: f64 = 0.2;
/// Time after the start of a router during which its earlier process counts, in milliseconds.
const RESTART_MILLIS: u64 = 11_000;

/// Retry budgets by service.
#[derive(Debug, Clone)]
pub struct BudgetBook {
    percent: u32,
    extra: f64,
    /// Whether the fleet starts for the first time, so that no retries were made before.
    first_start: bool,
    budgets: BTreeMap<String, RetryBudget>,
}

impl BudgetBook {
    /// Creates budgets of `ratio` retries per request plus `extra` retries in each window of 10
    /// seconds for the whole fleet. `first_start` tells that there are no earlier processes.
    pub fn new(ratio: f64, extra: f64, first_start: bool) -> Self {
        // Rounded down, so that the limit is never exceeded.
        let percent = (ratio * 100.0) as u32;
        Self { percent, extra, first_start, budgets: BTreeMap::new() }
    }

    /// Changes the limits of all budgets; see [`Self::new`].
    pub fn set_limits(&mut self, ratio: f64, extra: f64) {
        self.percent = (ratio * 100.0) as u32;
        self.extra = extra;
        for budget in self.budgets.values_mut() {
            budget.set_percent(self.percent);
        }
    }

    /// Records a first attempt at `service`. `routers` is the number of
    /// routers that share the extra retries.
    pub fn record_request(&mut self, now: ClockTime, service: &str, routers: u32) {
        self.update_budget(now, service, routers).record_request(now);
    }

    /// Spends one retry at `service`; returns false if the budget is exhausted.
    pub fn try_retry(&mut self, now: ClockTime, service: &str, routers: u32) -> bool {
        self.update_budget(now, service, routers).try_retry(now)
    }

    /// Returns what counts in the budget of `service`.
    pub fn usage(&mut self, now: ClockTime, service: &str, routers: u32) -> BudgetUsage {
        self.update_budget(now, service, routers).usage(now)
    }

    /// The budget of `service`, with this router's current share of the extra retries.
    fn update_budget(&mut self, now: ClockTime, service: &str, routers: u32) -> &mut RetryBudget {
        let starts_again = !self.first_start && now < ClockTime::ZERO.plus_millis(RESTART_MILLIS);
        let fraction = if starts_again { RESTART_FRACTION } else { EXTRA_RETRIES_FRACTION };
        // Rounded down, so that the limit is never exceeded.
        let share = (self.extra * fraction / f64::from(routers.max(1))) as u64;
        if !self.budgets.contains_key(service) {
            self.budgets.insert(service.to_owned(), RetryBudget::new(self.percent));
        }
        let budget = self.budgets.get_mut(service).expect("the budget was inserted above");
        budget.set_extra_retries(share);
        budget
    }
}
