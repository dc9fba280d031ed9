//! Pipelined requests: further requests that arrive on a connection before the first one is
//! answered. Those that may overlap start when they arrive, and responses leave in order.
//!
//! `stream` passes the bytes of a connection to hyper one request at a time, as `read_ahead`
//! decides. `started_request` runs a request whose head is held back.

mod read_ahead;
mod started_request;
mod stream;
mod tracked_body;

use std::convert::Infallible;
use std::sync::{Arc, Mutex, MutexGuard};
use std::task::Waker;

use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::{Request, Response, Version};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;

use crate::byte_budget::{ByteBudget, ByteShare};
use crate::caller_stream::{CloseWatch, ServedStream, wrap_caller_stream};
use crate::headers::set_connection_close;
use crate::hosted::handler::HostedHandler;
use crate::hosted::pipelining::read_ahead::{BodyLength, ReadAhead};
use crate::hosted::pipelining::started_request::{StartedRequest, may_overlap, read_request};
use crate::hosted::pipelining::stream::PipelineReader;
use crate::hosted::pipelining::tracked_body::TrackedBody;

pub(crate) use crate::hosted::pipelining::started_request::StartedEarly;

/// Largest number of requests of a connection that are started before their turn.
const MAX_STARTED_REQUESTS: usize = 16;

/// Number of held bytes of a connection at which it isn't read any further.
const MAX_HELD_BYTES: usize = 16 << 10;

/// The requests of one connection.
#[derive(Clone)]
pub(crate) struct Pipeline {
    shared: Arc<PipelineShared>,
}

struct PipelineShared {
    handler: Arc<HostedHandler>,
    budget: ByteBudget,
    /// Builder of the connection, whose limits apply to each head.
    builder: http1::Builder,
    state: Mutex<PipelineState>,
    /// Notified when the last started request is in progress.
    started_taken: Notify,
}

struct PipelineState {
    read_ahead: ReadAhead<StartedRequest>,
    held_share: ByteShare,
    has_request: bool,
    /// Whether the last request has the version HTTP/1.0.
    is_http10: bool,
    is_stopped: bool,
    /// Waker of the HTTP server if it waits for a read that is possible after the response in
    /// progress.
    waker: Option<Waker>,
}

/// The turn of a request, from its receipt by the HTTP server to the end of its response.
struct RequestTurn {
    pipeline: Pipeline,
}

impl Pipeline {
    /// Creates the state of a new connection that `builder` serves.
    pub(crate) fn new(
        handler: Arc<HostedHandler>,
        budget: ByteBudget,
        builder: http1::Builder,
    ) -> Self {
        let state = PipelineState {
            read_ahead: ReadAhead::new(),
            held_share: budget.take(0),
            has_request: false,
            is_http10: false,
            is_stopped: false,
            waker: None,
        };
        let shared = PipelineShared {
            handler,
            budget,
            builder,
            state: Mutex::new(state),
            started_taken: Notify::new(),
        };
        Self { shared: Arc::new(shared) }
    }

    /// Returns the stream that the HTTP server reads, a watch on it, and what is left of it after that.
    pub(crate) fn wrap(
        &self,
        stream: TcpStream,
    ) -> (impl AsyncRead + AsyncWrite + Unpin + use<>, CloseWatch, ServedStream) {
        let mut reader = PipelineReader::new(self.clone());
        wrap_caller_stream(stream, move |stream, context, buffer| {
            reader.poll_read(stream, context, buffer)
        })
    }

    /// Whether the HTTP server has received a request.
    pub(crate) fn has_request(&self) -> bool {
        self.lock().has_request
    }

    /// Whether the last request has the version HTTP/1.0.
    pub(crate) fn is_http10(&self) -> bool {
        self.lock().is_http10
    }

    /// Handles the next request that the HTTP server has received.
    pub(crate) fn handle(
        &self,
        request: Request<Incoming>,
    ) -> impl Future<Output = Result<Response<TrackedBody>, Infallible>> + use<> {
        let started = self.begin_request(&request);
        let turn = RequestTurn { pipeline: self.clone() };
        let handler = Arc::clone(&self.shared.handler);
        async move {
            let mut response = match started {
                Some(started) => started.response().await,
                None => handler.handle(request).await?,
            };
            if turn.pipeline.closes_after_response() {
                set_connection_close(response.headers_mut());
            }
            Ok(response.map(|body| TrackedBody::new(body, turn)))
        }
    }

