//! How requests, answers and backend servers carry what the balancer needs to know.

use hyper::HeaderMap;
use hyper::header::HeaderName;

use balance::ServerLoad;

/// Names of the header fields that callers and backend servers use.
#[derive(Debug, Clone)]
pub struct HeaderNames {
    /// Identity of one attempt of a caller; backend servers echo it.
    pub request_id: HeaderName,
    /// Milliseconds that the sender still waits.
    pub deadline_ms: HeaderName,
    /// Proof of a backend server that it made an answer.
    pub signature: HeaderName,
    /// The backend server that a request is meant for.
    pub expected_server: HeaderName,
    /// Who answered a health check.
    pub answering_server: HeaderName,
}

/// One platform's way of speaking, as names and functions.
#[derive(Debug, Clone)]
pub struct WireInterface {
    /// Names of header fields.
    pub headers: HeaderNames,
    /// Reads the load figures in an answer.
    pub read_load: fn(&HeaderMap) -> Option<ServerLoad>,
    /// Whether a backend server says that it did not begin to run the request.
    pub is_not_run: fn(u16, &HeaderMap) -> bool,
}
