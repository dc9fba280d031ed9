//! The measured scenarios.

/// How backend servers report their load.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum LoadReportMode {
    /// The number of requests in flight this many milliseconds ago.
    Stale(u64),
    /// Always one request in flight, as if the report had stopped at the first request.
    AlwaysOne,
    /// Always no requests in flight.
    AlwaysZero,
}

/// An incident that starts a third into the measured time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Incident {
    None,
    /// Two servers become ten times slower.
    Straggler,
    /// Two servers respond with 500 at once.
    FailFast,
    /// Four servers are three times slower for a second, as after a restart with cold caches.
    ColdStart,
    /// Each server in turn is listed as leaving for 150 ms.
    RollingDrain,
    /// The request rate is ten times as high for 100 ms.
    Burst,
    /// A third of the servers stops responding for good.
    ZoneLoss,
    /// Open connections to half of the servers stop responding; new connections work.
    SilentConnections,
    /// Servers refuse 30% of requests with 503.
    Shedding,
}

#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Scenario {
    pub(crate) name: &'static str,
    pub(crate) servers: usize,
    pub(crate) slots: usize,
    pub(crate) entry_vms: usize,
    /// Share of all slots that the load keeps busy.
    pub(crate) utilization: f64,
    /// Whether servers are three times slower in random phases of some milliseconds.
    pub(crate) has_slow_phases: bool,
    pub(crate) report_mode: LoadReportMode,
    pub(crate) incident: Incident,
}

/// Mean time that a request occupies a slot.
pub(crate) const MEAN_SERVICE_MS: f64 = 8.0;

impl Scenario {
    /// Request rate over all entry VMs.
    pub(crate) fn requests_per_s(&self) -> f64 {
        (self.servers * self.slots) as f64 / (MEAN_SERVICE_MS / 1_000.0) * self.utilization
    }
}

fn two_slot_scenario(name: &'static str, utilization: f64) -> Scenario {
    Scenario {
        name,
        servers: 15,
        slots: 2,
        entry_vms: 14,
        utilization,
        has_slow_phases: false,
        report_mode: LoadReportMode::Stale(0),
        incident: Incident::None,
    }
}

fn four_slot_scenario(name: &'static str, utilization: f64) -> Scenario {
    Scenario { slots: 4, ..two_slot_scenario(name, utilization) }
}

fn scenario_with_incident(name: &'static str, incident: Incident) -> Scenario {
    Scenario { incident, ..two_slot_scenario(name, 0.6) }
}

fn scenario_with_report_mode(name: &'static str, report_mode: LoadReportMode) -> Scenario {
    Scenario { report_mode, has_slow_phases: true, ..two_slot_scenario(name, 0.6) }
}

/// Returns all scenarios.
pub(crate) fn all() -> Vec<Scenario> {
    vec![
        two_slot_scenario("steady-50", 0.5),
        two_slot_scenario("steady-70", 0.7),
        two_slot_scenario("steady-90", 0.9),
        four_slot_scenario("stock-70", 0.7),
        Scenario { has_slow_phases: true, ..two_slot_scenario("swings", 0.6) },
        Scenario { has_slow_phases: true, ..four_slot_scenario("stock-swings", 0.6) },
        scenario_with_incident("straggler", Incident::Straggler),
        scenario_with_incident("fail-fast", Incident::FailFast),
        scenario_with_incident("cold-start", Incident::ColdStart),
        scenario_with_incident("rolling-drain", Incident::RollingDrain),
        scenario_with_report_mode("stale-10ms", LoadReportMode::Stale(10)),
        scenario_with_report_mode("stale-100ms", LoadReportMode::Stale(100)),
        scenario_with_report_mode("stale-1000ms", LoadReportMode::Stale(1_000)),
        scenario_with_report_mode("frozen-reports", LoadReportMode::AlwaysOne),
        scenario_with_report_mode("lying-reports", LoadReportMode::AlwaysZero),
        scenario_with_incident("burst", Incident::Burst),
        scenario_with_incident("zone-loss", Incident::ZoneLoss),
        scenario_with_incident("silent-connections", Incident::SilentConnections),
        scenario_with_incident("shedding", Incident::Shedding),
    ]
}
