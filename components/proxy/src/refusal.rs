//! Refusals: responses that the proxy sends instead of a backend server's.

use std::time::Duration;

use bytes::Bytes;
use derive_more::Display;
use http_body_util::{BodyExt, Full};
use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use serde_json::json;

use limits::AdmissionRefusal;

use crate::body::CallerResponseBody;

/// Header that reports whether a request ran: `not-run`, `unknown` or `ran`.
pub const OUTCOME_HEADER: &str = "mustardrail-outcome";

/// Whether a request ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum RunOutcome {
    /// No backend server started to run it.
    #[display("not-run")]
    NotRun,
    /// A backend server may have run it.
    #[display("unknown")]
    Unknown,
    /// A backend server ran it.
    #[display("ran")]
    Ran,
}

/// Why a request got no response from a backend server.
#[derive(Debug, Clone, PartialEq, Display)]
pub enum RequestRefusal {
    /// The request is not well formed.
    #[display("request is malformed: {_0}")]
    Malformed(&'static str),
    /// No route matches the host and path.
    #[display("no route for this host and path")]
    NoRoute,
    /// The body exceeds the size limit.
    #[display("body is larger than allowed")]
    BodyTooLarge,
    /// The route requires an `Idempotency-Key`.
    #[display("this route needs an Idempotency-Key")]
    KeyRequired,
    /// The `Idempotency-Key` was used for a different request.
    #[display("Idempotency-Key was used for another request")]
    KeyMismatch,
    /// This entry VM's configuration may be outdated.
    #[display("this entry VM has no confirmed configuration")]
    ConfigStale,
    /// Admission refused the request; the duration is the retry delay.
    #[display("{_0}")]
    NotAdmitted(AdmissionRefusal, Duration),
    /// All backend servers are too busy to respond in time; the duration is the retry delay.
    #[display("all backend servers are too busy to answer in time")]
    Saturated(Duration),
    /// No backend server accepts new requests.
    #[display("no backend server takes new work")]
    NoServer,
    /// No connection to a backend server could be opened.
    #[display("no backend server could be reached")]
    Unreachable,
    /// The table of claims is unavailable, so it is unknown whether the request ran before.
    #[display("the platform's table is down")]
    TableUnavailable,
    /// Too many claims of the account are queued.
    #[display("too many requests with an Idempotency-Key wait")]
    ClaimQueueFull,
    /// The deadline passed before the request was sent.
    #[display("deadline passed before the request was sent")]
    DeadlineBeforeSend,
    /// The deadline passed after the request was sent.
    #[display("deadline passed while the request may have run")]
    DeadlineAfterSend,
    /// The exchange failed after the request may have been sent.
    #[display("backend server broke off while the request may have run")]
    Interrupted,
    /// Another request with the same key may have run, and its outcome is unknown.
    #[display("an earlier request with this Idempotency-Key may have run; not run again")]
    EarlierOutcomeUnknown,
    /// The caller's body failed after a part of it was sent.
    #[display("request body broke off")]
    BodyInterrupted,
}

impl RequestRefusal {
    /// Returns whether the request ran.
    pub fn outcome(&self) -> RunOutcome {
        match self {
            Self::DeadlineAfterSend
            | Self::Interrupted
            | Self::EarlierOutcomeUnknown
            | Self::BodyInterrupted => RunOutcome::Unknown,
            _ => RunOutcome::NotRun,
        }
    }

    /// Returns the status of the response.
    pub fn status(&self) -> StatusCode {
        match self {
            Self::Malformed(_) | Self::BodyInterrupted => StatusCode::BAD_REQUEST,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::KeyRequired => StatusCode::PRECONDITION_REQUIRED,
            Self::KeyMismatch => StatusCode::UNPROCESSABLE_ENTITY,
            Self::NotAdmitted(AdmissionRefusal::SharedLimit, _) => StatusCode::SERVICE_UNAVAILABLE,
            Self::NotAdmitted(..) => StatusCode::TOO_MANY_REQUESTS,
            Self::ConfigStale
            | Self::Saturated(_)
            | Self::NoServer
            | Self::Unreachable
            | Self::TableUnavailable
            | Self::ClaimQueueFull => StatusCode::SERVICE_UNAVAILABLE,
            Self::DeadlineBeforeSend | Self::DeadlineAfterSend => StatusCode::GATEWAY_TIMEOUT,
            Self::Interrupted => StatusCode::BAD_GATEWAY,
            Self::EarlierOutcomeUnknown => StatusCode::CONFLICT,
        }
    }

    /// Returns the retry delay; `None` if the same request would be refused again, or may have run.
    pub fn retry_after(&self) -> Option<Duration> {
        match self {
            Self::NotAdmitted(_, retry_delay) | Self::Saturated(retry_delay) => Some(*retry_delay),
            Self::ConfigStale | Self::NoServer | Self::Unreachable | Self::ClaimQueueFull => {
                Some(Duration::from_secs(1))
            }
            Self::TableUnavailable | Self::EarlierOutcomeUnknown => Some(Duration::from_secs(5)),
            Self::DeadlineBeforeSend => Some(Duration::from_secs(1)),
            _ => None,
        }
    }

    /// Returns the fixed name by which callers' programs identify the refusal.
    fn code(&self) -> &'static str {
        match self {
            Self::Malformed(_) => "malformed",
            Self::NoRoute => "no-route",
            Self::BodyTooLarge => "body-too-large",
            Self::KeyRequired => "key-required",
            Self::KeyMismatch => "key-mismatch",
            Self::ConfigStale => "config-stale",
            Self::NotAdmitted(AdmissionRefusal::AccountInFlight, _) => "account-in-flight",
            Self::NotAdmitted(AdmissionRefusal::AccountRate, _) => "account-rate",
            Self::NotAdmitted(AdmissionRefusal::SharedLimit, _) => "shared-limit",
            Self::Saturated(_) => "saturated",
            Self::NoServer => "no-server",
            Self::Unreachable => "unreachable",
            Self::TableUnavailable => "table-down",
            Self::ClaimQueueFull => "claim-queue-full",
            Self::DeadlineBeforeSend => "deadline-before",
            Self::DeadlineAfterSend => "deadline-after",
            Self::Interrupted => "broken-off",
            Self::EarlierOutcomeUnknown => "earlier-unknown",
            Self::BodyInterrupted => "body-broken",
        }
    }

    /// Builds the response: a problem document (RFC 9457) with the outcome header.
    pub(crate) fn into_response(self) -> Response<CallerResponseBody> {
        let status = self.status();
        let problem = json!({
            "type": "about:blank",
            "title": status.canonical_reason().unwrap_or("Refused"),
            "status": status.as_u16(),
            "detail": self.to_string(),
            "code": self.code(),
            "outcome": self.outcome().to_string(),
        });
        let body = Full::new(Bytes::from(problem.to_string())).map_err(|never| match never {});
        let mut response = Response::new(body.boxed_unsync());
        *response.status_mut() = status;
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/problem+json"));
        let outcome = HeaderValue::from_str(&self.outcome().to_string());
        headers.insert(OUTCOME_HEADER, outcome.expect("outcomes are valid header values"));
        if let Some(retry_delay) = self.retry_after() {
            // Retry-After is in whole seconds (RFC 9110, 10.2.3).
            let seconds = retry_delay.as_secs_f64().ceil().max(1.0) as u64;
            headers.insert(RETRY_AFTER, HeaderValue::from(seconds));
        }
        response
    }
}
