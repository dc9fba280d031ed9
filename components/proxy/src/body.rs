//! Types of bodies on their way through the proxy.

use bytes::Bytes;
use derive_more::{Display, Error};
use http_body_util::combinators::UnsyncBoxBody;

/// The body of a request to a backend server.
pub(crate) type SendBody = UnsyncBoxBody<Bytes, BodyError>;

/// The body of an answer to a caller.
pub(crate) type AnswerStream = UnsyncBoxBody<Bytes, BodyError>;

/// Why a body broke off.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum BodyError {
    /// The caller's connection broke.
    #[display("the caller's connection broke")]
    CallerBroke,
    /// The caller sent nothing for too long.
    #[display("the body paused for too long")]
    Paused,
    /// The body is larger than allowed.
    #[display("the body is larger than allowed")]
    TooLarge,
    /// The backend server's connection broke.
    #[display("the backend server's connection broke")]
    ServerBroke,
    /// The deadline passed.
    #[display("the deadline passed")]
    Deadline,
}
