//! Slots of an engine, given by priority and then by arrival.

use std::collections::BTreeMap;

/// What a request gets when it asks for a slot.
pub(crate) enum SlotGrant {
    /// It may run now.
    Now,
    /// It waits for its turn.
    Later(flume::Receiver<()>),
    /// Too many wait already.
    Refused,
}

/// Slots in use and requests that wait for one.
pub(crate) struct RunSlots {
    slots: usize,
    queue_limit: usize,
    running: usize,
    arrivals: u64,
    waiting: BTreeMap<(u32, u64), flume::Sender<()>>,
}

impl RunSlots {
    /// Free slots.
    pub(crate) fn new(slots: usize, queue_limit: usize) -> Self {
        Self { slots, queue_limit, running: 0, arrivals: 0, waiting: BTreeMap::new() }
    }

    /// Asks for a slot. A lower priority number comes first.
    pub(crate) fn ask(&mut self, priority: u32) -> SlotGrant {
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

    /// Gives a slot back and passes it to the first that still waits.
    pub(crate) fn release(&mut self) {
        while let Some((_, sender)) = self.waiting.pop_first() {
            if sender.send(()).is_ok() {
                return;
            }
        }
        self.running = self.running.saturating_sub(1);
    }
}
