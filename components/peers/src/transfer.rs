//! Progress of the transfers on a connection.

use std::sync::{Arc, Mutex, MutexGuard};

use tokio::io::{AsyncRead, AsyncWrite};
use tokio::time::Instant;
use tokio_util::io::{InspectReader, InspectWriter};

/// A byte stream to a peer.
pub(crate) trait PeerStream: AsyncRead + AsyncWrite + Send + Unpin {}

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
