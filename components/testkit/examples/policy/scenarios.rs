//! The scenarios, as data.

/// What backend servers say of their load.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum LoadReportMode {
    /// The load of this many milliseconds ago.
    Stale(u64),
    /// Always the first load.
    AlwaysOne,
    /// Always no load.
    AlwaysZero,
}

/// What happens a third into the measured time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Incident {
    /// Nothing.
    None,
    /// Two servers become ten times slower.
    Straggler,
    /// Two servers answer 500 at once.
    FailFast,
    /// Four servers restart cold: three times slower for a second.
    ColdStart,
    /// Servers leave one after the other and come back.
    RollingDrain,
    /// Ten times the load for 100 ms.
    Burst,
    /// A third of the servers never answers again.
    ZoneLoss,
    /// Half of the servers' open connections go silent; new ones work.
    SilentConnections,
    /// Servers shed 30 of 100 requests.
    Shedding,
}

/// One scenario.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Scenario {
    pub(crate) name: &'static str,
    pub(crate) servers: usize,
    pub(crate) slots: usize,
    pub(crate) entry_vms: usize,
    /// Part of all slots that the load keeps busy.
    pub(crate) utilisation: f64,
    /// Whether servers slow down three times for some milliseconds now and then.
    pub(crate) has_slow_phases: bool,
    pub(crate) report_mode: LoadReportMode,
    pub(crate) incident: Incident,
}

/// Mean time of a request in a slot, in milliseconds.
pub(crate) const MEAN_SERVICE_MS: f64 = 8.0;

impl Scenario {
    /// Requests a second over all entry VMs.
    pub(crate) fn requests_per_s(&self) -> f64 {
        (self.servers * self.slots) as f64 / (MEAN_SERVICE_MS / 1_000.0) * self.utilisation
    }
}

fn two_slot_scenario(name: &'static str, utilisation: f64) -> Scenario {
    Scenario {
        name,
        servers: 15,
        slots: 2,
        entry_vms: 14,
        utilisation,
        has_slow_phases: false,
        report_mode: LoadReportMode::Stale(0),
        incident: Incident::None,
    }
}

fn four_slot_scenario(name: &'static str, utilisation: f64) -> Scenario {
    Scenario { slots: 4, ..two_slot_scenario(name, utilisation) }
}

fn scenario_with_incident(name: &'static str, incident: Incident) -> Scenario {
    Scenario { incident, ..two_slot_scenario(name, 0.6) }
}

fn scenario_with_report_mode(name: &'static str, report_mode: LoadReportMode) -> Scenario {
    Scenario { report_mode, has_slow_phases: true, ..two_slot_scenario(name, 0.6) }
}

/// All scenarios.
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
