//! HTTP client of the platform's object API.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use catkin_base::{ClockTime, RunVerdict};
use minreq::Method;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde::Deserialize;
use tokio::sync::Semaphore;
use tokio::time::Instant;

use crate::call_counts::{CallCounts, CallKind};
use crate::http_call::{CompleteResponse, HttpCall};
use crate::platform_guard::{
    BlockReason, GuardLimits, PlatformGuard, PlatformHealth, PlatformRates,
};
use crate::store::{
    ObjectStore, StoreError, StoreErrorKind, StoredObject, VmDirectory, VmListing, WriteCondition,
};

/// Options of a router's platform client.
#[derive(Debug, Clone)]
pub struct HttpStoreOptions {
    /// Address of the platform.
    pub address: SocketAddr,
    /// Timeout of a call in seconds, at least one.
    pub call_timeout_seconds: u64,
    /// Maximum number of concurrent calls, each of which occupies a thread.
    pub call_threads: usize,
    /// Maximum number of concurrent watches, each of which occupies a thread.
    pub watch_threads: usize,
    /// Call budget and back-off.
    pub limits: GuardLimits,
    /// Rates that the platform handles for the whole fleet. If given, the budget is an equal share
    /// for each VM in the platform's list.
    pub rates: Option<PlatformRates>,
    /// Seed of the back-off jitter. Each router needs a different one.
    pub seed: u64,
}

impl HttpStoreOptions {
    /// Default options for a platform at `address`.
    pub fn new(address: SocketAddr, seed: u64) -> Self {
        Self {
            address,
            call_timeout_seconds: 2,
            call_threads: 8,
            watch_threads: 2,
            limits: GuardLimits::default(),
            rates: Some(PlatformRates::default()),
            seed,
        }
    }
}

struct StoreState {
    guard: PlatformGuard,
    counts: CallCounts,
    generator: StdRng,
}

/// HTTP client of the platform. Calls block, and run on the runtime's blocking threads.
pub struct HttpStore {
    options: HttpStoreOptions,
    started_at: Instant,
    state: Mutex<StoreState>,
    call_permits: Arc<Semaphore>,
    watch_permits: Arc<Semaphore>,
}

impl HttpStore {
    /// Creates a client without sending anything.
    pub fn new(options: HttpStoreOptions) -> Self {
        let state = StoreState {
            guard: PlatformGuard::new(options.limits),
            counts: CallCounts::default(),
            generator: StdRng::seed_from_u64(options.seed),
        };
        Self {
            started_at: Instant::now(),
            state: Mutex::new(state),
            call_permits: Arc::new(Semaphore::new(options.call_threads)),
            watch_permits: Arc::new(Semaphore::new(options.watch_threads)),
            options,
        }
    }

    /// Counts of the calls that this client has made.
    pub fn counts(&self) -> CallCounts {
        self.state().counts
    }

    /// Health of the platform as observed by this client.
    pub fn health(&self) -> PlatformHealth {
        self.state().guard.health()
    }

    fn state(&self) -> MutexGuard<'_, StoreState> {
        self.state.lock().expect("the platform client lock is never poisoned")
    }

    fn now(&self) -> ClockTime {
        ClockTime::ZERO.plus(self.started_at.elapsed())
    }

    fn build_call(&self, kind: CallKind, method: Method, path: &str) -> HttpCall {
        self.build_call_with_timeout(kind, method, path, self.options.call_timeout_seconds)
    }

    fn build_call_with_timeout(
        &self,
        kind: CallKind,
        method: Method,
        path: &str,
        seconds: u64,
    ) -> HttpCall {
        let url = format!("http://{}{path}", self.options.address);
        HttpCall::new(kind, method, url, seconds.max(1))
    }

    async fn send(&self, call: HttpCall) -> Result<CompleteResponse, StoreError> {
        let permits =
            if call.kind == CallKind::Watch { &self.watch_permits } else { &self.call_permits };
        let Ok(permit) = Arc::clone(permits).acquire_owned().await else {
            return Err(unsent_error(StoreErrorKind::Unavailable));
        };
        let kind = call.kind;
        self.admit(kind)?;
        let sending = tokio::task::spawn_blocking(move || {
            let result = call.send();
            drop(permit);
            result
        });
        let result = sending.await.unwrap_or_else(|_| Err(lost_call_error(kind)));
        self.record_result(&result);
        result
    }

    fn admit(&self, kind: CallKind) -> Result<(), StoreError> {
        let now = self.now();
        let mut state = self.state();
        match state.guard.admit(now, kind.is_write()) {
            Ok(()) => {
                state.counts.record_sent(kind);
                Ok(())
            }
            Err(reason) => {
                state.counts.held_back += 1;
                Err(unsent_error(blocked_kind(reason)))
            }
        }
    }

    /// Sets the budget to this router's share of the platform's rates.
    fn update_budget(&self, routers: usize) {
        let Some(rates) = self.options.rates else { return };
        let routers = u32::try_from(routers).unwrap_or(u32::MAX);
        self.state().guard.set_limits(self.options.limits.for_fleet(routers, rates));
    }

    fn record_result(&self, result: &Result<CompleteResponse, StoreError>) {
        let now = self.now();
        let mut state = self.state();
        let StoreState { guard, counts, generator } = &mut *state;
        match result {
            Ok(_) => guard.record_success(now),
            Err(_) => {
                counts.failures += 1;
                guard.record_failure(now, generator);
            }
        }
    }
}

