//! Stand-in for a plain service whose calls must not be repeated.

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

use crate::answer::{decode_percent, find_query_value};
use crate::async_listener::{
    AsyncHandler, AsyncListener, ListenerCommand, ServerAnswer, build_answer, build_empty_answer,
    build_json_answer, build_not_run_answer, find_header_text, read_document, set_header,
};
use crate::lost_answers::LostAnswers;
use crate::order_receiver::{AcceptedOrder, OrderBody, OrderReceiver};
use crate::server_status::{LeavingState, LoadHistory, ProbeAnswer};

/// Options of a plain service.
#[derive(Debug, Clone)]
pub struct ServiceOptions {
    /// Address to listen on; port 0 selects a free port.
    pub address: SocketAddr,
    /// Duration of a call.
    pub work_time: Duration,
    /// Maximum number of calls that run at once; further ones are answered with 503 and are not
    /// run.
    pub slots: u32,
    /// Age of the load that probes report.
    pub load_lag: Duration,
    /// Fraction of calls that are recorded and whose answer is lost, from 0 to 1.
    pub lost_answer_share: f64,
    /// Whether the service answers look-ups.
    pub supports_look_up: bool,
    /// Whether the service refuses orders with an old fencing token.
    pub checks_fencing: bool,
    /// Whether the service declines new calls while it is leaving.
    pub declines_when_leaving: bool,
    /// Time for which the service refuses connections after a crash.
    pub downtime: Duration,
    /// Seed of incarnations and lost answers.
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
            checks_fencing: true,
            declines_when_leaving: false,
            downtime: Duration::from_millis(200),
            seed: 0,
        }
    }
}

value_type! {
    /// Counts of a plain service over all its incarnations.
    #[derive(Default)]
    pub struct ServiceCounts {
        /// Number of calls recorded.
        pub runs: u64,
        /// Number of calls that were declined with "not run".
        pub declined: u64,
        /// Number of runs by idempotency key.
        pub runs_by_key: BTreeMap<String, u64>,
        /// Number of runs by attempt id.
        pub runs_by_attempt: BTreeMap<String, u64>,
        /// Number of calls that arrived while the service was leaving.
        pub work_while_leaving: u64,
        /// Longest time from the start of leaving to the arrival of a call, in milliseconds.
        pub latest_work_after_leaving_millis: u64,
        /// Maximum number of calls that were open at once.
        pub most_open: u32,
        /// Number of recorded calls whose answer was lost.
        pub lost_answers: u64,
        /// Number of look-ups answered.
        pub look_ups: u64,
        /// Number of crashes.
        pub crashes: u64,
        /// Number of probes answered.
        pub probes: u64,
        /// Number of orders accepted after an order with a higher fencing token.
        pub undone_orders: u64,
        /// Number of orders refused because of their fencing token.
        pub refused_orders: u64,
    }
}

impl ServiceCounts {
    /// Returns the number of idempotency keys that ran more than once.
    pub fn count_repeated_keys(&self) -> usize {
        self.runs_by_key.values().filter(|runs| **runs > 1).count()
    }
}

struct ServiceState {
    incarnation: u64,
    counts: ServiceCounts,
    /// Answers of the recorded calls by idempotency key; they survive a crash.
    answers: BTreeMap<String, Vec<u8>>,
    load: LoadHistory,
    leave: LeavingState,
    orders: OrderReceiver,
    lost_answers: LostAnswers,
    crash_before_next: u32,
    random: StdRng,
}

struct ServiceHandler {
    options: ServiceOptions,
    commands: flume::Sender<ListenerCommand>,
    state: Mutex<ServiceState>,
}

/// A call that is open on the service. Dropping it releases its slot.
struct OpenCall {
    service: Arc<ServiceHandler>,
    incarnation: u64,
}

impl Drop for OpenCall {
    fn drop(&mut self) {
        let mut state = self.service.state();
        if state.incarnation == self.incarnation {
            state.load.remove_request();
        }
    }
}

