//! A lease stored in one object of the platform, with a fencing token.
//!
//! The module is not named after its type, since the module's path is the target of its log lines.

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use catkin_base::{ClockTime, RunVerdict, copy_type, document_type, value_type};
use tokio::time::Instant;

use crate::store::{ObjectStore, StoreError, StoreErrorKind, StoredObject, WriteCondition};

value_type! {
    /// Options of a router that competes for a lease.
    pub struct LeaseOptions {
        /// Key of the object that stores the lease.
        pub object_key: String,
        /// Name of this router, for operators to read.
        pub holder: String,
        /// Identifier of this router's process, see
        /// [`derive_process_id`](crate::derive_process_id).
        pub process: u64,
        /// Time without a renewal after which another router takes the lease over.
        pub duration: Duration,
        /// Time before the end of the lease at which its holder stops acting.
        pub margin: Duration,
        /// Interval between renewals.
        pub renew_every: Duration,
    }
}

impl LeaseOptions {
    /// Default options of the lease of a region.
    pub fn for_region(region: &str, holder: &str, process: u64) -> Self {
        Self {
            object_key: build_lease_key(region),
            holder: holder.to_owned(),
            process,
            duration: Duration::from_secs(10),
            margin: Duration::from_secs(3),
            renew_every: Duration::from_secs(2),
        }
    }
}

document_type! {
    /// The stored document of a lease.
    #[derive(Eq)]
    struct LeaseDocument {
        holder: String,
        process: u64,
        fence: u64,
        renewals: u64,
        released: bool,
    }
}

value_type! {
    /// A lease as read by a router that does not compete for it. Only the holder knows until when
    /// its grant is valid.
    pub struct LeaseView {
        /// Name of the holder; `None` if the lease was released.
        pub holder: Option<String>,
        /// Fencing token of the latest holder.
        pub fence: u64,
    }
}

/// Reads a region's lease; `None` if no router ever held it.
pub async fn read_lease<Store: ObjectStore>(
    store: &Store,
    region: &str,
) -> Result<Option<LeaseView>, StoreError> {
    let Some(object) = store.get(&build_lease_key(region)).await? else { return Ok(None) };
    let malformed = |_| StoreError { kind: StoreErrorKind::Invalid, ran: RunVerdict::NotRun };
    let document: LeaseDocument = serde_json::from_slice(&object.value).map_err(malformed)?;
    let holder = (!document.released).then_some(document.holder);
    Ok(Some(LeaseView { holder, fence: document.fence }))
}

fn build_lease_key(region: &str) -> String {
    format!("leases/{region}")
}

copy_type! {
    /// Permission to act as the holder, until a time on this router's clock.
    pub struct LeaseGrant {
        /// Fencing token, higher than that of every earlier holder.
        pub fence: u64,
        /// Time at which the permission ends.
        pub valid_until: ClockTime,
    }
}

copy_type! {
    /// Result of one step of a [`LeaseCandidate`].
    pub enum LeaseStep {
        /// This router holds the lease.
        Held(LeaseGrant),
        /// Another router holds the lease, or may hold it.
        Waiting,
        /// The platform does not respond, and this router does not hold the lease.
        PlatformDown,
    }
}

/// The lease as this router last read it, and when it first read this version.
struct LeaseObservation {
    document: LeaseDocument,
    version: u64,
    since: ClockTime,
}

/// A lease held by this router.
struct HeldLease {
    grant: LeaseGrant,
    document: LeaseDocument,
    /// Version of the object; `None` after a renewal whose response was lost.
    version: Option<u64>,
    renewed_at: ClockTime,
}

#[derive(Default)]
struct LeaseState {
    held: Option<HeldLease>,
    observation: Option<LeaseObservation>,
}

/// Acquires, renews and releases a lease on behalf of one router.
///
/// Each router uses its own monotonic clock. Other routers treat the lease as expired once they
/// have observed it unchanged for its whole duration. The holder counts the duration from before it
/// sent its last renewal, less the margin. It therefore stops acting before another router takes
/// over, as long as no clock gains more than the margin on another within one duration.
pub struct LeaseCandidate<Store: ObjectStore> {
    store: Arc<Store>,
    options: LeaseOptions,
    started_at: Instant,
    state: Mutex<LeaseState>,
}

impl<Store: ObjectStore> LeaseCandidate<Store> {
    /// Creates a candidate that does not hold the lease yet.
    pub fn new(store: Arc<Store>, options: LeaseOptions) -> Self {
        let state = Mutex::new(LeaseState::default());
        Self { store, options, started_at: Instant::now(), state }
    }

    /// The grant, if it is valid now. Check again after each point at which the process may have
    /// been suspended.
    pub fn grant(&self) -> Option<LeaseGrant> {
        let now = self.now();
        let state = self.state();
        let held = state.held.as_ref()?;
        (now < held.grant.valid_until).then_some(held.grant)
    }

    /// Whether a grant obtained earlier is still valid.
    pub fn is_current(&self, grant: LeaseGrant) -> bool {
        self.grant().is_some_and(|current| current.fence == grant.fence)
    }

    /// Renews the lease, takes it over or waits, whichever applies. Call it several times within
    /// each renewal interval.
    pub async fn step(&self) -> LeaseStep {
        if let Some(step) = self.step_as_holder().await {
            return step;
        }
        match self.store.get(&self.options.object_key).await {
            Ok(found) => self.step_after_read(found).await,
            Err(_) => self.step_without_platform(),
        }
    }

