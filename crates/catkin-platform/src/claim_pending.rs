//! Queue of writes to claims that the platform has not accepted yet.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard};

use catkin_base::{ClockTime, value_type};

use crate::claim_document::{ClaimDocument, ClaimNonce};

/// Maximum total size of the answer bodies of pending writes, in bytes.
const MAX_PENDING_BYTES: usize = 16 * 1024 * 1024;

value_type! {
    /// Identifies a claim of this router.
    pub(crate) struct PendingKey {
        pub(crate) object_key: String,
        pub(crate) nonce: ClaimNonce,
    }
}

/// A write that the platform has not accepted yet.
#[derive(Debug, Clone)]
pub(crate) enum PendingWrite {
    /// Delete the claim, whose request was never sent.
    Withdraw,
    /// Replace the claim with this outcome.
    Record(Box<ClaimDocument>),
}

/// A pending write that is being attempted.
pub(crate) struct AttemptedWrite {
    pub(crate) write: PendingWrite,
    /// Time of the first attempt.
    pub(crate) first_attempt: ClockTime,
}

struct PendingEntry {
    write: PendingWrite,
    /// Time of the first attempt; `None` before it.
    first_attempt: Option<ClockTime>,
}

/// Pending writes. Answer bodies are dropped once they exceed [`MAX_PENDING_BYTES`] in total; the
/// fact that the request ran is always kept.
#[derive(Default)]
pub(crate) struct PendingClaims {
    entries: Mutex<BTreeMap<PendingKey, PendingEntry>>,
}

impl PendingClaims {
    pub(crate) fn push(&self, key: PendingKey, write: PendingWrite) {
        let mut entries = self.entries();
        let held_bytes: usize = entries.values().map(PendingEntry::answer_bytes).sum();
        let write = match write {
            PendingWrite::Record(document)
                if held_bytes + document.answer_bytes() > MAX_PENDING_BYTES =>
            {
                PendingWrite::Record(Box::new(document.without_body()))
            }
            write => write,
        };
        entries.insert(key, PendingEntry { write, first_attempt: None });
    }

    /// Finds the pending outcome of a claim.
    pub(crate) fn find_record(&self, object_key: &str) -> Option<ClaimDocument> {
        let first = PendingKey { object_key: object_key.to_owned(), nonce: ClaimNonce::MIN };
        let entries = self.entries();
        let mut own_entries =
            entries.range(first..).take_while(|(key, _)| key.object_key == object_key);
        own_entries.find_map(|(_, entry)| match &entry.write {
            PendingWrite::Record(document) => Some((**document).clone()),
            PendingWrite::Withdraw => None,
        })
    }

    /// Whether the withdrawal of this claim is pending.
    pub(crate) fn has_withdrawal(&self, object_key: &str, nonce: ClaimNonce) -> bool {
        let key = PendingKey { object_key: object_key.to_owned(), nonce };
        let entries = self.entries();
        entries.get(&key).is_some_and(|entry| matches!(entry.write, PendingWrite::Withdraw))
    }

    /// Keys of all claims with a pending write.
    pub(crate) fn keys(&self) -> Vec<PendingKey> {
        self.entries().keys().cloned().collect()
    }

    /// Records an attempt; returns the write and the time of its first attempt.
    pub(crate) fn record_attempt(
        &self,
        key: &PendingKey,
        now: ClockTime,
    ) -> Option<AttemptedWrite> {
        let mut entries = self.entries();
        let entry = entries.get_mut(key)?;
        let first_attempt = *entry.first_attempt.get_or_insert(now);
        Some(AttemptedWrite { write: entry.write.clone(), first_attempt })
    }

    pub(crate) fn remove(&self, key: &PendingKey) {
        self.entries().remove(key);
    }

    pub(crate) fn len(&self) -> usize {
        self.entries().len()
    }

    fn entries(&self) -> MutexGuard<'_, BTreeMap<PendingKey, PendingEntry>> {
        self.entries.lock().expect("the pending claims lock is never poisoned")
    }
}

impl PendingEntry {
    fn answer_bytes(&self) -> usize {
        match &self.write {
            PendingWrite::Record(document) => document.answer_bytes(),
            PendingWrite::Withdraw => 0,
        }
    }
}
