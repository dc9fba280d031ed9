//! Small stand-ins for the platform, backend servers and callers. Not shipped.

mod backend;
mod caller;
mod collector;
mod daemons;
mod fleet;
mod histories;
mod hosted;
mod platform_server;
mod process;
mod relay;
mod soak;
mod usage;
mod web;

pub use backend::{BackendBehaviour, BackendStandIn, ServedRequest};
pub use caller::{CallAnswer, CallFault, CallRequest, KeptCaller, call};
pub use collector::CollectorStandIn;
pub use daemons::{DaemonProcess, free_port};
pub use fleet::{FLEET_KEY, TestFleet, TestService, account_record, policy_record, service_record};
pub use histories::history_config;
pub use hosted::{
    HOSTED_HOST, HostedBehaviour, HostedDaemon, HostedFleet, HostedRun, HostedServer, eventually,
    hosted_config, hosted_route, request_id, standard_routes,
};
pub use platform_server::{PlatformStandIn, StoreBehaviour};
pub use relay::CutRelay;
pub use soak::{BrokenPromises, SoakOptions, SoakReport, SoakSize, run_soak};
pub use usage::{LineFit, ProcessUsage, read_metric};
