//! A hosted fleet: the platform's store, servers that speak its way, and daemons as processes.

mod config;
mod daemon;
mod fleet;
mod server;

use std::time::Duration;

use tokio::time::{Instant, sleep};

pub use config::{hosted_config, hosted_route, standard_routes};
pub use daemon::HostedDaemon;
pub use fleet::{HostedFleet, request_id};
pub use server::{HostedBehaviour, HostedRun, HostedServer};

/// Path of the servers' health checks.
const HEALTH_PATH: &str = "/health";

/// Longest time until something becomes true; CI runs with every core busy.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// Host of all routes.
pub const HOSTED_HOST: &str = "shop.test";

/// Waits until something is true; fails with `what` when it takes too long.
pub async fn eventually(what: &str, mut is_true: impl AsyncFnMut() -> bool) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !is_true().await {
        assert!(Instant::now() < deadline, "it never came that {what}");
        sleep(Duration::from_millis(20)).await;
    }
}
