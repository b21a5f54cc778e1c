//! Routers as separate processes that are ended by signals.
//!
//! Guards against streams cut off by a termination, a wrong exit code, and servers that stay
//! without an owner after their router was killed.

mod common;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::{Child, ChildStderr, Command, Stdio};

use catkin_settings::RouterSettings;
use catkin_standin::{
    EngineOptions, EngineStandin, PlatformOptions, PlatformStandin, ServiceOptions, ServiceStandin,
    VmEntry, build_answer_token,
};
use rustix::process::{Pid, Signal, kill_process};

use common::{TOKEN, apply_fleet, declare_fleet, router_settings, send_turn};

/// Stand-ins for the platform and the backend servers, shared by the processes of one test.
struct Backends {
    platform: PlatformStandin,
    engine: EngineStandin,
    _service: ServiceStandin,
}

/// A router process and the addresses of its listeners.
struct RouterChild {
    child: Child,
    log: BufReader<ChildStderr>,
    callers: SocketAddr,
    peers: SocketAddr,
}

impl RouterChild {
    fn signal(&self, signal: Signal) {
        kill_process(Pid::from_child(&self.child), signal).expect("the child is running");
    }

    /// Waits until the process ends; returns its exit code, or `None` if a signal ended it.
    fn wait(mut self) -> Option<i32> {
        let mut rest = String::new();
        self.log.read_to_string(&mut rest).expect("the log is text");
        self.child.wait().expect("the child can be waited for").code()
    }
}

async fn start_backends() -> Backends {
    let platform = PlatformStandin::start(&PlatformOptions::default()).expect("platform starts");
    let engine = EngineStandin::start(EngineOptions {
        models: vec!["estimator".to_owned()],
        ..EngineOptions::default()
    })
    .expect("engine starts");
    let service = ServiceStandin::start(ServiceOptions::default()).expect("service starts");
    let declarations = declare_fleet(engine.address(), service.address());
    apply_fleet(platform.address(), &declarations).await;
    Backends { platform, engine, _service: service }
}

fn start_router(name: &str, backends: &Backends) -> RouterChild {
    let settings =
        RouterSettings { vm: name.to_owned(), ..router_settings(backends.platform.address()) };
    let path = std::env::temp_dir().join(format!("catkin-{}-{name}.json", std::process::id()));
    std::fs::write(&path, serde_json::to_vec(&settings).expect("settings are JSON"))
        .expect("the settings can be written");
    let mut child = Command::new(env!("CARGO_BIN_EXE_catkin-router"))
        .arg(&path)
        .stderr(Stdio::piped())
        .spawn()
        .expect("the router starts");
    let mut log = BufReader::new(child.stderr.take().expect("the log is piped"));
    let line = wait_for_line(&mut log, "router: listening for callers, operators and peers.");
    std::fs::remove_file(&path).expect("the settings can be removed");
    RouterChild {
        child,
        log,
        callers: find_address(&line, "callers="),
        peers: find_address(&line, "peers="),
    }
}

fn wait_for_line(log: &mut BufReader<ChildStderr>, text: &str) -> String {
    loop {
        let mut line = String::new();
        let count = log.read_line(&mut line).expect("the log is text");
        assert!(count > 0, "the router ended before it logged {text:?}");
        if line.contains(text) {
            return line;
        }
    }
}

fn find_address(line: &str, key: &str) -> SocketAddr {
    let word = line.split_whitespace().find_map(|word| word.strip_prefix(key));
    word.and_then(|word| word.parse().ok()).expect("the line names the address")
}

fn list_vm(name: &str, router: &RouterChild) -> VmEntry {
    VmEntry {
        name: name.to_owned(),
        peer_address: router.peers,
        domain: "a".to_owned(),
        region: "r".to_owned(),
        leaving: false,
    }
}

/// Sends turns until one is answered completely.
async fn send_until_answered(router: SocketAddr, content: &str) {
    while send_turn(router, content, true).await.status != 200 {
        tokio::time::sleep(std::time::Duration::from_millis(50)).await;
    }
}

/// Sends a long streamed turn and reads its first bytes.
fn begin_stream(router: SocketAddr, content: &str, tokens: u32) -> TcpStream {
    let body = format!(
        r#"{{"model":"estimator","messages":[{{"role":"user","content":"{content}"}}],"stream":true,"max_tokens":{tokens}}}"#
    );
    let mut stream = TcpStream::connect(router).expect("the router listens");
    write!(
        stream,
        "POST /v1/chat/completions HTTP/1.1\r\nhost: router\r\nauthorization: Bearer {TOKEN}\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
    .expect("the request is sent");
    let mut first = [0; 16];
    stream.read_exact(&mut first).expect("the answer begins");
    stream
}

#[tokio::test(flavor = "multi_thread")]
async fn a_terminated_router_finishes_its_streams_and_exits_with_zero() {
    let backends = start_backends().await;
    let router = start_router("terminated", &backends);
    send_until_answered(router.callers, "warm up").await;
    let mut stream = begin_stream(router.callers, "long estimate", 40);

    router.signal(Signal::TERM);
    let mut rest = String::new();
    stream.read_to_string(&mut rest).expect("the stream is not reset");

    assert!(rest.contains(&build_answer_token("long estimate", 39)), "{rest}");
    assert!(rest.contains("data: [DONE]"), "{rest}");
    assert_eq!(router.wait(), Some(0));
    assert_eq!(backends.engine.counts().cancelled, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn servers_of_a_killed_router_are_served_by_the_others() {
    let backends = start_backends().await;
    let first = start_router("entry-1", &backends);
    let second = start_router("entry-2", &backends);
    backends.platform.set_vms(vec![list_vm("entry-1", &first), list_vm("entry-2", &second)]);
    send_until_answered(first.callers, "through the first").await;
    send_until_answered(second.callers, "through the second").await;

    first.signal(Signal::KILL);
    let killed = first.wait();
    send_until_answered(second.callers, "after the kill").await;

    assert_eq!(killed, None);
    second.signal(Signal::TERM);
    assert_eq!(second.wait(), Some(0));
}