impl ServiceHandler {
    fn new(options: ServiceOptions, commands: flume::Sender<ListenerCommand>) -> Self {
        let mut random = StdRng::seed_from_u64(options.seed);
        let state = ServiceState {
            incarnation: random.random::<u64>() | 1,
            counts: ServiceCounts::default(),
            answers: BTreeMap::new(),
            load: LoadHistory::new(options.load_lag),
            leave: LeavingState::default(),
            orders: OrderReceiver::new(options.checks_fencing),
            lost_answers: LostAnswers::new(options.lost_answer_share),
            crash_before_next: 0,
            random,
        };
        Self { options, commands, state: Mutex::new(state) }
    }

    fn state(&self) -> MutexGuard<'_, ServiceState> {
        self.state.lock().expect("the service state lock is never poisoned")
    }

    fn answer_probe(&self) -> ServerAnswer {
        let mut state = self.state();
        state.counts.probes += 1;
        build_json_answer(&ProbeAnswer {
            incarnation: state.incarnation,
            open: state.load.reported_open(),
            leaving: state.leave.is_leaving(),
            models: Vec::new(),
            event_sequence: 0,
            events: Vec::new(),
            fence: state.orders.fence(),
        })
    }

    fn answer_look_up(&self, request: &Request<Incoming>) -> ServerAnswer {
        if !self.options.supports_look_up {
            return build_empty_answer(StatusCode::NOT_IMPLEMENTED);
        }
        let url = request.uri().to_string();
        let key = decode_percent(find_query_value(&url, "key").unwrap_or_default());
        let mut state = self.state();
        state.counts.look_ups += 1;
        match state.answers.get(&key) {
            Some(answer) => build_answer(StatusCode::OK, "application/json", answer.clone()),
            None => build_empty_answer(StatusCode::NOT_FOUND),
        }
    }

    async fn handle_order(&self, request: Request<Incoming>) -> ServerAnswer {
        match read_document::<OrderBody>(request).await {
            Some(order) => build_json_answer(&self.state().orders.handle(order)),
            None => build_empty_answer(StatusCode::BAD_REQUEST),
        }
    }

    async fn handle_call(self: Arc<Self>, request: Request<Incoming>) -> Option<ServerAnswer> {
        let (Some(key), Some(attempt)) = (
            find_header_text(&request, "idempotency-key").map(str::to_owned),
            find_header_text(&request, "x-attempt-id").map(str::to_owned),
        ) else {
            return Some(build_empty_answer(StatusCode::BAD_REQUEST));
        };
        let body = request.into_body().collect().await.ok()?.to_bytes();
        let Some(call) = self.admit_call() else {
            self.state().counts.declined += 1;
            return Some(build_not_run_answer());
        };
        if self.take_crash() {
            let _ = self.commands.send(ListenerCommand::Crash(self.options.downtime));
            std::future::pending::<()>().await;
        }
        tokio::time::sleep(self.options.work_time).await;
        let answer = self.record_call(&key, &attempt, &body)?;
        drop(call);
        let mut answer = build_answer(StatusCode::OK, "application/json", answer);
        set_header(&mut answer, "x-attempt-id", &attempt);
        Some(answer)
    }

    fn admit_call(self: &Arc<Self>) -> Option<OpenCall> {
        let mut state = self.state();
        state.leave.count_arrival();
        let declines = self.options.declines_when_leaving && state.leave.is_leaving();
        if declines || state.load.open() >= self.options.slots {
            return None;
        }
        state.load.add_request();
        Some(OpenCall { service: Arc::clone(self), incarnation: state.incarnation })
    }

    fn take_crash(&self) -> bool {
        let mut state = self.state();
        let crashes = state.crash_before_next > 0;
        state.crash_before_next = state.crash_before_next.saturating_sub(1);
        crashes
    }

    /// Records a call and returns its answer; `None` if the answer is lost.
    fn record_call(&self, key: &str, attempt: &str, body: &[u8]) -> Option<Vec<u8>> {
        let answer = build_service_answer(key, body);
        let mut state = self.state();
        state.counts.runs += 1;
        *state.counts.runs_by_key.entry(key.to_owned()).or_default() += 1;
        *state.counts.runs_by_attempt.entry(attempt.to_owned()).or_default() += 1;
        state.answers.entry(key.to_owned()).or_insert_with(|| answer.clone());
        let ServiceState { lost_answers, random, counts, .. } = &mut *state;
        let lost = lost_answers.draw_loss(random);
        counts.lost_answers += u64::from(lost);
        (!lost).then_some(answer)
    }
}

