//! Signals that shut the daemon down.

use std::io;

use tokio::signal::unix::{Signal, SignalKind, signal};

/// SIGTERM and SIGINT, which start a graceful shutdown. Only the first signal has an effect.
pub(crate) struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl StopSignals {
    /// Installs the handlers of both signals.
    pub(crate) fn new() -> io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    /// Waits for the first signal.
    pub(crate) async fn wait(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}
