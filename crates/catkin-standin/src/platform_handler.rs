//! What the platform stand-in does with each request.

use std::collections::VecDeque;
use std::sync::{Condvar, Mutex, MutexGuard};
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::StdRng;
use tiny_http::{Method, Request};
use tokio::time::Instant;

use crate::answer::{PlainAnswer, header_value, path_of, query_value};
use crate::call_rate::CallRate;
use crate::lost_answers::LostAnswers;
use crate::object_table::{ObjectTable, TableCondition, TableRefusal};
use crate::platform::{OutageKind, PlatformCounts, PlatformOptions, VmEntry};
use crate::thread_listener::ThreadHandler;

/// Longest time that a watch waits.
const MAX_WATCH: Duration = Duration::from_secs(60);

struct ListedVms {
    since: Instant,
    vms: Vec<VmEntry>,
}

pub(crate) struct PlatformState {
    pub(crate) table: ObjectTable,
    pub(crate) counts: PlatformCounts,
    write_rate: CallRate,
    read_rate: CallRate,
    outage: OutageKind,
    pub(crate) latency: Duration,
    pub(crate) lost_answers: LostAnswers,
    generator: StdRng,
    lists: VecDeque<ListedVms>,
    stopping: bool,
}

pub(crate) struct PlatformHandler {
    state: Mutex<PlatformState>,
    changed: Condvar,
    list_lag: Duration,
}

/// What becomes of a call.
enum CallEnd {
    Answer(PlainAnswer),
    Dropped,
}

impl PlatformHandler {
    pub(crate) fn new(options: &PlatformOptions) -> Self {
        let state = PlatformState {
            table: ObjectTable::default(),
            counts: PlatformCounts::default(),
            write_rate: CallRate::new(options.writes_per_second),
            read_rate: CallRate::new(options.reads_per_second),
            outage: OutageKind::None,
            latency: options.latency,
            lost_answers: LostAnswers::new(options.lost_answer_share),
            generator: StdRng::seed_from_u64(options.seed),
            lists: VecDeque::new(),
            stopping: false,
        };
        Self { state: Mutex::new(state), changed: Condvar::new(), list_lag: options.list_lag }
    }

    pub(crate) fn set_outage(&self, outage: OutageKind) {
        self.state().outage = outage;
        self.changed.notify_all();
    }

    pub(crate) fn add_list(&self, vms: Vec<VmEntry>) {
        self.state().lists.push_back(ListedVms { since: Instant::now(), vms });
    }

