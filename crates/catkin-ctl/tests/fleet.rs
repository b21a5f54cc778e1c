//! Commands against routers on loopback and a stand-in of the platform: an accepted revision
//! reaches every router, including one that starts during an outage of the platform.

use std::fs;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;
use std::time::Duration;

use catkin_base::digest_hex;
use catkin_ctl::{ExitStatus, run_command};
use catkin_operator::FleetStatus;
use catkin_router::RouterProcess;
use catkin_settings::{LogSettings, RouterSettings};
use catkin_standin::{OutageKind, PlatformOptions, PlatformStandin, VmEntry};
use tokio::time::sleep;

const TOKEN: &str = "operators of the fleet";

/// Maximum number of reads of the status while waiting for a state.
const MAX_POLLS: usize = 600;
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Time that `apply` waits, in seconds; far more than a busy machine needs.
const WAIT_SECONDS: &str = "60";

/// Output and result of a command.
struct CommandResult {
    exit_status: ExitStatus,
    output: String,
    errors: String,
}

fn build_settings(vm: &str, platform_address: SocketAddr, seeds: &[SocketAddr]) -> RouterSettings {
    let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    RouterSettings {
        vm: vm.to_owned(),
        domain: "a".to_owned(),
        region: "r".to_owned(),
        caller_address: any_port,
        peer_address: any_port,
        operator_address: any_port,
        platform_address,
        seeds: seeds.to_vec(),
        peer_key: "5a".repeat(32),
        operator_token_digest: digest_hex(TOKEN.as_bytes()),
        max_connections: 64,
        max_body_bytes: 1 << 16,
        drain_millis: 1_000,
        log: LogSettings::default(),
    }
}

async fn start_router(
    number: u64,
    platform: &PlatformStandin,
    seeds: &[SocketAddr],
) -> RouterProcess {
    let settings = build_settings(&format!("entry-{number}"), platform.address(), seeds);
    let start_unix = Duration::from_secs(1_800_000_000);
    RouterProcess::start(&settings, number, start_unix, number).await.expect("a router starts")
}

fn list_vms(platform: &PlatformStandin, routers: &[&RouterProcess]) {
    let entries = routers.iter().enumerate().map(|(index, router)| VmEntry {
        name: format!("entry-{}", index + 1),
        peer_address: router.peer_address(),
        domain: "a".to_owned(),
        region: "r".to_owned(),
        leaving: false,
    });
    platform.set_vms(entries.collect());
}

/// Writes declarations whose only engine does not run.
fn write_declarations(name: &str, quota: u32) -> String {
    let digest = digest_hex(b"team");
    let text = format!(
        r#"{{
  "deployment": "test",
  "classes": {{
    "quick": {{"work": "quick", "deadline_millis": 30000, "priority": 1, "expected_tokens": 5}}
  }},
  "default_class": "quick",
  "models": {{"estimator": {{}}}},
  "servers": {{
    "e1": {{"kind": "engine", "address": "127.0.0.1:9", "domain": "a", "region": "r",
            "models": ["estimator"], "slots": 8}}
  }},
  "teams": {{"team": {{"token_digest": "{digest}", "max_open": {quota}}}}},
  "placement": {{"bound_percent": 150, "prefill_micros_per_token": 100,
                 "reuse_weight_percent": 100, "skew_weight_percent": 100,
                 "long_share_percent": 75}},
  "limits": {{"retry_percent": 20, "crash_strikes": 2, "quarantine_millis": 60000,
              "hold_down_millis": 1000, "loads_at_once": 1}}
}}"#
    );
    write_file(name, &text)
}

fn write_file(name: &str, text: &str) -> String {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&path, text).expect("the folder is writable");
    path.display().to_string()
}

