//! A lease kept in one object of the platform, with a fencing number.

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use catkin_base::{ClockTime, RunVerdict, copy_type, document_type, value_type};
use tokio::time::Instant;

use crate::store::{ObjectStore, StoreError, StoreErrorKind, StoredObject, WriteCondition};

value_type! {
    /// How a router takes part in a lease.
    pub struct LeaseOptions {
        /// Key of the lease's object.
        pub object_key: String,
        /// Name of this router, shown to operators.
        pub holder: String,
        /// This router's process, see [`process_nonce`](crate::process_nonce).
        pub process: u64,
        /// Time without a renewal after which others take the lease over.
        pub duration: Duration,
        /// Time before the end at which the holder stops to act.
        pub margin: Duration,
        /// Time between two renewals.
        pub renew_every: Duration,
    }
}

impl LeaseOptions {
    /// Defaults for the lease of a region.
    pub fn for_region(region: &str, holder: &str, process: u64) -> Self {
        Self {
            object_key: lease_key(region),
            holder: holder.to_owned(),
            process,
            duration: Duration::from_secs(10),
            margin: Duration::from_secs(3),
            renew_every: Duration::from_secs(2),
        }
    }
}

document_type! {
    /// The lease as the platform holds it.
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
    /// A lease as anyone may read it. Only its holder knows how long its right lasts.
    pub struct LeaseView {
        /// The holder; absent if it was released.
        pub holder: Option<String>,
        /// The fencing number given out last.
        pub fence: u64,
    }
}

/// Reads a region's lease; `None` if none was ever taken.
pub async fn read_lease<Store: ObjectStore>(
    store: &Store,
    region: &str,
) -> Result<Option<LeaseView>, StoreError> {
    let Some(object) = store.get(&lease_key(region)).await? else { return Ok(None) };
    let malformed = |_| StoreError { kind: StoreErrorKind::Invalid, ran: RunVerdict::NotRun };
    let document: LeaseDocument = serde_json::from_slice(&object.value).map_err(malformed)?;
    let holder = (!document.released).then_some(document.holder);
    Ok(Some(LeaseView { holder, fence: document.fence }))
}

fn lease_key(region: &str) -> String {
    format!("leases/{region}")
}

copy_type! {
    /// The right to act, up to a time by this router's clock.
    pub struct LeaseGrant {
        /// The fencing number, higher than that of every holder before.
        pub fence: u64,
        /// When the right ends.
        pub valid_until: ClockTime,
    }
}

copy_type! {
    /// What one step of a lease came to.
    pub enum LeaseStep {
        /// This router holds the lease.
        Held(LeaseGrant),
        /// Another router holds it, or may hold it.
        Waiting,
        /// The platform does not answer, and this router does not hold the lease.
        PlatformDown,
    }
}

/// The lease as this router last read it, and when it first read it so.
struct LeaseSighting {
    document: LeaseDocument,
    version: u64,
    since: ClockTime,
}

/// The lease as this router holds it.
struct HeldLease {
    grant: LeaseGrant,
    document: LeaseDocument,
    /// `None` after a renewal whose answer was lost.
    version: Option<u64>,
    renewed_at: ClockTime,
}

#[derive(Default)]
struct LeaseState {
    held: Option<HeldLease>,
    sighting: Option<LeaseSighting>,
}

/// One router's part in a lease.
///
/// Others judge by their own clock: the lease has lapsed once they have seen it unchanged for its
/// whole duration. The holder counts from before it sent its last renewal and stops earlier by the
/// margin, so that it stops before anyone takes over as long as no clock gains more on another
/// than the margin within one duration.
pub struct LeaseHolder<Store: ObjectStore> {
    store: Arc<Store>,
    options: LeaseOptions,
    started_at: Instant,
    state: Mutex<LeaseState>,
}

impl<Store: ObjectStore> LeaseHolder<Store> {
    /// A router that does not hold the lease yet.
    pub fn new(store: Arc<Store>, options: LeaseOptions) -> Self {
        let state = Mutex::new(LeaseState::default());
        Self { store, options, started_at: Instant::now(), state }
    }

    /// The right to act now. Ask again after each point at which the process may have paused.
    pub fn grant(&self) -> Option<LeaseGrant> {
        let now = self.now();
        let state = self.state();
        let held = state.held.as_ref()?;
        (now < held.grant.valid_until).then_some(held.grant)
    }

    /// Whether a grant given earlier is still good.
    pub fn is_current(&self, grant: LeaseGrant) -> bool {
        self.grant().is_some_and(|current| current.fence == grant.fence)
    }

