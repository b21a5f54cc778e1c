//! Fake engines and plain services: how they run requests, and the routers' links to them.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use catkin_backend::{
    AnswerHead, AttemptSpec, BackendError, BackendErrorKind, BackendLink, BackendStream,
    ServerProbe,
};
use catkin_base::{ChatId, RunVerdict};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::{Instant, sleep, timeout};
use tokio_util::sync::CancellationToken;

use crate::answer::{FakeAnswer, ScenarioBody, TOKEN_TIME};
use crate::pause_gate::PauseGate;
use crate::server_state::{BackendRules, BackendState, FakeServer, FakeServerKind};
use crate::tally::ScenarioTally;

/// Network latency of a request from a router to a server.
const HOP_LATENCY: Duration = Duration::from_millis(1);
/// Time for which an engine processes each prompt token of a chat that is not cached.
const PREFILL_PER_TOKEN: Duration = Duration::from_micros(100);
/// Time that a service needs before its effect, and again before its answer.
const SERVICE_TIME: Duration = Duration::from_millis(20);
/// Time that an engine is down after a poisoned prompt crashed it.
const RESTART_TIME: Duration = Duration::from_secs(3);
/// Time after its announcement from which a leaving server must receive no new request.
const LEAVE_GRACE: Duration = Duration::from_secs(5);

/// All servers of a scenario.
#[derive(Debug, Clone)]
pub struct FakeServers {
    state: Arc<Mutex<BackendState>>,
    tally: Arc<ScenarioTally>,
}

impl FakeServers {
    /// Creates an empty set of servers; lost cache events are drawn from `seed`.
    pub fn new(rules: BackendRules, tally: Arc<ScenarioTally>, seed: u64) -> Self {
        let state = BackendState {
            rules,
            random: StdRng::seed_from_u64(seed),
            servers: BTreeMap::new(),
            records: BTreeMap::new(),
            served_chats: BTreeSet::new(),
            totals: VecDeque::new(),
            started: Instant::now(),
        };
        Self { state: Arc::new(Mutex::new(state)), tally }
    }

    /// Adds a server.
    pub fn add(&self, address: SocketAddr, kind: FakeServerKind, slots: usize) {
        self.lock().servers.insert(address, FakeServer::new(kind, slots));
    }

    /// A router's link to the servers.
    pub fn link(&self, gate: PauseGate) -> FakeBackend {
        FakeBackend { servers: self.clone(), gate }
    }

    /// Changes the behavior of all servers from now on.
    pub fn change_rules(&self, change: impl FnOnce(&mut BackendRules)) {
        change(&mut self.lock().rules);
    }

    /// Crashes a server; it restarts after `duration`, or at [`FakeServers::start`] if `None`.
    pub fn crash(&self, address: SocketAddr, duration: Option<Duration>) {
        if let Some(server) = self.lock().servers.get_mut(&address) {
            server.crash(duration);
        }
    }

    /// Starts a server that has crashed. Its cache is empty.
    pub fn start(&self, address: SocketAddr) {
        if let Some(server) = self.lock().servers.get_mut(&address) {
            server.down = false;
            server.down_until = None;
            server.leaving_since = None;
        }
    }

    /// Makes a server announce that it is leaving.
    pub fn leave(&self, address: SocketAddr) {
        if let Some(server) = self.lock().servers.get_mut(&address) {
            server.leaving_since = Some(Instant::now());
        }
    }

