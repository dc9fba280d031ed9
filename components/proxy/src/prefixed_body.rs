//! A body whose first bytes have already been read.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};

use crate::body::BodyError;

/// Bytes already read from a body, followed by the rest of it.
pub(crate) struct PrefixedBody<B> {
    prefix: Bytes,
    body: B,
}

impl<B> PrefixedBody<B> {
    /// Creates a body that yields `prefix` and then the frames of `body`.
    pub(crate) fn new(prefix: Bytes, body: B) -> Self {
        Self { prefix, body }
    }
}

impl<B: Body<Data = Bytes, Error = BodyError> + Unpin> Body for PrefixedBody<B> {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if !self.prefix.is_empty() {
            let prefix = std::mem::take(&mut self.prefix);
            return Poll::Ready(Some(Ok(Frame::data(prefix))));
        }
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.prefix.is_empty() && self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        size_with_prefix(self.prefix.len(), &self.body.size_hint())
    }
}

/// Returns the size of a body that consists of `prefix_bytes` and a rest.
pub(crate) fn size_with_prefix(prefix_bytes: usize, rest: &SizeHint) -> SizeHint {
    let prefix_bytes = prefix_bytes as u64;
    let mut hint = SizeHint::new();
    hint.set_lower(prefix_bytes + rest.lower());
    if let Some(upper) = rest.upper() {
        hint.set_upper(prefix_bytes + upper);
    }
    hint
}
