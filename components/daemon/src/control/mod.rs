//! Controllers that run on the control thread and write to the blackboard.

mod catch_up;
mod config;
mod fleet;
mod listing;
mod peering;
mod probing;
mod spread;
mod sweeping;
mod thread;

pub(crate) use catch_up::catch_up;
pub(crate) use config::{ConfigArguments, ConfigController, ConfigMessage};
pub(crate) use fleet::{FleetArguments, FleetController, FleetMessage};
pub(crate) use listing::follow_list;
pub(crate) use peering::{PeeringArguments, run_peering};
pub(crate) use probing::{ProbeArguments, run_probes};
pub(crate) use spread::SpreadView;
pub(crate) use sweeping::sweep_claims;
pub(crate) use thread::control_cpu_seconds;
