//! Metrics for Prometheus. The number of label values is bounded, because account names are taken
//! only from accepted records.

use prometheus::{
    Gauge, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
};

use crate::registry::{register_counter, register_gauge, render_metrics};

/// Outcome of a request, as a metric label.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestOutcome {
    /// A backend server's response was forwarded to the caller.
    Answered,
    /// The request was refused and did not run.
    NotRun,
    /// The request failed and may have run.
    Unknown,
    /// The recorded response of an earlier request with the same key was returned.
    Replayed,
}

impl RequestOutcome {
    pub(crate) fn label(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
            Self::Replayed => "replayed",
        }
    }
}

/// Metrics of a daemon, for Prometheus.
#[derive(Debug, Clone)]
pub struct DaemonMetrics {
    registry: Registry,
    requests: IntCounterVec,
    request_seconds: HistogramVec,
    /// Retries and hedged attempts sent to backend servers.
    pub retries: IntCounter,
    /// Probes sent to backend servers.
    pub probes: IntCounter,
    /// Revision of the configuration that is in force.
    pub config_revision: IntGauge,
    /// Number of entry VMs that this VM considers live, including itself.
    pub members: IntGauge,
    /// CPU time of the control thread, in seconds.
    pub control_cpu_seconds: Gauge,
    /// Bytes sent to and received from peers.
    pub peer_bytes: IntCounter,
    /// Bytes that the control thread sent to and received from the platform.
    pub platform_bytes: IntGauge,
    /// Transactions sent to the platform's table.
    pub table_commits: IntCounter,
    /// Reads and scans sent to the platform's table.
    pub table_reads: IntCounter,
}

impl Default for DaemonMetrics {
    fn default() -> Self {
        Self::new()
    }
}

impl DaemonMetrics {
    /// Creates and registers all metrics.
    pub fn new() -> Self {
        let registry = Registry::new();
        let requests = IntCounterVec::new(
            Opts::new("mustardrail_requests_total", "Requests by account and outcome."),
            &["account", "outcome"],
        )
        .expect("metric definitions are valid");
        let request_seconds = HistogramVec::new(
            HistogramOpts::new("mustardrail_request_seconds", "Time to the head of the answer.")
                .buckets(prometheus::exponential_buckets(0.0005, 2.0, 18).expect("valid buckets")),
            &["account"],
        )
        .expect("metric definitions are valid");
        registry.register(Box::new(requests.clone())).expect("metric names are unique");
        registry.register(Box::new(request_seconds.clone())).expect("metric names are unique");
        let counter = |name: &str, help: &str| register_counter(&registry, name, help);
        let gauge = |name: &str, help: &str| register_gauge(&registry, name, help);
        let control_cpu_seconds =
            Gauge::new("mustardrail_control_cpu_seconds", "Processor time of the control thread.")
                .expect("metric definitions are valid");
        registry.register(Box::new(control_cpu_seconds.clone())).expect("metric names are unique");
        Self {
            retries: counter("mustardrail_retries_total", "Second tries."),
            probes: counter("mustardrail_probes_total", "Probes sent."),
            config_revision: gauge(
                "mustardrail_config_revision",
                "Configuration revision in force.",
            ),
            members: gauge("mustardrail_members", "Entry VMs held to be live."),
            peer_bytes: counter("mustardrail_peer_bytes_total", "Bytes to and from peers."),
            platform_bytes: gauge(
                "mustardrail_platform_bytes_total",
                "Bytes between control and the platform.",
            ),
            table_commits: counter("mustardrail_table_commits_total", "Table transactions."),
            table_reads: counter("mustardrail_table_reads_total", "Table reads and scans."),
            control_cpu_seconds,
            requests,
            request_seconds,
            registry,
        }
    }

    /// Counts a finished request.
    pub fn count_request(&self, account: &str, outcome: RequestOutcome) {
        self.requests.with_label_values(&[account, outcome.label()]).inc();
    }

    /// Records the time to the head of a response.
    pub fn observe_response_seconds(&self, account: &str, seconds: f64) {
        self.request_seconds.with_label_values(&[account]).observe(seconds);
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn render(&self) -> String {
        render_metrics(&self.registry)
    }
}
