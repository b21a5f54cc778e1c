//! Claims: a request with an idempotency key is claimed in the platform's store before it is sent,
//! so that it runs at most once in the fleet.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use catkin_base::{ClockTime, copy_type};

use crate::claim_document::{ClaimDocument, ClaimKey, ClaimNonce, ClaimState, RecordedAnswer};
use crate::claim_pending::PendingClaims;
use crate::claim_ticket::ClaimTicket;
use crate::confirmed_write::{ConfirmLimits, WriteOutcome, write_confirmed};
use crate::store::{ObjectStore, StoredObject, WriteCondition};

/// Maximum number of other routers' claims whose first observation is remembered. Beyond it, the
/// observation with the smallest key is dropped; the holder timeout of its claim starts anew when
/// the key is claimed again.
const MAX_OBSERVATIONS: usize = 10_000;

copy_type! {
    /// Whether the claim is marked before its request is sent.
    pub enum ClaimMode {
        /// One write before sending: the request of a claim whose router died may have run.
        Single,
        /// Two writes before sending: the request of a claim that is not marked as sent never ran,
        /// and another router may take the claim over.
        Marked,
    }
}

copy_type! {
    /// Options of a router's claims.
    pub struct ClaimOptions {
        /// Identifier of the router's process, see [`derive_process_id`](crate::derive_process_id).
        pub process: u64,
        /// Whether claims are marked before their request is sent.
        pub mode: ClaimMode,
        /// Retries of a write whose response was lost.
        pub confirm: ConfirmLimits,
        /// Time for which another router's claim must stay unchanged before this router takes it
        /// over or, if it is marked as sent, reports its outcome as unknown.
        pub holder_timeout: Duration,
        /// Delay after which a caller may retry a key whose request is in progress.
        pub retry_after: Duration,
        /// Maximum time after which a write without a response may still take effect.
        pub max_write_delay: Duration,
    }
}

impl ClaimOptions {
    /// Default options of a router process.
    pub fn new(process: u64) -> Self {
        Self {
            process,
            mode: ClaimMode::Marked,
            confirm: ConfirmLimits::default(),
            holder_timeout: Duration::from_secs(5),
            retry_after: Duration::from_secs(1),
            max_write_delay: Duration::from_secs(10),
        }
    }
}

copy_type! {
    /// Time of a claim on the monotonic and on the wall clock.
    pub struct ClaimTime {
        /// Monotonic time of this router.
        pub now: ClockTime,
        /// Wall-clock time in seconds since 1970, stored in the claim for its retention.
        pub unix_seconds: u64,
    }
}

/// Outcome of claiming a key.
pub enum ClaimOutcome {
    /// The claim is new: the request may be sent once, under this ticket.
    Fresh(ClaimTicket),
    /// The request ran before; this is its recorded answer.
    Recorded(RecordedAnswer),
    /// Another call with the key is in progress. This call was not sent.
    InProgress {
        /// Delay after which the caller may retry.
        retry_after: Duration,
    },
    /// The key was used before with a different body. This call was not sent.
    KeyReused,
    /// The platform does not respond. No claim was written and nothing was sent.
    PlatformDown,
    /// The claim may or may not have been written. The request was not sent and will not be; the
    /// claim is withdrawn once the platform responds.
    Unconfirmed,
    /// An earlier call with the key may have run and its outcome is unknown.
    Unknown(UnknownClaim),
}

/// A claim whose request may have run and whose router will not report the outcome.
pub struct UnknownClaim {
    object_key: String,
    /// `None` if the stored object is not a valid claim document.
    document: Option<ClaimDocument>,
    version: u64,
}

/// When this router first read another router's claim in its present version.
struct ClaimObservation {
    version: u64,
    at: ClockTime,
}

/// The claims of one router, and the writes to claims that the platform has not accepted yet.
pub struct ClaimBook<Store: ObjectStore> {
    pub(crate) store: Arc<Store>,
    pub(crate) options: ClaimOptions,
    sequence: AtomicU64,
    pub(crate) pending: Arc<PendingClaims>,
    observations: Mutex<BTreeMap<String, ClaimObservation>>,
}

impl<Store: ObjectStore> ClaimBook<Store> {
    /// Creates a book without claims.
    pub fn new(store: Arc<Store>, options: ClaimOptions) -> Self {
        Self {
            store,
            options,
            sequence: AtomicU64::new(0),
            pending: Arc::new(PendingClaims::default()),
            observations: Mutex::new(BTreeMap::new()),
        }
    }

