//! The body of a response, which ends the turn of its request.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};

use crate::body::{BodyError, CallerResponseBody};
use crate::hosted::pipelining::RequestTurn;

/// A response body. Its request's turn ends when the HTTP server drops it.
pub(crate) struct TrackedBody {
    body: CallerResponseBody,
    _turn: RequestTurn,
}

impl TrackedBody {
    /// Wraps the body of a response.
    pub(super) fn new(body: CallerResponseBody, turn: RequestTurn) -> Self {
        Self { body, _turn: turn }
    }
}

impl Body for TrackedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
