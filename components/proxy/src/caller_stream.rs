//! Closes callers' connections so that the last responses aren't lost.
//!
//! If a socket is closed while bytes arrive at it, the kernel resets the connection and discards what
//! it has not sent yet. A caller may send further requests, or the rest of a
//! body, until it has read that the connection closes. Therefore a connection is closed in stages
//! (RFC 9112, 9.6), whatever ended it.

use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

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

impl ServedStream {
    /// Ends the responses and discards what the caller still sends, until it closes the connection or
    /// a timeout.
    pub(crate) async fn close(self) {
        let Ok(mut stream) = self.stream.await else {
            return;
        };
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
