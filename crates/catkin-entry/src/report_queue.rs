//! Items to be reported to other routers, each several times.

use std::collections::VecDeque;

use catkin_base::{RequestDigest, ServerId};

/// A server that broke off while it ran a request, with the digest of the request's content.
pub type Strike = (RequestDigest, ServerId);

/// Number of reports that each item is sent in. Reports are datagrams, which may be lost.
const REPORTS_PER_ITEM: u32 = 3;
/// Maximum number of items that wait; further ones are dropped.
const MAX_ITEMS: usize = 256;

/// Items that are still to be reported, in the order in which they are sent next.
#[derive(Debug, Clone)]
pub struct ReportQueue<Item> {
    items: VecDeque<(Item, u32)>,
}

impl<Item> Default for ReportQueue<Item> {
    fn default() -> Self {
        Self { items: VecDeque::new() }
    }
}

impl<Item: Clone + PartialEq> ReportQueue<Item> {
    /// Adds an item, unless it waits already.
    pub fn push(&mut self, item: Item) {
        let waits = self.items.iter().any(|(known, _)| *known == item);
        if !waits && self.items.len() < MAX_ITEMS {
            self.items.push_back((item, REPORTS_PER_ITEM));
        }
    }

    /// Returns the items of the next report, `limit` at most.
    pub fn next_batch(&mut self, limit: usize) -> Vec<Item> {
        let count = self.items.len().min(limit);
        let batch: Vec<(Item, u32)> = self.items.drain(..count).collect();
        let repeated = batch.iter().filter(|(_, reports)| *reports > 1).cloned();
        self.items.extend(repeated.map(|(item, reports)| (item, reports - 1)));
        batch.into_iter().map(|(item, _)| item).collect()
    }

    /// Whether no item waits.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }
}
