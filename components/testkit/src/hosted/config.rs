//! Configurations for hosted fleets.

use std::time::Duration;

use model::RevisionNumber;
use routes::{
    AccountEntry, AccountName, CallerLimits, ClientAccount, ExecutionSemantics, HostedRoute,
    RouteTable, ServiceInfo, ServiceName, WeightedService,
};

use crate::hosted::{HEALTH_PATH, HOSTED_HOST};

/// Returns a route of the test host to weighted services.
pub fn hosted_route(
    prefix: &str,
    execution: ExecutionSemantics,
    weighted_services: &[(&str, u32)],
) -> HostedRoute {
    HostedRoute {
        name: prefix.into(),
        prefix: prefix.into(),
        execution,
        timeout: Duration::from_secs(20),
        target_latency: Duration::from_secs(10),
        priority: 1,
        max_attempts: 2,
        services: weighted_services
            .iter()
            .map(|(service, weight)| WeightedService {
                service: ServiceName((*service).into()),
                weight: *weight,
            })
            .collect(),
        is_public: false,
    }
}

/// Returns a configuration of the test host.
pub fn hosted_config(version: u64, routes: Vec<HostedRoute>) -> RouteTable {
    let services = routes.iter().flat_map(|route| &route.services).map(|weighted_service| {
        let info =
            ServiceInfo { health_path: HEALTH_PATH.into(), max_connections: 200, warm_up: None };
        (weighted_service.service.clone(), info)
    });
    let limits = CallerLimits {
        max_header_bytes: 16 << 10,
        max_body_bytes: 8 << 20,
        header_timeout: Duration::from_secs(30),
        idle_timeout: Duration::from_secs(30),
    };
    let mut table = RouteTable::new(RevisionNumber(version), services.collect(), limits);
    table.add_host(HOSTED_HOST, routes);
    table
}

/// Returns a client account without a priority and a quota.
pub fn account_entry(name: &str, keys: &[&str]) -> AccountEntry {
    let account = ClientAccount { name: AccountName(name.into()), priority: None, quota: None };
    AccountEntry { account, keys: keys.iter().map(|key| (*key).into()).collect() }
}

/// Returns the routes of a standard fleet: `/read/` is idempotent, and requests to `/order/` run at
/// most once.
pub fn standard_routes() -> Vec<HostedRoute> {
    vec![
        hosted_route("/read/", ExecutionSemantics::Idempotent, &[("orders", 1)]),
        hosted_route("/order/", ExecutionSemantics::Once, &[("orders", 1)]),
    ]
}