    /// Starts no further requests, and waits until the last started one is in progress.
    pub(crate) async fn finish_started_requests(&self) {
        self.lock().is_stopped = true;
        loop {
            let taken = self.shared.started_taken.notified();
            if self.lock().read_ahead.started_count() == 0 {
                return;
            }
            taken.await;
        }
    }

    fn begin_request(&self, request: &Request<Incoming>) -> Option<StartedRequest> {
        let length = request.body().size_hint().exact();
        let length = length.map_or(BodyLength::Unknown, BodyLength::Known);
        let mut state = self.lock();
        state.has_request = true;
        state.is_http10 = request.version() == Version::HTTP_10;
        let may_overlap =
            may_overlap(request) && !self.shared.handler.expects_long_response(request);
        let started = state.read_ahead.begin_request(length, may_overlap);
        if started.is_some() && state.read_ahead.started_count() == 0 {
            self.shared.started_taken.notify_waiters();
        }
        started
    }

    /// Whether the connection closes after the response in progress. A server may be running the
    /// requests that were started, so they are answered before.
    fn closes_after_response(&self) -> bool {
        self.shared.handler.is_draining() && self.lock().read_ahead.started_count() == 0
    }

    /// Whether the HTTP server may read received bytes.
    fn may_pass(&self) -> bool {
        self.lock().read_ahead.may_pass()
    }

    /// Passes held bytes to the HTTP server. Returns whether there were any.
    fn pass_held(&self, buffer: &mut ReadBuf<'_>) -> bool {
        let mut state = self.lock();
        if state.read_ahead.held_bytes() == 0 {
            return false;
        }
        state.read_ahead.pass_held(buffer.remaining(), |bytes| buffer.put_slice(bytes));
        state.update_share();
        true
    }

    /// Returns how many of the received bytes are passed to the HTTP server, and holds the others.
    fn pass_received(&self, received: &[u8]) -> usize {
        let mut state = self.lock();
        let passed = state.read_ahead.pass_received(received);
        if passed < received.len() {
            state.read_ahead.hold(&received[passed..]);
            state.update_share();
        }
        passed
    }

    /// Returns how many further bytes may be held.
    fn room(&self) -> usize {
        match self.shared.budget.has_room() {
            true => MAX_HELD_BYTES.saturating_sub(self.lock().read_ahead.held_bytes()),
            false => 0,
        }
    }

    /// Holds received bytes.
    fn hold(&self, received: &[u8]) {
        let mut state = self.lock();
        state.read_ahead.hold(received);
        state.update_share();
    }

    /// Starts the requests among the held bytes that may overlap with the one in progress. Only for
    /// use in a read of the HTTP server.
    fn start_requests(&self) {
        let mut state = self.lock();
        let PipelineShared { handler, budget, builder, .. } = &*self.shared;
        while !state.is_stopped
            && !handler.is_draining()
            && state.read_ahead.started_count() < MAX_STARTED_REQUESTS
            && budget.has_room()
        {
            let Some(head) = state.read_ahead.next_head() else {
                return;
            };
            handler.metrics().pipelined_requests.inc();
            let request = read_request(builder, head).filter(may_overlap);
            let ends_overlap =
                request.as_ref().is_some_and(|request| handler.expects_long_response(request));
            let started =
                request.and_then(|request| StartedRequest::start(handler, budget, request));
            match started {
                Some(started) => {
                    handler.metrics().early_starts.inc();
                    state.read_ahead.start(started);
                }
                None => state.read_ahead.bar(),
            }
            if ends_overlap {
                state.read_ahead.bar_following();
            }
        }
    }

    /// Wakes the HTTP server after the response in progress, if it can read then.
    fn wake_after_response(&self, waker: &Waker) {
        let is_paused = !self.shared.budget.has_room();
        let mut state = self.lock();
        if is_paused || state.read_ahead.held_bytes() > 0 {
            state.waker = Some(waker.clone());
        }
    }

    fn lock(&self) -> MutexGuard<'_, PipelineState> {
        self.shared.state.lock().expect("pipeline lock is never poisoned")
    }
}

impl PipelineState {
    fn update_share(&mut self) {
        self.held_share.resize(self.read_ahead.held_bytes());
    }
}

impl Drop for RequestTurn {
    fn drop(&mut self) {
        let mut state = self.pipeline.lock();
        state.read_ahead.end_response();
        if let Some(waker) = state.waker.take() {
            waker.wake();
        }
    }
}