    fn lock(&self) -> MutexGuard<'_, BackendState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Opens a request on a server and checks the load bound and late requests to leaving servers.
    fn accept_request(&self, address: SocketAddr) -> Result<OpenRequest, BackendError> {
        let mut state = self.lock();
        let over = state.would_exceed_bound(address);
        let Some(server) = state.servers.get_mut(&address).filter(|server| server.is_up()) else {
            return Err(backend_error(BackendErrorKind::Unreachable, RunVerdict::NotRun));
        };
        let late = server
            .leaving_since
            .is_some_and(|since| Instant::now().duration_since(since) > LEAVE_GRACE);
        server.adjust_open(1);
        let request = OpenRequest {
            servers: self.clone(),
            address,
            incarnation: server.incarnation,
            slots: Arc::clone(&server.slots),
            crash_token: server.crash_token.clone(),
        };
        state.record_total();
        let skew = state.skew_percent();
        if over {
            log::info!(
                "servers: request opened above the load bound. {}",
                state.describe_load(address)
            );
        }
        drop(state);
        self.tally.update(|counts| {
            counts.late_work += u64::from(late);
            counts.over_bound += u64::from(over);
            counts.max_skew_percent = counts.max_skew_percent.max(skew);
        });
        Ok(request)
    }

    /// Records a chat in a server's cache; returns whether its prefix was already cached.
    fn touch_chat(&self, address: SocketAddr, chat: ChatId) -> bool {
        let mut state = self.lock();
        let returning = !state.served_chats.insert(chat);
        let gap_percent = state.rules.event_gap_percent;
        let gaps: Vec<bool> =
            (0..2).map(|_| state.random.random_range(0..100) < gap_percent).collect();
        let cached =
            state.servers.get_mut(&address).is_some_and(|server| server.touch_chat(chat, &gaps));
        drop(state);
        self.tally.update(|counts| {
            counts.returning += u64::from(returning);
            counts.reused += u64::from(returning && cached);
        });
        cached
    }
}

/// An open request on a server; it is closed when dropped.
#[derive(Debug)]
struct OpenRequest {
    servers: FakeServers,
    address: SocketAddr,
    incarnation: u64,
    slots: Arc<Semaphore>,
    crash_token: CancellationToken,
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        let mut state = self.servers.lock();
        let server = state.servers.get_mut(&self.address);
        if let Some(server) = server.filter(|server| server.incarnation == self.incarnation) {
            server.adjust_open(-1);
        }
        state.record_total();
    }
}

impl OpenRequest {
    /// Runs the request until the head of its answer, or until the server crashes.
    async fn run(self, spec: &AttemptSpec) -> Result<FakeStream, BackendError> {
        let body: ScenarioBody = serde_json::from_slice(&spec.body)
            .map_err(|_| backend_error(BackendErrorKind::Declined, RunVerdict::NotRun))?;
        let crash_token = self.crash_token.clone();
        tokio::select! {
            biased;
            () = crash_token.cancelled() => {
                Err(backend_error(BackendErrorKind::Broken, RunVerdict::MayHaveRun))
            }
            stream = self.run_until_head(spec, body) => stream,
        }
    }

    async fn run_until_head(
        self,
        spec: &AttemptSpec,
        body: ScenarioBody,
    ) -> Result<FakeStream, BackendError> {
        let permit = Arc::clone(&self.slots).acquire_owned().await;
        let permit =
            permit.map_err(|_| backend_error(BackendErrorKind::Broken, RunVerdict::MayHaveRun))?;
        self.servers.tally.record_run(body.nonce);
        let answer = match (&spec.idempotency_key, spec.chat) {
            (Some(key), _) => self.run_service(key, &body).await,
            (None, Some(chat)) => self.run_engine(chat, &body).await?,
            (None, None) => FakeAnswer::complete(&body),
        };
        Ok(FakeStream { request: self, _permit: permit, answer })
    }

    async fn run_service(&self, key: &str, body: &ScenarioBody) -> FakeAnswer {
        sleep(SERVICE_TIME).await;
        self.servers.tally.record_effect(key);
        let answer = FakeAnswer::complete(body);
        self.servers.lock().records.insert(key.to_owned(), answer.remaining_parts[0].clone());
        sleep(SERVICE_TIME).await;
        answer
    }

