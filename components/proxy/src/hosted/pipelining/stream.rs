//! A caller's connection as the HTTP server reads it.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Sleep, sleep};

use crate::caller_stream::CLOSE_CHECK_INTERVAL;
use crate::hosted::pipelining::Pipeline;
use crate::wrapped_stream::is_read_closed;

/// Reads a caller's connection and passes on one request at a time.
pub(super) struct PipelineReader {
    pipeline: Pipeline,
    close_check: Option<Pin<Box<Sleep>>>,
}

impl PipelineReader {
    /// Creates a reader of the connection of a pipeline.
    pub(super) fn new(pipeline: Pipeline) -> Self {
        Self { pipeline, close_check: None }
    }

    /// Reads the connection for the HTTP server.
    pub(super) fn poll_read(
        &mut self,
        stream: &mut TcpStream,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.pipeline.may_pass() {
            self.close_check = None;
            return self.poll_pass(stream, context, buffer);
        }
        self.pipeline.start_requests();
        let polled = self.poll_end(stream, context, buffer);
        if polled.is_pending() {
            self.pipeline.wake_after_response(context.waker());
        }
        polled
    }

    /// Passes on received bytes up to the end of a request's head or body.
    fn poll_pass(
        &mut self,
        stream: &mut TcpStream,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.pipeline.pass_held(buffer) {
            return Poll::Ready(Ok(()));
        }
        let before = buffer.filled().len();
        ready!(Pin::new(&mut *stream).poll_read(context, buffer))?;
        let passed = self.pipeline.pass_received(&buffer.filled()[before..]);
        buffer.set_filled(before + passed);
        Poll::Ready(Ok(()))
    }

    /// Reads ahead while a response is in progress, and completes only when the connection ends.
    fn poll_end(
        &mut self,
        stream: &mut TcpStream,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            let room = self.pipeline.room();
            if room == 0 {
                return self.poll_close_check(stream, context);
            }
            let mut received = buffer.take(room);
            ready!(Pin::new(&mut *stream).poll_read(context, &mut received))?;
            if received.filled().is_empty() {
                return Poll::Ready(Ok(()));
            }
            self.pipeline.hold(received.filled());
            self.pipeline.start_requests();
        }
    }

    /// Completes when the caller has closed the connection.
    fn poll_close_check(
        &mut self,
        stream: &TcpStream,
        context: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            if is_read_closed(stream) {
                return Poll::Ready(Ok(()));
            }
            let check =
                self.close_check.get_or_insert_with(|| Box::pin(sleep(CLOSE_CHECK_INTERVAL)));
            ready!(check.as_mut().poll(context));
            self.close_check = None;
        }
    }
}
