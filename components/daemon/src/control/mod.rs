//! Controllers and tasks of the control thread, which write to the blackboard.

mod claim_expiry;
mod config;
mod control_thread;
mod cpu_time;
mod fleet;
mod peering;
mod probing;
mod propagation;
mod server_list;
mod table_update;

pub(crate) use config::ConfigMessage;
pub(crate) use control_thread::ControlThread;
pub(crate) use cpu_time::thread_cpu_seconds;
pub(crate) use propagation::PropagationTracker;
pub(crate) use table_update::read_table_update;
