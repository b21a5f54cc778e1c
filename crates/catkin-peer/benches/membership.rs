//! Traffic, detection time and false failure detections of the membership, on simulated time.

use catkin_base::VmId;
use catkin_membership::{MemberEventKind, MemberMessage, MemberSpec};
use catkin_peer::{FrameSigner, PeerIdentity, PeerKey, message_to_wire};

#[path = "../../catkin-membership/tests/common/mod.rs"]
mod common;

use common::{SimFleet, spec, specs};

const FLEETS: [u16; 3] = [8, 80, 330];
const LOSS_PERCENTS: [u32; 2] = [1, 10];
const SEEDS: u64 = 5;
const UDP_HEADER_BYTES: u64 = 28;
/// Time before each measurement in which the membership converges.
const CONVERGENCE_SECONDS: u64 = 60;
const STEADY_SECONDS: u64 = 120;
const LOSSY_SECONDS: u64 = 300;
const CHURN_SECONDS: u64 = 120;
const RESTART_INTERVAL_SECONDS: u64 = 5;
const PARTITION_SECONDS: u64 = 180;
/// Longest wait until all routers detect a crash, or merge their views after a partition.
const TIMEOUT_MILLIS: u64 = 120_000;

fn main() {
    if std::env::args().any(|argument| argument == "--test") {
        return;
    }
    println!("routers  measure                              value");
    for count in FLEETS {
        print_row(count, "steady, bytes/s a router", steady_rate(count));
        for loss_percent in LOSS_PERCENTS {
            let run = lossy_run(count, loss_percent);
            print_row(count, &format!("{loss_percent}% loss, bytes/s a router"), run.rate);
            let measure = format!("{loss_percent}% loss, wrongly dead in {LOSSY_SECONDS} s");
            print_row(count, &measure, run.wrongly_dead);
        }
        print_row(count, "restart each 5 s, bytes/s a router", churn_rate(count));
        let detections = detection_millis(count);
        print_row(count, "crash known everywhere, ms, median", detections[detections.len() / 2]);
        print_row(count, "crash known everywhere, ms, worst", detections[detections.len() - 1]);
        let split = split_run(count);
        print_row(count, "split in halves, bytes/s a router", split.rate);
        print_row(count, "views merged after the split, ms", split.merge_millis);
        let limit = TIMEOUT_MILLIS;
        assert!(split.merge_millis < limit, "views had not merged {limit} ms after the split");
    }
}

fn print_row(count: u16, measure: &str, value: u64) {
    println!("{count:>7}  {measure:<36} {value:>6}");
}

fn message_bytes(message: &MemberMessage) -> u64 {
    let key = PeerKey::from_hex(&"5c".repeat(32)).expect("64 digits");
    let local = PeerIdentity { vm: VmId(1 << 60), incarnation: 1 << 40, port: 7001 };
    let signer = FrameSigner::new(key, local);
    let frame = signer.sign_message(VmId(1 << 61), 1 << 40, &message_to_wire(message));
    frame.len() as u64 + UDP_HEADER_BYTES
}

fn converged_fleet(count: u16, seed: u64) -> SimFleet {
    let mut fleet = SimFleet::new(seed).with_message_size(message_bytes);
    fleet.start_all(count);
    fleet.run_millis(CONVERGENCE_SECONDS * 1_000);
    fleet.clear_events();
    fleet
}

/// Runs the fleet and returns the bytes sent per router and second.
fn measure_rate(fleet: &mut SimFleet, seconds: u64) -> u64 {
    let before = fleet.sent_bytes();
    fleet.run_millis(seconds * 1_000);
    (fleet.sent_bytes() - before) / seconds / fleet.nodes.len() as u64
}

fn steady_rate(count: u16) -> u64 {
    measure_rate(&mut converged_fleet(count, 1), STEADY_SECONDS)
}

struct LossyRun {
    rate: u64,
    wrongly_dead: u64,
}

fn lossy_run(count: u16, loss_percent: u32) -> LossyRun {
    let mut fleet = converged_fleet(count, 2);
    fleet.loss_percent = loss_percent;
    let rate = measure_rate(&mut fleet, LOSSY_SECONDS);
    LossyRun { rate, wrongly_dead: fleet.count_events(MemberEventKind::Died) as u64 }
}

/// Restarts one router after another, as a rolling upgrade does, and returns the bytes sent per
/// router and second.
fn churn_rate(count: u16) -> u64 {
    let mut fleet = converged_fleet(count, 3);
    let listed = specs(count);
    let before = fleet.sent_bytes();
    let restarts = CHURN_SECONDS / RESTART_INTERVAL_SECONDS;
    for restart in 0..restarts {
        let number = (restart % u64::from(count)) as u16;
        let sent = fleet.node(number).sent_bytes;
        let incarnation = fleet.node(number).spec.incarnation + 1;
        fleet.start(MemberSpec { incarnation, ..spec(number) }, &listed);
        fleet.node_mut(number).sent_bytes = sent;
        fleet.run_millis(RESTART_INTERVAL_SECONDS * 1_000);
    }
    (fleet.sent_bytes() - before) / CHURN_SECONDS / u64::from(count)
}

fn detection_millis(count: u16) -> Vec<u64> {
    let mut detections: Vec<u64> = (0..SEEDS)
        .map(|seed| {
            let mut fleet = converged_fleet(count, 10 + seed);
            fleet.crash(1);
            let all = usize::from(count) - 1;
            fleet
                .run_until(TIMEOUT_MILLIS, |fleet| fleet.all_see_live(all))
                .unwrap_or(TIMEOUT_MILLIS)
        })
        .collect();
    detections.sort_unstable();
    detections
}

struct SplitRun {
    rate: u64,
    merge_millis: u64,
}

fn split_run(count: u16) -> SplitRun {
    let mut fleet = converged_fleet(count, 4);
    fleet.start_partition(count / 2);
    let rate = measure_rate(&mut fleet, PARTITION_SECONDS);
    fleet.end_partition();
    let all = usize::from(count);
    let merge_millis =
        fleet.run_until(TIMEOUT_MILLIS, |fleet| fleet.all_see_live(all)).unwrap_or(TIMEOUT_MILLIS);
    SplitRun { rate, merge_millis }
}
