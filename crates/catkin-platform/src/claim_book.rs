//! At most once: claims kept in the platform.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use catkin_base::{ClockTime, copy_type};

use crate::claim_document::{ClaimDocument, ClaimKey, ClaimNonce, ClaimState, RecordedAnswer};
use crate::claim_pending::PendingClaims;
use crate::claim_ticket::ClaimTicket;
use crate::confirmed_write::{ConfirmLimits, WriteEnd, write_confirmed};
use crate::store::{ObjectStore, StoredObject, WriteCondition};

/// Most claims of other routers whose first sighting is remembered.
const MAX_SIGHTINGS: usize = 10_000;

copy_type! {
    /// Whether a claim says when its request is sent.
    pub enum ClaimMode {
        /// One write before sending: a claim whose router is gone may have run.
        Single,
        /// Two writes before sending: a claim that was not marked as sent never ran, and another
        /// router may take it over.
        Marked,
    }
}

copy_type! {
    /// How a router handles claims.
    pub struct ClaimOptions {
        /// The router's process, see [`process_nonce`](crate::process_nonce).
        pub process: u64,
        /// Whether claims are marked when their request is sent.
        pub mode: ClaimMode,
        /// How long a write whose answer was lost is pursued.
        pub confirm: ConfirmLimits,
        /// Time for which another router's claim must stay unchanged before it is taken over or,
        /// once marked as sent, given up as unknown.
        pub holder_timeout: Duration,
        /// When a caller may come back for a key that is being worked on.
        pub retry_after: Duration,
        /// Longest time that a lost write may still take effect.
        pub max_write_delay: Duration,
    }
}

impl ClaimOptions {
    /// Defaults for a router's process.
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
    /// The time of a claim, by both clocks.
    pub struct ClaimMoment {
        /// The router's own clock.
        pub now: ClockTime,
        /// Seconds since 1970, kept in the claim for its retention.
        pub unix_seconds: u64,
    }
}

/// What became of a claim.
pub enum ClaimOutcome {
    /// The request may be sent once, under this ticket.
    Fresh(ClaimTicket),
    /// It ran before; this is its answer.
    Recorded(RecordedAnswer),
    /// Another call with the key is being worked on. This call was not sent.
    InProgress {
        /// When to come back.
        retry_after: Duration,
    },
    /// The key was used before with another body. This call was not sent.
    KeyReused,
    /// The platform does not answer. Nothing of this call was written or sent.
    PlatformDown,
    /// The platform may hold a claim for this call, which was not sent and will not be. The claim
    /// is withdrawn once the platform answers.
    Unconfirmed,
    /// An earlier call with the key may have run.
    Unknown(UnknownClaim),
}

/// A claim whose outcome nobody will report.
pub struct UnknownClaim {
    object_key: String,
    document: Option<ClaimDocument>,
    version: u64,
}

/// When a router first saw another router's claim as it stands.
struct ClaimSighting {
    version: u64,
    at: ClockTime,
}

/// Claims of one router.
pub struct ClaimBook<Store: ObjectStore> {
    pub(crate) store: Arc<Store>,
    pub(crate) options: ClaimOptions,
    sequence: AtomicU64,
    pub(crate) pending: Arc<PendingClaims>,
    sightings: Mutex<BTreeMap<String, ClaimSighting>>,
}

impl<Store: ObjectStore> ClaimBook<Store> {
    /// An empty book.
    pub fn new(store: Arc<Store>, options: ClaimOptions) -> Self {
        Self {
            store,
            options,
            sequence: AtomicU64::new(0),
            pending: Arc::new(PendingClaims::default()),
            sightings: Mutex::new(BTreeMap::new()),
        }
    }

    /// Claims a request before anything of it is sent.
    pub async fn claim(
        &self,
        key: &ClaimKey,
        body_digest: &str,
        moment: ClaimMoment,
    ) -> ClaimOutcome {
        let object_key = key.object_key();
        if let Some(outcome) = self.pending_outcome(&object_key, body_digest) {
            return outcome;
        }
        let document = self.new_document(body_digest, moment);
        let pending = Arc::clone(&self.pending);
        let ticket = ClaimTicket::draft(object_key, document, pending);
        let written = self.write(&ticket.object_key, &ticket.document, WriteCondition::Absent);
        match written.await {
            WriteEnd::Done(version) => fresh(ticket, version),
            WriteEnd::Other(found) => self.judge(ticket, found, moment.now).await,
            WriteEnd::NotWritten(_) => {
                ticket.settle();
                ClaimOutcome::PlatformDown
            }
            WriteEnd::Unsettled => ClaimOutcome::Unconfirmed,
        }
    }

