//! A TCP stream whose reads are observed or changed.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// A TCP stream that is read by a function. Writes are those of the stream.
pub(crate) struct WrappedStream<R> {
    stream: TcpStream,
    /// Reads the stream as `AsyncRead::poll_read` does.
    read: R,
}

impl<R> WrappedStream<R>
where
    R: FnMut(&mut TcpStream, &mut Context<'_>, &mut ReadBuf<'_>) -> Poll<io::Result<()>> + Unpin,
{
    /// Wraps a stream that `read` reads.
    pub(crate) fn new(stream: TcpStream, read: R) -> Self {
        Self { stream, read }
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
        let Self { stream, read } = &mut *self;
        read(stream, context, buffer)
    }
}

impl<R: Unpin> AsyncWrite for WrappedStream<R> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
