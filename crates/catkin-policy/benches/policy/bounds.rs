//! Bounds that fail the bench, from the stated targets.

/// Least cache reuse relative to the omniscient way.
pub const LEAST_REUSE_SHARE: f64 = 0.95;
/// Most admissions over the bound.
pub const MOST_OVER_BOUND: u64 = 0;
/// Most load of the busiest server relative to the bound, in the median over time.
pub const MOST_BOUND_SHARE: f64 = 1.0;
/// Most control bytes that a router sends in a second, held against the mean over routers and
/// against the router that sends most.
pub const MOST_CONTROL_BYTES: f64 = 6.0 * 1024.0;
/// Most 95th percentile of a quick request's wait under a surge relative to the steady one.
pub const MOST_SURGE_WAIT_SHARE: f64 = 1.2;
/// Most requests that were neither started nor refused by their deadline.
pub const MOST_STARVED: u64 = 0;
/// Most requests admitted or started twice.
pub const MOST_DOUBLED: u64 = 0;
