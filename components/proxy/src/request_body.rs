//! Request bodies: streamed with limits, or buffered so that they can be sent again.

use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Empty, Full};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use tokio::time::{Instant, Sleep, timeout};

use crate::body::{BackendRequestBody, BodyError};
use crate::byte_budget::ByteBudget;
use crate::prefixed_body::PrefixedBody;
use crate::waiting_body::{WaitingBody, WaitingBodyReader};

/// Maximum number of body bytes that are part of a request's fingerprint.
const MAX_FINGERPRINT_BYTES: usize = 1 << 20;

/// Limits of a request body.
#[derive(Debug, Clone, Copy)]
pub(crate) struct BodyLimits {
    /// Longest time without data from the caller.
    pub(crate) idle_timeout: Duration,
    pub(crate) max_bytes: u64,
    /// Largest body that is buffered.
    pub(crate) max_buffered_bytes: u64,
}

/// A request body, buffered or streamed.
pub(crate) enum RequestBody {
    /// No body.
    Empty,
    /// The whole body is in memory and can be sent any number of times.
    Buffered(Bytes),
    /// A prefix is in memory and the rest is still unread; can be sent once.
    Streamed(Bytes, LimitedBody),
    /// A prefix is in memory and the rest is read on; can be sent once.
    Waiting(Bytes, WaitingBody),
    /// The streamed body was taken for an attempt.
    Sent,
}

impl RequestBody {
    /// Prepares a body. Buffers it if its length is known and within the limit.
    pub(crate) async fn prepare(incoming: Incoming, limits: BodyLimits) -> Result<Self, BodyError> {
        if incoming.is_end_stream() {
            return Ok(Self::Empty);
        }
        let exact_size = incoming.size_hint().exact();
        if exact_size.is_some_and(|size| size > limits.max_bytes) {
            return Err(BodyError::TooLarge);
        }
        let mut body = LimitedBody::new(incoming, limits);
        if exact_size.is_some_and(|size| size <= limits.max_buffered_bytes) {
            let (bytes, _) = body.read_up_to(limits.max_buffered_bytes as usize).await?;
            return Ok(Self::Buffered(bytes));
        }
        Ok(Self::Streamed(Bytes::new(), body))
    }

    /// Prepares a body and buffers it if it is within the limit, even if its length is unknown. A
    /// buffered body can't be cut short by a server that responds early. Returns a reader for a
    /// longer one, which takes bytes from `budget`.
    pub(crate) async fn prepare_buffered(
        incoming: Incoming,
        limits: BodyLimits,
        budget: &ByteBudget,
    ) -> Result<(Self, Option<WaitingBodyReader>), BodyError> {
        let mut rest = match Self::prepare(incoming, limits).await? {
            Self::Streamed(_, rest) => rest,
            body => return Ok((body, None)),
        };
        let (bytes, is_complete) = rest.read_up_to(limits.max_buffered_bytes as usize).await?;
        if is_complete {
            return Ok((Self::Buffered(bytes), None));
        }
        let (rest, reader) = WaitingBody::new(rest, budget);
        Ok((Self::Waiting(bytes, rest), Some(reader)))
    }

    /// Returns the whole body; `None` if it is or was streamed.
    pub(crate) fn whole(&self) -> Option<&[u8]> {
        match self {
            Self::Empty => Some(&[]),
            Self::Buffered(bytes) => Some(bytes),
            Self::Streamed(..) | Self::Waiting(..) | Self::Sent => None,
        }
    }

    /// Returns the number of bytes in memory.
    pub(crate) fn buffered_bytes(&self) -> usize {
        match self {
            Self::Empty | Self::Sent => 0,
            Self::Buffered(bytes) | Self::Streamed(bytes, _) | Self::Waiting(bytes, _) => {
                bytes.len()
            }
        }
    }