/// Runs a command against one router on a separate thread.
async fn run(router: &RouterProcess, arguments: &[&str]) -> CommandResult {
    let address = router.operator_address().to_string();
    let token = write_file(&format!("fleet-token-{}", router.operator_address().port()), TOKEN);
    let named = ["--router", &address, "--token-file", &token];
    let arguments = [&["catkin-ctl"], arguments, &named].concat();
    let arguments: Vec<String> = arguments.into_iter().map(str::to_owned).collect();
    let command = move || {
        let (mut output, mut errors) = (Vec::new(), Vec::new());
        let exit_status = run_command(arguments, &mut output, &mut errors);
        let text = |bytes| String::from_utf8(bytes).expect("the output is text");
        CommandResult { exit_status, output: text(output), errors: text(errors) }
    };
    tokio::task::spawn_blocking(command).await.expect("the command does not panic")
}

async fn read_status(router: &RouterProcess) -> FleetStatus {
    let status = run(router, &["status", "--json"]).await;
    serde_json::from_str(&status.output).unwrap_or_else(|_| panic!("{}", status.errors))
}

/// Waits until the router's status fulfils `wanted`; panics after `MAX_POLLS` reads.
async fn await_status(
    router: &RouterProcess,
    wanted: impl Fn(&FleetStatus) -> bool,
) -> FleetStatus {
    let mut status = read_status(router).await;
    for _ in 0..MAX_POLLS {
        if wanted(&status) {
            return status;
        }
        sleep(POLL_INTERVAL).await;
        status = read_status(router).await;
    }
    panic!("the status never reached the expected state: {status:?}");
}

/// Returns whether every router reported the revision.
fn all_have_revision(status: &FleetStatus, revision: u64) -> bool {
    status.members.iter().all(|member| member.revision == Some(revision))
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn revisions_reach_every_router_and_one_that_starts_during_an_outage() {
    let platform = PlatformStandin::start(&PlatformOptions::default()).expect("platform starts");
    let first = start_router(1, &platform, &[]).await;
    let seeds = [first.peer_address()];
    let second = start_router(2, &platform, &seeds).await;
    list_vms(&platform, &[&first, &second]);
    let third = start_router(3, &platform, &seeds).await;
    let joined = await_status(&third, |status| status.members.len() == 3).await;
    let (one, two) = (write_declarations("one.json", 4), write_declarations("two.json", 5));

    let applied = run(&second, &["apply", &one, "--base", "0", "--wait", WAIT_SECONDS]).await;
    let conflict = run(&third, &["apply", &two, "--base", "0"]).await;
    let in_force =
        await_status(&third, |status| !status.leases.is_empty() && all_have_revision(status, 1))
            .await;

    let names: Vec<&str> = joined.members.iter().map(|member| member.vm.as_str()).collect();
    assert!(names.iter().all(|name| name.starts_with("entry-")), "{names:?}");
    assert_eq!(applied.exit_status, ExitStatus::Done, "{}", applied.errors);
    assert!(applied.output.ends_with("in force on every live router\n"), "{}", applied.output);
    assert_eq!(conflict.exit_status, ExitStatus::Conflict, "{}", conflict.errors);
    assert_eq!(in_force.leases[0].name, "r");

    platform.set_outage(OutageKind::Failing);
    let fourth = start_router(4, &platform, &seeds).await;
    let started = await_status(&fourth, |status| status.revision == Some(1)).await;
    let refused = run(&first, &["apply", &two, "--base", "1"]).await;
    platform.set_outage(OutageKind::None);
    await_status(&first, |s| s.platform.healthy && s.members.len() == 4).await;
    let again = run(&first, &["apply", &two, "--base", "1", "--wait", WAIT_SECONDS]).await;

    assert_eq!(started.router, "entry-4");
    assert_eq!(refused.exit_status, ExitStatus::Failed, "{}", refused.output);
    assert_eq!(again.exit_status, ExitStatus::Done, "{}", again.errors);
    for router in [&first, &second, &third, &fourth] {
        assert_eq!(read_status(router).await.revision, Some(2));
    }
    for router in [first, second, third, fourth] {
        assert!(router.shut_down().await);
    }
}
