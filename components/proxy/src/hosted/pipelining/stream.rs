//! A caller's connection as the HTTP server reads it.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use futures_util::FutureExt;
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf, Ready};
use tokio::net::TcpStream;
use tokio::time::{Sleep, sleep};

use crate::hosted::pipelining::Pipeline;

/// Interval between two checks whether the caller has closed the connection, while nothing is read.
const CLOSE_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// A caller's connection that passes on one request at a time.
pub(crate) struct PipelinedStream {
    stream: TcpStream,
    pipeline: Pipeline,
    close_check: Option<Pin<Box<Sleep>>>,
}

impl PipelinedStream {
    /// Wraps the stream of a connection.
    pub(super) fn new(stream: TcpStream, pipeline: Pipeline) -> Self {
        Self { stream, pipeline, close_check: None }
    }

    /// Passes on received bytes up to the end of a request's head or body.
    fn poll_pass(
        &mut self,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.pipeline.pass_held(buffer) {
            return Poll::Ready(Ok(()));
        }
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        let passed = self.pipeline.pass_received(&buffer.filled()[before..]);
        buffer.set_filled(before + passed);
        Poll::Ready(Ok(()))
    }

    /// Reads ahead while a response is in progress, and completes only when the connection ends.
    fn poll_end(
        &mut self,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            let room = self.pipeline.room();
            if room == 0 {
                return self.poll_close_check(context);
            }
            let mut received = buffer.take(room);
            ready!(Pin::new(&mut self.stream).poll_read(context, &mut received))?;
            if received.filled().is_empty() {
                return Poll::Ready(Ok(()));
            }
            self.pipeline.hold(received.filled());
            self.pipeline.start_requests();
        }
    }

    /// Completes when the caller has closed the connection.
    fn poll_close_check(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        loop {
            let ready = self.stream.ready(Interest::READABLE).now_or_never().transpose()?;
            if ready.is_some_and(Ready::is_read_closed) {
                return Poll::Ready(Ok(()));
            }
            let check =
                self.close_check.get_or_insert_with(|| Box::pin(sleep(CLOSE_CHECK_INTERVAL)));
            ready!(check.as_mut().poll(context));
            self.close_check = None;
        }
    }
}

impl AsyncRead for PipelinedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.pipeline.may_pass() {
            self.close_check = None;
            return self.poll_pass(context, buffer);
        }
        self.pipeline.start_requests();
        let polled = self.poll_end(context, buffer);
        if polled.is_pending() {
            self.pipeline.wake_after_response(context.waker());
        }
        polled
    }
}

impl AsyncWrite for PipelinedStream {
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