    /// Releases the lease, so that another router can acquire it at once.
    pub async fn release(&self) -> Result<(), StoreError> {
        let Some(held) = self.state().held.take() else { return Ok(()) };
        let Some(version) = held.version else { return Ok(()) };
        let released = LeaseDocument { released: true, ..held.document };
        self.put(&released, WriteCondition::Version(version)).await.map(|_| ())
    }

    fn now(&self) -> ClockTime {
        ClockTime::ZERO.plus(self.started_at.elapsed())
    }

    fn state(&self) -> MutexGuard<'_, LeaseState> {
        self.state.lock().expect("the lease state lock is never poisoned")
    }

    /// The step of a holder that knows the version of its lease; `None` if the lease must be read
    /// first.
    async fn step_as_holder(&self) -> Option<LeaseStep> {
        let grant = self.grant()?;
        let (document, version) = {
            let state = self.state();
            let held = state.held.as_ref()?;
            let version = held.version?;
            if self.now().since(held.renewed_at) < self.options.renew_every {
                return Some(LeaseStep::Held(grant));
            }
            (held.document.clone(), version)
        };
        self.renew_lease(document, version).await
    }

    async fn renew_lease(&self, document: LeaseDocument, version: u64) -> Option<LeaseStep> {
        let renewed = LeaseDocument { renewals: document.renewals + 1, ..document };
        let sent_at = self.now();
        match self.put(&renewed, WriteCondition::Version(version)).await {
            Ok(version) => Some(self.hold_lease(renewed, version, sent_at)),
            Err(StoreError { kind: StoreErrorKind::Conflict, .. }) => {
                self.clear_version();
                None
            }
            Err(_) => {
                self.clear_version();
                Some(self.step_without_platform())
            }
        }
    }

    /// The step after reading the lease: acquires, renews or waits.
    async fn step_after_read(&self, found: Option<StoredObject>) -> LeaseStep {
        let Some(found) = found else { return self.acquire_lease(0, WriteCondition::Absent).await };
        let Ok(document) = serde_json::from_slice::<LeaseDocument>(&found.value) else {
            log::error!(
                "lease: object is not a valid lease document; the lease cannot be acquired. key={}",
                found.key
            );
            return LeaseStep::Waiting;
        };
        let condition = WriteCondition::Version(found.version);
        if document.process == self.options.process {
            return self.step_as_recorded_holder(document, found.version).await;
        }
        self.state().held = None;
        let fence = document.fence;
        if document.released || self.has_lapsed(document, found.version) {
            return self.acquire_lease(fence, condition).await;
        }
        LeaseStep::Waiting
    }

    /// The step if the stored lease names this router: renews it while the grant is valid, else
    /// acquires it again with a higher fencing token.
    async fn step_as_recorded_holder(&self, document: LeaseDocument, version: u64) -> LeaseStep {
        let is_current = self.grant().is_some_and(|grant| grant.fence == document.fence);
        if !is_current || document.released {
            return self.acquire_lease(document.fence, WriteCondition::Version(version)).await;
        }
        self.renew_lease(document, version).await.unwrap_or(LeaseStep::Waiting)
    }

    /// Whether this router has observed the lease unchanged for its whole duration.
    fn has_lapsed(&self, document: LeaseDocument, version: u64) -> bool {
        let now = self.now();
        let mut state = self.state();
        if let Some(observation) = &state.observation
            && observation.version == version
            && observation.document == document
        {
            return now.since(observation.since) >= self.options.duration;
        }
        state.observation = Some(LeaseObservation { document, version, since: now });
        false
    }

    async fn acquire_lease(&self, former_fence: u64, condition: WriteCondition) -> LeaseStep {
        let document = LeaseDocument {
            holder: self.options.holder.clone(),
            process: self.options.process,
            fence: former_fence + 1,
            renewals: 0,
            released: false,
        };
        let sent_at = self.now();
        match self.put(&document, condition).await {
            Ok(version) => {
                log::info!(
                    "lease: acquired; this router acts as the holder. key={} fence={}",
                    self.options.object_key,
                    document.fence
                );
                self.hold_lease(document, version, sent_at)
            }
            Err(StoreError { kind: StoreErrorKind::Conflict, .. }) => LeaseStep::Waiting,
            Err(_) => self.step_without_platform(),
        }
    }

    /// Stores the lease as held, valid from the time at which its last write was sent.
    fn hold_lease(&self, document: LeaseDocument, version: u64, sent_at: ClockTime) -> LeaseStep {
        let length = self.options.duration.saturating_sub(self.options.margin);
        let grant = LeaseGrant { fence: document.fence, valid_until: sent_at.plus(length) };
        let held = HeldLease { grant, document, version: Some(version), renewed_at: sent_at };
        let mut state = self.state();
        state.held = Some(held);
        state.observation = None;
        drop(state);
        self.grant().map_or(LeaseStep::Waiting, LeaseStep::Held)
    }

    /// Clears the version after a renewal whose outcome is unknown, so that the next step reads it.
    fn clear_version(&self) {
        if let Some(held) = &mut self.state().held {
            held.version = None;
        }
    }

    /// The step after a call without a response: the lease stays held while its grant is valid.
    fn step_without_platform(&self) -> LeaseStep {
        self.grant().map_or(LeaseStep::PlatformDown, LeaseStep::Held)
    }

    async fn put(
        &self,
        document: &LeaseDocument,
        condition: WriteCondition,
    ) -> Result<u64, StoreError> {
        let value = serde_json::to_vec(document).expect("a lease document has only string keys");
        self.store.put(&self.options.object_key, &value, condition).await
    }
}
