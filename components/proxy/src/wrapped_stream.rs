//! A TCP stream whose reads are observed or changed.

use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard};
use std::task::{Context, Poll};

use futures_util::FutureExt;
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf, Ready};
use tokio::net::TcpStream;
use tokio::sync::oneshot;

/// A TCP stream that is read by a function. Writes are those of the stream.
pub(crate) struct WrappedStream<R> {
    stream: SharedStream,
    /// Reads the stream as `AsyncRead::poll_read` does.
    read: R,
    /// Gets the stream on drop.
    owner: Option<oneshot::Sender<TcpStream>>,
}

/// The stream of a `WrappedStream`, for checks beside its reads and writes. It is gone once that is
/// dropped.
#[derive(Clone)]
pub(crate) struct SharedStream(Arc<Mutex<Option<TcpStream>>>);

impl SharedStream {
    fn new(stream: TcpStream) -> Self {
        Self(Arc::new(Mutex::new(Some(stream))))
    }

    /// Whether the other end has closed the connection or its sending side, even if bytes before the
    /// end are still unread.
    pub(crate) fn is_read_closed(&self) -> bool {
        self.lock().as_ref().is_some_and(is_read_closed)
    }

    fn lock(&self) -> MutexGuard<'_, Option<TcpStream>> {
        self.0.lock().expect("stream lock is never poisoned")
    }

    fn with<T>(&self, function: impl FnOnce(Pin<&mut TcpStream>) -> T) -> T {
        let mut stream = self.lock();
        function(Pin::new(stream.as_mut().expect("the stream is taken only on drop")))
    }
}

/// Whether the other end has closed the connection or its sending side.
pub(crate) fn is_read_closed(stream: &TcpStream) -> bool {
    let readiness = stream.ready(Interest::READABLE).now_or_never();
    // An error means that the runtime shuts down.
    readiness.is_some_and(|readiness| readiness.is_ok_and(Ready::is_read_closed))
}

impl<R> WrappedStream<R>
where
    R: FnMut(&mut TcpStream, &mut Context<'_>, &mut ReadBuf<'_>) -> Poll<io::Result<()>> + Unpin,
{
    /// Wraps a stream that `read` reads.
    pub(crate) fn new(stream: TcpStream, read: R) -> Self {
        Self { stream: SharedStream::new(stream), read, owner: None }
    }

    /// Wraps a stream like `new`, and sends it to `owner` when the wrapper is dropped.
    pub(crate) fn lent(stream: TcpStream, read: R, owner: oneshot::Sender<TcpStream>) -> Self {
        Self { stream: SharedStream::new(stream), read, owner: Some(owner) }
    }

    /// Returns the stream for checks beside its reads and writes.
    pub(crate) fn shared(&self) -> SharedStream {
        self.stream.clone()
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
        stream.with(|stream| read(stream.get_mut(), context, buffer))
    }
}

impl<R> Drop for WrappedStream<R> {
    fn drop(&mut self) {
        let stream = self.stream.lock().take();
        if let (Some(stream), Some(owner)) = (stream, self.owner.take()) {
            // Without a receiver the stream is closed.
            let _ = owner.send(stream);
        }
    }
}

impl<R: Unpin> AsyncWrite for WrappedStream<R> {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.stream.with(|stream| stream.poll_write(context, bytes))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.stream.with(|stream| stream.poll_write_vectored(context, buffers))
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.with(|stream| stream.is_write_vectored())
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.stream.with(|stream| stream.poll_flush(context))
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.stream.with(|stream| stream.poll_shutdown(context))
    }
}
