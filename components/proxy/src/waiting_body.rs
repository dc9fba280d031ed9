//! The rest of a long request body, which is read on while the request waits for a server.
//!
//! Otherwise the caller's kernel keeps the end of the connection behind the bytes for which there is
//! no room here, so a caller that has left would go unnoticed.

use std::collections::VecDeque;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use tokio::time::sleep;

use crate::body::BodyError;
use crate::byte_budget::{ByteBudget, ByteShare};
use crate::prefixed_body::size_with_prefix;
use crate::request_body::LimitedBody;

/// Bytes of one body at which it isn't read any further. Behind more, the end of the connection goes
/// unnoticed until they are sent.
const MAX_READ_BYTES: usize = 4 << 20;

/// Interval between two checks whether the budget has room again.
const ROOM_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// A body that yields what was read on, and then the rest.
pub(crate) struct WaitingBody {
    shared: Arc<Mutex<WaitingState>>,
}

/// Reads on a body until it is sent.
pub(crate) struct WaitingBodyReader {
    shared: Arc<Mutex<WaitingState>>,
    budget: ByteBudget,
}

struct WaitingState {
    body: LimitedBody,
    /// Frames that were read and not yet sent.
    read: VecDeque<Frame<Bytes>>,
    /// Bytes of these frames.
    read_bytes: usize,
    share: ByteShare,
    /// Error that ended the body.
    error: Option<BodyError>,
    is_sent: bool,
}

impl WaitingBody {
    /// Wraps a body. Bytes that are read on are taken from `budget`.
    pub(crate) fn new(body: LimitedBody, budget: &ByteBudget) -> (Self, WaitingBodyReader) {
        let state = WaitingState {
            body,
            read: VecDeque::new(),
            read_bytes: 0,
            share: budget.take(0),
            error: None,
            is_sent: false,
        };
        let shared = Arc::new(Mutex::new(state));
        let reader = WaitingBodyReader { shared: Arc::clone(&shared), budget: budget.clone() };
        (Self { shared }, reader)
    }

    /// Stops the reader. From now on the body is read as fast as it is sent.
    pub(crate) fn start_sending(&self) {
        self.lock().is_sent = true;
    }

    fn lock(&self) -> MutexGuard<'_, WaitingState> {
        self.shared.lock().expect("body lock is never poisoned")
    }
}

impl WaitingBodyReader {
    /// Reads on until the body is sent, its end or the limit. Completes only if it is broken.
    pub(crate) async fn read_on(&self) -> BodyError {
        loop {
            if let Some(error) = std::future::poll_fn(|context| self.poll_read(context)).await {
                return error;
            }
            sleep(ROOM_CHECK_INTERVAL).await;
        }
    }

    /// Returns `None` if the budget has no room.
    fn poll_read(&self, context: &mut Context<'_>) -> Poll<Option<BodyError>> {
        let mut state = self.shared.lock().expect("body lock is never poisoned");
        while !state.is_sent && !state.body.is_end_stream() && state.read_bytes < MAX_READ_BYTES {
            if !self.budget.has_room() {
                return Poll::Ready(None);
            }
            match ready!(Pin::new(&mut state.body).poll_frame(context)) {
                Some(Ok(frame)) => state.push(frame),
                Some(Err(error)) => {
                    state.error = Some(error);
                    return Poll::Ready(Some(error));
                }
                None => break,
            }
        }
        Poll::Pending
    }
}

impl WaitingState {
    fn push(&mut self, frame: Frame<Bytes>) {
        self.read_bytes += data_bytes(&frame);
        self.share.resize(self.read_bytes);
        self.read.push_back(frame);
    }

    fn pop(&mut self) -> Option<Frame<Bytes>> {
        let frame = self.read.pop_front()?;
        self.read_bytes -= data_bytes(&frame);
        self.share.resize(self.read_bytes);
        Some(frame)
    }
}

fn data_bytes(frame: &Frame<Bytes>) -> usize {
    frame.data_ref().map_or(0, Bytes::len)
}

impl Body for WaitingBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let mut state = self.lock();
        if let Some(frame) = state.pop() {
            return Poll::Ready(Some(Ok(frame)));
        }
        match state.error {
            Some(error) => Poll::Ready(Some(Err(error))),
            None => Pin::new(&mut state.body).poll_frame(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        let state = self.lock();
        state.read.is_empty() && state.error.is_none() && state.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        let state = self.lock();
        size_with_prefix(state.read_bytes, &state.body.size_hint())
    }
}
