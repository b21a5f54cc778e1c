//! Retry budgets of this router, one for each service: its parts of the budgets of all routers.

use std::collections::BTreeMap;

use catkin_base::ClockTime;
use catkin_policy::{BudgetUsage, RETRY_CREDIT, SharedBudget};

/// Retry budgets by service.
#[derive(Debug, Clone)]
pub struct BudgetBook {
    /// Credit for the extra retries of all routers in a window.
    extra_credit: u64,
    /// The budget of a service without requests so far.
    unused: SharedBudget,
    budgets: BTreeMap<String, SharedBudget>,
}

impl BudgetBook {
    /// Creates budgets of `ratio` retries per request plus `extra` retries in each window of 10
    /// seconds for the whole fleet. `first_start` tells that there are no earlier processes.
    pub fn new(ratio: f64, extra: f64, first_start: bool) -> Self {
        let unused = SharedBudget::new(compute_credit(ratio), first_start);
        Self { extra_credit: compute_credit(extra), unused, budgets: BTreeMap::new() }
    }

    /// Takes back the extra retries for the time before the start, since another process ran then.
    pub fn expect_earlier_process(&mut self) {
        self.all_budgets().for_each(SharedBudget::expect_earlier_process);
    }

    /// Changes the limits of all budgets; see [`Self::new`].
    pub fn set_limits(&mut self, ratio: f64, extra: f64) {
        self.extra_credit = compute_credit(extra);
        for budget in self.all_budgets() {
            budget.set_request_credit(compute_credit(ratio));
        }
    }

    /// Credits the extra retries for the time that has passed. They are divided among `routers`; `None` if
    /// their number is not known yet.
    pub fn accrue(&mut self, now: ClockTime, routers: Option<u32>) {
        let Some(routers) = routers else { return };
        let share = self.extra_credit / u64::from(routers.max(1));
        for budget in self.all_budgets() {
            budget.accrue(now, share);
        }
    }

    /// Records a first attempt at `service`.
    pub fn record_request(&mut self, now: ClockTime, service: &str) {
        self.get_budget(service).record_request(now);
    }

    /// Spends one retry at `service`; returns false if the budget is exhausted.
    pub fn try_retry(&mut self, now: ClockTime, service: &str) -> bool {
        self.get_budget(service).try_retry(now)
    }

    /// Returns what counts in the budget of `service`.
    pub fn usage(&self, now: ClockTime, service: &str) -> BudgetUsage {
        self.budgets.get(service).unwrap_or(&self.unused).usage(now)
    }

    fn all_budgets(&mut self) -> impl Iterator<Item = &mut SharedBudget> {
        self.budgets.values_mut().chain([&mut self.unused])
    }

    fn get_budget(&mut self, service: &str) -> &mut SharedBudget {
        if !self.budgets.contains_key(service) {
            self.budgets.insert(service.to_owned(), self.unused.clone());
        }
        self.budgets.get_mut(service).expect("the budget was inserted above")
    }
}

/// The credit for a number of retries, rounded down so that no limit is exceeded.
fn compute_credit(retries: f64) -> u64 {
    (retries * RETRY_CREDIT as f64) as u64
}