    /// Claims a request. Call it before sending any part of the request.
    pub async fn claim(&self, key: &ClaimKey, body_digest: &str, time: ClaimTime) -> ClaimOutcome {
        let object_key = key.object_key();
        if let Some(outcome) = self.find_pending_outcome(&object_key, body_digest) {
            return outcome;
        }
        let document = self.build_document(body_digest, time);
        let pending = Arc::clone(&self.pending);
        let ticket = ClaimTicket::new(object_key, document, pending);
        let written = self.write(&ticket.object_key, &ticket.document, WriteCondition::Absent);
        match written.await {
            WriteOutcome::Written(version) => confirm_ticket(ticket, version),
            WriteOutcome::Mismatch(found) => self.check_existing(ticket, found, time.now).await,
            WriteOutcome::NotWritten(_) => {
                ticket.close();
                ClaimOutcome::PlatformDown
            }
            WriteOutcome::Unconfirmed => ClaimOutcome::Unconfirmed,
        }
    }

    /// Marks a claim as sent. Call it right before sending the request; on an error the request
    /// must not be sent.
    pub async fn mark_sent(&self, ticket: &mut ClaimTicket) -> Result<(), MarkError> {
        if ticket.is_sent() || ticket.document.state == ClaimState::Sent {
            ticket.mark_sent();
            return Ok(());
        }
        let Some(version) = ticket.version else { return Err(MarkError::NotHeld) };
        let marked = ticket.document.with_state(ClaimState::Sent);
        let condition = WriteCondition::Version(version);
        match self.write(&ticket.object_key, &marked, condition).await {
            WriteOutcome::Written(version) => {
                ticket.version = Some(version);
                ticket.document = marked;
                ticket.mark_sent();
                Ok(())
            }
            WriteOutcome::Mismatch(_) => Err(MarkError::NotHeld),
            WriteOutcome::NotWritten(_) | WriteOutcome::Unconfirmed => Err(MarkError::PlatformDown),
        }
    }

    /// Records the answer. If the platform does not accept it now, the write stays pending and
    /// [`ClaimBook::flush`] retries it.
    pub async fn record(&self, ticket: ClaimTicket, answer: &RecordedAnswer) -> RecordOutcome {
        let recorded = ticket.document.with_answer(answer);
        self.finish_claim(ticket, recorded).await
    }

    /// Records that the outcome of a request that was sent is unknown.
    pub async fn record_unknown(&self, ticket: ClaimTicket) -> RecordOutcome {
        let unknown = ticket.document.with_state(ClaimState::Unknown);
        self.finish_claim(ticket, unknown).await
    }

    /// Deletes a claim whose request did not run, so that the key can be used again.
    pub async fn withdraw(&self, ticket: ClaimTicket) {
        debug_assert!(!ticket.is_sent());
        let Some(version) = ticket.version else { return };
        if self.store.delete(&ticket.object_key, version).await.is_ok() {
            ticket.close();
        }
    }

    /// Records the answer that the service reported for a claim with an unknown outcome.
    pub async fn resolve(&self, claim: UnknownClaim, answer: &RecordedAnswer) -> RecordOutcome {
        let Some(document) = claim.document else { return RecordOutcome::Superseded };
        let recorded = document.with_answer(answer);
        let condition = WriteCondition::Version(claim.version);
        match self.write(&claim.object_key, &recorded, condition).await {
            WriteOutcome::Written(_) => RecordOutcome::Recorded,
            WriteOutcome::Mismatch(_) => RecordOutcome::Superseded,
            WriteOutcome::NotWritten(_) | WriteOutcome::Unconfirmed => RecordOutcome::Owed,
        }
    }

