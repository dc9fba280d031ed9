//! Parameters and results of server groups.

use std::net::SocketAddr;
use std::time::Duration;

use model::ZoneName;

use crate::server::{LoadReport, ServerEndpoint};

/// Settings of a service that apply to its servers.
#[derive(Debug, Clone, PartialEq)]
pub struct GroupSpec {
    /// Requests that one server runs concurrently.
    pub slots: u32,
    /// Typical time of a request.
    pub expected_time: Duration,
    /// Maximum number of connections from this entry VM to one server. Invariant: at least 1.
    pub max_connections: u32,
    /// This entry VM's availability zone.
    pub zone: ZoneName,
}

/// Policy parameters that operators don't configure.
#[derive(Debug, Clone, Copy)]
pub struct BalanceOptions {
    /// Cost of a server in another availability zone: the additional round-trip time.
    pub zone_cost: Duration,
    /// Duration of slow start, after which a new server receives its full share of requests.
    pub slow_start: Duration,
    /// Largest random increase of an estimate, as a fraction of it. It keeps entry VMs with the
    /// same reports from choosing the same server.
    pub noise: f64,
    /// Cost, in service times, of a server that isn't preferred by this entry VM.
    pub non_preferred_cost: f64,
}

impl Default for BalanceOptions {
    fn default() -> Self {
        Self {
            zone_cost: Duration::from_millis(1),
            slow_start: Duration::from_secs(10),
            noise: 0.1,
            non_preferred_cost: 0.1,
        }
    }
}

/// An entry of the server list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedServer {
    /// Identity, address and zone.
    pub endpoint: ServerEndpoint,
    /// Whether the list reports it as leaving.
    pub is_leaving: bool,
    /// Whether it is one of this entry VM's preferred servers. An entry VM that sends most requests
    /// to few servers has newer load reports of them than one that spreads them over all.
    pub is_preferred: bool,
}

/// Refers to a server of a group. Calls with the ticket of a removed server have no effect and
/// return `None`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ServerTicket {
    pub(crate) index: usize,
    pub(crate) serial: u64,
}

/// Result of a choice.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum PickOutcome {
    /// The chosen server. The caller of `pick` must call `finish_request` with the ticket.
    Chosen {
        /// Refers to the server.
        ticket: ServerTicket,
        /// Address of the server.
        address: SocketAddr,
    },
    /// The estimated wait exceeds the time until the deadline, or no connection is free.
    Saturated {
        /// Estimated wait for a slot at the best server.
        wait: Duration,
    },
    /// No server accepts new requests.
    NoServer,
}

/// Measurements of a finished request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RequestSample {
    /// Outcome of the request.
    pub outcome: SampleOutcome,
    /// Time from sending the request to receiving the response headers.
    pub elapsed: Duration,
    /// Load report in the response.
    pub report: Option<LoadReport>,
}

/// Outcome of a request, as far as it reflects the health of the server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SampleOutcome {
    /// The server sent a response that doesn't count as a failure.
    Responded,
    /// The server responded with an error, or closed the connection before its response was
    /// complete.
    Failed,
    /// No connection could be opened.
    Unreachable,
    /// The server refused the request for lack of capacity, without running it.
    Shed,
    /// The caller disconnected, or another attempt received the response first.
    Cancelled,
}

/// Outcome of a probe.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum ProbeOutcome {
    /// The server responded, possibly with a load report.
    Responded(Option<LoadReport>),
    /// The server was unreachable or closed the connection early.
    Failed,
}

/// A server that is due for a probe.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProbeTarget {
    /// Refers to the server.
    pub ticket: ServerTicket,
    /// Address of the server.
    pub address: SocketAddr,
}
