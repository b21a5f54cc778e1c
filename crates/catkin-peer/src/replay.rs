//! Recognizes frames that were received before.

use catkin_base::copy_type;

const WINDOW_WORDS: usize = 16;
const WORD_BITS: u64 = 64;

/// Sequence numbers that a window remembers.
pub(crate) const WINDOW_FRAMES: u64 = WINDOW_WORDS as u64 * WORD_BITS;

copy_type! {
    /// Sequence numbers received from one process.
    pub(crate) struct ReplayWindow {
        incarnation: u64,
        first: u64,
        highest: u64,
        seen: [u64; WINDOW_WORDS],
    }
}

impl ReplayWindow {
    /// A window opened by the first frame of a process.
    pub(crate) fn open(incarnation: u64, sequence: u64) -> Self {
        let mut window =
            Self { incarnation, first: sequence, highest: sequence, seen: [0; WINDOW_WORDS] };
        window.mark(sequence);
        window
    }

    /// The process whose frames it holds.
    pub(crate) fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Takes a sequence number; `false` if it was seen before or is too old to tell.
    pub(crate) fn take(&mut self, sequence: u64) -> bool {
        if sequence > self.highest {
            self.advance(sequence);
            self.mark(sequence);
            return true;
        }
        if sequence < self.first || self.highest - sequence >= WINDOW_FRAMES {
            return false;
        }
        let fresh = !self.is_marked(sequence);
        self.mark(sequence);
        fresh
    }

    fn advance(&mut self, sequence: u64) {
        let steps = (sequence - self.highest).min(WINDOW_FRAMES);
        for step in 0..steps {
            self.clear(sequence - step);
        }
        self.highest = sequence;
    }

    fn mark(&mut self, sequence: u64) {
        self.seen[word_of(sequence)] |= bit_of(sequence);
    }

    fn clear(&mut self, sequence: u64) {
        self.seen[word_of(sequence)] &= !bit_of(sequence);
    }

    fn is_marked(&self, sequence: u64) -> bool {
        self.seen[word_of(sequence)] & bit_of(sequence) != 0
    }
}

fn word_of(sequence: u64) -> usize {
    ((sequence / WORD_BITS) % WINDOW_WORDS as u64) as usize
}

fn bit_of(sequence: u64) -> u64 {
    1 << (sequence % WORD_BITS)
}
