//! A fleet on a hosting platform: the fake store, fake servers with the wire interface of the
//! platform, and daemon processes.

mod config;
mod daemon;
mod fleet;
mod quota_fleet;
mod raw_caller;
mod raw_response;
mod raw_server;
mod recorded_relay;
mod server;

use std::time::Duration;

use tokio::time::{Instant, sleep};

pub use config::{account_entry, hosted_config, hosted_route, standard_routes};
pub use daemon::{COLD_OVER, COLD_SLACK, HostedDaemon};
pub use fleet::{HostedFleet, hosted_request, request_id};
pub use quota_fleet::{
    FREE_KEY, LIMITED_KEY, QUOTA, QUOTA_SLACK, QUOTA_WINDOW, QuotaFleet, allowed_requests,
};
pub use raw_caller::{RESPONSE_TIMEOUT, RawCaller, RawResponse, call_with_http10, request_text};
pub use raw_response::{CompleteResponse, exchange_bytes};
pub use raw_server::{
    RawConnection, RawRequest, RawServer, limit_header, load_header, not_run_header, warm_up_header,
};
pub use recorded_relay::{RecordedRelay, recorded_message};
pub use server::{HostedBehaviour, HostedRun, HostedServer, peak_per_second};

/// Path of the servers' health checks.
const HEALTH_PATH: &str = "/health";

/// Longest wait for a condition. The bound is generous since CI keeps every core busy.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// Host name of all routes.
pub const HOSTED_HOST: &str = "shop.test";

/// Waits until a condition is true. Panics with its description on a timeout.
pub async fn eventually(condition: &str, mut is_true: impl AsyncFnMut() -> bool) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !is_true().await {
        assert!(Instant::now() < deadline, "timed out waiting for the condition: {condition}");
        sleep(Duration::from_millis(20)).await;
    }
}
