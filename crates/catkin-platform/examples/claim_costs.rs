//! Measures the platform calls and the latency of claims, with one object per key (marked or single
//! write) and with a group log.

use std::sync::Arc;
use std::time::Duration;

use catkin_base::{ClockTime, TeamId};
use catkin_platform::{
    ClaimBook, ClaimKey, ClaimMode, ClaimOptions, ClaimOutcome, ClaimTime, GroupOptions,
    GroupStore, GuardLimits, HttpStore, HttpStoreOptions, ObjectStore, RecordedAnswer,
};
use catkin_standin::{PlatformOptions, PlatformStandin};
use tokio::task::JoinSet;
use tokio::time::{Instant, interval};

const SECONDS: u64 = 5;
const RATES_PER_SECOND: [u64; 4] = [30, 90, 300, 900];
const PLATFORM_LATENCY: Duration = Duration::from_millis(2);
const UNIX_SECONDS: u64 = 1_800_000_000;

/// Measurements of one claim.
struct ClaimTimes {
    /// Time from the claim until its request may be sent.
    until_sent: Duration,
    /// Whether the claim was marked as sent.
    recorded: bool,
}

fn main() {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .expect("a runtime");
    println!("way     claims/s  writes/s  reads/s  writes/claim  p50 ms  p95 ms  failed");
    runtime.block_on(async {
        for rate in RATES_PER_SECOND {
            measure_single_objects("marked", ClaimMode::Marked, rate).await;
            measure_single_objects("single", ClaimMode::Single, rate).await;
            measure_group_log(rate).await;
        }
    });
}

fn start_platform() -> (PlatformStandin, Arc<HttpStore>) {
    let options = PlatformOptions { latency: PLATFORM_LATENCY, ..PlatformOptions::default() };
    let platform = PlatformStandin::start(&options).expect("the stand-in starts");
    let limits = GuardLimits {
        writes_per_second: 100_000,
        reads_per_second: 100_000,
        ..GuardLimits::default()
    };
    let options = HttpStoreOptions {
        limits,
        call_threads: 24,
        ..HttpStoreOptions::new(platform.address(), 1)
    };
    (platform, Arc::new(HttpStore::new(options)))
}

async fn measure_single_objects(method: &str, mode: ClaimMode, rate: u64) {
    let (platform, store) = start_platform();
    let options = ClaimOptions { mode, ..ClaimOptions::new(1) };
    let times = run_claims(Arc::new(ClaimBook::new(store, options)), rate).await;
    print_row(method, rate, &platform, &times);
}

async fn measure_group_log(rate: u64) {
    let (platform, store) = start_platform();
    let group = Arc::new(GroupStore::start(store, GroupOptions::for_shard(0, 1, UNIX_SECONDS)));
    let book = Arc::new(ClaimBook::new(Arc::clone(&group), ClaimOptions::new(1)));
    let times = run_claims(book, rate).await;
    print_row("group", rate, &platform, &times);
    if let Some(group) = Arc::into_inner(group) {
        group.stop().await;
    }
}

async fn run_claims<Store: ObjectStore>(book: Arc<ClaimBook<Store>>, rate: u64) -> Vec<ClaimTimes> {
    let mut ticks = interval(Duration::from_secs(1) / rate as u32);
    let mut claims = JoinSet::new();
    for index in 0..rate * SECONDS {
        ticks.tick().await;
        let book = Arc::clone(&book);
        claims.spawn(async move { run_claim(&book, index).await });
    }
    claims.join_all().await
}

async fn run_claim<Store: ObjectStore>(book: &ClaimBook<Store>, index: u64) -> ClaimTimes {
    let started_at = Instant::now();
    let team = TeamId::from_name("bench");
    let key = ClaimKey { team, service: "ledger".to_owned(), key: index.to_string() };
    let time = ClaimTime { now: ClockTime::ZERO, unix_seconds: UNIX_SECONDS };
    let ClaimOutcome::Fresh(mut ticket) = book.claim(&key, "digest", time).await else {
        return ClaimTimes { until_sent: started_at.elapsed(), recorded: false };
    };
    let marked = book.mark_sent(&mut ticket).await;
    let until_sent = started_at.elapsed();
    let answer = RecordedAnswer::new(200, "application/json", &[b'x'; 200]);
    book.record(ticket, &answer).await;
    ClaimTimes { until_sent, recorded: marked.is_ok() }
}

fn print_row(method: &str, rate: u64, platform: &PlatformStandin, times: &[ClaimTimes]) {
    let counts = platform.counts();
    let writes = counts.puts + counts.deletes;
    let failed = times.iter().filter(|times| !times.recorded).count();
    let mut waits: Vec<Duration> = times.iter().map(|times| times.until_sent).collect();
    waits.sort_unstable();
    println!(
        "{method:<8}{rate:>8}{:>10}{:>9}{:>14.2}{:>8.1}{:>8.1}{failed:>8}",
        writes / SECONDS,
        (counts.gets + counts.lists) / SECONDS,
        writes as f64 / times.len() as f64,
        percentile_millis(&waits, 50),
        percentile_millis(&waits, 95),
    );
}

fn percentile_millis(sorted: &[Duration], percent: usize) -> f64 {
    let index = (sorted.len() * percent / 100).min(sorted.len().saturating_sub(1));
    sorted.get(index).map_or(0.0, |wait| wait.as_secs_f64() * 1000.0)
}