    /// Marks a claim right before its request is sent. On an error nothing may be sent.
    pub async fn mark_sent(&self, ticket: &mut ClaimTicket) -> Result<(), MarkError> {
        if ticket.is_sent() || ticket.document.state == ClaimState::Sent {
            ticket.note_sent();
            return Ok(());
        }
        let Some(version) = ticket.version else { return Err(MarkError::NotHeld) };
        let marked = ticket.document.with_state(ClaimState::Sent);
        let condition = WriteCondition::Version(version);
        match self.write(&ticket.object_key, &marked, condition).await {
            WriteEnd::Done(version) => {
                ticket.version = Some(version);
                ticket.document = marked;
                ticket.note_sent();
                Ok(())
            }
            WriteEnd::Other(_) => Err(MarkError::NotHeld),
            WriteEnd::NotWritten(_) | WriteEnd::Unsettled => Err(MarkError::PlatformDown),
        }
    }

    /// Records the answer. If the platform does not take it now, it is owed and written later.
    pub async fn record(&self, ticket: ClaimTicket, answer: &RecordedAnswer) -> RecordOutcome {
        let recorded = ticket.document.answered(answer);
        self.finish(ticket, recorded).await
    }

    /// Notes that the outcome of a request that was sent will not be known.
    pub async fn record_unknown(&self, ticket: ClaimTicket) -> RecordOutcome {
        let unknown = ticket.document.with_state(ClaimState::Unknown);
        self.finish(ticket, unknown).await
    }

    /// Withdraws a claim whose request was not run, so that the key can be used again.
    pub async fn abandon(&self, ticket: ClaimTicket) {
        debug_assert!(!ticket.is_sent());
        let Some(version) = ticket.version else { return };
        if self.store.delete(&ticket.object_key, version).await.is_ok() {
            ticket.settle();
        }
    }

    /// Records an answer that the service reported for a claim of unknown outcome.
    pub async fn resolve(&self, claim: UnknownClaim, answer: &RecordedAnswer) -> RecordOutcome {
        let Some(document) = claim.document else { return RecordOutcome::Superseded };
        let recorded = document.answered(answer);
        let condition = WriteCondition::Version(claim.version);
        match self.write(&claim.object_key, &recorded, condition).await {
            WriteEnd::Done(_) => RecordOutcome::Recorded,
            WriteEnd::Other(_) => RecordOutcome::Superseded,
            WriteEnd::NotWritten(_) | WriteEnd::Unsettled => RecordOutcome::Pending,
        }
    }

