//! Helpers for tests of relays.

use std::time::Duration;

use limits::QuotaLimits;
use model::RevisionNumber;
use peers::RelayTiming;
use routes::{CallerLimits, RouteTable, ServiceInfo, ServiceName};

/// Times of the relay.
pub(crate) const TIMING: RelayTiming = RelayTiming {
    keep_alive_interval: Duration::from_millis(250),
    handshake_timeout: Duration::from_millis(400),
    budget_window: Duration::from_secs(10),
    max_state_age: Duration::from_millis(1_100),
    share_validity: Duration::from_millis(800),
    handover_time: Duration::ZERO,
    quotas: QuotaLimits { over: 0.1, slack: 20.0, window: Duration::from_secs(5), relays: 3 },
};

/// Returns a configuration without routes.
pub(crate) fn empty_route_table(
    version: u64,
    services: impl IntoIterator<Item = (ServiceName, ServiceInfo)>,
) -> RouteTable {
    let limits = CallerLimits {
        max_header_bytes: 1,
        max_body_bytes: 1,
        header_timeout: Duration::from_secs(1),
        idle_timeout: Duration::from_secs(1),
    };
    RouteTable::new(RevisionNumber(version), services.into_iter().collect(), limits)
}
