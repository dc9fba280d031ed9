//! Waits for the signals that end the daemon.

use std::io;

use tokio::signal::unix::{Signal, SignalKind, signal};

/// The signals that begin a graceful shutdown. Later ones change nothing.
pub(crate) struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl StopSignals {
    /// Takes over both signals.
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