impl AsyncHandler for ServiceHandler {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Option<ServerAnswer> {
        let path = request.uri().path().to_owned();
        match (request.method(), path.as_str()) {
            (&Method::GET, "/probe") => Some(self.answer_probe()),
            (&Method::GET, "/lookup") => Some(self.answer_look_up(&request)),
            (&Method::POST, "/orders") => Some(self.handle_order(request).await),
            (&Method::POST, _) => self.handle_call(request).await,
            _ => Some(build_empty_answer(StatusCode::NOT_FOUND)),
        }
    }

    fn reset(&self) {
        let mut state = self.state();
        state.counts.crashes += 1;
        state.incarnation = state.random.random::<u64>() | 1;
        state.load.clear();
        state.leave.set_leaving(false);
        state.orders.reset();
    }
}

/// Builds the answer of a plain service to a call with this idempotency key and body.
pub fn build_service_answer(key: &str, body: &[u8]) -> Vec<u8> {
    json!({ "recorded": key, "digest": digest_hex(body) }).to_string().into_bytes()
}

/// A running plain service; dropping it stops it.
pub struct ServiceStandin {
    listener: AsyncListener<ServiceHandler>,
    downtime: Duration,
}

impl ServiceStandin {
    /// Starts a plain service.
    pub fn start(options: ServiceOptions) -> io::Result<Self> {
        let downtime = options.downtime;
        let address = options.address;
        let listener =
            AsyncListener::start(address, |commands| ServiceHandler::new(options, commands))?;
        Ok(Self { listener, downtime })
    }

    /// Returns the address that the service listens on.
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Simulates a crash: closes every connection and refuses new ones for the downtime of the
    /// options. The recorded calls survive.
    pub fn crash(&self) {
        self.listener.send_command(ListenerCommand::Crash(self.downtime));
    }

    /// Crashes on each of the next `count` calls, before the call is recorded.
    pub fn crash_before_next_records(&self, count: u32) {
        self.listener.handler().state().crash_before_next = count;
    }

    /// Loses the answers of the next `count` calls, which are still recorded.
    pub fn lose_next_answers(&self, count: u32) {
        self.listener.handler().state().lost_answers.lose_next(count);
    }

    /// Starts or stops leaving.
    pub fn set_leaving(&self, leaving: bool) {
        self.listener.handler().state().leave.set_leaving(leaving);
    }

    /// Returns the number of calls open now.
    pub fn open(&self) -> u32 {
        self.listener.handler().state().load.open()
    }

    /// Returns the accepted orders, in the order in which they took effect.
    pub fn accepted_orders(&self) -> Vec<AcceptedOrder> {
        self.listener.handler().state().orders.accepted().to_vec()
    }

    /// Returns the counts so far.
    pub fn counts(&self) -> ServiceCounts {
        let state = self.listener.handler().state();
        let mut counts = state.counts.clone();
        counts.most_open = state.load.max_open();
        counts.work_while_leaving = state.leave.late_arrivals();
        counts.latest_work_after_leaving_millis = state.leave.latest_arrival_millis();
        counts.undone_orders = state.orders.undone_count();
        counts.refused_orders = state.orders.refused_count();
        counts
    }

    /// Stops the service and joins its thread.
    pub fn stop(self) {}
}
