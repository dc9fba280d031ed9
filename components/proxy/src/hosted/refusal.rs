//! Responses of a hosted entry VM for requests without a backend server's response.

use std::time::Duration;

use bytes::Bytes;
use derive_more::Display;
use http_body_util::{BodyExt, Full};
use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER, WWW_AUTHENTICATE};
use hyper::{Response, StatusCode};

use crate::body::CallerResponseBody;

/// Authentication scheme of keys (RFC 9110, 11.1).
pub(crate) const KEY_SCHEME: &str = "Token";

/// Reason why a request got no response from a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Display)]
pub(crate) enum HostedRefusal {
    /// The first configuration or server list has not arrived yet.
    #[display("no configuration yet")]
    NoConfig,
    #[display("request is malformed: {_0}")]
    Malformed(&'static str),
    /// No route matches the host and path.
    #[display("no route for this host and path")]
    NoRoute,
    /// The route needs a key of a client account.
    #[display("no known key: {_0}")]
    Unauthorized(&'static str),
    /// The configuration changed while the request was queued, and its key belongs to another
    /// client account now, or keys have become needed.
    #[display("client account changed while the request was queued")]
    AccountChanged,
    #[display("body is larger than allowed")]
    BodyTooLarge,
    /// The body did not arrive in time, or the caller's connection broke. Nothing was sent.
    #[display("body did not come in time")]
    BodyIncomplete,
    /// The VM shuts down, and would exit before the request is certain to be complete. Other VMs
    /// accept it at once.
    #[display("the VM exits before the request is certain to be complete")]
    ShuttingDown,
    /// No server is available.
    #[display("no backend server takes new work")]
    NoServer,
    /// No server could complete the request in time. Contains the caller's retry delay.
    #[display("backend servers are too busy")]
    Saturated(Duration),
    /// Servers refused the request, and no further attempt is allowed. Contains the caller's retry
    /// delay.
    #[display("backend servers refused the request")]
    Shed(Duration),
    /// The client account has no credit left. Contains the caller's retry delay.
    #[display("client account is over its quota")]
    OverQuota(Duration),
    /// No relay granted the request a credit in time. Contains the caller's retry delay.
    #[display("no relay granted a credit in time")]
    NoCredit(Duration),
    /// The request crashed the servers that ran it. Contains the rest of its quarantine.
    #[display("request crashed the backend servers that ran it")]
    Quarantined(Duration),
    /// The process exits while the request may have run.
    #[display("the VM exits while the request may have run")]
    ExitAfterSend,
    /// The deadline passed before the request was sent.
    #[display("time passed before the request was sent")]
    DeadlineBeforeSend,
    /// The deadline passed after the request was sent.
    #[display("time passed while the request may have run")]
    DeadlineAfterSend,
    /// The request was sent and may have run, but no response could be forwarded.
    #[display("backend server broke off while the request may have run")]
    NoUsableResponse,
}

/// Caller's retry delay for refusals without a specific one.
pub(crate) const DEFAULT_RETRY_DELAY: Duration = Duration::from_millis(200);

impl HostedRefusal {
    /// Whether the request has certainly not run.
    pub(crate) fn is_not_run(self) -> bool {
        !matches!(self, Self::DeadlineAfterSend | Self::ExitAfterSend | Self::NoUsableResponse)
    }

    fn status(self) -> StatusCode {
        match self {
            Self::Malformed(_) => StatusCode::BAD_REQUEST,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::Unauthorized(_) => StatusCode::UNAUTHORIZED,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyIncomplete => StatusCode::REQUEST_TIMEOUT,
            Self::OverQuota(_) | Self::NoCredit(_) => StatusCode::TOO_MANY_REQUESTS,
            Self::NoConfig
            | Self::AccountChanged
            | Self::ShuttingDown
            | Self::NoServer
            | Self::Saturated(_)
            | Self::Shed(_)
            | Self::Quarantined(_)
            | Self::DeadlineBeforeSend => StatusCode::SERVICE_UNAVAILABLE,
            Self::DeadlineAfterSend | Self::ExitAfterSend => StatusCode::GATEWAY_TIMEOUT,
            Self::NoUsableResponse => StatusCode::BAD_GATEWAY,
        }
    }

    fn retry_after(self) -> Option<Duration> {
        match self {
            Self::Saturated(delay)
            | Self::Shed(delay)
            | Self::OverQuota(delay)
            | Self::NoCredit(delay)
            | Self::Quarantined(delay) => Some(delay),
            Self::ShuttingDown => Some(Duration::ZERO),
            Self::NoConfig | Self::AccountChanged | Self::NoServer | Self::DeadlineBeforeSend => {
                Some(DEFAULT_RETRY_DELAY)
            }
            _ => None,
        }
    }

    /// Returns the response for the caller.
    pub(crate) fn into_response(self) -> Response<CallerResponseBody> {
        let text = format!("{self}\n");
        let body = Full::new(Bytes::from(text)).map_err(|never| match never {}).boxed_unsync();
        let mut response = Response::new(body);
        *response.status_mut() = self.status();
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
        if matches!(self, Self::Unauthorized(_)) {
            headers.insert(WWW_AUTHENTICATE, HeaderValue::from_static(KEY_SCHEME));
        }
        if let Some(delay) = self.retry_after() {
            // Callers on the hosting platform accept fractions of a second.
            let seconds = format!("{:.3}", delay.as_secs_f64());
            if let Ok(value) = HeaderValue::from_str(&seconds) {
                headers.insert(RETRY_AFTER, value);
            }
        }
        response
    }
}
