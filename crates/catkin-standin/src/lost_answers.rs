//! Decides which answers are lost.

use rand::Rng;
use rand::rngs::StdRng;

/// Loses a set number of the next answers, and a random fraction of the others.
pub(crate) struct LostAnswers {
    share: f64,
    remaining: u32,
}

impl LostAnswers {
    /// Creates a value that loses the fraction `share` of the answers, from 0 to 1.
    pub(crate) fn new(share: f64) -> Self {
        Self { share, remaining: 0 }
    }

    /// Loses the next `count` answers.
    pub(crate) fn lose_next(&mut self, count: u32) {
        self.remaining = count;
    }

    /// Draws whether the current answer is lost.
    pub(crate) fn draw_loss(&mut self, random: &mut StdRng) -> bool {
        if self.remaining > 0 {
            self.remaining -= 1;
            return true;
        }
        self.share > 0.0 && random.random_bool(self.share)
    }
}
