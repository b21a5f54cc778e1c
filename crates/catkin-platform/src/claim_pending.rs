//! Writes to claims that are still owed to the platform.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard};

use catkin_base::{ClockTime, value_type};

use crate::claim_document::{ClaimDocument, ClaimNonce};

/// Most bytes of answers that are held while the platform does not take them.
const MAX_PENDING_BYTES: usize = 16 * 1024 * 1024;

value_type! {
    /// Names a claim of this router.
    pub(crate) struct PendingKey {
        pub(crate) object_key: String,
        pub(crate) nonce: ClaimNonce,
    }
}

/// A write that is owed.
#[derive(Debug, Clone)]
pub(crate) enum PendingTask {
    /// The claim was never used: delete it.
    Withdraw,
    /// Write this outcome over the claim.
    Record(Box<ClaimDocument>),
}

/// A task that is being tried.
pub(crate) struct TriedTask {
    pub(crate) task: PendingTask,
    pub(crate) first_tried_at: ClockTime,
}

struct PendingEntry {
    task: PendingTask,
    first_tried_at: Option<ClockTime>,
}

/// Owed writes. Bodies of answers are left out once they take more bytes than allowed; that the
/// request ran is always kept.
#[derive(Default)]
pub(crate) struct PendingClaims {
    entries: Mutex<BTreeMap<PendingKey, PendingEntry>>,
}

impl PendingClaims {
    pub(crate) fn push(&self, key: PendingKey, task: PendingTask) {
        let mut entries = self.entries();
        let held: usize = entries.values().map(PendingEntry::answer_bytes).sum();
        let task = match task {
            PendingTask::Record(document) if held + document.answer_bytes() > MAX_PENDING_BYTES => {
                PendingTask::Record(Box::new(document.without_body()))
            }
            task => task,
        };
        entries.insert(key, PendingEntry { task, first_tried_at: None });
    }

    /// The outcome that is owed to an object.
    pub(crate) fn owed_record(&self, object_key: &str) -> Option<ClaimDocument> {
        let first = PendingKey { object_key: object_key.to_owned(), nonce: ClaimNonce::FIRST };
        let entries = self.entries();
        let mut owed = entries.range(first..).take_while(|(key, _)| key.object_key == object_key);
        owed.find_map(|(_, entry)| match &entry.task {
            PendingTask::Record(document) => Some((**document).clone()),
            PendingTask::Withdraw => None,
        })
    }

    /// Whether a claim is known to be unused and is to be withdrawn.
    pub(crate) fn owes_withdrawal(&self, object_key: &str, nonce: ClaimNonce) -> bool {
        let key = PendingKey { object_key: object_key.to_owned(), nonce };
        let entries = self.entries();
        entries.get(&key).is_some_and(|entry| matches!(entry.task, PendingTask::Withdraw))
    }

    /// Names of all claims with a task.
    pub(crate) fn keys(&self) -> Vec<PendingKey> {
        self.entries().keys().cloned().collect()
    }

    /// Takes note of a try; returns the task and when it was first tried.
    pub(crate) fn note_tried(&self, key: &PendingKey, now: ClockTime) -> Option<TriedTask> {
        let mut entries = self.entries();
        let entry = entries.get_mut(key)?;
        let first_tried_at = *entry.first_tried_at.get_or_insert(now);
        Some(TriedTask { task: entry.task.clone(), first_tried_at })
    }

    pub(crate) fn remove(&self, key: &PendingKey) {
        self.entries().remove(key);
    }

    pub(crate) fn len(&self) -> usize {
        self.entries().len()
    }

    fn entries(&self) -> MutexGuard<'_, BTreeMap<PendingKey, PendingEntry>> {
        self.entries.lock().expect("the pending claims' lock is never poisoned")
    }
}

impl PendingEntry {
    fn answer_bytes(&self) -> usize {
        match &self.task {
            PendingTask::Record(document) => document.answer_bytes(),
            PendingTask::Withdraw => 0,
        }
    }
}
