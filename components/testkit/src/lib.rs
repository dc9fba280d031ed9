//! Test helpers: fakes of the hosting platform and of backend servers, callers, fleets of daemon
//! processes, and a fault-injection soak test. Not part of the released software.

mod backend;
mod caller;
mod collector;
mod daemons;
mod fault_proxy;
mod fleet;
mod hosted;
mod platform_server;
mod process;
mod process_cuts;
mod property_tests;
mod reserved_ports;
mod soak;
#[cfg(test)]
mod tests;
mod usage;
mod web;

pub use backend::{BackendBehaviour, FakeBackend, ServedRequest};
pub use caller::{CallError, CallRequest, CallResponse, CallerConnection, call};
pub use collector::FakeCollector;
pub use daemons::{DaemonProcess, free_address};
pub use fault_proxy::FaultProxy;
pub use fleet::{FLEET_KEY, TestFleet, TestService, account_record, policy_record, service_record};
pub use hosted::{
    COLD_OVER, COLD_SLACK, CompleteResponse, FREE_KEY, HOSTED_HOST, HostedBehaviour, HostedDaemon,
    HostedFleet, HostedRun, HostedServer, LIMITED_KEY, QUOTA, QUOTA_SLACK, QUOTA_WINDOW,
    QuotaFleet, RESPONSE_TIMEOUT, RawCaller, RawConnection, RawRequest, RawResponse, RawServer,
    RecordedRelay, account_entry, allowed_requests, call_with_http10, eventually, exchange_bytes,
    hosted_config, hosted_request, hosted_route, limit_header, load_header, not_run_header,
    peak_per_second, recorded_message, request_id, request_text, standard_routes, warm_up_header,
};
pub use platform_server::{FakePlatform, ServerList, StoreBehaviour, TableCopy};
pub use process::change_setting;
pub use property_tests::property_test_config;
pub use soak::{SoakOptions, SoakReport, SoakSize, SoakViolations, run_soak};
pub use usage::{ProcessUsage, read_metric};
