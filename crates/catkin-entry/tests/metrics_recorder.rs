//! The memory of the metrics recorder. This is the only test of its process, whose memory it measures.

use catkin_entry::{UPKEEP_INTERVAL, maintain_metrics};
use metrics_exporter_prometheus::PrometheusBuilder;
use tokio::time::advance;

const ROUNDS: usize = 40;
const ROUND_SAMPLES: usize = 50_000;
/// Bytes of a sample: its value and its time.
const SAMPLE_BYTES: usize = 16;

/// Peak memory of this process, in bytes.
fn peak_bytes() -> usize {
    let status = std::fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap();
    line.trim().trim_end_matches(" kB").parse::<usize>().unwrap() * 1_024
}

/// Guards against memory that grows with each answer until somebody fetches the metrics.
#[tokio::test(start_paused = true)]
async fn samples_that_nobody_fetches_do_not_take_more_and_more_memory() {
    let recorder = PrometheusBuilder::new().build_recorder();
    let upkeep = tokio::spawn(maintain_metrics(Some(recorder.handle())));
    tokio::task::yield_now().await;
    let mut first_bytes = 0;

    for round in 0..ROUNDS {
        metrics::with_local_recorder(&recorder, || {
            let histogram = metrics::histogram!("answer_seconds");
            (0..ROUND_SAMPLES).for_each(|_| histogram.record(0.1));
        });
        advance(UPKEEP_INTERVAL).await;
        tokio::task::yield_now().await;
        if round == 1 {
            first_bytes = peak_bytes();
        }
    }

    upkeep.abort();
    assert!(upkeep.await.unwrap_err().is_cancelled());
    let grown_bytes = peak_bytes() - first_bytes;
    assert!(grown_bytes < ROUNDS * ROUND_SAMPLES * SAMPLE_BYTES / 4, "{grown_bytes} bytes");
}
