//! Request handling of the engine stand-in.

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::json;

use crate::answer::find_query_value;
use crate::async_listener::{
    AsyncHandler, ListenerCommand, ServerAnswer, build_empty_answer, build_json_answer,
    build_not_run_answer, find_header_text, read_document, set_header,
};
use crate::chat_content::{ChatBody, build_answer_text};
use crate::engine::{EngineCounts, EngineOptions};
use crate::lost_answers::LostAnswers;
use crate::order_receiver::{AcceptedOrder, OrderBody, OrderReceiver};
use crate::prefix_cache::PrefixCache;
use crate::run_slots::{RunSlots, SlotGrant};
use crate::server_status::{LeavingState, LoadHistory, ProbeAnswer};
use crate::token_stream::start_stream;

/// Streams to cut: the next `remaining` ones, each after `tokens` tokens.
struct StreamCut {
    remaining: u32,
    tokens: u32,
}

struct EngineState {
    incarnation: u64,
    counts: EngineCounts,
    slots: RunSlots,
    cache: PrefixCache,
    load: LoadHistory,
    leave: LeavingState,
    orders: OrderReceiver,
    lost_answers: LostAnswers,
    cut: StreamCut,
    random: StdRng,
}

/// Handles the requests of an engine and holds its state.
pub(crate) struct EngineHandler {
    options: EngineOptions,
    commands: flume::Sender<ListenerCommand>,
    state: Mutex<EngineState>,
}

/// Headers of a chat completion call.
pub(crate) struct CallHeaders {
    pub(crate) attempt: String,
    request: Option<String>,
    chat: Option<u64>,
    priority: u32,
    pub(crate) resume_after: Option<u32>,
}

/// A chat completion call that was read completely.
pub(crate) struct ChatCall {
    pub(crate) headers: CallHeaders,
    pub(crate) body: ChatBody,
}

/// A request that is open on the engine. Dropping it releases its slot.
pub(crate) struct OpenRun {
    pub(crate) engine: Arc<EngineHandler>,
    incarnation: u64,
    /// Receives a message when the request gets a slot; `None` once it was received.
    grant: Option<flume::Receiver<()>>,
    started: bool,
    finished: bool,
}

impl OpenRun {
    /// Waits for a slot.
    async fn wait_for_slot(&mut self) {
        if let Some(grant) = &self.grant {
            let _ = grant.recv_async().await;
        }
        self.grant = None;
    }

    fn holds_slot(&self) -> bool {
        self.grant.as_ref().is_none_or(|grant| grant.try_recv().is_ok())
    }
}

impl Drop for OpenRun {
    fn drop(&mut self) {
        let holds_slot = self.holds_slot();
        let mut state = self.engine.state();
        if self.started && !self.finished {
            state.counts.cancelled += 1;
        }
        if state.incarnation != self.incarnation {
            return;
        }
        state.load.remove_request();
        if holds_slot {
            state.slots.release();
        }
    }
}

impl EngineHandler {
    pub(crate) fn new(options: EngineOptions, commands: flume::Sender<ListenerCommand>) -> Self {
        let mut random = StdRng::seed_from_u64(options.seed);
        let state = EngineState {
            incarnation: random.random::<u64>() | 1,
            counts: EngineCounts::default(),
            slots: RunSlots::new(options.slots, options.queue_limit),
            cache: PrefixCache::new(options.max_cached_chats, options.event_gap_share),
            load: LoadHistory::new(options.load_lag),
            leave: LeavingState::default(),
            orders: OrderReceiver::new(options.checks_fencing),
            lost_answers: LostAnswers::new(options.lost_answer_share),
            cut: StreamCut { remaining: 0, tokens: 0 },
            random,
        };
        Self { options, commands, state: Mutex::new(state) }
    }

