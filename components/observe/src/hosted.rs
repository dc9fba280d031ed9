//! Metrics of an entry VM on a hosting platform.

use std::time::Duration;

use prometheus::{Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, Registry};

use crate::accounts::AccountMetrics;
use crate::metrics::RequestOutcome;
use crate::registry::{register_counter, register_gauge, render_metrics};

/// Metrics of a hosted entry VM, for Prometheus.
#[derive(Debug, Clone)]
pub struct HostedMetrics {
    registry: Registry,
    requests: IntCounterVec,
    request_seconds: Histogram,
    accounts: AccountMetrics,
    /// Probes sent to backend servers.
    pub probes: IntCounter,
    /// Probes whose response named a limit of the server.
    pub probe_limits: IntCounter,
    /// Backend servers that said in a response that they leave.
    pub leaving_notices: IntCounter,
    /// Responses by which a backend server gets no requests for some time.
    pub rest_notices: IntCounter,
    /// Requests whose caller disconnected before the response.
    pub caller_disconnects: IntCounter,
    /// Attempts whose connection broke while the request may have run.
    pub broken_attempts: IntCounter,
    /// Backend servers that crashed while they may have run a request.
    pub server_crashes: IntCounter,
    /// Requests (by content) that are quarantined because they crash their servers.
    pub quarantined: IntGauge,
    /// Requests refused because they are quarantined.
    pub quarantine_refusals: IntCounter,
    /// Whether this VM reaches backend servers: 1, or 0 while it reaches none.
    pub server_access: IntGauge,
    /// Requests forwarded to other VMs, while this one reached no backend server.
    pub forwarded_requests: IntCounter,
    /// Requests refused because they have no key of a client account.
    pub unauthorized: IntCounter,
    /// Calls to the platform's store.
    pub store_calls: IntCounter,
    /// Failed calls to the platform's store.
    pub store_failures: IntCounter,
    /// Version of the configuration that is in force.
    pub config_version: IntGauge,
    /// Newest era of the store that was seen; 0 if it names none.
    pub store_era: IntGauge,
    /// Number of known backend servers.
    pub servers: IntGauge,
}

impl Default for HostedMetrics {
    fn default() -> Self {
        Self::new()
    }
}

impl HostedMetrics {
    /// Creates and registers all metrics.
    pub fn new() -> Self {
        let registry = Registry::new();
        let requests = IntCounterVec::new(
            Opts::new("mustardrail_requests_total", "Requests by outcome."),
            &["outcome"],
        )
        .expect("metric definitions are valid");
        let request_seconds = Histogram::with_opts(
            HistogramOpts::new("mustardrail_request_seconds", "Time to the head of the answer.")
                .buckets(prometheus::exponential_buckets(0.005, 1.6, 16).expect("valid buckets")),
        )
        .expect("metric definitions are valid");
        registry.register(Box::new(requests.clone())).expect("metric names are unique");
        registry.register(Box::new(request_seconds.clone())).expect("metric names are unique");
        let counter = |name: &str, help: &str| register_counter(&registry, name, help);
        let gauge = |name: &str, help: &str| register_gauge(&registry, name, help);
        Self {
            probes: counter("mustardrail_probes_total", "Probes sent."),
            probe_limits: counter(
                "mustardrail_probe_limits_total",
                "Probes whose response named a limit of the server.",
            ),
            leaving_notices: counter(
                "mustardrail_leaving_notices_total",
                "Backend servers that said in a response that they leave.",
            ),
            rest_notices: counter(
                "mustardrail_rest_notices_total",
                "Responses by which a backend server gets no requests for some time.",
            ),
            caller_disconnects: counter("mustardrail_callers_left_total", "Callers that left."),
            broken_attempts: counter(
                "mustardrail_broken_attempts_total",
                "Attempts whose connection broke while the request may have run.",
            ),
            server_crashes: counter(
                "mustardrail_server_crashes_total",
                "Backend servers that crashed while they may have run a request.",
            ),
            quarantined: gauge(
                "mustardrail_quarantined",
                "Requests by content that are quarantined because they crash their servers.",
            ),
            quarantine_refusals: counter(
                "mustardrail_quarantine_refusals_total",
                "Requests refused because they are quarantined.",
            ),
            server_access: gauge(
                "mustardrail_server_access",
                "Whether backend servers are reachable: 1, or 0 while none is.",
            ),
            forwarded_requests: counter(
                "mustardrail_forwarded_requests_total",
                "Requests forwarded to other VMs, while no backend server was reachable.",
            ),
            unauthorized: counter(
                "mustardrail_unauthorized_total",
                "Requests refused because they have no key of a client account.",
            ),
            store_calls: counter("mustardrail_store_calls_total", "Calls to the store."),
            store_failures: counter("mustardrail_store_failures_total", "Calls that failed."),
            config_version: gauge("mustardrail_config_version", "Configuration version in force."),
            store_era: gauge("mustardrail_store_era", "Newest era of the store."),
            servers: gauge("mustardrail_servers", "Backend servers known."),
            accounts: AccountMetrics::new(&registry),
            requests,
            request_seconds,
            registry,
        }
    }

    /// Counts a finished request and records the time to its response head.
    pub fn count_request(&self, outcome: RequestOutcome, elapsed: Duration) {
        self.requests.with_label_values(&[outcome.label()]).inc();
        self.request_seconds.observe(elapsed.as_secs_f64());
    }

    /// Counts a request of a client account with a quota.
    pub fn count_credit(&self, account: &str, is_granted: bool) {
        self.accounts.count_credit(account, is_granted);
    }

    /// Counts a finished request of a client account.
    pub fn count_account_request(&self, account: &str, outcome: RequestOutcome) {
        self.accounts.count_request(account, outcome);
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn render(&self) -> String {
        render_metrics(&self.registry)
    }
}
