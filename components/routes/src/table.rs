//! A whole configuration: routes by host and path, services and limits for callers.

use std::sync::Arc;
use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use model::{FastMap, RevisionNumber};

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

/// How often a request may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
pub enum ExecutionSemantics {
    /// Any number of times.
    #[display("idempotent")]
    Idempotent,
    /// At most once for each attempt of a caller.
    #[display("once")]
    Once,
}

/// A service that a route leads to, with its part of the requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceName,
    /// Its part relative to the other parts of the route.
    pub weight: u32,
}

/// A route.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostedRoute {
    /// Its name.
    pub name: Box<str>,
    /// Beginning of the paths that it is for. Invariant: begins and ends with "/".
    pub prefix: Box<str>,
    /// How often its requests may run.
    #[serde(rename = "repeat")]
    pub execution: ExecutionSemantics,
    /// Longest time that a request may stay here.
    pub timeout: Duration,
    /// Time within which an answer is worth most to the caller.
    #[serde(rename = "target")]
    pub target_latency: Duration,
    /// Rank; 0 is the most urgent.
    pub priority: u32,
    /// Most servers that one attempt may be sent to. Invariant: at least 1.
    pub max_attempts: u32,
    /// Where requests go. Invariant: not empty.
    #[serde(rename = "parts")]
    pub services: Vec<WeightedService>,
}

/// What the configuration says of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceInfo {
    /// Path of health checks.
    pub health_path: Box<str>,
    /// Connections that one server accepts from all entry VMs together.
    #[serde(rename = "connections")]
    pub max_connections: u32,
}

/// Limits on what callers may send.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Largest head of a request, in bytes.
    #[serde(rename = "header_bytes")]
    pub max_header_bytes: u64,
    /// Largest body of a request, in bytes.
    #[serde(rename = "body_bytes")]
    pub max_body_bytes: u64,
    /// Longest time to send a head.
    #[serde(rename = "header_time")]
    pub header_timeout: Duration,
    /// Longest time that a connection may stay idle.
    #[serde(rename = "idle_time")]
    pub idle_timeout: Duration,
}

/// A whole configuration. Invariant: of one version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteTable {
    /// Its version.
    pub version: RevisionNumber,
    /// Invariant: the routes of a host stand longest prefix first; hosts are in lower case.
    hosts: FastMap<Box<str>, Vec<Arc<HostedRoute>>>,
    /// Services by name.
    pub services: FastMap<ServiceName, ServiceInfo>,
    /// Limits for callers.
    pub limits: CallerLimits,
}

impl RouteTable {
    /// A table without routes.
    pub fn new(
        version: RevisionNumber,
        services: FastMap<ServiceName, ServiceInfo>,
        limits: CallerLimits,
    ) -> Self {
        Self { version, hosts: FastMap::default(), services, limits }
    }

    /// Adds the routes of a host.
    pub fn add_host(&mut self, host: &str, routes: Vec<HostedRoute>) {
        let known = self.hosts.entry(host.to_ascii_lowercase().into()).or_default();
        known.extend(routes.into_iter().map(Arc::new));
        known.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
    }

    /// The route of a request; `host` is in lower case and without port.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<HostedRoute>> {
        self.hosts.get(host)?.iter().find(|route| path.starts_with(&*route.prefix))
    }

    /// Hosts and their routes.
    pub fn hosts(&self) -> impl Iterator<Item = (&str, &[Arc<HostedRoute>])> {
        self.hosts.iter().map(|(host, routes)| (&**host, routes.as_slice()))
    }

    /// Number of routes.
    pub fn route_count(&self) -> usize {
        self.hosts.values().map(Vec::len).sum()
    }
}
