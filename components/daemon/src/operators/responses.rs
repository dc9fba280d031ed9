//! Responses to operators.

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Response, StatusCode};
use serde_json::{Value, json};

use records::WriteRefusal;

use crate::operators::operator_api::WriteOutcome;

/// Response with a complete body.
pub(crate) type ApiResponse = Response<Full<Bytes>>;

/// Builds a JSON response.
pub(crate) fn json_response(status: StatusCode, value: &Value) -> ApiResponse {
    let mut response = Response::new(Full::new(Bytes::from(value.to_string())));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

/// Builds a text response, with the content type of the Prometheus text format.
pub(crate) fn text_response(status: StatusCode, text: String) -> ApiResponse {
    let mut response = Response::new(Full::new(Bytes::from(text)));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("text/plain; version=0.0.4"));
    response
}

/// Builds an error response from an outcome code and a detail text.
pub(crate) fn error_response(status: StatusCode, code: &str, detail: &str) -> ApiResponse {
    json_response(status, &json!({ "outcome": code, "detail": detail }))
}

/// Builds the response for a record that does not exist or that the operator may not see. Both get
/// the same response, so that the existence of a record is not revealed.
pub(crate) fn not_found_response() -> ApiResponse {
    error_response(StatusCode::NOT_FOUND, "not-found", "no such record")
}

/// Builds the response to a write.
pub(crate) fn write_response(outcome: &WriteOutcome) -> ApiResponse {
    match outcome {
        WriteOutcome::Accepted { revision, in_force, members } => json_response(
            StatusCode::OK,
            &json!({
                "outcome": "accepted",
                "revision": revision,
                "in_force": in_force,
                "members": members,
            }),
        ),
        WriteOutcome::Refused(refusal) => refusal_response(refusal),
        WriteOutcome::NotSent(error) => {
            error_response(StatusCode::SERVICE_UNAVAILABLE, "not-written", &error.to_string())
        }
        WriteOutcome::Unknown(operation) => json_response(
            StatusCode::GATEWAY_TIMEOUT,
            &json!({
                "outcome": "unknown",
                "operation": operation,
                "detail": "the write may or may not be accepted; ask for the operation later",
            }),
        ),
    }
}

fn refusal_response(refusal: &WriteRefusal) -> ApiResponse {
    match refusal {
        WriteRefusal::Conflict { key, base, current } => json_response(
            StatusCode::CONFLICT,
            &json!({
                "outcome": "conflict",
                "record": key.to_string(),
                "base": base,
                "current": current,
                "detail": refusal.to_string(),
            }),
        ),
        WriteRefusal::Invalid { faults } => json_response(
            StatusCode::UNPROCESSABLE_ENTITY,
            &json!({ "outcome": "invalid", "faults": faults, "detail": refusal.to_string() }),
        ),
    }
}
