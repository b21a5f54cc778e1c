//! Load of one router in the fleet: grant requests, calls, load reports and placement notes.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bytes::Bytes;
use catkin_base::{ChatId, ClassId, PoolId, ServerId, TeamId, VmId};
use catkin_peer::PeerLink;
use catkin_peer::messages::peer_message::Kind;
use catkin_peer::messages::{
    GrantAsk, GrantRelease, LoadReport, PeerMessage, PlacementNote, PoolLoad, ReleaseOutcome,
    ServerLoad,
};
use catkin_policy::{RouterSpec, choose_aggregator, choose_owner};
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper_util::rt::TokioIo;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::net::TcpStream;
use tokio::time::{Instant, MissedTickBehavior, interval};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::peer::SimulatedPeer;
use crate::shape::{
    CLASS, FleetShape, RouterAssignment, model_name, server_name, team_name, team_token,
};
use crate::state::{FeederState, SentAsk};

/// Grant requests for one server per second: 3,000 requests over 860 servers.
const ASKS_PER_SERVER_SECOND: f64 = 3_000.0 / 860.0;
/// Calls to one router per second: 3,000 requests over 330 routers.
const CALLS_PER_ROUTER_SECOND: f64 = 3_000.0 / 330.0;
/// Mean time for which a request is open.
const MEAN_SERVICE_SECONDS: f64 = 20.0;
/// Interval at which due grant requests and calls are sent.
const STEP_INTERVAL: Duration = Duration::from_millis(20);
/// Interval of load reports and pool loads.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Number of returning chats of one router: 6.7 million over 330 routers.
pub const CHAT_COUNT: u64 = 20_000;
/// Number of placement notes sent per step.
const NOTES_PER_STEP: u64 = 40;
/// Number of open requests that a simulated peer reports for each server.
const REPORTED_OPEN_REQUESTS: u32 = 70;
/// Length of a prompt, in tokens.
const PROMPT_TOKENS: u32 = 1_000;
/// Length of an answer, in tokens: 970,000 over 3,000 requests.
const ANSWER_TOKENS: u32 = 323;
/// Deadline of a grant request, in milliseconds.
const DEADLINE_MILLIS: u32 = 30_000;

/// Switches for the parts of the load.
#[derive(Debug, Default)]
pub struct LoadSwitches {
    /// Grant requests for the router's servers, with load reports and pool loads.
    pub asks: AtomicBool,
    /// Calls to the router.
    pub calls: AtomicBool,
}

/// The measured router, to which the load is sent.
#[derive(Debug, Clone)]
pub struct LoadTarget {
    /// Servers and pools assigned to it.
    pub assignment: RouterAssignment,
    /// Address of its peer listener.
    pub peer_address: SocketAddr,
    /// Address of its caller listener.
    pub caller_address: SocketAddr,
}

/// Generates the load of one router.
pub struct LoadGenerator {
    /// Size of the fleet.
    pub shape: FleetShape,
    /// The measured router.
    pub target: LoadTarget,
    /// The simulated peers, which send the grant requests and reports.
    pub peers: Vec<Arc<SimulatedPeer>>,
    /// State shared with the peers and servers, with the results of the load.
    pub state: Arc<FeederState>,
    /// Switches for the parts of the load.
    pub switches: Arc<LoadSwitches>,
    /// Tracker of the tasks that send calls.
    pub tasks: TaskTracker,
}

/// Number of events due at a constant rate; fractions are carried over to the next step.
struct RateMeter {
    due: f64,
}

impl RateMeter {
    fn take_due(&mut self, rate: f64) -> u32 {
        self.due += rate * STEP_INTERVAL.as_secs_f64();
        let due_events = self.due.floor();
        self.due -= due_events;
        due_events as u32
    }
}

