//! A TCP stream whose reads are observed or changed.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::oneshot;

/// A TCP stream that is read by a function. Writes are those of the stream.
pub(crate) struct WrappedStream<R> {
    /// Invariant: `None` only while it is dropped.
    stream: Option<TcpStream>,
    /// Reads the stream as `AsyncRead::poll_read` does.
    read: R,
    /// Gets the stream on drop.
    owner: Option<oneshot::Sender<TcpStream>>,
}

impl<R> WrappedStream<R> {
    fn stream(&mut self) -> Pin<&mut TcpStream> {
        Pin::new(self.stream.as_mut().expect("the stream is taken only on drop"))
    }
}

impl<R> WrappedStream<R>
where
    R: FnMut(&mut TcpStream, &mut Context<'_>, &mut ReadBuf<'_>) -> Poll<io::Result<()>> + Unpin,
{
    /// Wraps a stream that `read` reads.
    pub(crate) fn new(stream: TcpStream, read: R) -> Self {
        Self { stream: Some(stream), read, owner: None }
    }

    /// Wraps a stream like `new`, and sends it to `owner` when the wrapper is dropped.
    pub(crate) fn lent(stream: TcpStream, read: R, owner: oneshot::Sender<TcpStream>) -> Self {
        Self { stream: Some(stream), read, owner: Some(owner) }
    }
}

impl<R> AsyncRead for WrappedStream<R>
where
    R: FnMut(&mut TcpStream, &mut Context<'_>, &mut ReadBuf<'_>) -> Poll<io::Result<()>> + Unpin,
{
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let Self { stream, read, .. } = &mut *self;
        let stream = stream.as_mut().expect("the stream is taken only on drop");
        read(stream, context, buffer)
    }
}

impl<R> Drop for WrappedStream<R> {
    fn drop(&mut self) {
        if let (Some(stream), Some(owner)) = (self.stream.take(), self.owner.take()) {
            // Without a receiver the stream is closed.
            let _ = owner.send(stream);
        }
    }
}

impl<R: Unpin> AsyncWrite for WrappedStream<R> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.stream().poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.stream().poll_write_vectored(context, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.as_ref().is_some_and(AsyncWrite::is_write_vectored)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.stream().poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.stream().poll_shutdown(context)
    }
}
