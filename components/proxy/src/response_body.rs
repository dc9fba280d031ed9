//! Response bodies of backend servers, streamed to the caller.

use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use tokio::time::{Instant, Sleep};

use crate::body::BodyError;

/// How a response body ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ResponseEnd {
    /// The whole body was read.
    Complete,
    /// The connection to the server failed or the deadline passed.
    Failed,
}

/// Ends the exchange. It is dropped without a call when the exchange is cancelled.
type EndCallback = Box<dyn FnOnce(ResponseEnd) + Send>;

/// Response body of a backend server. The exchange ends when the body is complete, fails, or is
/// dropped, which cancels it.
pub(crate) struct ResponseBody<P> {
    incoming: Incoming,
    deadline: Instant,
    deadline_sleep: Option<Pin<Box<Sleep>>>,
    /// Invariant: `None` only after the exchange has ended.
    on_end: Option<EndCallback>,
    /// Counts the request as in flight until the body is dropped.
    _permit: P,
}

impl<P> ResponseBody<P> {
    /// Wraps a body that must be complete by `deadline`.
    pub(crate) fn new(
        incoming: Incoming,
        deadline: Instant,
        on_end: impl FnOnce(ResponseEnd) + Send + 'static,
        permit: P,
    ) -> Self {
        let on_end: Option<EndCallback> = Some(Box::new(on_end));
        let mut body = Self { incoming, deadline, deadline_sleep: None, on_end, _permit: permit };
        if body.incoming.is_end_stream() {
            body.finish(ResponseEnd::Complete);
        }
        body
    }

    fn finish(&mut self, end: ResponseEnd) {
        if let Some(on_end) = self.on_end.take() {
            on_end(end);
        }
    }

    fn poll_deadline(&mut self, context: &mut Context<'_>) -> Poll<()> {
        let deadline = self.deadline;
        let sleep =
            self.deadline_sleep.get_or_insert_with(|| Box::pin(tokio::time::sleep_until(deadline)));
        sleep.as_mut().poll(context)
    }
}

impl<P: Unpin> Body for ResponseBody<P> {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let polled = Pin::new(&mut self.incoming).poll_frame(context);
        // A body without end may always have a frame ready.
        let is_late = Instant::now() >= self.deadline;
        if polled.is_pending() || is_late {
            if !is_late {
                ready!(self.poll_deadline(context));
            }
            self.finish(ResponseEnd::Failed);
            return Poll::Ready(Some(Err(BodyError::DeadlineExceeded)));
        }
        match ready!(polled) {
            None => {
                self.finish(ResponseEnd::Complete);
                Poll::Ready(None)
            }
            Some(Err(_)) => {
                // The error resets the caller's connection or stream, so that a truncated response
                // is never mistaken for a complete one.
                self.finish(ResponseEnd::Failed);
                Poll::Ready(Some(Err(BodyError::ServerDisconnected)))
            }
            Some(Ok(frame)) => {
                if self.incoming.is_end_stream() {
                    self.finish(ResponseEnd::Complete);
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
