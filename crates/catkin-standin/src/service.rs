//! Stand-in of a plain service whose calls may not be repeated.

use std::collections::BTreeMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use catkin_base::{digest_hex, value_type};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::json;

use crate::answer::{query_value, unescape};
use crate::async_listener::{
    AsyncHandler, AsyncListener, ListenerCommand, ServerAnswer, empty_answer, header_text,
    json_answer, not_run_answer, read_document, set_header, whole_answer,
};
use crate::lost_answers::LostAnswers;
use crate::order_desk::{AcceptedOrder, OrderBody, OrderDesk};
use crate::server_report::{LeaveRecord, LoadHistory, ProbeAnswer};

/// How a plain service behaves.
#[derive(Debug, Clone)]
pub struct ServiceOptions {
    /// Where it listens.
    pub address: SocketAddr,
    /// Time that a call takes.
    pub work_time: Duration,
    /// Calls that run at once; more are answered 503 and are not run.
    pub slots: u32,
    /// Age of the load that probes report.
    pub load_lag: Duration,
    /// Share of calls that are recorded and whose answer is dropped, from 0 to 1.
    pub lost_answer_share: f64,
    /// Whether it answers look-ups.
    pub supports_look_up: bool,
    /// Whether it refuses orders under an old fencing number.
    pub checks_fence: bool,
    /// Whether it declines new work while it leaves.
    pub declines_when_leaving: bool,
    /// How long it refuses connections after a crash.
    pub downtime: Duration,
    /// Seed of lost answers.
    pub seed: u64,
}

impl Default for ServiceOptions {
    fn default() -> Self {
        Self {
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            work_time: Duration::from_millis(2),
            slots: 64,
            load_lag: Duration::ZERO,
            lost_answer_share: 0.0,
            supports_look_up: true,
            checks_fence: true,
            declines_when_leaving: false,
            downtime: Duration::from_millis(200),
            seed: 0,
        }
    }
}

value_type! {
    /// What a plain service counted. Its records outlive a crash.
    #[derive(Default)]
    pub struct ServiceCounts {
        /// Calls recorded.
        pub runs: u64,
        /// Calls answered "not run".
        pub declined: u64,
        /// Runs for each idempotency key.
        pub runs_by_key: BTreeMap<String, u64>,
        /// Runs for each attempt id.
        pub runs_by_attempt: BTreeMap<String, u64>,
        /// Requests that arrived while it was leaving.
        pub work_while_leaving: u64,
        /// Longest time from its leaving to the arrival of a request, in milliseconds.
        pub latest_work_after_leaving_millis: u64,
        /// Most calls open at once.
        pub most_open: u32,
        /// Calls recorded whose answer was dropped.
        pub lost_answers: u64,
        /// Look-ups answered.
        pub look_ups: u64,
        /// Crashes.
        pub crashes: u64,
        /// Probes answered.
        pub probes: u64,
        /// Orders taken although a newer one had been taken before.
        pub undone_orders: u64,
        /// Orders refused because of their number.
        pub refused_orders: u64,
    }
}

impl ServiceCounts {
    /// Keys that ran more than once.
    pub fn count_repeated_keys(&self) -> usize {
        self.runs_by_key.values().filter(|runs| **runs > 1).count()
    }
}

struct ServiceState {
    incarnation: u64,
    counts: ServiceCounts,
    recorded: BTreeMap<String, Vec<u8>>,
    load: LoadHistory,
    leave: LeaveRecord,
    desk: OrderDesk,
    lost_answers: LostAnswers,
    crash_before_next: u32,
    generator: StdRng,
}

struct ServiceHandler {
    options: ServiceOptions,
    commands: flume::Sender<ListenerCommand>,
    state: Mutex<ServiceState>,
}

/// A call that is open on the service.
struct OpenCall {
    service: Arc<ServiceHandler>,
    incarnation: u64,
}

impl Drop for OpenCall {
    fn drop(&mut self) {
        let mut state = self.service.state();
        if state.incarnation == self.incarnation {
            state.load.exit();
        }
    }
}

impl ServiceHandler {
    fn new(options: ServiceOptions, commands: flume::Sender<ListenerCommand>) -> Self {
        let mut generator = StdRng::seed_from_u64(options.seed);
        let state = ServiceState {
            incarnation: generator.random::<u64>() | 1,
            counts: ServiceCounts::default(),
            recorded: BTreeMap::new(),
            load: LoadHistory::new(options.load_lag),
            leave: LeaveRecord::default(),
            desk: OrderDesk::new(options.checks_fence),
            lost_answers: LostAnswers::new(options.lost_answer_share),
            crash_before_next: 0,
            generator,
        };
        Self { options, commands, state: Mutex::new(state) }
    }

