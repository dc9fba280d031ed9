//! Header fields of requests and responses that the load balancer sets or reads, and functions that
//! read them.

use hyper::HeaderMap;
use hyper::header::HeaderName;

use balance::{ServerLoad, ServerNotice};
use model::RequestRate;

/// Names of the header fields that callers, entry VMs and backend servers use.
#[derive(Debug, Clone)]
pub struct HeaderNames {
    /// Identity of one attempt of a caller, which backend servers echo.
    pub request_id: HeaderName,
    /// Time that the sender still waits for a response, in milliseconds.
    pub deadline_ms: HeaderName,
    /// Marks a response as produced by the backend server itself.
    pub signature: HeaderName,
    /// Identity of the backend server that a request is addressed to.
    pub expected_server: HeaderName,
    /// Identity of the backend server that sent a response.
    pub responding_server: HeaderName,
    /// Name of the client account whose key a request carries, for backend servers.
    pub account: HeaderName,
}

/// HTTP conventions of one hosting platform: names of header fields and functions that read
/// responses.
#[derive(Debug, Clone)]
pub struct WireInterface {
    /// Names of header fields.
    pub headers: HeaderNames,
    /// Reads the load figures from the headers of a response, if there are any.
    pub read_load: fn(&HeaderMap) -> Option<ServerLoad>,
    /// Reads the rate of requests that the server accepts from all entry VMs together, if the
    /// response names one.
    pub read_limit: fn(&HeaderMap) -> Option<RequestRate>,
    /// Reads what the status and headers of a response say about its server.
    pub read_notice: fn(u16, &HeaderMap) -> ServerNotice,
    /// Whether the status and headers of a response state that the backend server did not start to
    /// run the request.
    pub is_not_run: fn(u16, &HeaderMap) -> bool,
}
