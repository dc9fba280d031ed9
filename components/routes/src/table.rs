//! The complete configuration: routes by host and path, services and limits for callers.

use std::sync::Arc;
use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use model::{FastMap, RequestRate, RevisionNumber};

use crate::accounts::ClientAccounts;

/// Format of configurations that entry VMs send each other. It grows with each part that a reader
/// must not take for absent: a VM uses no configuration of a lower format than its own. 0 is a
/// configuration without client accounts and warm-up limits, from a daemon that doesn't know them.
pub const CONFIG_FORMAT: u32 = 1;

/// Name of a service on the platform.
#[derive(
    Debug,
    Clone,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    Display,
    derive_more::From,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct ServiceName(pub Box<str>);

/// How often backend servers may run a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
pub enum ExecutionSemantics {
    /// Any number of times.
    #[display("idempotent")]
    Idempotent,
    /// At most once for each attempt of a caller.
    #[display("once")]
    Once,
}

/// A service that receives a share of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightedService {
    /// Name of the service.
    pub service: ServiceName,
    /// Weight of the service relative to the other services of the route.
    pub weight: u32,
}

/// A route from a path prefix to services.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostedRoute {
    /// Name of the route.
    pub name: Box<str>,
    /// Path prefix that the route matches. Invariant: starts and ends with "/".
    pub prefix: Box<str>,
    /// How often the requests of the route may run.
    #[serde(rename = "repeat")]
    pub execution: ExecutionSemantics,
    /// Maximum time that a request may spend at the entry VM.
    pub timeout: Duration,
    /// Latency within which a response has its full value for the caller.
    #[serde(rename = "target")]
    pub target_latency: Duration,
    /// Priority; 0 is the most urgent.
    pub priority: u32,
    /// Maximum number of backend servers to which one attempt of a caller may be sent.
    /// Invariant: at least 1.
    pub max_attempts: u32,
    /// Services that receive the requests. Invariant: not empty.
    #[serde(rename = "parts")]
    pub services: Vec<WeightedService>,
    /// Whether requests need no key although the configuration has client accounts.
    #[serde(default)]
    pub is_public: bool,
}

/// How backend servers of a service warm up after their start.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct WarmUp {
    /// Time for which a server is cold after its start.
    pub duration: Duration,
    /// Requests per second that a cold server tolerates from all entry VMs together.
    pub rate: RequestRate,
}

/// Configuration of a service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceInfo {
    /// Path of health checks.
    pub health_path: Box<str>,
    /// Maximum number of connections that one backend server accepts from all entry VMs together.
    #[serde(rename = "connections")]
    pub max_connections: u32,
    /// `None` if cold servers need no care.
    #[serde(default)]
    pub warm_up: Option<WarmUp>,
}

/// Limits for callers' requests and connections.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Maximum size of a request's header section, in bytes.
    #[serde(rename = "header_bytes")]
    pub max_header_bytes: u64,
    /// Maximum size of a request's body, in bytes.
    #[serde(rename = "body_bytes")]
    pub max_body_bytes: u64,
    /// Maximum time to send a request's header section.
    #[serde(rename = "header_time")]
    pub header_timeout: Duration,
    /// Maximum time that a connection may stay idle.
    #[serde(rename = "idle_time")]
    pub idle_timeout: Duration,
}

/// A complete configuration. Invariant: all its parts are of one version.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RouteTable {
    /// Format of the configuration; 0 if it comes from an older version of the daemon.
    #[serde(default)]
    pub format: u32,
    /// Version of the configuration.
    pub version: RevisionNumber,
    /// Routes by host. Invariant: the routes of a host are sorted by descending prefix length, and
    /// host names are in lower case.
    hosts: FastMap<Box<str>, Vec<Arc<HostedRoute>>>,
    /// Services by name.
    pub services: FastMap<ServiceName, ServiceInfo>,
    /// Limits for callers' requests and connections.
    pub limits: CallerLimits,
    /// Client accounts; `None` if requests need no key.
    #[serde(default)]
    pub accounts: Option<ClientAccounts>,
}

impl RouteTable {
    /// Creates a table without routes.
    pub fn new(
        version: RevisionNumber,
        services: FastMap<ServiceName, ServiceInfo>,
        limits: CallerLimits,
    ) -> Self {
        let hosts = FastMap::default();
        Self { format: CONFIG_FORMAT, version, hosts, services, limits, accounts: None }
    }

    /// Adds the routes of a host.
    pub fn add_host(&mut self, host: &str, routes: Vec<HostedRoute>) {
        let host_routes = self.hosts.entry(host.to_ascii_lowercase().into()).or_default();
        host_routes.extend(routes.into_iter().map(Arc::new));
        host_routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
    }

    /// Returns the route with the longest prefix that matches a request. `host` must be in lower
    /// case and without a port.
    pub fn find_route(&self, host: &str, path: &str) -> Option<&Arc<HostedRoute>> {
        self.hosts.get(host)?.iter().find(|route| path.starts_with(&*route.prefix))
    }

    /// Returns all hosts with their routes.
    pub fn hosts(&self) -> impl Iterator<Item = (&str, &[Arc<HostedRoute>])> {
        self.hosts.iter().map(|(host, routes)| (&**host, routes.as_slice()))
    }

    /// Returns the number of routes over all hosts.
    pub fn route_count(&self) -> usize {
        self.hosts.values().map(Vec::len).sum()
    }
}
