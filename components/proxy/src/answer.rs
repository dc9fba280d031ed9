//! The body of a backend server's answer on its way to the caller.

use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use tokio::time::{Instant, Sleep};

use crate::exchange::ExchangeLease;
use crate::handler::AdmissionPermit;
use crate::request_body::BodyError;

/// The body of an answer to a caller.
pub(crate) type AnswerStream = UnsyncBoxBody<Bytes, BodyError>;

/// A backend server's answer body. It ends the exchange: whole, broken off, or cancelled by drop.
pub(crate) struct AnswerBody {
    incoming: Incoming,
    deadline: Instant,
    sleep: Option<Pin<Box<Sleep>>>,
    /// Invariant: `None` only after the exchange ended.
    lease: Option<ExchangeLease>,
    /// Counts the request as in flight until the body is dropped.
    _permit: AdmissionPermit,
}

impl AnswerBody {
    /// Wraps a body that must end before `deadline`.
    pub(crate) fn new(
        incoming: Incoming,
        deadline: Instant,
        lease: ExchangeLease,
        permit: AdmissionPermit,
    ) -> Self {
        let lease = Some(lease);
        let mut body = Self { incoming, deadline, sleep: None, lease, _permit: permit };
        if body.incoming.is_end_stream() {
            body.end_whole();
        }
        body
    }

    fn end_whole(&mut self) {
        if let Some(lease) = self.lease.take() {
            lease.end_whole();
        }
    }

    fn end_broken(&mut self) {
        if let Some(lease) = self.lease.take() {
            lease.end_broken();
        }
    }

    fn poll_deadline(&mut self, context: &mut Context<'_>) -> Poll<()> {
        let deadline = self.deadline;
        let sleep = self.sleep.get_or_insert_with(|| Box::pin(tokio::time::sleep_until(deadline)));
        sleep.as_mut().poll(context)
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let polled = Pin::new(&mut self.incoming).poll_frame(context);
        if polled.is_pending() {
            ready!(self.poll_deadline(context));
            self.end_broken();
            return Poll::Ready(Some(Err(BodyError::Deadline)));
        }
        match ready!(polled) {
            None => {
                self.end_whole();
                Poll::Ready(None)
            }
            Some(Err(_)) => {
                // An error resets the caller's connection or stream, so that a truncated answer
                // never looks whole.
                self.end_broken();
                Poll::Ready(Some(Err(BodyError::ServerBroke)))
            }
            Some(Ok(frame)) => {
                if self.incoming.is_end_stream() {
                    self.end_whole();
                }
                Poll::Ready(Some(Ok(frame)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}