    fn state(&self) -> MutexGuard<'_, ServiceState> {
        self.state.lock().expect("the service state lock is never poisoned")
    }

    fn probe(&self) -> ServerAnswer {
        let mut state = self.state();
        state.counts.probes += 1;
        json_answer(&ProbeAnswer {
            incarnation: state.incarnation,
            open: state.load.reported(),
            leaving: state.leave.is_leaving(),
            models: Vec::new(),
            event_sequence: 0,
            events: Vec::new(),
            fence: state.desk.fence(),
        })
    }

    fn look_up(&self, request: &Request<Incoming>) -> ServerAnswer {
        if !self.options.supports_look_up {
            return empty_answer(StatusCode::NOT_IMPLEMENTED);
        }
        let url = request.uri().to_string();
        let key = unescape(query_value(&url, "key").unwrap_or_default());
        let mut state = self.state();
        state.counts.look_ups += 1;
        match state.recorded.get(&key) {
            Some(answer) => whole_answer(StatusCode::OK, "application/json", answer.clone()),
            None => empty_answer(StatusCode::NOT_FOUND),
        }
    }

    async fn take_order(&self, request: Request<Incoming>) -> ServerAnswer {
        match read_document::<OrderBody>(request).await {
            Some(order) => json_answer(&self.state().desk.take(order)),
            None => empty_answer(StatusCode::BAD_REQUEST),
        }
    }

    async fn record(self: Arc<Self>, request: Request<Incoming>) -> Option<ServerAnswer> {
        let (Some(key), Some(attempt)) = (
            header_text(&request, "idempotency-key").map(str::to_owned),
            header_text(&request, "x-attempt-id").map(str::to_owned),
        ) else {
            return Some(empty_answer(StatusCode::BAD_REQUEST));
        };
        let body = request.into_body().collect().await.ok()?.to_bytes();
        let Some(call) = self.admit() else {
            self.state().counts.declined += 1;
            return Some(not_run_answer());
        };
        if self.crashes_now() {
            let _ = self.commands.send(ListenerCommand::Crash(self.options.downtime));
            std::future::pending::<()>().await;
        }
        tokio::time::sleep(self.options.work_time).await;
        let answer = self.write_record(&key, &attempt, &body)?;
        drop(call);
        let mut answer = whole_answer(StatusCode::OK, "application/json", answer);
        set_header(&mut answer, "x-attempt-id", &attempt);
        Some(answer)
    }

    fn admit(self: &Arc<Self>) -> Option<OpenCall> {
        let mut state = self.state();
        state.leave.note_arrival();
        let declines = self.options.declines_when_leaving && state.leave.is_leaving();
        if declines || state.load.open() >= self.options.slots {
            return None;
        }
        state.load.enter();
        Some(OpenCall { service: Arc::clone(self), incarnation: state.incarnation })
    }

    fn crashes_now(&self) -> bool {
        let mut state = self.state();
        let crashes = state.crash_before_next > 0;
        state.crash_before_next = state.crash_before_next.saturating_sub(1);
        crashes
    }

    /// Records a call; `None` if its answer is to be lost.
    fn write_record(&self, key: &str, attempt: &str, body: &[u8]) -> Option<Vec<u8>> {
        let answer = build_service_answer(key, body);
        let mut state = self.state();
        state.counts.runs += 1;
        *state.counts.runs_by_key.entry(key.to_owned()).or_default() += 1;
        *state.counts.runs_by_attempt.entry(attempt.to_owned()).or_default() += 1;
        state.recorded.entry(key.to_owned()).or_insert_with(|| answer.clone());
        let ServiceState { lost_answers, generator, counts, .. } = &mut *state;
        let lost = lost_answers.draw(generator);
        counts.lost_answers += u64::from(lost);
        (!lost).then_some(answer)
    }
}

impl AsyncHandler for ServiceHandler {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Option<ServerAnswer> {
        let path = request.uri().path().to_owned();
        match (request.method(), path.as_str()) {
            (&Method::GET, "/probe") => Some(self.probe()),
            (&Method::GET, "/lookup") => Some(self.look_up(&request)),
            (&Method::POST, "/orders") => Some(self.take_order(request).await),
            (&Method::POST, _) => self.record(request).await,
            _ => Some(empty_answer(StatusCode::NOT_FOUND)),
        }
    }

    fn restart(&self) {
        let mut state = self.state();
        state.counts.crashes += 1;
        state.incarnation = state.generator.random::<u64>() | 1;
        state.load.clear();
        state.leave.set(false);
        state.desk.restart();
    }
}

/// The answer to a call with this key and body, as a plain service gives it.
pub fn build_service_answer(key: &str, body: &[u8]) -> Vec<u8> {
    json!({ "recorded": key, "digest": digest_hex(body) }).to_string().into_bytes()
}

/// A running plain service.
pub struct ServiceStandin {
    listener: AsyncListener<ServiceHandler>,
    downtime: Duration,
}

impl ServiceStandin {
    /// Starts it.
    pub fn start(options: ServiceOptions) -> io::Result<Self> {
        let downtime = options.downtime;
        let address = options.address;
        let listener =
            AsyncListener::start(address, |commands| ServiceHandler::new(options, commands))?;
        Ok(Self { listener, downtime })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Drops every connection, refuses new ones for the downtime and keeps its records.
    pub fn crash(&self) {
        self.listener.command(ListenerCommand::Crash(self.downtime));
    }

    /// Crashes before each of the next `count` calls is recorded.
    pub fn crash_before_next_records(&self, count: u32) {
        self.listener.handler().state().crash_before_next = count;
    }

    /// Records the next `count` calls and drops their answers.
    pub fn lose_next_answers(&self, count: u32) {
        self.listener.handler().state().lost_answers.lose_next(count);
    }

    /// Starts or stops leaving.
    pub fn set_leaving(&self, leaving: bool) {
        self.listener.handler().state().leave.set(leaving);
    }

    /// Calls open now.
    pub fn open(&self) -> u32 {
        self.listener.handler().state().load.open()
    }

    /// Orders that it took, in the order in which they took effect.
    pub fn accepted_orders(&self) -> Vec<AcceptedOrder> {
        self.listener.handler().state().desk.taken().to_vec()
    }

    /// What it counted so far.
    pub fn counts(&self) -> ServiceCounts {
        let state = self.listener.handler().state();
        let mut counts = state.counts.clone();
        counts.most_open = state.load.most_open();
        counts.work_while_leaving = state.leave.work();
        counts.latest_work_after_leaving_millis = state.leave.latest_millis();
        counts.undone_orders = state.desk.undone();
        counts.refused_orders = state.desk.refused();
        counts
    }

    /// Stops it and joins its thread.
    pub fn stop(self) {}
}
