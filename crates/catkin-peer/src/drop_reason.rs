//! Reasons for dropping a received frame, and counts by reason.

use std::sync::atomic::{AtomicU64, Ordering};

use catkin_base::copy_type;

copy_type! {
    /// Reason why a received frame was dropped.
    pub enum DropReason {
        /// The frame is not an envelope, or its body is not a message.
        Malformed,
        /// The authentication tag is wrong.
        Forged,
        /// The protocol version differs from the local one by more than one.
        Version,
        /// The frame is for another VM.
        OtherReceiver,
        /// The frame is for an earlier process on the local VM.
        OldReceiver,
        /// The frame is from an earlier process on the sender's VM.
        OldSender,
        /// The sequence number was received before, or is older than the replay window.
        Replayed,
        /// The queue of received messages was full.
        QueueFull,
        /// The frame exceeds the maximum size of a frame.
        TooLong,
    }
}

impl DropReason {
    /// All reasons, in the order of their counters.
    pub const ALL: [DropReason; 9] = [
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

    /// Value of the metric label for this reason.
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

/// Counts of dropped frames by reason.
#[derive(Debug, Default)]
pub struct DropCounts {
    counts: [AtomicU64; DropReason::ALL.len()],
}

impl DropCounts {
    /// Number of frames dropped for this reason since the start.
    pub fn count(&self, reason: DropReason) -> u64 {
        self.counts[reason as usize].load(Ordering::Relaxed)
    }

    /// Number of frames dropped for any reason since the start.
    pub fn total(&self) -> u64 {
        DropReason::ALL.iter().map(|&reason| self.count(reason)).sum()
    }

    pub(crate) fn add(&self, reason: DropReason) {
        self.counts[reason as usize].fetch_add(1, Ordering::Relaxed);
    }
}
