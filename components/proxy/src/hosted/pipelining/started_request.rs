//! Requests that are started before the HTTP server reads them.

use std::cell::Cell;
use std::convert::Infallible;
use std::panic::resume_unwind;
use std::sync::Arc;

use bytes::Bytes;
use futures_util::FutureExt;
use http_body_util::Empty;
use hyper::body::{Body, Incoming};
use hyper::header::{CONNECTION, UPGRADE};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, Version};
use hyper_util::rt::TokioIo;
use tokio::task::JoinHandle;

use crate::body::CallerResponseBody;
use crate::byte_budget::{ByteBudget, ByteShare};
use crate::hosted::handler::HostedHandler;

/// Memory of a request in progress, without its response.
const REQUEST_BYTES: u64 = 8 << 10;

/// Marks a request that was started early, as an extension.
#[derive(Debug, Clone, Copy)]
pub(crate) struct StartedEarly;

/// A request that runs before its turn. It is cancelled on drop.
#[derive(Debug)]
pub(super) struct StartedRequest {
    task: JoinHandle<Result<Response<CallerResponseBody>, Infallible>>,
    _share: ByteShare,
}

impl StartedRequest {
    /// Starts a request, if its route may run it any number of times.
    pub(super) fn start(
        handler: &Arc<HostedHandler>,
        budget: &ByteBudget,
        mut request: Request<Incoming>,
    ) -> Option<Self> {
        let response_bytes = handler.idempotent_response_bytes(&request)?;
        request.extensions_mut().insert(StartedEarly);
        let task = tokio::spawn(Arc::clone(handler).handle(request));
        let share = budget.take(usize::try_from(REQUEST_BYTES + response_bytes).ok()?);
        Some(Self { task, _share: share })
    }

    /// Waits for the response.
    pub(super) async fn response(mut self) -> Response<CallerResponseBody> {
        match (&mut self.task).await {
            Ok(Ok(response)) => response,
            Ok(Err(never)) => match never {},
            Err(error) => resume_unwind(error.into_panic()),
        }
    }
}

impl Drop for StartedRequest {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Returns the request that an HTTP server reads from a complete head; `None` if it would refuse
/// the head. `builder` must have the limits of that server.
pub(super) fn read_request(builder: &http1::Builder, head: &[u8]) -> Option<Request<Incoming>> {
    let received = Cell::new(None);
    let service = service_fn(|request| {
        received.set(Some(request));
        std::future::pending::<Result<Response<Empty<Bytes>>, Infallible>>()
    });
    let stream = TokioIo::new(tokio::io::join(head, tokio::io::sink()));
    // It ends with an error, since nothing follows the head.
    let _ = builder.serve_connection(stream, service).now_or_never();
    received.take()
}

/// Whether the request may run concurrently with others of its connection.
pub(super) fn may_overlap(request: &Request<Incoming>) -> bool {
    let headers = request.headers();
    matches!(*request.method(), Method::GET | Method::HEAD)
        && request.version() == Version::HTTP_11
        && request.body().is_end_stream()
        && !headers.contains_key(UPGRADE)
        && headers
            .get_all(CONNECTION)
            .iter()
            .all(|value| value.as_bytes().eq_ignore_ascii_case(b"keep-alive"))
}
