//! Metrics in the Prometheus text format.

use metrics_exporter_prometheus::{Matcher, PrometheusBuilder, PrometheusHandle};

/// Handle to the metrics recorder of the process.
#[derive(Clone)]
pub struct Meter {
    handle: PrometheusHandle,
}

/// Upper bounds of the histogram buckets of metrics whose name ends in `_seconds`.
const LATENCY_BUCKETS_S: &[f64] =
    &[0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 0.81, 1.0, 2.5, 5.0, 10.0, 30.0];

impl Meter {
    /// Installs the global metrics recorder of the process.
    ///
    /// # Panics
    /// If a recorder is installed already.
    pub fn install() -> Self {
        let handle = PrometheusBuilder::new()
            .set_buckets_for_metric(Matcher::Suffix("_seconds".to_owned()), LATENCY_BUCKETS_S)
            .expect("the list of histogram buckets is not empty")
            .install_recorder()
            .expect("the metrics recorder is installed only once per process");
        Self { handle }
    }

    /// Renders all metrics as the body of a scrape response.
    pub fn render(&self) -> String {
        self.handle.run_upkeep();
        self.handle.render()
    }
}
