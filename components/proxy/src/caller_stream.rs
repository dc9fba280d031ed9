//! Closes callers' connections so that the last responses aren't lost.
//!
//! If a socket is closed while bytes arrive at it, the kernel resets the connection and discards what
//! it has not sent yet. A caller may send further requests, or the rest of a body, until it has read
//! that the connection closes. Therefore a connection is closed in stages (RFC 9112, 9.6), whatever
//! ended it.

use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::time::timeout;

use crate::wrapped_stream::WrappedStream;

/// Time after the last response in which a caller may read it and close the connection.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(5);

/// Bytes that are read at once to be discarded.
const DISCARD_BUFFER_BYTES: usize = 4 << 10;

/// A caller's stream after the HTTP server has dropped it.
pub(crate) struct ServedStream {
    stream: oneshot::Receiver<TcpStream>,
}

/// Wraps a caller's stream for the HTTP server, which reads it with `read`.
pub(crate) fn wrap_caller_stream<R>(
    stream: TcpStream,
    read: R,
) -> (impl AsyncRead + AsyncWrite + Unpin + use<R>, ServedStream)
where
    R: FnMut(&mut TcpStream, &mut Context<'_>, &mut ReadBuf<'_>) -> Poll<std::io::Result<()>>
        + Unpin,
{
    let (owner, stream_receiver) = oneshot::channel();
    let wrapped = WrappedStream::lent(stream, read, owner);
    (wrapped, ServedStream { stream: stream_receiver })
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
