//! Answers to operators.

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Response, StatusCode};
use serde_json::{Value, json};

use records::WriteRefusal;

use crate::operators::accept::WriteOutcome;

/// A whole answer.
pub(crate) type Reply = Response<Full<Bytes>>;

/// A JSON answer.
pub(crate) fn json_reply(status: StatusCode, value: &Value) -> Reply {
    let mut reply = Response::new(Full::new(Bytes::from(value.to_string())));
    *reply.status_mut() = status;
    reply.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    reply
}

/// A text answer.
pub(crate) fn text_reply(status: StatusCode, text: String) -> Reply {
    let mut reply = Response::new(Full::new(Bytes::from(text)));
    *reply.status_mut() = status;
    reply.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("text/plain; version=0.0.4"));
    reply
}

/// An answer that names a problem.
pub(crate) fn problem(status: StatusCode, code: &str, detail: &str) -> Reply {
    json_reply(status, &json!({ "outcome": code, "detail": detail }))
}

/// The answer for what does not exist, and for what the operator may not see: they never differ.
pub(crate) fn not_found() -> Reply {
    problem(StatusCode::NOT_FOUND, "not-found", "no such record")
}

/// The answer to a write.
pub(crate) fn write_reply(end: &WriteOutcome) -> Reply {
    match end {
        WriteOutcome::Accepted { revision, in_force, members } => json_reply(
            StatusCode::OK,
            &json!({
                "outcome": "accepted",
                "revision": revision,
                "in_force": in_force,
                "members": members,
            }),
        ),
        WriteOutcome::Refused(refusal) => refusal_reply(refusal),
        WriteOutcome::NotSent(error) => {
            problem(StatusCode::SERVICE_UNAVAILABLE, "not-written", &error.to_string())
        }
        WriteOutcome::Unknown(operation) => json_reply(
            StatusCode::GATEWAY_TIMEOUT,
            &json!({
                "outcome": "unknown",
                "operation": operation,
                "detail": "the write may or may not be accepted; ask for the operation later",
            }),
        ),
    }
}

fn refusal_reply(refusal: &WriteRefusal) -> Reply {
    match refusal {
        WriteRefusal::Conflict { key, base, current } => json_reply(
            StatusCode::CONFLICT,
            &json!({
                "outcome": "conflict",
                "record": key.to_string(),
                "base": base,
                "current": current,
                "detail": refusal.to_string(),
            }),
        ),
        WriteRefusal::Invalid { faults } => json_reply(
            StatusCode::UNPROCESSABLE_ENTITY,
            &json!({ "outcome": "invalid", "faults": faults, "detail": refusal.to_string() }),
        ),
    }
}
