//! Metrics in the usual text format.

use metrics_exporter_prometheus::{Matcher, PrometheusBuilder, PrometheusHandle};

/// Renders all metrics of the process.
#[derive(Clone)]
pub struct Meter {
    handle: PrometheusHandle,
}

const LATENCY_BUCKETS_S: &[f64] =
    &[0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 0.81, 1.0, 2.5, 5.0, 10.0, 30.0];

impl Meter {
    /// Installs the recorder of the process.
    ///
    /// # Panics
    /// If a recorder is installed already.
    pub fn install() -> Self {
        let handle = PrometheusBuilder::new()
            .set_buckets_for_metric(Matcher::Suffix("_seconds".to_owned()), LATENCY_BUCKETS_S)
            .expect("the list of buckets is not empty")
            .install_recorder()
            .expect("a process installs its recorder once");
        Self { handle }
    }

    /// The text that a scrape gets.
    pub fn render(&self) -> String {
        self.handle.run_upkeep();
        self.handle.render()
    }
}
