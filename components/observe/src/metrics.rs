//! Metrics for Prometheus. Labels are bounded: account names come only from accepted records.

use prometheus::{
    Gauge, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
};

use crate::registry::{register_counter, register_gauge, render_metrics};

/// How a request ended, as a metric label.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestOutcome {
    /// A backend server's answer was passed on.
    Answered,
    /// It was refused and did not run.
    NotRun,
    /// It may have run.
    Unknown,
    /// The recorded answer of an earlier request was given.
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

/// All metrics of a daemon.
#[derive(Debug, Clone)]
pub struct DaemonMetrics {
    registry: Registry,
    requests: IntCounterVec,
    request_seconds: HistogramVec,
    /// Second tries sent to backend servers.
    pub retries: IntCounter,
    /// Probes sent to backend servers.
    pub probes: IntCounter,
    /// Revision of the configuration in force.
    pub config_revision: IntGauge,
    /// Entry VMs that this one holds to be live, itself included.
    pub members: IntGauge,
    /// Processor seconds of the control thread.
    pub control_cpu_seconds: Gauge,
    /// Bytes sent to and received from peers.
    pub peer_bytes: IntCounter,
    /// Bytes that control sent to and received from the platform.
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
    /// Registers all metrics.
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

    /// Counts a request that ended.
    pub fn count_request(&self, account: &str, outcome: RequestOutcome) {
        self.requests.with_label_values(&[account, outcome.label()]).inc();
    }

    /// Records the time to the head of an answer.
    pub fn observe_response_seconds(&self, account: &str, seconds: f64) {
        self.request_seconds.with_label_values(&[account]).observe(seconds);
    }

    /// All metrics in the text format of Prometheus.
    pub fn render(&self) -> String {
        render_metrics(&self.registry)
    }
}