    fn build_document(&self, body_digest: &str, time: ClaimTime) -> ClaimDocument {
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed);
        let state = match self.options.mode {
            ClaimMode::Single => ClaimState::Sent,
            ClaimMode::Marked => ClaimState::Claimed,
        };
        ClaimDocument {
            body_digest: body_digest.to_owned(),
            nonce: ClaimNonce { process: self.options.process, sequence },
            state,
            claimed_at_unix: time.unix_seconds,
            answer: None,
        }
    }

    /// Outcome that follows from a pending write of this router to the key's claim.
    fn find_pending_outcome(&self, object_key: &str, body_digest: &str) -> Option<ClaimOutcome> {
        let document = self.pending.find_record(object_key)?;
        if document.body_digest != body_digest {
            return Some(ClaimOutcome::KeyReused);
        }
        Some(document.recorded_answer().map_or_else(|| self.in_progress(), ClaimOutcome::Recorded))
    }

    fn in_progress(&self) -> ClaimOutcome {
        ClaimOutcome::InProgress { retry_after: self.options.retry_after }
    }

    /// Decides on a key that already has a claim.
    async fn check_existing(
        &self,
        ticket: ClaimTicket,
        found: Option<StoredObject>,
        now: ClockTime,
    ) -> ClaimOutcome {
        let Some(found) = found else {
            ticket.close();
            return self.in_progress();
        };
        let Some(document) = ClaimDocument::decode(&found.value) else {
            ticket.close();
            log::error!(
                "claims: object is not a valid claim document; its outcome is unknown. key={}",
                found.key
            );
            return ClaimOutcome::Unknown(build_unknown_claim(found, None));
        };
        if document.body_digest != ticket.document.body_digest {
            ticket.close();
            return ClaimOutcome::KeyReused;
        }
        if self.pending.has_withdrawal(&found.key, document.nonce) {
            return self.take_over(ticket, found.version).await;
        }
        match document.state {
            ClaimState::Answered => {
                ticket.close();
                match document.recorded_answer() {
                    Some(answer) => ClaimOutcome::Recorded(answer),
                    None => ClaimOutcome::Unknown(build_unknown_claim(found, Some(document))),
                }
            }
            ClaimState::Unknown => {
                ticket.close();
                ClaimOutcome::Unknown(build_unknown_claim(found, Some(document)))
            }
            ClaimState::Sent if self.is_stale(&found, now) => {
                ticket.close();
                ClaimOutcome::Unknown(build_unknown_claim(found, Some(document)))
            }
            ClaimState::Claimed if self.is_stale(&found, now) => {
                self.take_over(ticket, found.version).await
            }
            ClaimState::Sent | ClaimState::Claimed => {
                ticket.close();
                self.in_progress()
            }
        }
    }

    /// Takes over a claim that is not marked as sent. The conditional write changes the version, so
    /// the former holder can no longer mark it.
    async fn take_over(&self, ticket: ClaimTicket, version: u64) -> ClaimOutcome {
        let condition = WriteCondition::Version(version);
        match self.write(&ticket.object_key, &ticket.document, condition).await {
            WriteOutcome::Written(version) => confirm_ticket(ticket, version),
            WriteOutcome::Mismatch(_) => {
                ticket.close();
                self.in_progress()
            }
            WriteOutcome::NotWritten(_) => {
                ticket.close();
                ClaimOutcome::PlatformDown
            }
            WriteOutcome::Unconfirmed => ClaimOutcome::Unconfirmed,
        }
    }

    /// Whether this router has observed the claim unchanged for the holder timeout.
    fn is_stale(&self, found: &StoredObject, now: ClockTime) -> bool {
        let mut observations = self.observations();
        let first = match observations.get(&found.key) {
            Some(observation) if observation.version == found.version => observation.at,
            _ => {
                if observations.len() >= MAX_OBSERVATIONS {
                    observations.pop_first();
                }
                let observation = ClaimObservation { version: found.version, at: now };
                observations.insert(found.key.clone(), observation);
                now
            }
        };
        now.since(first) >= self.options.holder_timeout
    }

    fn observations(&self) -> MutexGuard<'_, BTreeMap<String, ClaimObservation>> {
        self.observations.lock().expect("the claim observations lock is never poisoned")
    }

    async fn finish_claim(&self, mut ticket: ClaimTicket, outcome: ClaimDocument) -> RecordOutcome {
        ticket.set_outcome(outcome.clone());
        let Some(version) = ticket.version else { return RecordOutcome::Owed };
        let condition = WriteCondition::Version(version);
        match self.write(&ticket.object_key, &outcome, condition).await {
            WriteOutcome::Written(_) => {
                ticket.close();
                RecordOutcome::Recorded
            }
            WriteOutcome::Mismatch(_) => {
                ticket.close();
                RecordOutcome::Superseded
            }
            WriteOutcome::NotWritten(_) | WriteOutcome::Unconfirmed => RecordOutcome::Owed,
        }
    }

    /// Writes a claim and confirms the write if its response is lost. The nonce makes the value
    /// unique, so that finding it proves that this write took effect.
    async fn write(
        &self,
        object_key: &str,
        document: &ClaimDocument,
        condition: WriteCondition,
    ) -> WriteOutcome {
        let value = document.encode();
        write_confirmed(&*self.store, object_key, &value, condition, self.options.confirm).await
    }
}

copy_type! {
    /// Why a claim could not be marked as sent. The request must not be sent.
    #[derive(thiserror::Error)]
    pub enum MarkError {
        /// Another router took the claim over, or the write of the claim was never confirmed.
        #[error("this router does not hold the claim")]
        NotHeld,
        /// The platform does not respond.
        #[error("the platform does not respond")]
        PlatformDown,
    }
}

copy_type! {
    /// Result of recording an outcome.
    pub enum RecordOutcome {
        /// The outcome is stored.
        Recorded,
        /// The write is pending. It is retried as long as this router runs.
        Owed,
        /// The claim already has another outcome.
        Superseded,
    }
}

fn confirm_ticket(mut ticket: ClaimTicket, version: u64) -> ClaimOutcome {
    ticket.version = Some(version);
    ClaimOutcome::Fresh(ticket)
}

fn build_unknown_claim(found: StoredObject, document: Option<ClaimDocument>) -> UnknownClaim {
    UnknownClaim { object_key: found.key, version: found.version, document }
}