impl LoadGenerator {
    /// Sends grant requests, the releases of granted requests, and calls until `stop`.
    pub async fn run_load(self: Arc<Self>, seed: u64, stop: CancellationToken) {
        let mut random = StdRng::seed_from_u64(seed);
        let mut releases: BTreeMap<(Instant, u64), SentAsk> = BTreeMap::new();
        let (mut asks, mut calls) = (RateMeter { due: 0.0 }, RateMeter { due: 0.0 });
        let ask_rate = ASKS_PER_SERVER_SECOND * self.target.assignment.owned.len() as f64;
        let mut ticks = interval(STEP_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        while stop.run_until_cancelled(ticks.tick()).await.is_some() {
            if self.switches.asks.load(Ordering::Relaxed) {
                (0..asks.take_due(ask_rate)).for_each(|_| self.send_ask(&mut random));
            }
            if self.switches.calls.load(Ordering::Relaxed) {
                (0..calls.take_due(CALLS_PER_ROUTER_SECOND))
                    .for_each(|_| self.start_call(&mut random));
            }
            let now = Instant::now();
            for (request, ask) in self.state.take_granted() {
                releases.insert((now + draw_service_time(&mut random), request), ask);
            }
            self.release_due(now, &mut releases);
        }
    }

    /// Sends load reports and pool loads until `stop`.
    pub async fn run_reports(self: Arc<Self>, stop: CancellationToken) {
        let reports = self.plan_reports();
        let pool_loads = self.plan_pool_loads();
        let mut ticks = interval(REPORT_INTERVAL);
        while stop.run_until_cancelled(ticks.tick()).await.is_some() {
            if !self.switches.asks.load(Ordering::Relaxed) {
                continue;
            }
            for planned in reports.iter().chain(&pool_loads) {
                self.send(planned.peer, planned.kind.clone());
            }
        }
    }

    /// Fills the router's directory with chats that run on another server than their home server.
    pub async fn fill_directory(&self) {
        let mut ticks = interval(STEP_INTERVAL);
        for chat in 0..CHAT_COUNT {
            if chat % NOTES_PER_STEP == 0 {
                ticks.tick().await;
            }
            let home = ServerId::from_name(&server_name(self.choose_owned_server(chat))).0;
            let server = ServerId::from_name(&server_name(chat as usize % self.shape.servers)).0;
            let note = PlacementNote { chat: chat_id(CHAT_COUNT + chat).0, home, server };
            self.send(chat as usize % self.peers.len(), Kind::PlacementNote(note));
        }
    }

    fn send(&self, peer: usize, kind: Kind) {
        let message = PeerMessage { kind: Some(kind) };
        let target = &self.target;
        self.peers[peer].link.send(target.assignment.spec.vm, target.peer_address, &message);
    }

    /// Returns the server, owned by the measured router, to which a chat returns.
    fn choose_owned_server(&self, chat: u64) -> usize {
        let owned = &self.target.assignment.owned;
        owned[chat as usize % owned.len()]
    }

    fn send_ask(&self, random: &mut StdRng) {
        let chat = random.random_range(0..CHAT_COUNT);
        let server = self.choose_owned_server(chat);
        let team = team_name(random.random_range(0..self.shape.teams));
        let ask = SentAsk {
            peer: random.random_range(0..self.peers.len()),
            server,
            chat: chat_id(chat).0,
        };
        let request = random.random();
        self.state.record_ask(request, ask);
        let message = GrantAsk {
            request,
            server: ServerId::from_name(&server_name(server)).0,
            chat: ask.chat,
            team: TeamId::from_name(&team).0,
            class: ClassId::from_name(CLASS).0,
            pool: self.shape.pool_of(server).0,
            digest: random.random(),
            prompt_tokens: PROMPT_TOKENS,
            expected_tokens: ANSWER_TOKENS,
            deadline_millis: DEADLINE_MILLIS,
            rank: 0,
            must_queue: false,
            follow_directory: false,
        };
        self.send(ask.peer, Kind::GrantAsk(message));
    }

    fn release_due(&self, now: Instant, releases: &mut BTreeMap<(Instant, u64), SentAsk>) {
        let later = releases.split_off(&(now, 0));
        for ((_, request), ask) in std::mem::replace(releases, later) {
            self.state.record_release(&ask);
            let mut release = GrantRelease {
                request,
                server: ServerId::from_name(&server_name(ask.server)).0,
                generated_tokens: ANSWER_TOKENS,
                chat: ask.chat,
                ..GrantRelease::default()
            };
            release.set_outcome(ReleaseOutcome::Done);
            self.send(ask.peer, Kind::GrantRelease(release));
        }
    }

    fn start_call(&self, random: &mut StdRng) {
        let chat = random.random_range(0..CHAT_COUNT);
        let team = random.random_range(0..self.shape.teams);
        let model = model_name(random.random_range(0..self.shape.models));
        let request = build_call(chat, team, &model);
        let address = self.target.caller_address;
        let state = Arc::clone(&self.state);
        self.tasks.spawn(async move {
            let complete = match request {
                Some(request) => send_call(address, request).await,
                None => false,
            };
            state.record_call(complete);
        });
    }

    /// Lists all routers, the measured one last.
    fn build_roster(&self) -> Vec<RouterSpec> {
        let mut roster = self.shape.peers();
        roster.push(self.target.assignment.spec);
        roster
    }

    /// Plans the load reports that the owners of servers send to the measured router, which
    /// aggregates their pools.
    fn plan_reports(&self) -> Vec<PlannedMessage> {
        let roster = self.build_roster();
        let mut loads: BTreeMap<(VmId, PoolId), Vec<ServerLoad>> = BTreeMap::new();
        for index in 0..self.shape.servers {
            let spec = self.shape.server_spec(index);
            let pool = self.shape.pool_of(index);
            let Some(owner) = choose_owner(&spec, &roster) else { continue };
            if owner != self.target.assignment.spec.vm
                && self.target.assignment.pools.contains(&pool)
            {
                let load =
                    ServerLoad { server: spec.server.0, open: REPORTED_OPEN_REQUESTS, weight: 1 };
                loads.entry((owner, pool)).or_default().push(load);
            }
        }
        let planned = loads.into_iter().filter_map(|((owner, pool), loads)| {
            let kind = Kind::LoadReport(LoadReport { pool: pool.0, loads });
            Some(PlannedMessage { peer: self.find_peer(owner)?, kind })
        });
        planned.collect()
    }

    /// Plans the pool loads that the aggregators of the owned servers' pools send to the measured
    /// router.
    fn plan_pool_loads(&self) -> Vec<PlannedMessage> {
        let roster = self.build_roster();
        let owned = self.target.assignment.owned.iter();
        let mut pools: Vec<PoolId> = owned.map(|server| self.shape.pool_of(*server)).collect();
        pools.sort_unstable();
        pools.dedup();
        let planned = pools.into_iter().filter_map(|pool| {
            let peer = self.find_peer(choose_aggregator(pool, &roster)?)?;
            Some(PlannedMessage { peer, kind: Kind::PoolLoad(self.build_pool_load(pool)) })
        });
        planned.collect()
    }

    fn build_pool_load(&self, pool: PoolId) -> PoolLoad {
        let servers = (0..self.shape.servers).filter(|index| self.shape.pool_of(*index) == pool);
        let ids: Vec<u64> = servers.map(|index| self.shape.server_spec(index).server.0).collect();
        let count = ids.len() as u32;
        PoolLoad {
            pool: pool.0,
            open: REPORTED_OPEN_REQUESTS * count,
            weight: count,
            servers: count,
            age_millis: 0,
            light_servers: ids.into_iter().take(8).collect(),
        }
    }

    fn find_peer(&self, vm: VmId) -> Option<usize> {
        self.peers.iter().position(|peer| peer.spec.vm == vm)
    }
}

/// A message that a peer sends at each report interval.
struct PlannedMessage {
    peer: usize,
    kind: Kind,
}

/// Id of a chat in grant requests.
fn chat_id(chat: u64) -> ChatId {
    ChatId::from_names(TeamId::from_name("feeder"), &chat.to_string())
}

fn draw_service_time(random: &mut StdRng) -> Duration {
    let unit: f64 = random.random_range(f64::EPSILON..1.0);
    Duration::from_secs_f64(-unit.ln() * MEAN_SERVICE_SECONDS)
}

fn build_call(chat: u64, team: usize, model: &str) -> Option<Request<Full<Bytes>>> {
    let body = serde_json::json!({
        "model": model,
        "stream": true,
        "max_tokens": ANSWER_TOKENS,
        "messages": [{"role": "user", "content": format!("turn of chat {chat}")}],
    });
    let request = Request::post("/v1/chat/completions")
        .header("host", "router")
        .header("authorization", format!("Bearer {}", team_token(team)))
        .header("content-type", "application/json")
        .header("x-catkin-chat", format!("chat-{chat}"));
    request.body(Full::new(Bytes::from(body.to_string()))).ok()
}

/// Sends a call and returns whether a complete answer arrived.
async fn send_call(address: SocketAddr, request: Request<Full<Bytes>>) -> bool {
    let Ok(stream) = TcpStream::connect(address).await else { return false };
    let connected = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await;
    let Ok((mut sender, connection)) = connected else { return false };
    let exchange = async {
        let response = sender.send_request(request).await.ok()?;
        let body = response.into_body().collect().await.ok()?.to_bytes();
        Some(body.ends_with(b"data: [DONE]\n\n"))
    };
    tokio::pin!(connection);
    tokio::select! {
        biased;
        complete = exchange => complete.unwrap_or(false),
        _ = &mut connection => false,
    }
}
