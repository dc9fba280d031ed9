//! The body of a backend server's answer on its way to the caller.

use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use tokio::time::{Instant, Sleep};

use crate::body::BodyError;

/// How the body of an answer ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AnswerEnd {
    /// All of it was read.
    Whole,
    /// The server broke off or was too late.
    Broken,
}

/// Ends an exchange. Dropped uncalled, it was cancelled.
type EndFn = Box<dyn FnOnce(AnswerEnd) + Send>;

/// A backend server's answer body. It ends the exchange: whole, broken off, or cancelled by drop.
pub(crate) struct AnswerBody<P> {
    incoming: Incoming,
    deadline: Instant,
    sleep: Option<Pin<Box<Sleep>>>,
    /// Invariant: `None` only after the exchange ended.
    end: Option<EndFn>,
    /// Counts the request as in flight until the body is dropped.
    _permit: P,
}

impl<P> AnswerBody<P> {
    /// Wraps a body that must end before `deadline`.
    pub(crate) fn new(
        incoming: Incoming,
        deadline: Instant,
        end: impl FnOnce(AnswerEnd) + Send + 'static,
        permit: P,
    ) -> Self {
        let end: Option<EndFn> = Some(Box::new(end));
        let mut body = Self { incoming, deadline, sleep: None, end, _permit: permit };
        if body.incoming.is_end_stream() {
            body.end(AnswerEnd::Whole);
        }
        body
    }

    fn end(&mut self, how: AnswerEnd) {
        if let Some(end) = self.end.take() {
            end(how);
        }
    }

    fn poll_deadline(&mut self, context: &mut Context<'_>) -> Poll<()> {
        let deadline = self.deadline;
        let sleep = self.sleep.get_or_insert_with(|| Box::pin(tokio::time::sleep_until(deadline)));
        sleep.as_mut().poll(context)
    }
}

impl<P: Unpin> Body for AnswerBody<P> {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let polled = Pin::new(&mut self.incoming).poll_frame(context);
        if polled.is_pending() {
            ready!(self.poll_deadline(context));
            self.end(AnswerEnd::Broken);
            return Poll::Ready(Some(Err(BodyError::Deadline)));
        }
        match ready!(polled) {
            None => {
                self.end(AnswerEnd::Whole);
                Poll::Ready(None)
            }
            Some(Err(_)) => {
                // An error resets the caller's connection or stream, so that a truncated answer
                // never looks whole.
                self.end(AnswerEnd::Broken);
                Poll::Ready(Some(Err(BodyError::ServerBroke)))
            }
            Some(Ok(frame)) => {
                if self.incoming.is_end_stream() {
                    self.end(AnswerEnd::Whole);
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
