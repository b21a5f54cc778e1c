//! Retry budget.

use catkin_base::ClockTime;

/// Length of the window over which requests are counted, in milliseconds.
const WINDOW_MILLIS: u64 = 10_000;
/// Number of parts of the window.
const WINDOW_PARTS: usize = 10;
/// Retries allowed in a window whatever the number of requests.
const FREE_RETRIES: u64 = 3;

/// Allows retries as a share of recent requests.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    percent: u32,
    free_retries: u64,
    parts: [BudgetPart; WINDOW_PARTS],
}

#[derive(Debug, Clone, Copy, Default)]
struct BudgetPart {
    number: u64,
    requests: u64,
    retries: u64,
}

impl RetryBudget {
    /// A budget of `percent` retries in a hundred requests.
    pub fn new(percent: u32) -> Self {
        let parts = [BudgetPart::default(); WINDOW_PARTS];
        Self { percent, free_retries: FREE_RETRIES, parts }
    }

    /// Changes the number of retries allowed in a window whatever the number of requests.
    pub fn set_min_retries(&mut self, free_retries: u64) {
        self.free_retries = free_retries;
    }

    /// Changes the share.
    pub fn set_percent(&mut self, percent: u32) {
        self.percent = percent;
    }

    /// Counts a request that is not a retry.
    pub fn record_request(&mut self, now: ClockTime) {
        self.part(now).requests += 1;
    }

    /// Takes one retry from the budget; false if none is left.
    pub fn try_retry(&mut self, now: ClockTime) -> bool {
        let current = part_number(now);
        let recent = self.parts.iter().filter(|part| part.number + WINDOW_PARTS as u64 > current);
        let (requests, retries) = recent.fold((0, 0), |(requests, retries), part| {
            (requests + part.requests, retries + part.retries)
        });
        let allowed = self.free_retries + requests * u64::from(self.percent) / 100;
        if retries >= allowed {
            return false;
        }
        self.part(now).retries += 1;
        true
    }

    fn part(&mut self, now: ClockTime) -> &mut BudgetPart {
        let number = part_number(now);
        let part = &mut self.parts[number as usize % WINDOW_PARTS];
        if part.number != number {
            *part = BudgetPart { number, ..BudgetPart::default() };
        }
        part
    }
}

fn part_number(now: ClockTime) -> u64 {
    now.millis_since(ClockTime::ZERO) / (WINDOW_MILLIS / WINDOW_PARTS as u64)
}