    fn new_document(&self, body_digest: &str, moment: ClaimMoment) -> ClaimDocument {
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed);
        let state = match self.options.mode {
            ClaimMode::Single => ClaimState::Sent,
            ClaimMode::Marked => ClaimState::Claimed,
        };
        ClaimDocument {
            body_digest: body_digest.to_owned(),
            nonce: ClaimNonce { process: self.options.process, sequence },
            state,
            claimed_at_unix: moment.unix_seconds,
            answer: None,
        }
    }

    /// What a write that this router still owes says of the key.
    fn pending_outcome(&self, object_key: &str, body_digest: &str) -> Option<ClaimOutcome> {
        let document = self.pending.owed_record(object_key)?;
        if document.body_digest != body_digest {
            return Some(ClaimOutcome::KeyReused);
        }
        Some(document.recorded().map_or_else(|| self.in_progress(), ClaimOutcome::Recorded))
    }

    fn in_progress(&self) -> ClaimOutcome {
        ClaimOutcome::InProgress { retry_after: self.options.retry_after }
    }

    /// Judges a key that has a claim already.
    async fn judge(
        &self,
        ticket: ClaimTicket,
        found: Option<StoredObject>,
        now: ClockTime,
    ) -> ClaimOutcome {
        let Some(found) = found else {
            ticket.settle();
            return self.in_progress();
        };
        let Some(document) = ClaimDocument::decode(&found.value) else {
            ticket.settle();
            log::error!("claims: object {} is not a claim", found.key);
            return ClaimOutcome::Unknown(unknown_claim(found, None));
        };
        if document.body_digest != ticket.document.body_digest {
            ticket.settle();
            return ClaimOutcome::KeyReused;
        }
        if self.pending.owes_withdrawal(&found.key, document.nonce) {
            return self.take_over(ticket, found.version).await;
        }
        match document.state {
            ClaimState::Answered => {
                ticket.settle();
                match document.recorded() {
                    Some(answer) => ClaimOutcome::Recorded(answer),
                    None => ClaimOutcome::Unknown(unknown_claim(found, Some(document))),
                }
            }
            ClaimState::Unknown => {
                ticket.settle();
                ClaimOutcome::Unknown(unknown_claim(found, Some(document)))
            }
            ClaimState::Sent if self.is_stale(&found, now) => {
                ticket.settle();
                ClaimOutcome::Unknown(unknown_claim(found, Some(document)))
            }
            ClaimState::Claimed if self.is_stale(&found, now) => {
                self.take_over(ticket, found.version).await
            }
            ClaimState::Sent | ClaimState::Claimed => {
                ticket.settle();
                self.in_progress()
            }
        }
    }

    /// Takes over a claim that was not marked as sent. The former holder can't mark it any more.
    async fn take_over(&self, ticket: ClaimTicket, version: u64) -> ClaimOutcome {
        let condition = WriteCondition::Version(version);
        match self.write(&ticket.object_key, &ticket.document, condition).await {
            WriteEnd::Done(version) => fresh(ticket, version),
            WriteEnd::Other(_) => {
                ticket.settle();
                self.in_progress()
            }
            WriteEnd::NotWritten(_) => {
                ticket.settle();
                ClaimOutcome::PlatformDown
            }
            WriteEnd::Unsettled => ClaimOutcome::Unconfirmed,
        }
    }

    /// Whether this router has seen the claim unchanged for long enough.
    fn is_stale(&self, found: &StoredObject, now: ClockTime) -> bool {
        let mut sightings = self.sightings();
        let first = match sightings.get(&found.key) {
            Some(sighting) if sighting.version == found.version => sighting.at,
            _ => {
                if sightings.len() >= MAX_SIGHTINGS {
                    sightings.pop_first();
                }
                let sighting = ClaimSighting { version: found.version, at: now };
                sightings.insert(found.key.clone(), sighting);
                now
            }
        };
        now.since(first) >= self.options.holder_timeout
    }

    fn sightings(&self) -> MutexGuard<'_, BTreeMap<String, ClaimSighting>> {
        self.sightings.lock().expect("the sightings' lock is never poisoned")
    }

    async fn finish(&self, mut ticket: ClaimTicket, outcome: ClaimDocument) -> RecordOutcome {
        ticket.owe(outcome.clone());
        let Some(version) = ticket.version else { return RecordOutcome::Pending };
        let condition = WriteCondition::Version(version);
        match self.write(&ticket.object_key, &outcome, condition).await {
            WriteEnd::Done(_) => {
                ticket.settle();
                RecordOutcome::Recorded
            }
            WriteEnd::Other(_) => {
                ticket.settle();
                RecordOutcome::Superseded
            }
            WriteEnd::NotWritten(_) | WriteEnd::Unsettled => RecordOutcome::Pending,
        }
    }

    /// Writes a claim and settles a lost answer; its nonce makes the value its own.
    async fn write(
        &self,
        object_key: &str,
        document: &ClaimDocument,
        condition: WriteCondition,
    ) -> WriteEnd {
        let value = document.encode();
        write_confirmed(&*self.store, object_key, &value, condition, self.options.confirm).await
    }
}

copy_type! {
    /// Why a request must not be sent.
    #[derive(thiserror::Error)]
    pub enum MarkError {
        /// Another router took the claim over.
        #[error("the claim is held by another router")]
        NotHeld,
        /// The platform does not answer.
        #[error("the platform does not answer")]
        PlatformDown,
    }
}

copy_type! {
    /// What became of an outcome that was to be recorded.
    pub enum RecordOutcome {
        /// The platform holds it.
        Recorded,
        /// It is owed to the platform and written later, as long as this router runs.
        Pending,
        /// The claim has another outcome already.
        Superseded,
    }
}

fn fresh(mut ticket: ClaimTicket, version: u64) -> ClaimOutcome {
    ticket.version = Some(version);
    ClaimOutcome::Fresh(ticket)
}

fn unknown_claim(found: StoredObject, document: Option<ClaimDocument>) -> UnknownClaim {
    UnknownClaim { object_key: found.key, version: found.version, document }
}
