//! Content that servers answered lately. Content that crashes servers is never answered, so what is
//! here has not crashed the servers that ended under it.

use std::collections::BTreeMap;

use catkin_base::{ClockTime, RequestDigest};

/// Time for which an answer counts, in milliseconds: the quarantine time of content that crashed
/// servers.
const LIFETIME_MILLIS: u64 = 60_000;
/// Maximum number of digests; the one that was answered least recently is dropped.
const MAX_DIGESTS: usize = 8_192;

/// Digests of content that servers answered, with the time of the last answer.
#[derive(Debug, Clone, Default)]
pub struct ServedContent {
    digests: BTreeMap<RequestDigest, (ClockTime, u64)>,
    /// Digests by the number of their last answer.
    order: BTreeMap<u64, RequestDigest>,
    answers: u64,
}

impl ServedContent {
    /// Records a complete answer.
    pub fn record(&mut self, now: ClockTime, digest: RequestDigest) {
        self.answers += 1;
        let number = self.answers;
        if let Some((_, before)) = self.digests.insert(digest, (now, number)) {
            self.order.remove(&before);
        }
        self.order.insert(number, digest);
        if self.digests.len() > MAX_DIGESTS
            && let Some((_, oldest)) = self.order.pop_first()
        {
            self.digests.remove(&oldest);
        }
    }

    /// Whether a server answered this content lately.
    pub fn contains(&self, now: ClockTime, digest: RequestDigest) -> bool {
        let answered = self.digests.get(&digest);
        answered.is_some_and(|(at, _)| now.millis_since(*at) < LIFETIME_MILLIS)
    }
}