    fn state(&self) -> MutexGuard<'_, EngineState> {
        self.state.lock().expect("the engine state lock is never poisoned")
    }

    /// Returns the time between two tokens.
    pub(crate) fn token_interval(&self) -> Duration {
        self.options.token_interval
    }

    pub(crate) fn set_leaving(&self, leaving: bool) {
        self.state().leave.set_leaving(leaving);
    }

    pub(crate) fn lose_next_answers(&self, count: u32) {
        self.state().lost_answers.lose_next(count);
    }

    pub(crate) fn lose_next_order_answers(&self, count: u32) {
        self.state().orders.lose_next_answers(count);
    }

    pub(crate) fn cut_next_streams(&self, count: u32, tokens: u32) {
        self.state().cut = StreamCut { remaining: count, tokens };
    }

    pub(crate) fn open(&self) -> u32 {
        self.state().load.open()
    }

    pub(crate) fn incarnation(&self) -> u64 {
        self.state().incarnation
    }

    pub(crate) fn accepted_orders(&self) -> Vec<AcceptedOrder> {
        self.state().orders.accepted().to_vec()
    }

    pub(crate) fn counts(&self) -> EngineCounts {
        let state = self.state();
        let mut counts = state.counts.clone();
        counts.most_open = state.load.max_open();
        counts.work_while_leaving = state.leave.late_arrivals();
        counts.latest_work_after_leaving_millis = state.leave.latest_arrival_millis();
        counts.undone_orders = state.orders.undone_count();
        counts.refused_orders = state.orders.refused_count();
        counts
    }

    async fn answer_probe(&self, after: u64) -> ServerAnswer {
        tokio::time::sleep(self.options.probe_latency).await;
        let mut state = self.state();
        state.counts.probes += 1;
        let lag = self.options.event_lag;
        build_json_answer(&ProbeAnswer {
            incarnation: state.incarnation,
            open: state.load.reported_open(),
            leaving: state.leave.is_leaving(),
            models: self.options.models.clone(),
            event_sequence: state.cache.visible_sequence(lag),
            events: state.cache.events_after(after, lag),
            fence: state.orders.fence(),
        })
    }

    async fn handle_order(&self, request: Request<Incoming>) -> Option<ServerAnswer> {
        let Some(order) = read_document::<OrderBody>(request).await else {
            return Some(build_empty_answer(StatusCode::BAD_REQUEST));
        };
        let mut state = self.state();
        let answer = state.orders.handle(order);
        if state.orders.take_lost_answer() {
            return None;
        }
        Some(build_json_answer(&answer))
    }

    async fn answer_cache_move(&self, request: Request<Incoming>) -> Option<ServerAnswer> {
        let Some(body) = read_document::<MoveBody>(request).await else {
            return Some(build_empty_answer(StatusCode::BAD_REQUEST));
        };
        let Ok(chat) = u64::from_str_radix(&body.chat, 16) else {
            return Some(build_empty_answer(StatusCode::BAD_REQUEST));
        };
        let cached = self.state().cache.cached_tokens(chat, u32::MAX);
        Some(build_json_answer(&json!({ "chat": body.chat, "tokens": cached, "to": body.to })))
    }

    async fn answer_chat(self: Arc<Self>, request: Request<Incoming>) -> Option<ServerAnswer> {
        let Some(headers) = read_headers(&request) else {
            return Some(build_empty_answer(StatusCode::BAD_REQUEST));
        };
        let Some(body) = read_document::<ChatBody>(request).await else {
            return Some(build_empty_answer(StatusCode::BAD_REQUEST));
        };
        let call = ChatCall { headers, body };
        let attempt = call.headers.attempt.clone();
        let mut answer = self.run_call(call).await?;
        set_header(&mut answer, "x-attempt-id", &attempt);
        Some(answer)
    }

    async fn run_call(self: Arc<Self>, call: ChatCall) -> Option<ServerAnswer> {
        let Some(mut run) = self.admit_call(&call) else {
            self.state().counts.declined += 1;
            return Some(build_not_run_answer());
        };
        run.wait_for_slot().await;
        let cached = self.record_start(&call);
        run.started = true;
        let prompt = call.body.prompt_tokens();
        let prefill = self.options.prefill_per_token * (prompt - cached);
        tokio::time::sleep(self.options.first_token_delay + prefill).await;
        if self.contains_poison(&call.body) {
            self.state().counts.poison_crashes += 1;
            let _ = self.commands.send(ListenerCommand::Crash(self.options.downtime));
            std::future::pending::<()>().await;
        }
        let mut answer = if call.body.stream {
            start_stream(run, call)
        } else {
            self.generate_answer(run, &call, cached).await?
        };
        set_header(&mut answer, "x-cached-tokens", &cached.to_string());
        Some(answer)
    }

    /// Admits a request; `None` if it is declined.
    fn admit_call(self: &Arc<Self>, call: &ChatCall) -> Option<OpenRun> {
        let mut state = self.state();
        state.leave.count_arrival();
        let declines = self.options.declines_when_leaving && state.leave.is_leaving();
        let cannot_resume = call.headers.resume_after.is_some() && !self.options.resumes;
        let unknown_model = !self.options.models.contains(&call.body.model);
        if declines || cannot_resume || unknown_model {
            return None;
        }
        let grant = match state.slots.request_slot(call.headers.priority) {
            SlotGrant::Now => None,
            SlotGrant::Later(grant) => Some(grant),
            SlotGrant::Refused => return None,
        };
        state.load.add_request();
        let incarnation = state.incarnation;
        let engine = Arc::clone(self);
        Some(OpenRun { engine, incarnation, grant, started: false, finished: false })
    }

    /// Counts the start of a run and caches its prompt; returns the number of prompt tokens that
    /// were cached before.
    fn record_start(&self, call: &ChatCall) -> u32 {
        let mut state = self.state();
        let prompt = call.body.prompt_tokens();
        let chat = call.headers.chat;
        let cached = chat.map_or(0, |chat| state.cache.cached_tokens(chat, prompt));
        let counts = &mut state.counts;
        counts.runs += 1;
        counts.resumed += u64::from(call.headers.resume_after.is_some());
        counts.cached_tokens += u64::from(cached);
        counts.uncached_tokens += u64::from(prompt - cached);
        *counts.runs_by_attempt.entry(call.headers.attempt.clone()).or_default() += 1;
        let content = call.body.last_content().to_owned();
        *counts.runs_by_content.entry(content).or_default() += 1;
        if let Some(request) = &call.headers.request {
            *counts.runs_by_request.entry(request.clone()).or_default() += 1;
        }
        if let Some(chat) = chat {
            *counts.runs_by_chat.entry(chat).or_default() += 1;
            let EngineState { cache, random, .. } = &mut *state;
            cache.store(chat, prompt, random);
        }
        cached
    }

    fn contains_poison(&self, body: &ChatBody) -> bool {
        self.options.poison.as_deref().is_some_and(|marker| body.contains(marker))
    }

    async fn generate_answer(
        &self,
        mut run: OpenRun,
        call: &ChatCall,
        cached: u32,
    ) -> Option<ServerAnswer> {
        let tokens = call.body.answer_tokens();
        tokio::time::sleep(self.options.token_interval * tokens.saturating_sub(1)).await;
        self.record_finish(&mut run, call, tokens);
        if self.draw_lost_answer() {
            return None;
        }
        let content = build_answer_text(call.body.last_content(), tokens);
        Some(build_json_answer(&json!({
            "id": call.headers.attempt,
            "object": "chat.completion",
            "model": call.body.model,
            "choices": [{
                "index": 0,
                "message": { "role": "assistant", "content": content },
                "finish_reason": "stop",
            }],
            "usage": {
                "prompt_tokens": call.body.prompt_tokens(),
                "completion_tokens": tokens,
                "prompt_tokens_details": { "cached_tokens": cached },
            },
        })))
    }

    /// Counts a completed run and caches its prompt and answer.
    pub(crate) fn record_finish(&self, run: &mut OpenRun, call: &ChatCall, generated: u32) {
        run.finished = true;
        let mut state = self.state();
        state.counts.finished += 1;
        state.counts.generated_tokens += u64::from(generated);
        if state.incarnation != run.incarnation {
            return;
        }
        if let Some(chat) = call.headers.chat {
            let tokens = call.body.prompt_tokens() + call.body.answer_tokens();
            let EngineState { cache, random, .. } = &mut *state;
            cache.store(chat, tokens, random);
        }
    }

    fn draw_lost_answer(&self) -> bool {
        let mut state = self.state();
        let EngineState { lost_answers, random, counts, .. } = &mut *state;
        let lost = lost_answers.draw_loss(random);
        counts.lost_answers += u64::from(lost);
        lost
    }

    /// Returns the number of tokens after which the current stream is cut; `None` if it is not cut.
    pub(crate) fn take_stream_cut(&self) -> Option<u32> {
        let mut state = self.state();
        if state.cut.remaining == 0 {
            return None;
        }
        state.cut.remaining -= 1;
        Some(state.cut.tokens)
    }
}

