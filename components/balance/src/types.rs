//! What callers of a group pass in and get back.

use std::net::SocketAddr;
use std::time::Duration;

use model::ZoneName;

use crate::server::{LoadReport, ServerEndpoint};

/// What a service's record says about its servers.
#[derive(Debug, Clone, PartialEq)]
pub struct GroupSpec {
    /// Requests that one server runs at a time.
    pub slots: u32,
    /// Usual time of a request.
    pub expected_time: Duration,
    /// Connections that this entry VM may have to one server. Invariant: at least 1.
    pub max_connections: u32,
    /// This entry VM's availability zone.
    pub zone: ZoneName,
}

/// Choices of policy that operators do not set.
#[derive(Debug, Clone, Copy)]
pub struct BalanceOptions {
    /// Time to another availability zone and back.
    pub zone_cost: Duration,
    /// Time until a new server gets its full share.
    pub slow_start: Duration,
    /// Largest relative error that is added to each estimate, so that entry VMs with the same
    /// reports do not all choose the same server.
    pub noise: f64,
    /// Cost, in service times, of a server that is not one of this entry VM's preferred servers.
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

/// A server as the platform's list names it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedServer {
    /// Identity and place.
    pub endpoint: ServerEndpoint,
    /// Whether the list says that it is leaving.
    pub is_leaving: bool,
    /// Whether it is one of the few servers that this entry VM uses first. An entry VM that sends
    /// much to few servers knows their load better than one that sends a little to all.
    pub is_preferred: bool,
}

/// Names a server of a group. A ticket of a server that has gone does no harm.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ServerTicket {
    pub(crate) index: usize,
    pub(crate) serial: u64,
}

/// A choice.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum PickOutcome {
    /// Send the request there. The caller of `pick` must call `finish` with the ticket.
    Chosen {
        /// Names the server.
        ticket: ServerTicket,
        /// Where it listens.
        address: SocketAddr,
    },
    /// Every server is so busy that the request would miss its deadline.
    Saturated {
        /// Estimated wait for a slot at the best server.
        wait: Duration,
    },
    /// No server takes new work.
    NoServer,
}

/// How a request at a server ended.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RequestSample {
    /// How it ended.
    pub outcome: SampleOutcome,
    /// Time from sending to the head of the answer.
    pub elapsed: Duration,
    /// Load report that came with the answer.
    pub report: Option<LoadReport>,
}

/// How a request at a server ended, as far as it tells about the server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SampleOutcome {
    /// The server answered.
    Responded,
    /// The server answered that it failed, or broke off.
    Failed,
    /// No connection could be opened.
    Unreachable,
    /// The server answered that it had no room and did not begin.
    Shed,
    /// The caller went away, or another try answered first.
    Cancelled,
}

/// How a probe ended.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum ProbeOutcome {
    /// The server answered, perhaps with a load report.
    Responded(Option<LoadReport>),
    /// The server could not be reached or broke off.
    Failed,
}

/// A server worth a probe.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProbeTarget {
    /// Names the server.
    pub ticket: ServerTicket,
    /// Where it listens.
    pub address: SocketAddr,
}
