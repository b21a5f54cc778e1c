//! Request handling of the platform stand-in.

use std::collections::VecDeque;
use std::sync::{Condvar, Mutex, MutexGuard};
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::StdRng;
use tiny_http::{Method, Request};
use tokio::time::Instant;

use crate::answer::{PlainAnswer, find_header, find_query_value, strip_query};
use crate::call_rate::CallRate;
use crate::lost_answers::LostAnswers;
use crate::object_table::{ObjectTable, TableCondition, TableRefusal};
use crate::platform::{OutageKind, PlatformCounts, PlatformOptions, VmEntry};
use crate::thread_listener::ThreadHandler;

/// Maximum time that a watch waits.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(60);

/// A list of VMs and the time from which it is in force.
struct VmSnapshot {
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
    random: StdRng,
    snapshots: VecDeque<VmSnapshot>,
    stopping: bool,
}

pub(crate) struct PlatformHandler {
    state: Mutex<PlatformState>,
    changed: Condvar,
    list_lag: Duration,
}

/// Outcome of a call.
enum CallOutcome {
    Answer(PlainAnswer),
    /// The connection is closed without an answer.
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
            random: StdRng::seed_from_u64(options.seed),
            snapshots: VecDeque::new(),
            stopping: false,
        };
        Self { state: Mutex::new(state), changed: Condvar::new(), list_lag: options.list_lag }
    }

    pub(crate) fn set_outage(&self, outage: OutageKind) {
        self.state().outage = outage;
        self.changed.notify_all();
    }

    pub(crate) fn add_snapshot(&self, vms: Vec<VmEntry>) {
        self.state().snapshots.push_back(VmSnapshot { since: Instant::now(), vms });
    }

    pub(crate) fn state(&self) -> MutexGuard<'_, PlatformState> {
        self.state.lock().expect("the platform state lock is never poisoned")
    }

    fn serve(&self, request: &mut Request) -> CallOutcome {
        let outage = self.count_outage_call();
        match outage {
            OutageKind::Failing => return CallOutcome::Answer(PlainAnswer::empty(503)),
            OutageKind::DroppingCalls => return CallOutcome::Dropped,
            OutageKind::None | OutageKind::DroppingAnswers => {}
        }
        let method = request.method().clone();
        let url = request.url().to_owned();
        let path = strip_query(&url);
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
                "/list" => self.list_keys(&url),
                "/vms" => self.list_vms(),
                _ => PlainAnswer::empty(404),
            }
        };
        match outage {
            OutageKind::DroppingAnswers => CallOutcome::Dropped,
            _ => CallOutcome::Answer(answer),
        }
    }

    fn count_outage_call(&self) -> OutageKind {
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

    fn put(&self, key: &str, request: &mut Request) -> CallOutcome {
        let Some(condition) = read_condition(request) else {
            return CallOutcome::Answer(PlainAnswer::empty(428));
        };
        let mut value = Vec::new();
        if request.as_reader().read_to_end(&mut value).is_err() {
            return CallOutcome::Dropped;
        }
        let mut state = self.state();
        state.counts.puts += 1;
        if !state.take_write() {
            return CallOutcome::Answer(PlainAnswer::empty(429));
        }
        let written = state.table.put(key, value, condition);
        self.finish_write(&mut state, written)
    }

    fn delete(&self, key: &str, request: &Request) -> CallOutcome {
        let Some(TableCondition::Version(version)) = read_condition(request) else {
            return CallOutcome::Answer(PlainAnswer::empty(428));
        };
        let mut state = self.state();
        state.counts.deletes += 1;
        if !state.take_write() {
            return CallOutcome::Answer(PlainAnswer::empty(429));
        }
        let deleted = state.table.delete(key, version).map(|()| version);
        self.finish_write(&mut state, deleted)
    }

    fn finish_write(
        &self,
        state: &mut PlatformState,
        written: Result<u64, TableRefusal>,
    ) -> CallOutcome {
        match written {
            Ok(version) => {
                self.changed.notify_all();
                if state.draw_lost_answer() {
                    return CallOutcome::Dropped;
                }
                CallOutcome::Answer(PlainAnswer::empty(200).with_version(version))
            }
            Err(refusal) => {
                state.counts.conflicts += u64::from(refusal == TableRefusal::Conflict);
                CallOutcome::Answer(PlainAnswer::empty(map_refusal(refusal)))
            }
        }
    }

    fn list_keys(&self, url: &str) -> PlainAnswer {
        let prefix = find_query_value(url, "prefix").unwrap_or_default();
        let after = find_query_value(url, "after").unwrap_or_default();
        let limit =
            find_query_value(url, "limit").and_then(|text| text.parse().ok()).unwrap_or(1000);
        let mut state = self.state();
        state.counts.lists += 1;
        if !state.take_read() {
            return PlainAnswer::empty(429);
        }
        build_json_answer(&state.table.list(prefix, after, limit))
    }

    fn list_vms(&self) -> PlainAnswer {
        let mut state = self.state();
        state.counts.vm_lists += 1;
        if !state.take_read() {
            return PlainAnswer::empty(429);
        }
        let newest = Instant::now().checked_sub(self.list_lag);
        let vms = state
            .snapshots
            .iter()
            .rev()
            .find(|snapshot| newest.is_some_and(|newest| snapshot.since <= newest))
            .map(|snapshot| snapshot.vms.as_slice())
            .unwrap_or_default();
        build_json_answer(&vms)
    }

    fn watch(&self, key: &str, url: &str) -> PlainAnswer {
        let known: u64 =
            find_query_value(url, "version").and_then(|text| text.parse().ok()).unwrap_or_default();
        let wait_millis: u64 =
            find_query_value(url, "wait_ms").and_then(|text| text.parse().ok()).unwrap_or_default();
        let wait = Duration::from_millis(wait_millis).min(MAX_WATCH_WAIT);
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
                    && state.table.find_version(key) == known
            })
            .expect("the platform state lock is never poisoned");
        if state.outage != OutageKind::None {
            return PlainAnswer::empty(503);
        }
        if state.table.find_version(key) == known {
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

    fn draw_lost_answer(&mut self) -> bool {
        let drawn = self.lost_answers.draw_loss(&mut self.random);
        let lost = drawn || self.outage == OutageKind::DroppingAnswers;
        self.counts.lost_answers += u64::from(lost);
        lost
    }

    fn answer_object(&self, key: &str) -> PlainAnswer {
        match self.table.get(key) {
            Some(object) => {
                PlainAnswer::with_body(200, object.value.clone()).with_version(object.version)
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
            CallOutcome::Answer(answer) => answer.write_to(request),
            CallOutcome::Dropped => drop(request.into_writer()),
        }
    }

    fn wake_waiters(&self) {
        self.state().stopping = true;
        self.changed.notify_all();
    }
}

fn read_condition(request: &Request) -> Option<TableCondition> {
    if find_header(request, "if-none-match") == Some("*") {
        return Some(TableCondition::Absent);
    }
    let version = find_header(request, "if-match")?.parse().ok()?;
    Some(TableCondition::Version(version))
}

fn map_refusal(refusal: TableRefusal) -> u16 {
    match refusal {
        TableRefusal::Conflict => 412,
        TableRefusal::InvalidKey => 400,
        TableRefusal::TooLarge => 413,
    }
}

fn build_json_answer<Document: serde::Serialize>(document: &Document) -> PlainAnswer {
    match serde_json::to_vec(document) {
        Ok(body) => PlainAnswer::with_body(200, body),
        Err(_) => PlainAnswer::empty(500),
    }
}
