//! Spreads requests over servers whose loads the routers know late.
//!
//! Answers the pattern of many routers that choose at the same moment from the same reports: the
//! server with the least load gets the requests of all of them until the next report, and the others
//! idle. The requests that the other routers send between the reports and the decision are unseen. If
//! they filled the cheapest servers evenly, they would raise their costs to a common level. Each server
//! is chosen with the probability of its part of that filling: the older the reports, or the more
//! requests a service gets, the flatter the choice; without unseen requests the least cost decides. The
//! positions in the filling follow a sequence that covers it evenly, so that the requests of one router
//! are spread more evenly than by chance.

use std::collections::BTreeMap;

use catkin_base::hash_parts;

use crate::load_table::ServiceKey;

/// Time for which a report is under way and waits to be read, in milliseconds.
const REPORT_TRANSIT_MILLIS: f64 = 10.0;
/// Step of a sequence that covers a range evenly: the inverse of the golden ratio, in parts of 2^64.
const LOT_STEP: u64 = 0x9e37_79b9_7f4a_7c15;

/// What a router knows of the requests that it doesn't see, and its position among the servers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SpreadQuery {
    /// Position in the filling of the servers, in parts of 2^64. It must differ between routers.
    pub lot: u64,
    /// Requests that the other routers are expected to have sent to each server of the service since the
    /// loads were reported.
    pub unseen_requests: f64,
    /// Time that a server needs to prefill what is particular to this request, in milliseconds. Other
    /// requests are taken to be alike.
    pub own_millis: f64,
}

/// Cost of a server, and what each further request adds to it, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FillCost {
    /// The cost.
    pub millis: f64,
    /// Addition by each request; above zero.
    pub request_millis: f64,
}

/// What decides how many requests a router does not see.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct UnseenInput {
    /// Requests of this router for the service in a second.
    pub own_rate: f64,
    /// Live routers, this one included.
    pub routers: u32,
    /// Servers of the service.
    pub servers: usize,
    /// Mean age of what the reports say, in milliseconds.
    pub age_millis: f64,
}

/// Estimates the requests that the other routers sent to each server since the loads were reported.
pub fn estimate_unseen(input: &UnseenInput) -> f64 {
    let others = f64::from(input.routers.saturating_sub(1));
    let seconds = (input.age_millis + REPORT_TRANSIT_MILLIS) / 1_000.0;
    input.own_rate * others * seconds / input.servers.max(1) as f64
}

/// Chooses a server by filling the cheapest ones evenly with `unseen` requests. Returns its index.
pub fn choose_by_fill(costs: &[FillCost], unseen: f64, lot: u64) -> Option<usize> {
    let level = find_level(costs, unseen)?;
    let part = |cost: &FillCost| (level - cost.millis).max(0.0) / cost.request_millis;
    let total: f64 = costs.iter().map(part).sum();
    let mut rest = lot as f64 / 2f64.powi(64) * total;
    let mut last = None;
    for (index, cost) in costs.iter().enumerate().filter(|(_, cost)| cost.millis < level) {
        last = Some(index);
        rest -= part(cost);
        if rest < 0.0 {
            break;
        }
    }
    last
}

/// Finds the cost up to which `unseen` requests raise the cheapest servers: fills all servers, then
/// leaves out those above the level until none is.
fn find_level(costs: &[FillCost], unseen: f64) -> Option<f64> {
    let mut level = f64::INFINITY;
    let mut count = usize::MAX;
    loop {
        let filled = costs.iter().filter(|cost| cost.millis <= level);
        let (mut rates, mut sum, mut filled_count) = (0.0, 0.0, 0);
        for cost in filled {
            let rate = 1.0 / cost.request_millis;
            rates += rate;
            sum += cost.millis * rate;
            filled_count += 1;
        }
        if filled_count == count || filled_count == 0 {
            return level.is_finite().then_some(level);
        }
        count = filled_count;
        level = (unseen + sum) / rates;
    }
}

/// The positions that a router has used, by service.
#[derive(Debug, Clone, Default)]
pub struct LotTable {
    lots: BTreeMap<ServiceKey, u64>,
}

impl LotTable {
    /// Returns the next position for a request to `service`. The sequence of each router starts
    /// elsewhere.
    pub fn next_lot(&mut self, router: u64, service: ServiceKey) -> u64 {
        let first = || hash_parts(&[&router.to_le_bytes(), &service.0.to_le_bytes()]);
        let lot = self.lots.entry(service).or_insert_with(first);
        *lot = lot.wrapping_add(LOT_STEP);
        *lot
    }

    /// Removes the services for which `is_listed` is false.
    pub fn retain_services(&mut self, is_listed: impl Fn(ServiceKey) -> bool) {
        self.lots.retain(|service, _| is_listed(*service));
    }
}
