//! Counts of frames that were ignored.

use std::sync::atomic::{AtomicU64, Ordering};

use catkin_base::copy_type;

copy_type! {
    /// Why a frame was ignored.
    pub enum IgnoreReason {
        /// It is not an envelope, or its body is not a message.
        Malformed,
        /// Its tag is wrong.
        Forged,
        /// Its protocol version is more than one apart.
        Version,
        /// It is for another VM.
        OtherReceiver,
        /// It is for an earlier process on this VM.
        OldReceiver,
        /// It is from an earlier process on the sender's VM.
        OldSender,
        /// Its sequence number was seen before, or is too old to tell.
        Replayed,
        /// The queue of received messages was full.
        QueueFull,
        /// It is longer than any frame may be.
        TooLong,
    }
}

impl IgnoreReason {
    /// Every reason.
    pub const ALL: [IgnoreReason; 9] = [
        Self::Malformed,
        Self::Forged,
        Self::Version,
        Self::OtherReceiver,
        Self::OldReceiver,
        Self::OldSender,
        Self::Replayed,
        Self::QueueFull,
        Self::TooLong,
    ];

    /// The word used in metrics.
    pub const fn as_word(self) -> &'static str {
        match self {
            Self::Malformed => "malformed",
            Self::Forged => "forged",
            Self::Version => "version",
            Self::OtherReceiver => "other-receiver",
            Self::OldReceiver => "old-receiver",
            Self::OldSender => "old-sender",
            Self::Replayed => "replayed",
            Self::QueueFull => "queue-full",
            Self::TooLong => "too-long",
        }
    }
}

/// Counts of ignored frames, by reason.
#[derive(Debug, Default)]
pub struct IgnoredCounts {
    counts: [AtomicU64; IgnoreReason::ALL.len()],
}

impl IgnoredCounts {
    /// Frames ignored for this reason since the start.
    pub fn count(&self, reason: IgnoreReason) -> u64 {
        self.counts[reason as usize].load(Ordering::Relaxed)
    }

    /// Frames ignored since the start.
    pub fn total(&self) -> u64 {
        IgnoreReason::ALL.iter().map(|&reason| self.count(reason)).sum()
    }

    pub(crate) fn add(&self, reason: IgnoreReason) {
        self.counts[reason as usize].fetch_add(1, Ordering::Relaxed);
    }
}
