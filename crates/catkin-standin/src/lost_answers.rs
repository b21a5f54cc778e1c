//! Which answers are lost.

use rand::Rng;
use rand::rngs::StdRng;

/// Drops the next answers, as many as told, and a share of the others.
pub(crate) struct LostAnswers {
    share: f64,
    next: u32,
}

impl LostAnswers {
    /// Loses `share` of the answers, from 0 to 1.
    pub(crate) fn new(share: f64) -> Self {
        Self { share, next: 0 }
    }

    /// Loses the next `count` answers.
    pub(crate) fn lose_next(&mut self, count: u32) {
        self.next = count;
    }

    /// Whether the answer at hand is lost.
    pub(crate) fn draw(&mut self, generator: &mut StdRng) -> bool {
        if self.next > 0 {
            self.next -= 1;
            return true;
        }
        self.share > 0.0 && generator.random_bool(self.share)
    }
}
