//! Closes callers' connections so that the last responses aren't lost.
//!
//! If a socket is closed while bytes arrive at it, the kernel resets the connection and discards what
//! it has not sent yet. A caller may send further requests, or the rest of a body, until it has read
//! that the connection closes. Therefore a connection is closed in stages (RFC 9112, 9.6), whatever
//! ended it.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use hyper::body::{Body, Incoming};
use hyper::{Request, Version};
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::time::{sleep, timeout};

use crate::body::BodyError;
use crate::wrapped_stream::{SharedStream, WrappedStream};

/// Time after the last response in which a caller may read it and close the connection.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(5);

/// Bytes that are read at once to be discarded.
const DISCARD_BUFFER_BYTES: usize = 4 << 10;

/// Interval between two checks whether a caller has closed its connection, while nothing is read.
pub(crate) const CLOSE_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Notices that a caller has closed its connection while the HTTP server doesn't read it, as it does
/// until somebody asks for the rest of a request body.
#[derive(Clone)]
pub(crate) struct CloseWatch {
    stream: SharedStream,
}

impl CloseWatch {
    /// Handles a request until its caller closes the connection. An error ends the connection.
    pub(crate) fn handle<H, F, T>(
        &self,
        request: Request<Incoming>,
        handler: H,
    ) -> impl Future<Output = Result<T, BodyError>> + use<H, F, T>
    where
        H: FnOnce(Request<Incoming>) -> F,
        F: Future<Output = Result<T, Infallible>>,
    {
        // Otherwise the HTTP server reads the connection and notices its end.
        let may_stop_reading =
            request.version() < Version::HTTP_2 && !request.body().is_end_stream();
        let stream = may_stop_reading.then(|| self.stream.clone());
        let response = handler(request);
        async move {
            tokio::select! {
                biased;
                Ok(response) = response => Ok(response),
                () = wait_for_close(stream) => Err(BodyError::CallerDisconnected),
            }
        }
    }
}

/// Waits until the other end closes a stream; forever without one.
async fn wait_for_close(stream: Option<SharedStream>) {
    match stream {
        Some(stream) => {
            while !stream.is_read_closed() {
                sleep(CLOSE_CHECK_INTERVAL).await;
            }
        }
        None => std::future::pending().await,
    }
}

/// A caller's stream after the HTTP server has dropped it.
pub(crate) struct ServedStream {
    stream: oneshot::Receiver<TcpStream>,
}

/// Wraps a caller's stream for the HTTP server, which reads it with `read`.
pub(crate) fn wrap_caller_stream<R>(
    stream: TcpStream,
    read: R,
) -> (impl AsyncRead + AsyncWrite + Unpin + use<R>, CloseWatch, ServedStream)
where
    R: FnMut(&mut TcpStream, &mut Context<'_>, &mut ReadBuf<'_>) -> Poll<std::io::Result<()>>
        + Unpin,
{
    let (owner, stream_receiver) = oneshot::channel();
    let wrapped = WrappedStream::lent(stream, read, owner);
    let close_watch = CloseWatch { stream: wrapped.shared() };
    (wrapped, close_watch, ServedStream { stream: stream_receiver })
}

/// Reads a stream as it is.
pub(crate) fn read_plain(
    stream: &mut TcpStream,
    context: &mut Context<'_>,
    buffer: &mut ReadBuf<'_>,
) -> Poll<std::io::Result<()>> {
    Pin::new(stream).poll_read(context, buffer)
}

/// How the last response on a connection ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LastResponse {
    /// It is complete, or its framing shows that it is not.
    Framed,
    /// It broke off, and the end of the connection would look like its end.
    CutUnframed,
}

impl LastResponse {
    /// Returns how a response ended, from the error of its connection. `is_http10` is the version of
    /// its request: HTTP/1.0 has no chunks, so a body of unknown length ends with the connection.
    pub(crate) fn new(error: Option<&hyper::Error>, is_http10: bool) -> Self {
        match error {
            // The error comes from the body of the response, not from the caller.
            Some(error) if is_http10 && error.is_user() => Self::CutUnframed,
            _ => Self::Framed,
        }
    }
}

impl ServedStream {
    /// Closes the connection. Discards what the caller still sends, until it closes its end or a
    /// timeout.
    pub(crate) async fn close(self, last_response: LastResponse) {
        let Ok(mut stream) = self.stream.await else {
            return;
        };
        if last_response == LastResponse::CutUnframed {
            // If the option can't be set, the connection has failed already.
            let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
            return;
        }
        // The HTTP server shuts down only those connections that end without an error.
        if stream.shutdown().await.is_ok() {
            // On a timeout the caller had enough time to read.
            let _ = timeout(CLOSE_TIMEOUT, discard(&mut stream)).await;
        }
    }
}

async fn discard(stream: &mut TcpStream) {
    let mut buffer = [0; DISCARD_BUFFER_BYTES];
    while stream.read(&mut buffer).await.is_ok_and(|count| count > 0) {}
}
