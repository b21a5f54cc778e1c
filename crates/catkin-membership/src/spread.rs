//! Which beliefs are spread next.

use std::collections::BTreeMap;

use catkin_base::VmId;

/// Members whose beliefs changed, with how often each was sent since.
#[derive(Debug)]
pub(crate) struct SpreadQueue {
    sends: BTreeMap<VmId, u32>,
    /// Makes the order of equally often sent beliefs differ between routers.
    salt: u64,
}

impl SpreadQueue {
    /// An empty queue.
    pub(crate) fn new(salt: u64) -> Self {
        Self { sends: BTreeMap::new(), salt }
    }

    /// Starts to spread the belief about `vm`, from the beginning if it was spreading.
    pub(crate) fn push(&mut self, vm: VmId) {
        self.sends.insert(vm, 0);
    }

    /// Stops spreading the belief about `vm`.
    pub(crate) fn remove(&mut self, vm: VmId) {
        self.sends.remove(&vm);
    }

    /// Counts the beliefs that a member is seen to hold already as sent once more.
    pub(crate) fn note_known(&mut self, max_sends: u32, is_known: impl Fn(VmId) -> bool) {
        self.sends.retain(|&vm, sends| {
            *sends += u32::from(is_known(vm));
            *sends < max_sends
        });
    }

    /// Takes up to `count` members, least sent first; each leaves the queue after `max_sends`.
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
