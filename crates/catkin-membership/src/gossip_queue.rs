//! Selects the member updates that are attached to the next message.

use std::collections::BTreeMap;

use catkin_base::VmId;

/// Members whose update changed, with the number of times that it was sent since.
#[derive(Debug)]
pub(crate) struct GossipQueue {
    sends: BTreeMap<VmId, u32>,
    /// Makes the order of updates with equal send counts differ between routers.
    salt: u64,
}

impl GossipQueue {
    /// Creates an empty queue.
    pub(crate) fn new(salt: u64) -> Self {
        Self { sends: BTreeMap::new(), salt }
    }

    /// Queues the update about `vm`; resets its send count if it was queued before.
    pub(crate) fn push(&mut self, vm: VmId) {
        self.sends.insert(vm, 0);
    }

    /// Removes the update about `vm` from the queue.
    pub(crate) fn remove(&mut self, vm: VmId) {
        self.sends.remove(&vm);
    }

    /// Counts one more send of each update that a member already has. Removes the updates whose
    /// count reaches `max_sends`.
    pub(crate) fn count_known_as_sent(&mut self, max_sends: u32, is_known: impl Fn(VmId) -> bool) {
        self.sends.retain(|&vm, sends| {
            *sends += u32::from(is_known(vm));
            *sends < max_sends
        });
    }

    /// Takes up to `count` members in ascending order of their send counts. An update that was sent
    /// `max_sends` times leaves the queue.
    pub(crate) fn take(&mut self, count: usize, max_sends: u32) -> Vec<VmId> {
        let mut waiting: Vec<(u32, VmId)> =
            self.sends.iter().map(|(&vm, &sends)| (sends, vm)).collect();
        waiting.sort_unstable_by_key(|&(sends, vm)| (sends, vm.0 ^ self.salt));
        waiting.truncate(count);
        for &(sends, vm) in &waiting {
            if sends + 1 < max_sends {
                self.sends.insert(vm, sends + 1);
            } else {
                self.sends.remove(&vm);
            }
        }
        waiting.into_iter().map(|(_, vm)| vm).collect()
    }
}