    /// Takes the next step: renews, takes over or waits. To be called several times within each
    /// renewal interval.
    pub async fn step(&self) -> LeaseStep {
        if let Some(step) = self.step_as_holder().await {
            return step;
        }
        match self.store.get(&self.options.object_key).await {
            Ok(found) => self.step_after_read(found).await,
            Err(_) => self.step_without_platform(),
        }
    }

    /// Gives the lease up so that another may take it at once.
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
        self.state.lock().expect("the lease's lock is never poisoned")
    }

    /// The step of a holder that knows the version of its lease; `None` if it has to read first.
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
        self.renew(document, version).await
    }

    async fn renew(&self, document: LeaseDocument, version: u64) -> Option<LeaseStep> {
        let renewed = LeaseDocument { renewals: document.renewals + 1, ..document };
        let sent_at = self.now();
        match self.put(&renewed, WriteCondition::Version(version)).await {
            Ok(version) => Some(self.hold(renewed, version, sent_at)),
            Err(StoreError { kind: StoreErrorKind::Conflict, .. }) => {
                self.lose_version();
                None
            }
            Err(_) => {
                self.lose_version();
                Some(self.step_without_platform())
            }
        }
    }

    async fn step_after_read(&self, found: Option<StoredObject>) -> LeaseStep {
        let Some(found) = found else { return self.take(0, WriteCondition::Absent).await };
        let Ok(document) = serde_json::from_slice::<LeaseDocument>(&found.value) else {
            log::error!("lease: object {} is not a lease", found.key);
            return LeaseStep::Waiting;
        };
        let condition = WriteCondition::Version(found.version);
        if document.process == self.options.process {
            return self.step_as_own(document, found.version).await;
        }
        self.state().held = None;
        let fence = document.fence;
        if document.released || self.has_lapsed(document, found.version) {
            return self.take(fence, condition).await;
        }
        LeaseStep::Waiting
    }

    /// The lease is this router's own: it renews a right that still holds, and takes the lease
    /// anew under a higher number if the right has ended.
    async fn step_as_own(&self, document: LeaseDocument, version: u64) -> LeaseStep {
        let is_current = self.grant().is_some_and(|grant| grant.fence == document.fence);
        if !is_current || document.released {
            return self.take(document.fence, WriteCondition::Version(version)).await;
        }
        self.renew(document, version).await.unwrap_or(LeaseStep::Waiting)
    }

    /// Whether this router has seen the lease unchanged for its whole duration.
    fn has_lapsed(&self, document: LeaseDocument, version: u64) -> bool {
        let now = self.now();
        let mut state = self.state();
        if let Some(sighting) = &state.sighting
            && sighting.version == version
            && sighting.document == document
        {
            return now.since(sighting.since) >= self.options.duration;
        }
        state.sighting = Some(LeaseSighting { document, version, since: now });
        false
    }

    async fn take(&self, former_fence: u64, condition: WriteCondition) -> LeaseStep {
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
                log::info!("lease: took {} under {}", self.options.object_key, document.fence);
                self.hold(document, version, sent_at)
            }
            Err(StoreError { kind: StoreErrorKind::Conflict, .. }) => LeaseStep::Waiting,
            Err(_) => self.step_without_platform(),
        }
    }

    /// Holds the lease from the time at which its last write was sent.
    fn hold(&self, document: LeaseDocument, version: u64, sent_at: ClockTime) -> LeaseStep {
        let length = self.options.duration.saturating_sub(self.options.margin);
        let grant = LeaseGrant { fence: document.fence, valid_until: sent_at.plus(length) };
        let held = HeldLease { grant, document, version: Some(version), renewed_at: sent_at };
        let mut state = self.state();
        state.held = Some(held);
        state.sighting = None;
        drop(state);
        self.grant().map_or(LeaseStep::Waiting, LeaseStep::Held)
    }

    fn lose_version(&self) {
        if let Some(held) = &mut self.state().held {
            held.version = None;
        }
    }

    fn step_without_platform(&self) -> LeaseStep {
        self.grant().map_or(LeaseStep::PlatformDown, LeaseStep::Held)
    }

    async fn put(
        &self,
        document: &LeaseDocument,
        condition: WriteCondition,
    ) -> Result<u64, StoreError> {
        let value = serde_json::to_vec(document).expect("a lease has only string keys");
        self.store.put(&self.options.object_key, &value, condition).await
    }
}
