//! Routers that repeat as much as their budgets allow, and the limit on the repeats of all of them.

use catkin_base::ClockTime;
use catkin_entry::BudgetBook;

pub const SERVICE: &str = "s";
/// Length of the windows in which repeats and requests are counted, in milliseconds.
pub const WINDOW_MILLIS: u64 = 10_000;
/// Time between two steps of the routers, in milliseconds.
pub const STEP_MILLIS: u64 = 50;
/// Maximum number of requests that wait for a repeat at a router in one step.
const WAITING_REPEATS: usize = 40;
/// Time for which a router that starts again is down, in milliseconds.
const DOWN_MILLIS: u64 = 500;
/// Maximum time between a payment and the arrival of the repeat, in milliseconds.
const MAX_ARRIVAL_MILLIS: u64 = 500;

/// Maximum time between the sending of a request and its arrival at the router, in milliseconds.
const MAX_REQUEST_MILLIS: u64 = 400;

/// Limits on the repeats of all routers in a window.
#[derive(Debug, Clone, Copy)]
pub struct RepeatLimits {
    pub ratio: f64,
    pub extra: f64,
}

/// What happens at one router.
#[derive(Debug, Clone, Default)]
pub struct RouterDay {
    /// Requests that callers send in each second.
    pub requests: Vec<u64>,
    /// Times of a kill, in milliseconds, ascending.
    pub kills: Vec<u64>,
}

impl RouterDay {
    pub fn steady(per_second: u64, seconds: usize) -> Self {
        Self { requests: vec![per_second; seconds], kills: Vec::new() }
    }
}

/// Times at which requests were sent and repeats arrived, in milliseconds, ascending.
#[derive(Debug, Default)]
pub struct RepeatRecord {
    pub requests: Vec<u64>,
    pub repeats: Vec<u64>,
}

impl RepeatRecord {
    /// Number of repeats that arrived from `from` until `until`.
    pub fn count_repeats(&self, from: u64, until: u64) -> usize {
        count_between(&self.repeats, from, until)
    }

    pub fn count_requests(&self, from: u64, until: u64) -> usize {
        count_between(&self.requests, from, until)
    }

    /// Returns each window with more repeats than `limits` allow: its start, its repeats, the limit.
    pub fn list_excesses(&self, limits: RepeatLimits) -> Vec<(u64, usize, f64)> {
        let excess = |from: &u64| {
            let repeats = self.count_repeats(*from, from + WINDOW_MILLIS);
            let before = self.count_requests(from.saturating_sub(WINDOW_MILLIS), *from);
            let half = WINDOW_MILLIS / 2;
            let around = self.count_requests(from.saturating_sub(half), from + half);
            let within = self.count_requests(*from, from + WINDOW_MILLIS);
            let requests = before.max(around).max(within);
            let allowed = limits.ratio * requests as f64 + limits.extra;
            (repeats as f64 > allowed).then_some((*from, repeats, allowed))
        };
        self.repeats.iter().filter_map(excess).collect()
    }
}

fn count_between(times: &[u64], from: u64, until: u64) -> usize {
    times.partition_point(|at| *at < until) - times.partition_point(|at| *at < from)
}

/// A router's process and its clock.
struct RouterProcess {
    started: u64,
    book: BudgetBook,
}

impl RouterProcess {
    fn now(&self, millis: u64) -> ClockTime {
        ClockTime::from_millis(millis - self.started)
    }
}

/// Plays a day of all routers. Each one repeats as much as it may while `is_rejecting` at that time.
pub fn play_day(
    limits: RepeatLimits,
    routers: &[RouterDay],
    is_rejecting: impl Fn(u64) -> bool,
) -> RepeatRecord {
    let count = routers.len() as u32;
    let mut record = RepeatRecord::default();
    for day in routers {
        play_router(limits, day, count, &is_rejecting, &mut record);
    }
    record.requests.sort_unstable();
    record.repeats.sort_unstable();
    record
}

fn play_router(
    limits: RepeatLimits,
    day: &RouterDay,
    routers: u32,
    is_rejecting: &impl Fn(u64) -> bool,
    record: &mut RepeatRecord,
) {
    let start = |started: u64, is_first: bool| RouterProcess {
        started,
        book: BudgetBook::new(limits.ratio, limits.extra, is_first),
    };
    let mut process = start(0, true);
    let mut kills = day.kills.iter().copied().peekable();
    let mut unsent = 0.0;
    for millis in (0..day.requests.len() as u64 * 1_000).step_by(STEP_MILLIS as usize) {
        while kills.next_if(|kill| *kill <= millis).is_some() {
            process = start(millis + DOWN_MILLIS, false);
        }
        unsent += day.requests[millis as usize / 1_000] as f64 * STEP_MILLIS as f64 / 1_000.0;
        let sent = unsent as usize;
        unsent -= sent as f64;
        let sent_at = |number| millis.saturating_sub(number as u64 * 97 % MAX_REQUEST_MILLIS);
        record.requests.extend((0..sent).map(sent_at));
        if millis < process.started {
            continue;
        }
        let now = process.now(millis);
        process.book.accrue(now, Some(routers));
        for _ in 0..sent {
            process.book.record_request(now, SERVICE);
        }
        if !is_rejecting(millis) {
            continue;
        }
        for number in 0..WAITING_REPEATS {
            if !process.book.try_retry(now, SERVICE) {
                break;
            }
            record.repeats.push(millis + number as u64 * 131 % MAX_ARRIVAL_MILLIS);
        }
    }
}
