//! Bounds of the measured values, taken from the stated targets. A run that exceeds one fails the
//! bench.

/// Minimum cache reuse relative to the omniscient strategy.
pub const MIN_REUSE_RATIO: f64 = 0.95;
/// Maximum number of admissions that exceed the load bound of their server.
pub const MAX_OVER_BOUND: u64 = 0;
/// Maximum of the load of the busiest server relative to the load bound, as a median over time.
pub const MAX_BOUND_RATIO: f64 = 1.0;
/// Maximum control traffic that a router sends, in bytes per second. Both the mean over all routers
/// and the router that sends the most are checked.
pub const MAX_CONTROL_BYTES: f64 = 6.0 * 1024.0;
/// Maximum 95th percentile of the wait of quick requests in the surge scenario, relative to the
/// steady scenario.
pub const MAX_SURGE_WAIT_RATIO: f64 = 1.2;
/// Maximum number of requests that were neither started nor refused by their deadline.
pub const MAX_STARVED: u64 = 0;
/// Maximum number of requests that were started twice.
pub const MAX_DOUBLED: u64 = 0;
