//! Tests that the stand-ins behave and count as their options say. A stand-in that loses an answer,
//! a count or a refusal although no option says so makes the tests of the routers pass or fail
//! wrongly.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use catkin_standin::{
    EngineOptions, EngineStandin, OutageKind, PlatformOptions, PlatformStandin, ServiceOptions,
    ServiceStandin, WeightOptions, WeightStandin, build_answer_text, build_service_answer,
};

fn start_platform(options: &PlatformOptions) -> (PlatformStandin, String) {
    let platform = PlatformStandin::start(options).expect("the platform starts");
    let base = format!("http://{}", platform.address());
    (platform, base)
}

fn start_engine(options: EngineOptions) -> (EngineStandin, String) {
    let engine = EngineStandin::start(options).expect("the engine starts");
    let url = format!("http://{}/v1/chat/completions", engine.address());
    (engine, url)
}

fn start_service(options: ServiceOptions) -> (ServiceStandin, String) {
    let service = ServiceStandin::start(options).expect("the service starts");
    let url = format!("http://{}/postings", service.address());
    (service, url)
}

fn create_object(base: &str, key: &str, value: &str) -> Result<minreq::Response, minreq::Error> {
    minreq::put(format!("{base}/objects/{key}"))
        .with_header("connection", "close")
        .with_header("if-none-match", "*")
        .with_body(value)
        .send()
}

fn build_chat_request(url: &str, attempt: &str, content: &str, stream: bool) -> minreq::Request {
    let body = serde_json::json!({
        "model": "estimator",
        "messages": [{ "role": "user", "content": content }],
        "stream": stream,
        "max_tokens": 3,
    });
    minreq::post(url).with_header("x-attempt-id", attempt).with_body(body.to_string())
}

#[test]
fn platform_checks_preconditions_and_assigns_versions() {
    let (platform, base) = start_platform(&PlatformOptions::default());

    let first = create_object(&base, "a/b", "one").expect("answered");
    let second = create_object(&base, "a/b", "two").expect("answered");
    let read = minreq::get(format!("{base}/objects/a/b")).send().expect("answered");

    assert_eq!(first.status_code, 200);
    assert_eq!(second.status_code, 412);
    assert_eq!(read.as_str().ok(), Some("one"));
    assert_eq!(read.header("x-version"), first.header("x-version"));
    assert_eq!(platform.counts().conflicts, 1);
}

#[test]
fn platform_loses_the_answer_of_a_write_that_takes_effect() {
    let (platform, base) = start_platform(&PlatformOptions::default());
    platform.lose_next_answers(1);

    let lost = create_object(&base, "key", "value");

    assert!(is_incomplete(&lost));
    assert_eq!(platform.objects("key").len(), 1);
    assert_eq!(platform.counts().lost_answers, 1);
}

#[test]
fn platform_outage_has_no_effect_on_objects() {
    let (platform, base) = start_platform(&PlatformOptions::default());

    platform.set_outage(OutageKind::Failing);
    let failed = create_object(&base, "key", "value").expect("answered");
    platform.set_outage(OutageKind::DroppingCalls);
    let dropped = create_object(&base, "key", "value");
    platform.set_outage(OutageKind::None);
    let works = create_object(&base, "key", "value").expect("answered");

    assert_eq!(failed.status_code, 503);
    assert!(is_incomplete(&dropped));
    assert_eq!(works.status_code, 200);
}

#[test]
fn platform_limits_the_rate_of_writes() {
    let options = PlatformOptions { writes_per_second: 0, ..PlatformOptions::default() };
    let (platform, base) = start_platform(&options);

    let limited = create_object(&base, "key", "value").expect("answered");

    assert_eq!(limited.status_code, 429);
    assert_eq!(platform.counts().rate_limited, 1);
}

#[test]
fn platform_watch_reports_a_change() {
    let (_platform, base) = start_platform(&PlatformOptions::default());
    let watched = format!("{base}/watch/key?version=0&wait_ms=30000");
    let watching = std::thread::spawn(move || minreq::get(watched).send());

    create_object(&base, "key", "value").expect("answered");
    let changed = watching.join().expect("joined").expect("answered");
    let quiet = minreq::get(format!("{base}/watch/other?version=0&wait_ms=1")).send();

    assert_eq!(changed.status_code, 200);
    assert_eq!(changed.as_str().ok(), Some("value"));
    assert_eq!(quiet.expect("answered").status_code, 304);
}

