//! A model of entry VMs and backend servers under load, driven by the decisions of `balance` and
//! `limits` themselves.
//!
//! Time is simulated and all chance comes from a seed, so that two runs with the same seed are the
//! same, and policies are compared on the same arrivals, speeds and crashes.

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
