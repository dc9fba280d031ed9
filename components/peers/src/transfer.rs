//! Progress of the transfers on a connection.
//!
//! A message may be so large, or a link so slow, that a message takes longer than any acceptable
//! silence. So a transfer is stopped when no byte has been transferred for some time, whatever the
//! time since its first byte: a retry would have to start again from there.

use std::pin::pin;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite};
use tokio::time::{Instant, timeout_at};
use tokio_util::io::{InspectReader, InspectWriter};

/// A byte stream to a peer.
pub trait PeerStream: AsyncRead + AsyncWrite + Send + Unpin {}

impl<S: AsyncRead + AsyncWrite + Send + Unpin> PeerStream for S {}

type ProgressCallback = Box<dyn FnMut(&[u8]) + Send>;

/// A byte stream whose transfers are recorded.
pub(crate) type MonitoredStream =
    InspectReader<InspectWriter<Box<dyn PeerStream>, ProgressCallback>, ProgressCallback>;

/// Bytes transferred in one direction of a connection.
#[derive(Debug, Clone)]
pub(crate) struct TransferProgress {
    state: Arc<Mutex<TransferState>>,
}

#[derive(Debug)]
struct TransferState {
    bytes: u64,
    /// Time of the last transferred byte; initially the time at which the connection was opened.
    last_transfer_at: Instant,
}

impl TransferProgress {
    fn new(now: Instant) -> Self {
        let state = TransferState { bytes: 0, last_transfer_at: now };
        Self { state: Arc::new(Mutex::new(state)) }
    }

    /// Returns the bytes transferred so far.
    pub(crate) fn bytes(&self) -> u64 {
        self.state().bytes
    }

    /// Returns the time of the last transferred byte.
    pub(crate) fn last_transfer_at(&self) -> Instant {
        self.state().last_transfer_at
    }

    /// Waits for a transfer. Returns `None` if no byte is transferred for `stall_timeout` after
    /// `active_since`.
    pub(crate) async fn wait_unless_stalled<T>(
        &self,
        transfer: impl Future<Output = T>,
        stall_timeout: Duration,
        active_since: Instant,
    ) -> Option<T> {
        let mut transfer = pin!(transfer);
        let mut active_at = active_since;
        loop {
            if let Ok(output) = timeout_at(active_at + stall_timeout, &mut transfer).await {
                return Some(output);
            }
            if self.last_transfer_at() <= active_at {
                return None;
            }
            active_at = self.last_transfer_at();
        }
    }

    fn callback(&self) -> ProgressCallback {
        let progress = self.clone();
        Box::new(move |bytes| {
            if !bytes.is_empty() {
                let mut state = progress.state();
                state.bytes += bytes.len() as u64;
                state.last_transfer_at = Instant::now();
            }
        })
    }

    fn state(&self) -> MutexGuard<'_, TransferState> {
        self.state.lock().expect("transfer lock is never poisoned")
    }
}

/// Records the transfers of a stream. Returns the progress of reads and of writes.
pub(crate) fn monitor(
    stream: Box<dyn PeerStream>,
) -> (MonitoredStream, TransferProgress, TransferProgress) {
    let now = Instant::now();
    let (received, sent) = (TransferProgress::new(now), TransferProgress::new(now));
    let writer = InspectWriter::new(stream, sent.callback());
    (InspectReader::new(writer, received.callback()), received, sent)
}
