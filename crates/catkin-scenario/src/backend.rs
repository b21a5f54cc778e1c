//! Links to engines and plain services, and how these run requests.

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
use crate::gate::PauseGate;
use crate::servers::{BackendRules, FakeKind, FakeServer, ServersState};
use crate::tally::ScenarioTally;

const HOP: Duration = Duration::from_millis(1);
const PREFILL_PER_TOKEN: Duration = Duration::from_micros(100);
const SERVICE_TIME: Duration = Duration::from_millis(20);
const RESTART_TIME: Duration = Duration::from_secs(3);
/// Time after which a leaving server must get no new work.
const LEAVE_NOTICE: Duration = Duration::from_secs(5);

/// All servers of a scenario.
#[derive(Debug, Clone)]
pub struct FakeServers {
    state: Arc<Mutex<ServersState>>,
    tally: Arc<ScenarioTally>,
}

impl FakeServers {
    /// No servers yet; gaps in cache events follow from `seed`.
    pub fn new(rules: BackendRules, tally: Arc<ScenarioTally>, seed: u64) -> Self {
        let state = ServersState {
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
    pub fn add(&self, address: SocketAddr, kind: FakeKind, slots: usize) {
        self.lock().servers.insert(address, FakeServer::new(kind, slots));
    }

    /// A router's link to the servers.
    pub fn link(&self, gate: PauseGate) -> FakeBackend {
        FakeBackend { servers: self.clone(), gate }
    }

    /// Changes how servers behave from now on.
    pub fn change_rules(&self, change: impl FnOnce(&mut BackendRules)) {
        change(&mut self.lock().rules);
    }

    /// Ends a server's process; it stays down for `duration`, or until it is started.
    pub fn crash(&self, address: SocketAddr, duration: Option<Duration>) {
        if let Some(server) = self.lock().servers.get_mut(&address) {
            server.crash(duration);
        }
    }

    /// Starts a server's process, with an empty cache.
    pub fn start(&self, address: SocketAddr) {
        if let Some(server) = self.lock().servers.get_mut(&address) {
            server.down = false;
            server.down_until = None;
            server.leaving_since = None;
        }
    }

    /// Makes a server say that it is leaving.
    pub fn leave(&self, address: SocketAddr) {
        if let Some(server) = self.lock().servers.get_mut(&address) {
            server.leaving_since = Some(Instant::now());
        }
    }

    fn lock(&self) -> MutexGuard<'_, ServersState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes a request at a server's listener.
    fn accept(&self, address: SocketAddr) -> Result<OpenWork, BackendError> {
        let mut state = self.lock();
        let over = state.over_bound_with(address);
        let Some(server) = state.servers.get_mut(&address).filter(|server| server.is_up()) else {
            return Err(failure(BackendErrorKind::Unreachable, RunVerdict::NotRun));
        };
        let late = server
            .leaving_since
            .is_some_and(|since| Instant::now().duration_since(since) > LEAVE_NOTICE);
        server.change_open(1);
        let work = OpenWork {
            servers: self.clone(),
            address,
            incarnation: server.incarnation,
            slots: Arc::clone(&server.slots),
            died: server.died.clone(),
        };
        state.note_total();
        let skew = state.skew_percent();
        if over {
            log::info!("servers: A request is above the bound. {}", state.describe_load(address));
        }
        drop(state);
        self.tally.change(|counts| {
            counts.late_work += u64::from(late);
            counts.over_bound += u64::from(over);
            counts.max_skew_percent = counts.max_skew_percent.max(skew);
        });
        Ok(work)
    }

    /// Notes a chat in a server's cache; returns whether its prefix was there.
    fn touch_chat(&self, address: SocketAddr, chat: ChatId) -> bool {
        let mut state = self.lock();
        let returning = !state.served_chats.insert(chat);
        let gap_percent = state.rules.event_gap_percent;
        let gaps: Vec<bool> =
            (0..2).map(|_| state.random.random_range(0..100) < gap_percent).collect();
        let cached =
            state.servers.get_mut(&address).is_some_and(|server| server.touch_chat(chat, &gaps));
        drop(state);
        self.tally.change(|counts| {
            counts.returning += u64::from(returning);
            counts.reused += u64::from(returning && cached);
        });
        cached
    }
}

/// A request that a server took. Dropping it ends the work.
#[derive(Debug)]
struct OpenWork {
    servers: FakeServers,
    address: SocketAddr,
    incarnation: u64,
    slots: Arc<Semaphore>,
    died: CancellationToken,
}

impl Drop for OpenWork {
    fn drop(&mut self) {
        let mut state = self.servers.lock();
        let server = state.servers.get_mut(&self.address);
        if let Some(server) = server.filter(|server| server.incarnation == self.incarnation) {
            server.change_open(-1);
        }
        state.note_total();
    }
}

impl OpenWork {
    /// Runs a request up to the head of its answer.
    async fn run(self, spec: &AttemptSpec) -> Result<FakeStream, BackendError> {
        let body: ScenarioBody = serde_json::from_slice(&spec.body)
            .map_err(|_| failure(BackendErrorKind::Declined, RunVerdict::NotRun))?;
        let died = self.died.clone();
        tokio::select! {
            biased;
            () = died.cancelled() => Err(failure(BackendErrorKind::Broken, RunVerdict::MayHaveRun)),
            stream = self.run_undisturbed(spec, body) => stream,
        }
    }

    async fn run_undisturbed(
        self,
        spec: &AttemptSpec,
        body: ScenarioBody,
    ) -> Result<FakeStream, BackendError> {
        let permit = Arc::clone(&self.slots).acquire_owned().await;
        let permit =
            permit.map_err(|_| failure(BackendErrorKind::Broken, RunVerdict::MayHaveRun))?;
        self.servers.tally.note_run(body.nonce);
        let answer = match (&spec.idempotency_key, spec.chat) {
            (Some(key), _) => self.run_service(key, &body).await,
            (None, Some(chat)) => self.run_engine(chat, &body).await?,
            (None, None) => FakeAnswer::whole(&body),
        };
        Ok(FakeStream { work: self, _permit: permit, answer })
    }

    async fn run_service(&self, key: &str, body: &ScenarioBody) -> FakeAnswer {
        sleep(SERVICE_TIME).await;
        self.servers.tally.note_effect(key);
        let answer = FakeAnswer::whole(body);
        self.servers.lock().records.insert(key.to_owned(), answer.rest[0].clone());
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
            self.servers.tally.change(|counts| counts.poison_crashes += 1);
            self.servers.crash(self.address, Some(RESTART_TIME));
            return Err(failure(BackendErrorKind::Broken, RunVerdict::HasRun));
        }
        if body.stream {
            return Ok(FakeAnswer::streamed(body));
        }
        sleep(TOKEN_TIME * body.tokens).await;
        Ok(FakeAnswer::whole(body))
    }
}

/// An answer as it arrives.
#[derive(Debug)]
pub struct FakeStream {
    work: OpenWork,
    _permit: OwnedSemaphorePermit,
    answer: FakeAnswer,
}

impl BackendStream for FakeStream {
    fn head(&self) -> &AnswerHead {
        &self.answer.head
    }