impl AsyncHandler for EngineHandler {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Option<ServerAnswer> {
        let path = request.uri().path().to_owned();
        match (request.method(), path.as_str()) {
            (&Method::GET, "/probe") => Some(self.answer_probe(read_position(&request)).await),
            (&Method::POST, "/orders") => self.handle_order(request).await,
            (&Method::POST, "/kv/move") => self.answer_cache_move(request).await,
            (&Method::POST, "/v1/chat/completions") => self.answer_chat(request).await,
            _ => Some(build_empty_answer(StatusCode::NOT_FOUND)),
        }
    }

    fn reset(&self) {
        let options = &self.options;
        let mut state = self.state();
        state.counts.crashes += 1;
        state.incarnation = state.random.random::<u64>() | 1;
        state.slots = RunSlots::new(options.slots, options.queue_limit);
        state.cache = PrefixCache::new(options.max_cached_chats, options.event_gap_share);
        state.load.clear();
        state.leave.set_leaving(false);
        state.orders.reset();
    }
}

#[derive(serde::Deserialize)]
struct MoveBody {
    chat: String,
    to: String,
}

/// Reads the sequence number after which a probe requests cache events.
fn read_position(request: &Request<Incoming>) -> u64 {
    let url = request.uri().to_string();
    find_query_value(&url, "after").and_then(|text| text.parse().ok()).unwrap_or_default()
}

fn read_headers(request: &Request<Incoming>) -> Option<CallHeaders> {
    let chat = match find_header_text(request, "x-chat-id") {
        Some(text) => Some(u64::from_str_radix(text, 16).ok()?),
        None => None,
    };
    let parse_number =
        |name| find_header_text(request, name).and_then(|text| text.parse::<u32>().ok());
    Some(CallHeaders {
        attempt: find_header_text(request, "x-attempt-id")?.to_owned(),
        request: find_header_text(request, "x-request-id").map(str::to_owned),
        chat,
        priority: parse_number("x-priority").unwrap_or_default(),
        resume_after: find_header_text(request, "x-resume-attempt")
            .and(parse_number("x-resume-after")),
    })
}