/// The error of a call that was not sent.
fn unsent_error(kind: StoreErrorKind) -> StoreError {
    StoreError { kind, ran: RunVerdict::NotRun }
}

fn blocked_kind(reason: BlockReason) -> StoreErrorKind {
    match reason {
        BlockReason::OverBudget => StoreErrorKind::RateLimited,
        BlockReason::BackingOff(_) | BlockReason::Probing => StoreErrorKind::Unavailable,
    }
}

/// The error of a call whose blocking task ended without a result.
fn lost_call_error(kind: CallKind) -> StoreError {
    let ran = if kind.is_write() { RunVerdict::MayHaveRun } else { RunVerdict::NotRun };
    StoreError { kind: StoreErrorKind::Unavailable, ran }
}

impl ObjectStore for HttpStore {
    async fn get(&self, key: &str) -> Result<Option<StoredObject>, StoreError> {
        let call = self.build_call(CallKind::Get, Method::Get, &format!("/objects/{key}"));
        self.send(call).await?.into_object(key)
    }

    async fn put(
        &self,
        key: &str,
        value: &[u8],
        condition: WriteCondition,
    ) -> Result<u64, StoreError> {
        let call = self
            .build_call(CallKind::Put, Method::Put, &format!("/objects/{key}"))
            .with_condition(condition)
            .with_body(value.to_vec());
        self.send(call).await?.into_version()
    }

    async fn delete(&self, key: &str, version: u64) -> Result<(), StoreError> {
        let call = self
            .build_call(CallKind::Delete, Method::Delete, &format!("/objects/{key}"))
            .with_condition(WriteCondition::Version(version));
        self.send(call).await?.into_deleted()
    }

    async fn list(&self, prefix: &str, after: &str, limit: u32) -> Result<Vec<String>, StoreError> {
        let path = format!("/list?prefix={prefix}&after={after}&limit={limit}");
        self.send(self.build_call(CallKind::List, Method::Get, &path)).await?.into_document()
    }

    async fn watch(
        &self,
        key: &str,
        version: u64,
        wait: Duration,
    ) -> Result<Option<StoredObject>, StoreError> {
        let path = format!("/watch/{key}?version={version}&wait_ms={}", wait.as_millis());
        let seconds = wait.as_secs() + 1 + self.options.call_timeout_seconds;
        let call = self.build_call_with_timeout(CallKind::Watch, Method::Get, &path, seconds);
        let response = self.send(call).await?;
        if response.is_unchanged() && version > 0 {
            return self.get(key).await;
        }
        response.into_change(key)
    }
}

#[derive(Deserialize)]
struct VmDocument {
    name: String,
    peer_address: SocketAddr,
    domain: String,
    region: String,
    leaving: bool,
}

impl From<VmDocument> for VmListing {
    fn from(document: VmDocument) -> Self {
        let VmDocument { name, peer_address, domain, region, leaving } = document;
        Self { name, peer_address, domain, region, leaving }
    }
}

impl VmDirectory for HttpStore {
    async fn list_vms(&self) -> Result<Vec<VmListing>, StoreError> {
        let call = self.build_call(CallKind::ListVms, Method::Get, "/vms");
        let documents: Vec<VmDocument> = self.send(call).await?.into_document()?;
        self.update_budget(documents.len());
        Ok(documents.into_iter().map(VmListing::from).collect())
    }
}
