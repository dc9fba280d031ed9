//! Types of bodies on their way through the proxy.

use bytes::Bytes;
use derive_more::{Display, Error};
use http_body_util::combinators::UnsyncBoxBody;

/// The body of a request to a backend server.
pub(crate) type BackendRequestBody = UnsyncBoxBody<Bytes, BodyError>;

/// The body of an answer to a caller.
pub(crate) type CallerResponseBody = UnsyncBoxBody<Bytes, BodyError>;

/// Why a body broke off.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum BodyError {
    /// The caller's connection broke.
    #[display("the caller's connection broke")]
    CallerDisconnected,
    /// The caller sent nothing for too long.
    #[display("the body paused for too long")]
    IdleTimeout,
    /// The body is larger than allowed.
    #[display("the body is larger than allowed")]
    TooLarge,
    /// The backend server's connection broke.
    #[display("the backend server's connection broke")]
    ServerDisconnected,
    /// The deadline passed.
    #[display("the deadline passed")]
    DeadlineExceeded,
}
