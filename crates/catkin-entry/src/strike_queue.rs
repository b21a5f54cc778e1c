//! Strikes to be reported to other routers, each several times.

use std::collections::VecDeque;

use catkin_base::{RequestDigest, ServerId};

/// A server that broke off while it ran a request, with the digest of the request's content.
pub type Strike = (RequestDigest, ServerId);

/// Number of reports that each strike is sent in. Reports are datagrams, which may be lost.
const REPORTS_PER_STRIKE: u32 = 3;
/// Maximum number of strikes that wait; further ones are dropped.
const MAX_STRIKES: usize = 256;

/// Strikes that are still to be reported, in the order in which they are sent next.
#[derive(Debug, Clone, Default)]
pub struct StrikeQueue {
    strikes: VecDeque<(Strike, u32)>,
}

impl StrikeQueue {
    /// Adds a strike, unless it waits already.
    pub fn push(&mut self, strike: Strike) {
        let waits = self.strikes.iter().any(|(known, _)| *known == strike);
        if !waits && self.strikes.len() < MAX_STRIKES {
            self.strikes.push_back((strike, REPORTS_PER_STRIKE));
        }
    }

    /// Returns the strikes of the next report, `limit` at most.
    pub fn next_batch(&mut self, limit: usize) -> Vec<Strike> {
        let count = self.strikes.len().min(limit);
        let batch: Vec<(Strike, u32)> = self.strikes.drain(..count).collect();
        let repeated = batch.iter().filter(|(_, reports)| *reports > 1);
        self.strikes.extend(repeated.map(|(strike, reports)| (*strike, reports - 1)));
        batch.into_iter().map(|(strike, _)| strike).collect()
    }

    /// Whether no strike waits.
    pub fn is_empty(&self) -> bool {
        self.strikes.is_empty()
    }
}
