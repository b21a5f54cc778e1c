//! The platform over HTTP.

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
use crate::http_call::{HttpCall, WholeAnswer};
use crate::platform_guard::{
    GuardLimits, HoldReason, PlatformGuard, PlatformHealth, PlatformRates,
};
use crate::store::{
    ObjectStore, StoreError, StoreErrorKind, StoredObject, VmDirectory, VmListing, WriteCondition,
};

/// How a router calls the platform.
#[derive(Debug, Clone)]
pub struct HttpStoreOptions {
    /// The platform's address.
    pub address: SocketAddr,
    /// Whole seconds after which a call counts as lost; at least one.
    pub call_timeout_seconds: u64,
    /// Calls under way at once, each of which holds a thread.
    pub call_threads: usize,
    /// Watches under way at once, each of which holds a thread.
    pub watch_threads: usize,
    /// Budget and back-off.
    pub limits: GuardLimits,
    /// What the platform handles for the whole fleet. If given, the budget follows the number of
    /// VMs in the platform's list.
    pub rates: Option<PlatformRates>,
    /// Seed of the back-off's jitter; routers need different ones.
    pub seed: u64,
}

impl HttpStoreOptions {
    /// Options with defaults for a platform at `address`.
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

/// Client of the platform. Blocking calls run on the runtime's blocking threads.
pub struct HttpStore {
    options: HttpStoreOptions,
    started_at: Instant,
    state: Mutex<StoreState>,
    calls: Arc<Semaphore>,
    watches: Arc<Semaphore>,
}

impl HttpStore {
    /// A client. Nothing is sent yet.
    pub fn new(options: HttpStoreOptions) -> Self {
        let state = StoreState {
            guard: PlatformGuard::new(options.limits),
            counts: CallCounts::default(),
            generator: StdRng::seed_from_u64(options.seed),
        };
        Self {
            started_at: Instant::now(),
            state: Mutex::new(state),
            calls: Arc::new(Semaphore::new(options.call_threads)),
            watches: Arc::new(Semaphore::new(options.watch_threads)),
            options,
        }
    }

    /// Its own calls so far.
    pub fn counts(&self) -> CallCounts {
        self.state().counts
    }

    /// What is known of the platform's health.
    pub fn health(&self) -> PlatformHealth {
        self.state().guard.health()
    }

    fn state(&self) -> MutexGuard<'_, StoreState> {
        self.state.lock().expect("the platform client's lock is never poisoned")
    }

    fn now(&self) -> ClockTime {
        ClockTime::ZERO.plus(self.started_at.elapsed())
    }

    fn call(&self, kind: CallKind, method: Method, path: &str) -> HttpCall {
        self.call_within(kind, method, path, self.options.call_timeout_seconds)
    }

    fn call_within(&self, kind: CallKind, method: Method, path: &str, seconds: u64) -> HttpCall {
        let url = format!("http://{}{path}", self.options.address);
        HttpCall::new(kind, method, url, seconds.max(1))
    }

    async fn send(&self, call: HttpCall) -> Result<WholeAnswer, StoreError> {
        let threads = if call.kind == CallKind::Watch { &self.watches } else { &self.calls };
        let Ok(permit) = Arc::clone(threads).acquire_owned().await else {
            return Err(held_back(StoreErrorKind::Unavailable));
        };
        let kind = call.kind;
        self.admit(kind)?;
        let sending = tokio::task::spawn_blocking(move || {
            let answered = call.send();
            drop(permit);
            answered
        });
        let answered = sending.await.unwrap_or_else(|_| Err(lost_call(kind)));
        self.note_answered(&answered);
        answered
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
                Err(held_back(held_back_fault(reason)))
            }
        }
    }

    /// Takes this router's share of the platform's rates.
    fn share_rates(&self, routers: usize) {
        let Some(rates) = self.options.rates else { return };
        let routers = u32::try_from(routers).unwrap_or(u32::MAX);
        self.state().guard.set_limits(self.options.limits.for_fleet(routers, rates));
    }

    fn note_answered(&self, answered: &Result<WholeAnswer, StoreError>) {
        let now = self.now();
        let mut state = self.state();
        let StoreState { guard, counts, generator } = &mut *state;
        match answered {
            Ok(_) => guard.record_success(now),
            Err(_) => {
                counts.failures += 1;
                guard.record_failure(now, generator);
            }
        }
    }
}

fn held_back(kind: StoreErrorKind) -> StoreError {
    StoreError { kind, ran: RunVerdict::NotRun }
}

fn held_back_fault(reason: HoldReason) -> StoreErrorKind {
    match reason {
        HoldReason::OverBudget => StoreErrorKind::RateLimited,
        HoldReason::BackingOff(_) | HoldReason::Probing => StoreErrorKind::Unavailable,
    }
}

fn lost_call(kind: CallKind) -> StoreError {
    let ran = if kind.is_write() { RunVerdict::MayHaveRun } else { RunVerdict::NotRun };
    StoreError { kind: StoreErrorKind::Unavailable, ran }
}

impl ObjectStore for HttpStore {
    async fn get(&self, key: &str) -> Result<Option<StoredObject>, StoreError> {
        let call = self.call(CallKind::Get, Method::Get, &format!("/objects/{key}"));
        self.send(call).await?.into_object(key)
    }

    async fn put(
        &self,
        key: &str,
        value: &[u8],
        condition: WriteCondition,
    ) -> Result<u64, StoreError> {
        let call = self
            .call(CallKind::Put, Method::Put, &format!("/objects/{key}"))
            .with_condition(condition)
            .with_body(value.to_vec());
        self.send(call).await?.into_version()
    }

    async fn delete(&self, key: &str, version: u64) -> Result<(), StoreError> {
        let call = self
            .call(CallKind::Delete, Method::Delete, &format!("/objects/{key}"))
            .with_condition(WriteCondition::Version(version));
        self.send(call).await?.into_deleted()
    }

    async fn list(&self, prefix: &str, after: &str, limit: u32) -> Result<Vec<String>, StoreError> {
        let path = format!("/list?prefix={prefix}&after={after}&limit={limit}");
        self.send(self.call(CallKind::List, Method::Get, &path)).await?.into_document()
    }

    async fn watch(
        &self,
        key: &str,
        version: u64,
        wait: Duration,
    ) -> Result<Option<StoredObject>, StoreError> {
        let path = format!("/watch/{key}?version={version}&wait_ms={}", wait.as_millis());
        let seconds = wait.as_secs() + 1 + self.options.call_timeout_seconds;
        let call = self.call_within(CallKind::Watch, Method::Get, &path, seconds);
        let answer = self.send(call).await?;
        if answer.is_unchanged() && version > 0 {
            return self.get(key).await;
        }
        answer.into_change(key)
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
        let call = self.call(CallKind::ListVms, Method::Get, "/vms");
        let documents: Vec<VmDocument> = self.send(call).await?.into_document()?;
        self.share_rates(documents.len());
        Ok(documents.into_iter().map(VmListing::from).collect())
    }
}