    async fn next_part(&mut self) -> Result<Option<Bytes>, BackendError> {
        if self.answer.rest.is_empty() {
            return Ok(None);
        }
        tokio::select! {
            biased;
            () = self.work.died.cancelled() => {
                Err(failure(BackendErrorKind::Broken, RunVerdict::HasRun))
            }
            () = sleep(self.answer.pause) => Ok(self.answer.rest.pop_front()),
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
        sleep(HOP).await;
        let work = self.servers.accept(spec.address)?;
        let run = timeout(spec.head_timeout, work.run(spec)).await;
        run.unwrap_or(Err(failure(BackendErrorKind::TimedOut, RunVerdict::MayHaveRun)))
    }

    async fn probe(
        &self,
        address: SocketAddr,
        after_event: u64,
        _timeout: Duration,
    ) -> Result<ServerProbe, BackendError> {
        self.gate.wait().await;
        sleep(HOP).await;
        let state = self.servers.lock();
        let server = state.servers.get(&address).filter(|server| server.is_up());
        let server = server.ok_or(failure(BackendErrorKind::Unreachable, RunVerdict::NotRun))?;
        Ok(server.report(&state.rules, after_event))
    }

    async fn look_up(
        &self,
        address: SocketAddr,
        _path: &str,
        key: &str,
        _timeout: Duration,
    ) -> Result<Option<Bytes>, BackendError> {
        self.gate.wait().await;
        sleep(HOP).await;
        let state = self.servers.lock();
        let up = state.servers.get(&address).is_some_and(FakeServer::is_up);
        if !up {
            return Err(failure(BackendErrorKind::Unreachable, RunVerdict::NotRun));
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
        sleep(HOP).await;
        let mut state = self.servers.lock();
        let server = state.servers.get_mut(&address).filter(|server| server.is_up());
        let server = server.ok_or(failure(BackendErrorKind::Unreachable, RunVerdict::NotRun))?;
        let stale = fence < server.fence;
        server.fence = server.fence.max(fence);
        let newest = server.fence;
        drop(state);
        self.servers.tally.change(|counts| counts.stale_orders += u64::from(stale));
        Ok(newest)
    }
}

fn failure(kind: BackendErrorKind, ran: RunVerdict) -> BackendError {
    BackendError { kind, ran }
}
