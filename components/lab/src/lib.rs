//! Simulates entry VMs and backend servers under load. Placement, admission and retry budgets are
//! decided by the code of `balance` and `limits` that the daemon runs.
//!
//! Time is simulated and all random numbers derive from a seed, so two runs with the same seed are
//! identical, and policies are compared on the same arrivals, machine speeds and crashes.

mod callers;
mod outcome;
mod plot;
mod policy;
mod report;
mod scenario;
mod selection;
mod server;
mod simulation;
mod vm;

pub use outcome::{LabOutcome, LabSummary, MeanDeviation, summarize};
pub use plot::{PlotFault, draw_policies};
pub use policy::{LabPolicy, UnknownPolicy};
pub use report::render_table;
pub use scenario::{LabScenario, ScenarioFault};
pub use simulation::run_scenario;
