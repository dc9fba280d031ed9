//! Types of request and response bodies, and their errors.

use bytes::Bytes;
use derive_more::{Display, Error};
use http_body_util::combinators::UnsyncBoxBody;

/// The body of a request to a backend server.
pub(crate) type BackendRequestBody = UnsyncBoxBody<Bytes, BodyError>;

/// The body of a response to a caller.
pub(crate) type CallerResponseBody = UnsyncBoxBody<Bytes, BodyError>;

/// Why a body could not be transferred completely.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum BodyError {
    /// The connection to the caller failed.
    #[display("connection to the caller failed")]
    CallerDisconnected,
    /// The caller sent no data within the idle timeout.
    #[display("no data received from the caller within the idle timeout")]
    IdleTimeout,
    /// The body exceeds the size limit.
    #[display("body exceeds the size limit")]
    TooLarge,
    /// The connection to the backend server failed.
    #[display("connection to the backend server failed")]
    ServerDisconnected,
    /// The deadline of the request passed.
    #[display("request deadline exceeded")]
    DeadlineExceeded,
}
