//! Stand-in of the platform's object API and of its list of VMs.

use std::collections::VecDeque;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::Duration;

use catkin_base::{copy_type, document_type};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tiny_http::{Method, Request};
use tokio::time::Instant;

use crate::answer::{PlainAnswer, header_value, path_of, query_value};
use crate::call_rate::CallRate;
use crate::object_table::{ObjectTable, ObjectView, TableCondition, TableRefusal};
use crate::thread_listener::{ThreadHandler, ThreadListener};

/// Longest time that a watch waits.
const MAX_WATCH: Duration = Duration::from_secs(60);

copy_type! {
    /// How an outage shows.
    pub enum OutageKind {
        /// The platform works.
        None,
        /// Every call is answered 503 and has no effect.
        Failing,
        /// Every call is dropped without an answer and has no effect.
        Silent,
        /// Every call takes effect and its answer is dropped.
        Deaf,
    }
}

/// How the platform behaves.
#[derive(Debug, Clone)]
pub struct PlatformOptions {
    /// Where it listens.
    pub address: SocketAddr,
    /// Time before each answer.
    pub latency: Duration,
    /// Writes that it allows a second; more are answered 429.
    pub writes_per_second: u32,
    /// Reads, lists and watches that it allows a second; more are answered 429.
    pub reads_per_second: u32,
    /// Share of writes that take effect and whose answer is dropped, from 0 to 1.
    pub lost_answer_share: f64,
    /// Age of the list of VMs that it serves.
    pub list_lag: Duration,
    /// Seed of the choice of lost answers.
    pub seed: u64,
}

impl Default for PlatformOptions {
    fn default() -> Self {
        Self {
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            latency: Duration::ZERO,
            writes_per_second: 100_000,
            reads_per_second: 100_000,
            lost_answer_share: 0.0,
            list_lag: Duration::ZERO,
            seed: 0,
        }
    }
}

document_type! {
    /// A VM in the platform's list.
    pub struct VmEntry {
        /// Its name.
        pub name: String,
        /// Address of its router's peer listener.
        pub peer_address: SocketAddr,
        /// Its failure domain.
        pub domain: String,
        /// Its region.
        pub region: String,
        /// Whether it is leaving.
        pub leaving: bool,
    }
}

copy_type! {
    /// What the platform counted.
    #[derive(Default)]
    pub struct PlatformCounts {
        /// Reads of one object.
        pub gets: u64,
        /// Writes of one object, whether or not they took effect.
        pub puts: u64,
        /// Deletions, whether or not they took effect.
        pub deletes: u64,
        /// Lists of keys.
        pub lists: u64,
        /// Watches.
        pub watches: u64,
        /// Reads of the list of VMs.
        pub vm_lists: u64,
        /// Writes whose condition did not hold.
        pub conflicts: u64,
        /// Calls refused because of the rate.
        pub rate_limited: u64,
        /// Writes that took effect and whose answer was dropped.
        pub lost_answers: u64,
        /// Calls that came during an outage.
        pub outage_calls: u64,
    }
}

impl PlatformCounts {
    /// All calls that the platform took.
    pub fn total(&self) -> u64 {
        self.gets + self.puts + self.deletes + self.lists + self.watches + self.vm_lists
    }
}

struct ListedVms {
    since: Instant,
    vms: Vec<VmEntry>,
}

struct PlatformState {
    table: ObjectTable,
    counts: PlatformCounts,
    write_rate: CallRate,
    read_rate: CallRate,
    outage: OutageKind,
    latency: Duration,
    lose_next: u32,
    lost_answer_share: f64,
    generator: StdRng,
    lists: VecDeque<ListedVms>,
    stopping: bool,
}

struct PlatformHandler {
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
    fn state(&self) -> MutexGuard<'_, PlatformState> {
        self.state.lock().expect("the platform state lock is never poisoned")
    }

    fn serve(&self, request: &mut Request) -> CallEnd {
        let outage = self.note_outage();
        match outage {
            OutageKind::Failing => return CallEnd::Answer(PlainAnswer::empty(503)),
            OutageKind::Silent => return CallEnd::Dropped,
            OutageKind::None | OutageKind::Deaf => {}
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
            OutageKind::Deaf => CallEnd::Dropped,
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
        let share = self.lost_answer_share;
        let lost = if self.lose_next > 0 {
            self.lose_next -= 1;
            true
        } else {
            self.outage == OutageKind::Deaf || (share > 0.0 && self.generator.random_bool(share))
        };
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

/// A running platform.
pub struct PlatformStandin {
    listener: ThreadListener<PlatformHandler>,
}

impl PlatformStandin {
    /// Starts it.
    pub fn start(options: &PlatformOptions) -> io::Result<Self> {
        let state = PlatformState {
            table: ObjectTable::default(),
            counts: PlatformCounts::default(),
            write_rate: CallRate::new(options.writes_per_second),
            read_rate: CallRate::new(options.reads_per_second),
            outage: OutageKind::None,
            latency: options.latency,
            lose_next: 0,
            lost_answer_share: options.lost_answer_share,
            generator: StdRng::seed_from_u64(options.seed),
            lists: VecDeque::new(),
            stopping: false,
        };
        let handler = PlatformHandler {
            state: Mutex::new(state),
            changed: Condvar::new(),
            list_lag: options.list_lag,
        };
        let listener = ThreadListener::start(options.address, Arc::new(handler))?;
        Ok(Self { listener })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Starts or ends an outage.
    pub fn set_outage(&self, outage: OutageKind) {
        self.listener.handler().state().outage = outage;
        self.listener.handler().changed.notify_all();
    }

    /// Changes the time before each answer.
    pub fn set_latency(&self, latency: Duration) {
        self.listener.handler().state().latency = latency;
    }

    /// Lets the next `count` writes take effect and drops their answers.
    pub fn lose_next_answers(&self, count: u32) {
        self.listener.handler().state().lose_next = count;
    }

    /// Replaces the list of VMs, which is served once it is as old as the lag.
    pub fn set_vms(&self, vms: Vec<VmEntry>) {
        let listed = ListedVms { since: Instant::now(), vms };
        self.listener.handler().state().lists.push_back(listed);
    }

    /// What it counted so far.
    pub fn counts(&self) -> PlatformCounts {
        self.listener.handler().state().counts
    }

    /// Every object whose key starts with `prefix`.
    pub fn objects(&self, prefix: &str) -> Vec<ObjectView> {
        self.listener.handler().state().table.views(prefix)
    }

    /// Stops it and joins its threads.
    pub fn stop(self) {}
}