#[test]
fn platform_lists_keys_in_order() {
    let (_platform, base) = start_platform(&PlatformOptions::default());
    for key in ["p/2", "p/1", "p/3", "q/1"] {
        create_object(&base, key, "").expect("answered");
    }

    let listed = minreq::get(format!("{base}/list?prefix=p/&after=p/1&limit=5")).send();

    assert_eq!(listed.expect("answered").as_str().ok(), Some(r#"["p/2","p/3"]"#));
}

#[test]
fn engine_derives_its_answer_from_the_request_content() {
    let (engine, url) = start_engine(EngineOptions::default());

    let answer =
        build_chat_request(&url, "00000000000000aa", "mould cost", false).send().expect("answered");

    let document: serde_json::Value = serde_json::from_slice(answer.as_bytes()).expect("JSON");
    let content = &document["choices"][0]["message"]["content"];
    assert_eq!(content.as_str(), Some(build_answer_text("mould cost", 3).as_str()));
    assert_eq!(answer.header("x-attempt-id"), Some("00000000000000aa"));
    assert_eq!(engine.counts().finished, 1);
}

#[test]
fn engine_streams_complete_and_resumed_answers() {
    let (engine, url) = start_engine(EngineOptions::default());

    let complete = build_chat_request(&url, "1", "slide core", true).send().expect("answered");
    let resumed = build_chat_request(&url, "2", "slide core", true)
        .with_header("x-resume-attempt", "1")
        .with_header("x-resume-after", "2")
        .send()
        .expect("answered");

    let complete_text = complete.as_str().expect("text");
    let resumed_text = resumed.as_str().expect("text");
    assert_eq!(complete_text.matches("data: ").count(), 4);
    assert_eq!(resumed_text.matches("data: ").count(), 2);
    assert!(complete_text.ends_with("data: [DONE]\n\n"));
    assert_eq!(engine.counts().resumed, 1);
}

#[test]
fn engine_reuses_the_prefix_of_a_chat() {
    let (engine, url) = start_engine(EngineOptions::default());
    let send_chat = |attempt| {
        build_chat_request(&url, attempt, "12345678", false)
            .with_header("x-chat-id", "00000000000000ff")
            .send()
    };

    let first = send_chat("1").expect("answered");
    let second = send_chat("2").expect("answered");

    assert_eq!(first.header("x-cached-tokens"), Some("0"));
    assert_eq!(second.header("x-cached-tokens"), Some("2"));
    assert_eq!(engine.counts().uncached_tokens, 2);
}

#[test]
fn engine_declines_requests_when_its_queue_is_full() {
    let options = EngineOptions { slots: 0, queue_limit: 0, ..EngineOptions::default() };
    let (engine, url) = start_engine(options);

    let declined = build_chat_request(&url, "1", "text", false).send().expect("answered");

    assert_eq!(declined.status_code, 503);
    assert_eq!(declined.header("x-not-run"), Some("true"));
    assert_eq!(engine.counts().runs, 0);
    assert_eq!(engine.open(), 0);
}

#[test]
fn engine_crashes_on_poison_and_restarts_with_a_new_incarnation() {
    let options = EngineOptions {
        poison: Some("kill".to_owned()),
        downtime: Duration::ZERO,
        ..EngineOptions::default()
    };
    let (engine, url) = start_engine(options);
    let before = engine.incarnation();

    let crashed = build_chat_request(&url, "1", "kill it", true).send();
    let back = retry_until_served(|| build_chat_request(&url, "2", "text", false).send());

    assert!(is_incomplete(&crashed));
    assert_eq!(back.status_code, 200);
    assert_ne!(engine.incarnation(), before);
    assert_eq!(engine.counts().poison_crashes, 1);
    assert_eq!(engine.counts().cancelled, 1);
}

#[test]
fn engine_cuts_a_stream() {
    let (engine, url) = start_engine(EngineOptions::default());
    engine.cut_next_streams(1, 1);

    let cut = build_chat_request(&url, "1", "text", true).send();

    assert!(is_incomplete(&cut));
    assert_eq!(engine.counts().cancelled, 1);
}

/// Opens a stream that takes longer than any test and does not read its answer.
fn open_stream(engine: &EngineStandin, priority: &str) -> TcpStream {
    let body = r#"{"model":"estimator","messages":[],"stream":true,"max_tokens":4000000}"#;
    let head = [
        "POST /v1/chat/completions HTTP/1.1".to_owned(),
        "host: engine".to_owned(),
        format!("x-attempt-id: {priority}"),
        format!("x-priority: {priority}"),
        format!("content-length: {}", body.len()),
    ];
    let mut caller = TcpStream::connect(engine.address()).expect("connected");
    let request = format!("{}\r\n\r\n{body}", head.join("\r\n"));
    caller.write_all(request.as_bytes()).expect("sent");
    caller
}

#[test]
fn engine_cancels_the_run_of_a_caller_that_disconnects() {
    let (engine, _) = start_engine(EngineOptions::default());
    let mut caller = open_stream(&engine, "0");
    caller.read_exact(&mut [0; 64]).expect("an answer begins");

    drop(caller);

    wait_until(|| engine.counts().cancelled == 1);
    wait_until(|| engine.open() == 0);
}

#[test]
fn engine_runs_lower_priority_numbers_first() {
    let (engine, _) = start_engine(EngineOptions { slots: 1, ..EngineOptions::default() });
    let running = open_stream(&engine, "0");
    wait_until(|| engine.open() == 1);
    let _low_priority = open_stream(&engine, "5");
    wait_until(|| engine.open() == 2);
    let _high_priority = open_stream(&engine, "1");
    wait_until(|| engine.open() == 3);

    drop(running);
    wait_until(|| engine.counts().runs == 2);

    let attempts = engine.counts().runs_by_attempt;
    assert_eq!(attempts.keys().collect::<Vec<_>>(), ["0", "1"]);
}

#[test]
fn engine_counts_requests_that_arrive_while_it_is_leaving() {
    let (engine, url) = start_engine(EngineOptions::default());
    engine.set_leaving(true);

    build_chat_request(&url, "1", "text", false).send().expect("answered");

    assert_eq!(engine.counts().work_while_leaving, 1);
}

#[test]
fn probe_reports_cache_events_after_a_sequence_number() {
    let (engine, url) = start_engine(EngineOptions::default());
    for (attempt, chat) in [("1", "a"), ("2", "b")] {
        build_chat_request(&url, attempt, "text", false)
            .with_header("x-chat-id", chat)
            .send()
            .expect("answered");
    }

    let probe = format!("http://{}/probe?after=1", engine.address());
    let answer = minreq::get(probe).send().expect("answered");

    let document: serde_json::Value = serde_json::from_slice(answer.as_bytes()).expect("JSON");
    assert_eq!(document["event_sequence"], 2);
    assert_eq!(document["events"].as_array().map(Vec::len), Some(1));
    assert_eq!(document["events"][0]["chat"], "000000000000000b");
    assert_eq!(document["open"], 0);
}

#[test]
fn engine_does_not_publish_lost_cache_events() {
    let options = EngineOptions { event_gap_share: 1.0, ..EngineOptions::default() };
    let (engine, url) = start_engine(options);
    build_chat_request(&url, "1", "text", false)
        .with_header("x-chat-id", "a")
        .send()
        .expect("answered");

    let probe = format!("http://{}/probe?after=0", engine.address());
    let answer = minreq::get(probe).send().expect("answered");

    let document: serde_json::Value = serde_json::from_slice(answer.as_bytes()).expect("JSON");
    assert_eq!(document["events"].as_array().map(Vec::len), Some(0));
}

fn send_order(address: std::net::SocketAddr, fence: u64) -> serde_json::Value {
    let body = serde_json::json!({ "fence": fence, "generation": 1, "desired": "x" });
    let answer = minreq::post(format!("http://{address}/orders"))
        .with_body(body.to_string())
        .send()
        .expect("answered");
    serde_json::from_slice(answer.as_bytes()).expect("JSON")
}

#[test]
fn engine_refuses_an_old_fencing_number_unless_it_ignores_fencing() {
    let (checking, _) = start_engine(EngineOptions::default());
    let (ignoring, _) =
        start_engine(EngineOptions { checks_fencing: false, ..EngineOptions::default() });

    for engine in [&checking, &ignoring] {
        send_order(engine.address(), 5);
    }
    let refused = send_order(checking.address(), 4);
    let accepted = send_order(ignoring.address(), 4);

    assert_eq!(refused["accepted"], false);
    assert_eq!(refused["fence"], 5);
    assert_eq!(accepted["accepted"], true);
    assert_eq!(checking.counts().undone_orders, 0);
    assert_eq!(ignoring.counts().undone_orders, 1);
}

#[test]
fn service_counts_repeated_keys_and_answers_look_ups() {
    let (service, url) = start_service(ServiceOptions::default());
    let post = || {
        minreq::post(&url)
            .with_header("idempotency-key", "k1")
            .with_header("x-attempt-id", "1")
            .with_body("{}")
            .send()
    };
    let look_up_url = format!("http://{}/lookup?key=k1", service.address());

    let absent = minreq::get(&look_up_url).send().expect("answered");
    post().expect("answered");
    post().expect("answered");
    let present = minreq::get(&look_up_url).send().expect("answered");

    assert_eq!(absent.status_code, 404);
    assert_eq!(present.as_bytes(), build_service_answer("k1", b"{}"));
    assert_eq!(service.counts().count_repeated_keys(), 1);
}

#[test]
fn service_looks_up_an_escaped_key() {
    let (service, url) = start_service(ServiceOptions::default());
    minreq::post(&url)
        .with_header("idempotency-key", "order 7/a")
        .with_header("x-attempt-id", "1")
        .send()
        .expect("answered");

    let look_up_url = format!("http://{}/lookup?key=order%207%2Fa", service.address());
    let present = minreq::get(look_up_url).send().expect("answered");

    assert_eq!(present.as_bytes(), build_service_answer("order 7/a", b""));
}

#[test]
fn service_records_a_call_whose_answer_is_lost() {
    let (service, url) = start_service(ServiceOptions::default());
    service.lose_next_answers(1);

    let lost = minreq::post(&url)
        .with_header("idempotency-key", "k1")
        .with_header("x-attempt-id", "1")
        .send();

    assert!(is_incomplete(&lost));
    assert_eq!(service.counts().runs_by_key["k1"], 1);
    assert_eq!(service.open(), 0);
}

#[test]
fn weight_store_limits_loads() {
    let start = |loads_per_second| {
        let options = WeightOptions { loads_per_second, ..WeightOptions::default() };
        WeightStandin::start(&options).expect("the store starts")
    };
    let load = |store: &WeightStandin| {
        let url = format!("http://{}/weights/estimator", store.address());
        minreq::get(url).send().expect("answered").status_code
    };
    let (open, closed) = (start(1000), start(0));

    let statuses = (load(&open), load(&closed));

    assert_eq!(statuses, (200, 429));
    assert_eq!(open.counts().loads["estimator"], 1);
    assert_eq!(closed.counts().rate_limited, 1);
}

/// Returns whether an answer is missing or incomplete. The client library reports a connection that
/// closes without an answer as a 503 without headers, and a truncated chunked body as complete.
fn is_incomplete(result: &Result<minreq::Response, minreq::Error>) -> bool {
    let Ok(response) = result else { return true };
    let length: Option<usize> =
        response.header("content-length").and_then(|text| text.parse().ok());
    match length {
        Some(length) => response.as_bytes().len() != length,
        None => !response.as_bytes().ends_with(b"data: [DONE]\n\n"),
    }
}

fn wait_until(condition: impl Fn() -> bool) {
    while !condition() {
        std::thread::sleep(Duration::from_millis(1));
    }
}

fn retry_until_served(
    mut call: impl FnMut() -> Result<minreq::Response, minreq::Error>,
) -> minreq::Response {
    loop {
        match call() {
            Ok(response) if response.status_code == 200 => return response,
            _ => std::thread::sleep(Duration::from_millis(5)),
        }
    }
}