    /// Reads the part of the body that belongs to the fingerprint, and keeps it for sending.
    pub(crate) async fn read_fingerprint_prefix(&mut self) -> Result<Bytes, BodyError> {
        match self {
            Self::Empty | Self::Sent => Ok(Bytes::new()),
            Self::Buffered(bytes) | Self::Waiting(bytes, _) => Ok(bytes.clone()),
            Self::Streamed(prefix, body) => {
                let (bytes, is_complete) = body.read_up_to(MAX_FINGERPRINT_BYTES).await?;
                if is_complete {
                    *self = Self::Buffered(bytes.clone());
                } else {
                    *prefix = bytes.clone();
                }
                Ok(bytes)
            }
        }
    }

    /// Whether the body can be sent in a further attempt.
    pub(crate) fn can_send(&self) -> bool {
        !matches!(self, Self::Sent)
    }

    /// Returns the body for one attempt. A streamed body can be sent only once and is taken.
    pub(crate) fn body_for_attempt(&mut self) -> BackendRequestBody {
        if let Self::Buffered(bytes) = self {
            return Full::new(bytes.clone()).map_err(|never| match never {}).boxed_unsync();
        }
        match std::mem::replace(self, Self::Sent) {
            Self::Streamed(prefix, body) => PrefixedBody::new(prefix, body).boxed_unsync(),
            Self::Waiting(prefix, body) => {
                body.start_sending();
                PrefixedBody::new(prefix, body).boxed_unsync()
            }
            unchanged => {
                *self = unchanged;
                Empty::new().map_err(|never| match never {}).boxed_unsync()
            }
        }
    }
}

/// A caller's body with a size limit and an idle timeout.
pub(crate) struct LimitedBody {
    incoming: Incoming,
    limits: BodyLimits,
    received_bytes: u64,
    idle_sleep: Option<Pin<Box<Sleep>>>,
}

impl LimitedBody {
    fn new(incoming: Incoming, limits: BodyLimits) -> Self {
        Self { incoming, limits, received_bytes: 0, idle_sleep: None }
    }

    /// Reads until the end, or until at least `max_bytes` were read. Returns the bytes and whether
    /// the end was reached.
    async fn read_up_to(&mut self, max_bytes: usize) -> Result<(Bytes, bool), BodyError> {
        let mut bytes = BytesMut::new();
        while bytes.len() < max_bytes {
            if self.incoming.is_end_stream() {
                return Ok((bytes.freeze(), true));
            }
            let frame = timeout(self.limits.idle_timeout, self.frame())
                .await
                .map_err(|_| BodyError::IdleTimeout)?;
            match frame {
                None => return Ok((bytes.freeze(), true)),
                Some(frame) => {
                    if let Ok(data) = frame?.into_data() {
                        bytes.extend_from_slice(&data);
                    }
                }
            }
        }
        let is_complete = self.incoming.is_end_stream();
        Ok((bytes.freeze(), is_complete))
    }

    fn poll_idle_timeout(&mut self, context: &mut Context<'_>) -> Poll<()> {
        let idle_timeout = self.limits.idle_timeout;
        let sleep =
            self.idle_sleep.get_or_insert_with(|| Box::pin(tokio::time::sleep(idle_timeout)));
        sleep.as_mut().poll(context)
    }
}

impl Body for LimitedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let polled = Pin::new(&mut self.incoming).poll_frame(context);
        if polled.is_pending() {
            ready!(self.poll_idle_timeout(context));
            return Poll::Ready(Some(Err(BodyError::IdleTimeout)));
        }
        self.idle_sleep = None;
        let Some(frame) = ready!(polled) else {
            return Poll::Ready(None);
        };
        let Ok(frame) = frame else {
            return Poll::Ready(Some(Err(BodyError::CallerDisconnected)));
        };
        self.received_bytes += frame.data_ref().map_or(0, |data| data.len() as u64);
        if self.received_bytes > self.limits.max_bytes {
            return Poll::Ready(Some(Err(BodyError::TooLarge)));
        }
        Poll::Ready(Some(Ok(frame)))
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}

/// Returns the deadline of a request: the time that the caller requested, at most `max_timeout`.
pub(crate) fn capped_deadline(
    now: Instant,
    max_timeout: Duration,
    requested: Option<Duration>,
) -> Instant {
    now + requested.map_or(max_timeout, |requested| requested.min(max_timeout))
}
