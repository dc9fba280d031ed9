//! Controllers that run on the control thread and write to the blackboard.

mod catch_up;
mod config;
mod fleet;
mod listing;
mod peering;
mod probing;
mod propagation;
mod start;
mod sweeping;
mod thread;

pub(crate) use catch_up::catch_up;
pub(crate) use config::ConfigMessage;
pub(crate) use propagation::PropagationView;
pub(crate) use start::ControlThread;
pub(crate) use thread::control_cpu_seconds;