    async fn run_engine(
        &self,
        chat: ChatId,
        body: &ScenarioBody,
    ) -> Result<FakeAnswer, BackendError> {
        let cached = self.servers.touch_chat(self.address, chat);
        if !cached {
            sleep(PREFILL_PER_TOKEN * body.prompt).await;
        }
        if body.poison {
            self.servers.tally.update(|counts| counts.poison_crashes += 1);
            self.servers.crash(self.address, Some(RESTART_TIME));
            return Err(backend_error(BackendErrorKind::Broken, RunVerdict::HasRun));
        }
        if body.stream {
            return Ok(FakeAnswer::streamed(body));
        }
        sleep(TOKEN_TIME * body.tokens).await;
        Ok(FakeAnswer::complete(body))
    }
}

/// Answer of a fake server, read part by part.
#[derive(Debug)]
pub struct FakeStream {
    request: OpenRequest,
    _permit: OwnedSemaphorePermit,
    answer: FakeAnswer,
}

impl BackendStream for FakeStream {
    fn head(&self) -> &AnswerHead {
        &self.answer.head
    }

    async fn next_part(&mut self) -> Result<Option<Bytes>, BackendError> {
        if self.answer.remaining_parts.is_empty() {
            return Ok(None);
        }
        tokio::select! {
            biased;
            () = self.request.crash_token.cancelled() => {
                Err(backend_error(BackendErrorKind::Broken, RunVerdict::HasRun))
            }
            () = sleep(self.answer.part_delay) => Ok(self.answer.remaining_parts.pop_front()),
        }
    }
}

/// A router's link to the servers.
#[derive(Debug, Clone)]
pub struct FakeBackend {
    servers: FakeServers,
    gate: PauseGate,
}

impl BackendLink for FakeBackend {
    type Stream = FakeStream;

    async fn send(&self, spec: &AttemptSpec) -> Result<FakeStream, BackendError> {
        self.gate.wait().await;
        sleep(HOP_LATENCY).await;
        let request = self.servers.accept_request(spec.address)?;
        let run = timeout(spec.head_timeout, request.run(spec)).await;
        run.unwrap_or(Err(backend_error(BackendErrorKind::TimedOut, RunVerdict::MayHaveRun)))
    }

    async fn probe(
        &self,
        address: SocketAddr,
        after_event: u64,
        _timeout: Duration,
    ) -> Result<ServerProbe, BackendError> {
        self.gate.wait().await;
        sleep(HOP_LATENCY).await;
        let state = self.servers.lock();
        let server = state.servers.get(&address).filter(|server| server.is_up());
        let server =
            server.ok_or(backend_error(BackendErrorKind::Unreachable, RunVerdict::NotRun))?;
        Ok(server.build_probe(&state.rules, after_event))
    }

    async fn look_up(
        &self,
        address: SocketAddr,
        _path: &str,
        key: &str,
        _timeout: Duration,
    ) -> Result<Option<Bytes>, BackendError> {
        self.gate.wait().await;
        sleep(HOP_LATENCY).await;
        let state = self.servers.lock();
        let up = state.servers.get(&address).is_some_and(FakeServer::is_up);
        if !up {
            return Err(backend_error(BackendErrorKind::Unreachable, RunVerdict::NotRun));
        }
        Ok(state.records.get(key).cloned())
    }

    async fn order(
        &self,
        address: SocketAddr,
        fence: u64,
        _generation: u64,
        _desired: &str,
        _timeout: Duration,
    ) -> Result<u64, BackendError> {
        self.gate.wait().await;
        sleep(HOP_LATENCY).await;
        let mut state = self.servers.lock();
        let server = state.servers.get_mut(&address).filter(|server| server.is_up());
        let server =
            server.ok_or(backend_error(BackendErrorKind::Unreachable, RunVerdict::NotRun))?;
        let stale = fence < server.fence;
        server.fence = server.fence.max(fence);
        let newest = server.fence;
        drop(state);
        self.servers.tally.update(|counts| counts.stale_orders += u64::from(stale));
        Ok(newest)
    }
}

fn backend_error(kind: BackendErrorKind, ran: RunVerdict) -> BackendError {
    BackendError { kind, ran }
}
