//! Retry budgets of this router, one for each service.

use std::collections::BTreeMap;

use catkin_base::ClockTime;
use catkin_policy::{BudgetUsage, RetryBudget};

/// Fraction of the fleet's extra retries that all routers together use. Routers that do not see
/// one another for a moment count too few routers and so take too large a share; the fraction keeps
/// their sum within the limit.
const EXTRA_RETRIES_FRACTION: f64 = 0.8;

/// Retry budgets by service.
#[derive(Debug, Clone)]
pub struct BudgetBook {
    percent: u32,
    extra: f64,
    budgets: BTreeMap<String, RetryBudget>,
}

impl BudgetBook {
    /// Creates budgets of `ratio` retries per request plus `extra` retries in each window of 10
    /// seconds for the whole fleet.
    pub fn new(ratio: f64, extra: f64) -> Self {
        // Rounded down, so that the limit is never exceeded.
        let percent = (ratio * 100.0) as u32;
        Self { percent, extra, budgets: BTreeMap::new() }
    }

    /// Changes the limits of all budgets; see [`Self::new`].
    pub fn set_limits(&mut self, ratio: f64, extra: f64) {
        self.percent = (ratio * 100.0) as u32;
        self.extra = extra;
        for budget in self.budgets.values_mut() {
            budget.set_percent(self.percent);
        }
    }

    /// Records a first attempt at `service`. `routers` is the number of live routers.
    pub fn record_request(&mut self, now: ClockTime, service: &str, routers: u32) {
        self.update_budget(service, routers).record_request(now);
    }

    /// Spends one retry at `service`; returns false if the budget is exhausted.
    pub fn try_retry(&mut self, now: ClockTime, service: &str, routers: u32) -> bool {
        self.update_budget(service, routers).try_retry(now)
    }

    /// Returns what counts in the budget of `service`.
    pub fn usage(&mut self, now: ClockTime, service: &str, routers: u32) -> BudgetUsage {
        self.update_budget(service, routers).usage(now)
    }

    /// The budget of `service`, with this router's current share of the extra retries.
    fn update_budget(&mut self, service: &str, routers: u32) -> &mut RetryBudget {
        // Rounded down, so that the limit is never exceeded.
        let share = (self.extra * EXTRA_RETRIES_FRACTION / f64::from(routers.max(1))) as u64;
        if !self.budgets.contains_key(service) {
            self.budgets.insert(service.to_owned(), RetryBudget::new(self.percent));
        }
        let budget = self.budgets.get_mut(service).expect("the budget was inserted above");
        budget.set_extra_retries(share);
        budget
    }
}
