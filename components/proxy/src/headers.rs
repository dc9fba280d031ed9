//! Header fields: hop-by-hop removal, forwarding, remaining time and load reports.

use std::net::IpAddr;
use std::time::Duration;

use hyper::body::Body;
use hyper::header::{
    CONNECTION, HOST, HeaderMap, HeaderName, HeaderValue, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION,
    TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use hyper::http::response::Parts;
use hyper::{Request, Version};

use balance::LoadReport;

use crate::body::BackendRequestBody;

/// Remaining time of a request, in milliseconds.
pub(crate) const DEADLINE_HEADER: &str = "mustardrail-deadline-ms";

/// Marks a retry or a hedged attempt. A request that arrives with it is not retried again.
pub(crate) const RETRY_HEADER: &str = "mustardrail-try";

/// Marks a response that was recorded for an earlier request with the same key.
pub(crate) const REPLAYED_HEADER: &str = "mustardrail-replayed";

/// Response header with which a backend server announces that it is draining.
pub(crate) const DRAIN_HEADER: &str = "mustardrail-drain";

/// Load report of a backend server, in the text format of Open Request Cost Aggregation (ORCA).
const LOAD_HEADER: &str = "endpoint-load-metrics";

/// Removes fields that apply to this connection only (RFC 9110, 7.6.1).
pub(crate) fn remove_hop_by_hop(headers: &mut HeaderMap) {
    let connection_options: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in connection_options {
        headers.remove(name);
    }
    for name in [
        CONNECTION,
        PROXY_AUTHENTICATE,
        PROXY_AUTHORIZATION,
        TE,
        TRAILER,
        TRANSFER_ENCODING,
        UPGRADE,
    ] {
        headers.remove(name);
    }
    headers.remove("keep-alive");
    headers.remove("proxy-connection");
}

/// Prepares the head of a server's response for the caller: without fields that apply to the server's
/// connection only, and with this proxy's version of HTTP (RFC 9110, 2.5). By the version of a server
/// with HTTP/1.0, a body without a length would end with the caller's connection, and a response that
/// breaks off would look complete.
pub(crate) fn prepare_response_head(parts: &mut Parts) {
    remove_hop_by_hop(&mut parts.headers);
    parts.version = Version::HTTP_11;
}

/// Whether a status is that of a final response (RFC 9110, 15). hyper also returns statuses above
/// these, and 101, which no request asks for.
pub(crate) fn is_final_status(status: u16) -> bool {
    (200..600).contains(&status)
}

/// Whether a request has a chunked body. The caller's connection must close after its response: if
/// the request has a Content-Length too, another proxy may determine its end differently (request
/// smuggling), and hyper removes that field before it can be checked here (RFC 9112, 6.3).
pub(crate) fn has_chunked_body(request: &HeaderMap) -> bool {
    request.contains_key(TRANSFER_ENCODING)
}

/// Sets the framing of a body of unknown length. Without it, hyper sends no such body with GET, HEAD
/// and CONNECT.
pub(crate) fn set_chunked_framing(request: &mut Request<BackendRequestBody>) {
    let body = request.body();
    if !body.is_end_stream() && body.size_hint().exact().is_none() {
        request.headers_mut().insert(TRANSFER_ENCODING, HeaderValue::from_static("chunked"));
    }
}

/// Closes the caller's connection after the response.
pub(crate) fn set_connection_close(response: &mut HeaderMap) {
    response.insert(CONNECTION, HeaderValue::from_static("close"));
}

/// Sets the fields that describe the caller's request to a backend server.
pub(crate) fn set_forwarded_headers(headers: &mut HeaderMap, caller: IpAddr, host: &str) {
    let previous = headers.get("x-forwarded-for").and_then(|value| value.to_str().ok());
    let chain = match previous {
        Some(previous) => format!("{previous}, {caller}"),
        None => caller.to_string(),
    };
    insert_text(headers, "x-forwarded-for", &chain);
    insert_text(headers, "x-forwarded-host", host);
    headers.insert("x-forwarded-proto", HeaderValue::from_static("http"));
    headers.append("via", HeaderValue::from_static("1.1 mustardrail"));
    insert_text(headers, HOST.as_str(), host);
}

/// Sets the remaining time for the backend server.
pub(crate) fn set_remaining_time(headers: &mut HeaderMap, remaining: Duration) {
    headers.insert(DEADLINE_HEADER, HeaderValue::from(remaining.as_millis() as u64));
}

/// Returns the time that the caller allows for the request.
pub(crate) fn read_remaining_time(headers: &HeaderMap) -> Option<Duration> {
    read_number(headers, DEADLINE_HEADER).map(Duration::from_millis)
}

/// Whether the request is already a retry or a hedged attempt of an earlier hop.
pub(crate) fn is_retry(headers: &HeaderMap) -> bool {
    headers.contains_key(RETRY_HEADER)
}

/// Returns the load report of a response.
pub(crate) fn read_load_report(headers: &HeaderMap) -> Option<LoadReport> {
    let text = headers.get(LOAD_HEADER)?.to_str().ok()?;
    let metrics = text.strip_prefix("TEXT ").unwrap_or(text);
    metrics.split(',').find_map(|metric| {
        let (name, value) = metric.trim().split_once('=')?;
        let number: f64 = value.parse().ok()?;
        let is_load = name == "named_metrics.in_flight" && number.is_finite() && number >= 0.0;
        is_load.then_some(LoadReport { in_flight: number })
    })
}

/// Returns the host of a request in lower case and without a port. Fails if it is missing or
/// ambiguous.
pub(crate) fn read_host<B>(request: &Request<B>) -> Result<Box<str>, &'static str> {
    let mut host_fields = request.headers().get_all(HOST).iter();
    let field = host_fields.next();
    if host_fields.next().is_some() {
        return Err("it has more than one Host field");
    }
    let authority = request.uri().authority().map(hyper::http::uri::Authority::as_str);
    let field = field.map(|value| value.to_str().map_err(|_| "its Host field is not text"));
    let field = field.transpose()?;
    let text = match (authority, field) {
        (Some(authority), Some(field)) if !authority.eq_ignore_ascii_case(field) => {
            return Err("its Host field differs from its target");
        }
        (Some(text), _) | (None, Some(text)) => text,
        (None, None) if request.version() == Version::HTTP_10 => {
            return Err("it has no Host field");
        }
        (None, None) => return Err("it has no Host field"),
    };
    let host = match text.rsplit_once(':') {
        Some((host, port)) if port.bytes().all(|b| b.is_ascii_digit()) => host,
        _ => text,
    };
    Ok(host.to_ascii_lowercase().into())
}

/// Whether a path has `.` or `..` segments, which a backend server may resolve to another route.
pub(crate) fn has_dot_segments(path: &str) -> bool {
    path.split('/').any(|segment| {
        let decoded = segment.to_ascii_lowercase().replace("%2e", ".");
        decoded == "." || decoded == ".."
    })
}

fn read_number(headers: &HeaderMap, name: &str) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.trim().parse().ok()
}

fn insert_text(headers: &mut HeaderMap, name: &'static str, text: &str) {
    if let Ok(value) = HeaderValue::from_str(text) {
        headers.insert(name, value);
    }
}
