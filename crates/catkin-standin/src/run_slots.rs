//! Run slots of an engine, granted by priority and then in order of arrival.

use std::collections::BTreeMap;

/// Result of requesting a slot.
pub(crate) enum SlotGrant {
    /// The request has a slot and may run.
    Now,
    /// The request is queued; the channel receives a message when it gets a slot.
    Later(flume::Receiver<()>),
    /// The queue is full.
    Refused,
}

/// Slots in use and the queue of requests that wait for one.
pub(crate) struct RunSlots {
    slots: usize,
    queue_limit: usize,
    running: usize,
    arrivals: u64,
    waiting: BTreeMap<(u32, u64), flume::Sender<()>>,
}

impl RunSlots {
    /// Creates `slots` free slots and an empty queue.
    pub(crate) fn new(slots: usize, queue_limit: usize) -> Self {
        Self { slots, queue_limit, running: 0, arrivals: 0, waiting: BTreeMap::new() }
    }

    /// Requests a slot. Lower priority numbers are served first.
    pub(crate) fn request_slot(&mut self, priority: u32) -> SlotGrant {
        if self.running < self.slots {
            self.running += 1;
            return SlotGrant::Now;
        }
        if self.waiting.len() >= self.queue_limit {
            return SlotGrant::Refused;
        }
        let (sender, receiver) = flume::bounded(1);
        self.arrivals += 1;
        self.waiting.insert((priority, self.arrivals), sender);
        SlotGrant::Later(receiver)
    }

    /// Releases a slot and passes it to the first queued request that still waits.
    pub(crate) fn release(&mut self) {
        while let Some((_, sender)) = self.waiting.pop_first() {
            if sender.send(()).is_ok() {
                return;
            }
        }
        self.running = self.running.saturating_sub(1);
    }
}
