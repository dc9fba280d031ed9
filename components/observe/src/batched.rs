//! Batched writing of log lines to standard output, so that a slow reader never blocks a request
//! and many lines share a system call.

use std::io::Write;
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use slog::{Drain, Level, Logger, Never, OwnedKVList, Record, o};

/// Size of the buffer above which new lines are dropped and counted.
const MAX_BUFFERED_BYTES: usize = 256 << 10;

/// Maximum number of batches queued for the writer thread.
const MAX_QUEUED_BATCHES: usize = 4;

/// Stack size of the writer thread.
const WRITER_STACK_BYTES: usize = 64 << 10;

/// Interval between two flushes, which bounds the delay of a line while the writer keeps up.
pub const FLUSH_INTERVAL: Duration = Duration::from_millis(500);

/// Lines that have not been passed to the writer thread.
#[derive(Default)]
struct BufferedLines {
    bytes: Vec<u8>,
    dropped: u64,
}

/// Logger that passes its lines to a writer thread in batches.
#[derive(Clone)]
pub struct BatchedLogger {
    buffered: Arc<Mutex<BufferedLines>>,
    batch_sender: SyncSender<Vec<u8>>,
    log: Logger,
}

/// Drain that appends each record to the buffered lines as JSON.
struct BatchedDrain {
    buffered: Arc<Mutex<BufferedLines>>,
}

/// Writer that appends to a byte buffer.
struct LineBuffer<'a>(&'a mut Vec<u8>);

impl BatchedLogger {
    /// Starts the writer thread. Lines are written only when `flush` is called.
    pub fn start(level: Level) -> std::io::Result<Self> {
        let (batch_sender, batches) = sync_channel(MAX_QUEUED_BATCHES);
        std::thread::Builder::new()
            .name("logs".into())
            .stack_size(WRITER_STACK_BYTES)
            .spawn(move || write_batches(&batches))?;
        let buffered: Arc<Mutex<BufferedLines>> = Arc::default();
        let drain = BatchedDrain { buffered: Arc::clone(&buffered) };
        let log = Logger::root(drain.filter_level(level).fuse(), o!());
        Ok(Self { buffered, batch_sender, log })
    }

    /// Returns the `slog` logger whose lines are batched.
    pub fn logger(&self) -> Logger {
        self.log.clone()
    }

    /// Queues the buffered lines for the writer thread, or keeps them if its queue is full.
    pub fn flush(&self) {
        let mut lines = self.buffered.lock().expect("log lock is never poisoned");
        if lines.bytes.is_empty() {
            return;
        }
        let batch = std::mem::take(&mut lines.bytes);
        let dropped = std::mem::take(&mut lines.dropped);
        drop(lines);
        if let Err(error) = self.batch_sender.try_send(batch) {
            let (std::sync::mpsc::TrySendError::Full(batch)
            | std::sync::mpsc::TrySendError::Disconnected(batch)) = error;
            self.requeue(batch, dropped);
        } else if dropped > 0 {
            slog::warn!(self.log, "logs: lines dropped"; "lines" => dropped);
        }
    }

    /// Puts a batch that could not be queued back in front of the buffered lines.
    fn requeue(&self, mut batch: Vec<u8>, dropped: u64) {
        let mut lines = self.buffered.lock().expect("log lock is never poisoned");
        batch.extend_from_slice(&lines.bytes);
        lines.bytes = batch;
        lines.dropped += dropped;
    }
}

impl Drain for BatchedDrain {
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), Never> {
        let mut lines = self.buffered.lock().expect("log lock is never poisoned");
        if lines.bytes.len() > MAX_BUFFERED_BYTES {
            lines.dropped += 1;
            return Ok(());
        }
        let line_start = lines.bytes.len();
        if write_line(&mut lines.bytes, record, values).is_err() {
            lines.bytes.truncate(line_start);
            lines.dropped += 1;
        }
        Ok(())
    }
}

fn write_line(
    bytes: &mut Vec<u8>,
    record: &Record<'_>,
    values: &OwnedKVList,
) -> Result<(), Box<dyn std::error::Error>> {
    let json = slog_json::Json::new(LineBuffer(bytes))
        .add_key_value(o!(
            "ts" => slog::FnValue(|_: &Record<'_>| unix_millis()),
            "level" => slog::FnValue(|record: &Record<'_>| record.level().as_short_str()),
            "msg" => slog::PushFnValue(|record: &Record<'_>, serializer| {
                serializer.emit(record.msg())
            }),
        ))
        .build();
    json.log(record, values)?;
    Ok(())
}

impl Write for LineBuffer<'_> {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

fn unix_millis() -> u64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.map_or(0, |now| now.as_millis() as u64)
}

/// Writes batches until all senders are dropped. A slow reader of standard output blocks only this
/// thread.
fn write_batches(batches: &Receiver<Vec<u8>>) {
    let mut output = std::io::stdout().lock();
    while let Ok(batch) = batches.recv() {
        // A failed write is ignored: there is no other output to report it on.
        let _ = output.write_all(&batch).and_then(|()| output.flush());
    }
}