    pub(crate) fn state(&self) -> MutexGuard<'_, PlatformState> {
        self.state.lock().expect("the platform state lock is never poisoned")
    }

    fn serve(&self, request: &mut Request) -> CallEnd {
        let outage = self.note_outage();
        match outage {
            OutageKind::Failing => return CallEnd::Answer(PlainAnswer::empty(503)),
            OutageKind::DroppingCalls => return CallEnd::Dropped,
            OutageKind::None | OutageKind::DroppingAnswers => {}
        }
        let method = request.method().clone();
        let url = request.url().to_owned();
        let path = path_of(&url);
        let answer = if let Some(key) = path.strip_prefix("/objects/") {
            match method {
                Method::Get => self.get(key),
                Method::Put => return self.put(key, request),
                Method::Delete => return self.delete(key, request),
                _ => PlainAnswer::empty(405),
            }
        } else if let Some(key) = path.strip_prefix("/watch/") {
            self.watch(key, &url)
        } else {
            match path {
                "/list" => self.list(&url),
                "/vms" => self.list_vms(),
                _ => PlainAnswer::empty(404),
            }
        };
        match outage {
            OutageKind::DroppingAnswers => CallEnd::Dropped,
            _ => CallEnd::Answer(answer),
        }
    }

    fn note_outage(&self) -> OutageKind {
        let mut state = self.state();
        if state.outage != OutageKind::None {
            state.counts.outage_calls += 1;
        }
        state.outage
    }

    fn get(&self, key: &str) -> PlainAnswer {
        let mut state = self.state();
        state.counts.gets += 1;
        if !state.take_read() {
            return PlainAnswer::empty(429);
        }
        state.answer_object(key)
    }

    fn put(&self, key: &str, request: &mut Request) -> CallEnd {
        let Some(condition) = read_condition(request) else {
            return CallEnd::Answer(PlainAnswer::empty(428));
        };
        let mut value = Vec::new();
        if request.as_reader().read_to_end(&mut value).is_err() {
            return CallEnd::Dropped;
        }
        let mut state = self.state();
        state.counts.puts += 1;
        if !state.take_write() {
            return CallEnd::Answer(PlainAnswer::empty(429));
        }
        let written = state.table.put(key, value, condition);
        self.end_write(&mut state, written)
    }

    fn delete(&self, key: &str, request: &Request) -> CallEnd {
        let Some(TableCondition::Version(version)) = read_condition(request) else {
            return CallEnd::Answer(PlainAnswer::empty(428));
        };
        let mut state = self.state();
        state.counts.deletes += 1;
        if !state.take_write() {
            return CallEnd::Answer(PlainAnswer::empty(429));
        }
        let deleted = state.table.delete(key, version).map(|()| version);
        self.end_write(&mut state, deleted)
    }

    fn end_write(&self, state: &mut PlatformState, written: Result<u64, TableRefusal>) -> CallEnd {
        match written {
            Ok(version) => {
                self.changed.notify_all();
                if state.loses_answer() {
                    return CallEnd::Dropped;
                }
                CallEnd::Answer(PlainAnswer::empty(200).versioned(version))
            }
            Err(refusal) => {
                state.counts.conflicts += u64::from(refusal == TableRefusal::Conflict);
                CallEnd::Answer(PlainAnswer::empty(refusal_status(refusal)))
            }
        }
    }

    fn list(&self, url: &str) -> PlainAnswer {
        let prefix = query_value(url, "prefix").unwrap_or_default();
        let after = query_value(url, "after").unwrap_or_default();
        let limit = query_value(url, "limit").and_then(|text| text.parse().ok()).unwrap_or(1000);
        let mut state = self.state();
        state.counts.lists += 1;
        if !state.take_read() {
            return PlainAnswer::empty(429);
        }
        json_answer(&state.table.list(prefix, after, limit))
    }

    fn list_vms(&self) -> PlainAnswer {
        let mut state = self.state();
        state.counts.vm_lists += 1;
        if !state.take_read() {
            return PlainAnswer::empty(429);
        }
        let visible = Instant::now().checked_sub(self.list_lag);
        let vms = state
            .lists
            .iter()
            .rev()
            .find(|list| visible.is_some_and(|visible| list.since <= visible))
            .map(|list| list.vms.as_slice())
            .unwrap_or_default();
        json_answer(&vms)
    }

    fn watch(&self, key: &str, url: &str) -> PlainAnswer {
        let known: u64 =
            query_value(url, "version").and_then(|text| text.parse().ok()).unwrap_or_default();
        let wait_millis: u64 =
            query_value(url, "wait_ms").and_then(|text| text.parse().ok()).unwrap_or_default();
        let wait = Duration::from_millis(wait_millis).min(MAX_WATCH);
        let mut state = self.state();
        state.counts.watches += 1;
        if !state.take_read() {
            return PlainAnswer::empty(429);
        }
        let (state, _) = self
            .changed
            .wait_timeout_while(state, wait, |state| {
                !state.stopping
                    && state.outage == OutageKind::None
                    && state.table.version_of(key) == known
            })
            .expect("the platform state lock is never poisoned");
        if state.outage != OutageKind::None {
            return PlainAnswer::empty(503);
        }
        if state.table.version_of(key) == known {
            return PlainAnswer::empty(304);
        }
        state.answer_object(key)
    }
}

impl PlatformState {
    fn take_read(&mut self) -> bool {
        let taken = self.read_rate.take(1.0);
        self.counts.rate_limited += u64::from(!taken);
        taken
    }

    fn take_write(&mut self) -> bool {
        let taken = self.write_rate.take(1.0);
        self.counts.rate_limited += u64::from(!taken);
        taken
    }

    fn loses_answer(&mut self) -> bool {
        let drawn = self.lost_answers.draw(&mut self.generator);
        let lost = drawn || self.outage == OutageKind::DroppingAnswers;
        self.counts.lost_answers += u64::from(lost);
        lost
    }

    fn answer_object(&self, key: &str) -> PlainAnswer {
        match self.table.get(key) {
            Some(object) => {
                PlainAnswer::with_body(200, object.value.clone()).versioned(object.version)
            }
            None => PlainAnswer::empty(404),
        }
    }
}

impl ThreadHandler for PlatformHandler {
    fn handle(&self, mut request: Request) {
        let latency = self.state().latency;
        std::thread::sleep(latency);
        match self.serve(&mut request) {
            CallEnd::Answer(answer) => answer.write_to(request),
            CallEnd::Dropped => drop(request.into_writer()),
        }
    }

    fn wake_waiting(&self) {
        self.state().stopping = true;
        self.changed.notify_all();
    }
}

fn read_condition(request: &Request) -> Option<TableCondition> {
    if header_value(request, "if-none-match") == Some("*") {
        return Some(TableCondition::Absent);
    }
    let version = header_value(request, "if-match")?.parse().ok()?;
    Some(TableCondition::Version(version))
}

fn refusal_status(refusal: TableRefusal) -> u16 {
    match refusal {
        TableRefusal::Conflict => 412,
        TableRefusal::BadKey => 400,
        TableRefusal::TooLarge => 413,
    }
}

fn json_answer<Document: serde::Serialize>(document: &Document) -> PlainAnswer {
    match serde_json::to_vec(document) {
        Ok(body) => PlainAnswer::with_body(200, body),
        Err(_) => PlainAnswer::empty(500),
    }
}
