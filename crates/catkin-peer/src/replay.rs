//! Replay protection: detects frames that were received before.

use std::collections::BTreeMap;

use catkin_base::{VmId, copy_type};

use crate::drop_reason::DropReason;

/// Number of words in the bitmap of a replay window, which covers 1,024 sequence numbers.
const WINDOW_WORDS: usize = 16;
/// Number of sequence numbers per word of the bitmap.
const WORD_BITS: u64 = 64;
/// Number of sequence numbers that a replay window covers.
const WINDOW_FRAMES: u64 = WINDOW_WORDS as u64 * WORD_BITS;

/// Maximum number of senders with a replay window. Beyond it, the window of the sender that was
/// active least recently is evicted.
const MAX_SENDERS: usize = 4_096;

/// The replay windows of all senders.
#[derive(Debug, Default)]
pub(crate) struct SenderWindows {
    windows: BTreeMap<VmId, SenderWindow>,
    /// Number of frames checked so far, by which the least recently active sender is found.
    frames: u64,
}

/// The replay window of one sender.
#[derive(Debug)]
struct SenderWindow {
    window: ReplayWindow,
    /// Value of [`SenderWindows::frames`] at the last frame of the sender.
    last_frame: u64,
}

impl SenderWindows {
    /// Incarnation of the newest process on `vm` that a frame arrived from; zero if none.
    pub(crate) fn incarnation_of(&self, vm: VmId) -> u64 {
        self.windows.get(&vm).map_or(0, |sender| sender.window.incarnation)
    }

    /// Accepts a sequence number of a sender's process, unless it was received before, is older
    /// than the window, or belongs to an earlier process.
    pub(crate) fn accept(
        &mut self,
        vm: VmId,
        incarnation: u64,
        sequence: u64,
    ) -> Result<(), DropReason> {
        self.frames += 1;
        let last_frame = self.frames;
        match self.windows.get_mut(&vm) {
            Some(sender) if incarnation < sender.window.incarnation => Err(DropReason::OldSender),
            Some(sender) if incarnation == sender.window.incarnation => {
                sender.last_frame = last_frame;
                sender.window.accept(sequence)
            }
            _ => {
                let window = ReplayWindow::open(incarnation, sequence);
                self.windows.insert(vm, SenderWindow { window, last_frame });
                self.evict_oldest();
                Ok(())
            }
        }
    }

    fn evict_oldest(&mut self) {
        if self.windows.len() <= MAX_SENDERS {
            return;
        }
        let oldest = self.windows.iter().min_by_key(|(_, sender)| sender.last_frame);
        if let Some(vm) = oldest.map(|(&vm, _)| vm) {
            self.windows.remove(&vm);
        }
    }
}

copy_type! {
    /// Sliding window of the sequence numbers received from one process.
    struct ReplayWindow {
        incarnation: u64,
        first: u64,
        highest: u64,
        seen: [u64; WINDOW_WORDS],
    }
}

impl ReplayWindow {
    /// Opens the window with the first frame received from a process.
    fn open(incarnation: u64, sequence: u64) -> Self {
        let mut window =
            Self { incarnation, first: sequence, highest: sequence, seen: [0; WINDOW_WORDS] };
        window.mark(sequence);
        window
    }

    /// Accepts a sequence number, unless it was received before or is older than the window.
    fn accept(&mut self, sequence: u64) -> Result<(), DropReason> {
        if self.is_stale(sequence) {
            return Err(DropReason::Replayed);
        }
        if sequence > self.highest {
            self.advance(sequence);
        }
        self.mark(sequence);
        Ok(())
    }

    fn is_stale(&self, sequence: u64) -> bool {
        if sequence > self.highest {
            return false;
        }
        let out_of_window = sequence < self.first || self.highest - sequence >= WINDOW_FRAMES;
        out_of_window || self.is_marked(sequence)
    }

    fn advance(&mut self, sequence: u64) {
        let steps = (sequence - self.highest).min(WINDOW_FRAMES);
        for step in 0..steps {
            self.clear(sequence - step);
        }
        self.highest = sequence;
    }

    fn mark(&mut self, sequence: u64) {
        self.seen[word_index(sequence)] |= bit_mask(sequence);
    }

    fn clear(&mut self, sequence: u64) {
        self.seen[word_index(sequence)] &= !bit_mask(sequence);
    }

    fn is_marked(&self, sequence: u64) -> bool {
        self.seen[word_index(sequence)] & bit_mask(sequence) != 0
    }
}

fn word_index(sequence: u64) -> usize {
    ((sequence / WORD_BITS) % WINDOW_WORDS as u64) as usize
}

fn bit_mask(sequence: u64) -> u64 {
    1 << (sequence % WORD_BITS)
}
