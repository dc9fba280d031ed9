//! The scenarios, as data.

/// What backend servers say of their load.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum ReportMode {
    /// The load of this many milliseconds ago.
    Stale(u64),
    /// Always the first load.
    Frozen,
    /// Always no load.
    Lying,
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
    pub(crate) entries: usize,
    /// Part of all slots that the load keeps busy.
    pub(crate) utilisation: f64,
    /// Whether servers slow down three times for some milliseconds now and then.
    pub(crate) swings: bool,
    pub(crate) reports: ReportMode,
    pub(crate) incident: Incident,
}

/// Mean time of a request in a slot, in milliseconds.
pub(crate) const MEAN_SERVICE_MS: f64 = 8.0;

impl Scenario {
    /// Requests a second over all entry VMs.
    pub(crate) fn rate(&self) -> f64 {
        (self.servers * self.slots) as f64 / (MEAN_SERVICE_MS / 1_000.0) * self.utilisation
    }
}

fn samahan(name: &'static str, utilisation: f64) -> Scenario {
    Scenario {
        name,
        servers: 15,
        slots: 2,
        entries: 14,
        utilisation,
        swings: false,
        reports: ReportMode::Stale(0),
        incident: Incident::None,
    }
}

fn kilang(name: &'static str, utilisation: f64) -> Scenario {
    Scenario { slots: 4, ..samahan(name, utilisation) }
}

fn with(name: &'static str, incident: Incident) -> Scenario {
    Scenario { incident, ..samahan(name, 0.6) }
}

fn reporting(name: &'static str, reports: ReportMode) -> Scenario {
    Scenario { reports, swings: true, ..samahan(name, 0.6) }
}

/// All scenarios.
pub(crate) fn all() -> Vec<Scenario> {
    vec![
        samahan("steady-50", 0.5),
        samahan("steady-70", 0.7),
        samahan("steady-90", 0.9),
        kilang("stock-70", 0.7),
        Scenario { swings: true, ..samahan("swings", 0.6) },
        Scenario { swings: true, ..kilang("stock-swings", 0.6) },
        with("straggler", Incident::Straggler),
        with("fail-fast", Incident::FailFast),
        with("cold-start", Incident::ColdStart),
        with("rolling-drain", Incident::RollingDrain),
        reporting("stale-10ms", ReportMode::Stale(10)),
        reporting("stale-100ms", ReportMode::Stale(100)),
        reporting("stale-1000ms", ReportMode::Stale(1_000)),
        reporting("frozen-reports", ReportMode::Frozen),
        reporting("lying-reports", ReportMode::Lying),
        with("burst", Incident::Burst),
        with("zone-loss", Incident::ZoneLoss),
        with("silent-connections", Incident::SilentConnections),
        with("shedding", Incident::Shedding),
    ]
}
