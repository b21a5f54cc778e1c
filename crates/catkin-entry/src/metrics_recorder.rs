//! The metrics recorder of the process, and its upkeep.
//!
//! The recorder keeps each sample of a histogram by itself until it is rendered or maintained, so a process
//! whose metrics nobody fetches needs the upkeep.

use std::time::Duration;

use metrics_exporter_prometheus::{Matcher, PrometheusBuilder, PrometheusHandle};
use tokio::time::sleep;

/// Interval at which samples are added to their histograms.
pub const UPKEEP_INTERVAL: Duration = Duration::from_millis(1_000);
/// Upper bounds of the latency histograms, in seconds.
const LATENCY_BUCKETS: [f64; 10] = [0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 15.0];

/// Installs the recorder of the process; `None` if no metrics are recorded.
pub(crate) fn start_metrics() -> Option<PrometheusHandle> {
    let builder = PrometheusBuilder::new();
    let suffix = Matcher::Suffix("_seconds".to_owned());
    let recorder = builder.set_buckets_for_metric(suffix, &LATENCY_BUCKETS);
    let recorder = match recorder {
        Ok(builder) => builder.build_recorder(),
        Err(error) => {
            log::error!(
                "process: metrics recorder not started; no metrics are served. error={error}"
            );
            return None;
        }
    };
    let handle = recorder.handle();
    if let Err(error) = metrics::set_global_recorder(recorder) {
        log::error!("process: metrics recorder not started; no metrics are served. error={error}");
        return None;
    }
    Some(handle)
}

/// Adds the samples of a recorder to their histograms at an interval. Never returns.
pub async fn maintain_metrics(handle: Option<PrometheusHandle>) {
    loop {
        sleep(UPKEEP_INTERVAL).await;
        if let Some(handle) = &handle {
            handle.run_upkeep();
        }
    }
}
