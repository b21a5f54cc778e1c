//! Test fixtures: one router with stand-ins of its platform, engine and service on loopback.
#![allow(dead_code)] // Each test file uses some of the fixtures.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use catkin_base::{TeamId, digest_hex};
use catkin_operator::{ApplyMetadata, apply_declarations};
use catkin_platform::{HttpStore, HttpStoreOptions};
use catkin_router::{RouterProcess, build_service_key};
use catkin_settings::{FleetDeclarations, LogSettings, RouterSettings, parse_declarations};
use catkin_standin::{
    EngineOptions, EngineStandin, PlatformOptions, PlatformStandin, ServiceOptions, ServiceStandin,
};
use tokio::time::sleep;

/// Token of the team that calls are sent for by default.
pub const TOKEN: &str = "token-of-team";

/// Token of the second team.
pub const OTHER_TOKEN: &str = "token-of-other-team";

/// The stand-ins and the router of one test.
pub struct TestFleet {
    pub platform: PlatformStandin,
    pub engine: EngineStandin,
    pub service: ServiceStandin,
    pub router: RouterProcess,
}

/// An answer as its caller gets it.
pub struct TestAnswer {
    pub status: u16,
    pub body: String,
    /// Whether the answer carries the header of a replayed answer.
    pub replayed: bool,
}

/// Starts a router with one engine and one service.
pub async fn start_fleet() -> TestFleet {
    start_changed_fleet(EngineOptions { resumes: true, ..EngineOptions::default() }, |_| {}).await
}

/// Starts a router with an engine by `options` and declarations as changed by `change`.
pub async fn start_changed_fleet(
    options: EngineOptions,
    change: impl FnOnce(&mut FleetDeclarations),
) -> TestFleet {
    let platform = PlatformStandin::start(&PlatformOptions::default()).expect("platform starts");
    let options = EngineOptions { models: vec!["estimator".to_owned()], ..options };
    let engine = EngineStandin::start(options).expect("engine starts");
    let service =
        ServiceStandin::start(ServiceOptions { supports_look_up: true, ..Default::default() })
            .expect("service starts");
    let mut declarations = declare_fleet(engine.address(), service.address());
    change(&mut declarations);
    apply_fleet(platform.address(), &declarations).await;
    let settings = router_settings(platform.address());
    let router = RouterProcess::start(&settings, 1, Duration::from_secs(1_800_000_000), 7)
        .await
        .expect("router starts");
    while !router.view().is_ready() {
        sleep(Duration::from_millis(10)).await;
    }
    TestFleet { platform, engine, service, router }
}

/// Sends one turn of a chat that requests five tokens.
pub async fn send_turn(router: SocketAddr, content: &str, streamed: bool) -> TestAnswer {
    let body = format!(
        r#"{{"model":"estimator","messages":[{{"role":"user","content":"{content}"}}],"stream":{streamed},"max_tokens":5}}"#
    );
    let request = minreq::post(format!("http://{router}/v1/chat/completions"))
        .with_header("authorization", format!("Bearer {TOKEN}"))
        .with_header("x-catkin-chat", "chat-1")
        .with_body(body);
    send(request).await
}

/// The idempotency key that the service gets for `key` of the first team.
pub fn seen_key(key: &str) -> String {
    build_service_key(TeamId::from_name("team"), key)
}

/// Sends a call that may run at most once.
pub async fn send_record(router: SocketAddr, key: &str, body: &str) -> TestAnswer {
    send_record_as(TOKEN, router, key, body).await
}

/// Sends a call that may run at most once, with the token of a team.
pub async fn send_record_as(token: &str, router: SocketAddr, key: &str, body: &str) -> TestAnswer {
    send(record_request(router, "record", key, body, token)).await
}

/// Sends a call that may run at most once to a path of the service.
pub async fn send_to_path(router: SocketAddr, path: &str, key: &str, body: &str) -> TestAnswer {
    send(record_request(router, path, key, body, TOKEN)).await
}

fn record_request(
    router: SocketAddr,
    path: &str,
    key: &str,
    body: &str,
    token: &str,
) -> minreq::Request {
    minreq::post(format!("http://{router}/services/quotes/{path}"))
        .with_header("authorization", format!("Bearer {token}"))
        .with_header("idempotency-key", key)
        .with_body(body)
}

async fn send(request: minreq::Request) -> TestAnswer {
    let sent = tokio::task::spawn_blocking(move || request.send());
    let response = sent.await.expect("the sender does not panic").expect("an answer arrives");
    TestAnswer {
        status: response.status_code,
        body: response.as_str().expect("the answer is text").to_owned(),
        replayed: response.headers.iter().any(|(name, _)| name == "x-catkin-replayed"),
    }
}

/// Applies declarations to the platform as an operator does.
pub async fn apply_fleet(platform: SocketAddr, declarations: &FleetDeclarations) {
    let store = HttpStore::new(HttpStoreOptions::new(platform, 1));
    let metadata = ApplyMetadata {
        apply_id: "test".to_owned(),
        author: "test".to_owned(),
        comment: String::new(),
        unix_millis: 0,
    };
    apply_declarations(&store, declarations, None, &metadata).await.expect("declarations apply");
}

/// The declarations of the fixture: one model, one service, two servers and two teams.
pub fn declare_fleet(engine: SocketAddr, service: SocketAddr) -> FleetDeclarations {
    let digest = digest_hex(TOKEN.as_bytes());
    let other_digest = digest_hex(OTHER_TOKEN.as_bytes());
    let text = format!(
        r#"{{
  "deployment": "test",
  "classes": {{
    "quick": {{"work": "quick", "deadline_millis": 30000, "priority": 1, "expected_tokens": 5}}
  }},
  "default_class": "quick",
  "models": {{"estimator": {{}}}},
  "services": {{"quotes": {{"idempotent": false, "look_up_path": "/lookup"}}}},
  "servers": {{
    "e1": {{"kind": "engine", "address": "{engine}", "domain": "a", "region": "r",
            "models": ["estimator"], "slots": 8, "resumes": true}},
    "s1": {{"kind": "service", "address": "{service}", "domain": "a", "region": "r",
            "service": "quotes", "slots": 8}}
  }},
  "teams": {{
    "team": {{"token_digest": "{digest}", "max_open": 8}},
    "other-team": {{"token_digest": "{other_digest}", "max_open": 8}}
  }},
  "placement": {{"bound_percent": 150, "prefill_micros_per_token": 100,
                 "reuse_weight_percent": 100, "skew_weight_percent": 100,
                 "long_share_percent": 75}},
  "limits": {{"retry_percent": 20, "crash_strikes": 2, "quarantine_millis": 60000,
              "hold_down_millis": 1000, "loads_at_once": 1}}
}}"#
    );
    parse_declarations(&text, "test.json").expect("the declarations are valid").declarations
}

/// Settings of a router on free loopback ports.
pub fn router_settings(platform_address: SocketAddr) -> RouterSettings {
    let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    RouterSettings {
        vm: "entry-1".to_owned(),
        domain: "a".to_owned(),
        region: "r".to_owned(),
        caller_address: any_port,
        peer_address: any_port,
        operator_address: any_port,
        platform_address,
        seeds: Vec::new(),
        peer_key: "5a".repeat(32),
        operator_token_digest: digest_hex(b"operator"),
        max_connections: 64,
        max_body_bytes: 1 << 16,
        drain_millis: 60_000,
        log: LogSettings::default(),
    }
}
