//! Log lines to standard output in batches, so that a request never waits for a reader and one
//! write serves many lines.

use std::io::Write;
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use slog::{Drain, Level, Logger, Never, OwnedKVList, Record, o};

/// Bytes of lines that may wait for the writer; lines beyond are left out and counted.
const MAX_BUFFERED_BYTES: usize = 256 << 10;

/// Batches that may wait for the writing thread.
const MAX_QUEUED_BATCHES: usize = 4;

/// Stack of the writing thread.
const WRITER_STACK_BYTES: usize = 64 << 10;

/// Longest time that a line waits before it is written.
pub const FLUSH_INTERVAL: Duration = Duration::from_millis(500);

/// Lines that wait to be written.
#[derive(Default)]
struct BufferedLines {
    bytes: Vec<u8>,
    dropped: u64,
}

/// Hands waiting lines to the writing thread.
#[derive(Clone)]
pub struct BatchedLogger {
    buffered: Arc<Mutex<BufferedLines>>,
    batch_sender: SyncSender<Vec<u8>>,
    log: Logger,
}

struct BatchedDrain {
    buffered: Arc<Mutex<BufferedLines>>,
}

/// A writer into the waiting lines.
struct LineBuffer<'a>(&'a mut Vec<u8>);

impl BatchedLogger {
    /// Starts the writing thread; lines are written when `flush` is called.
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

    /// The logger whose lines are batched.
    pub fn logger(&self) -> Logger {
        self.log.clone()
    }

    /// Hands what is waiting to the writer, unless the writer is behind.
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
            slog::warn!(self.log, "logs: lines left out"; "lines" => dropped);
        }
    }

    /// Puts a batch back that the writer did not take.
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

/// Writes until every sender is gone. A reader that is gone or slow holds up only this thread.
fn write_batches(batches: &Receiver<Vec<u8>>) {
    let mut output = std::io::stdout().lock();
    while let Ok(batch) = batches.recv() {
        // Nothing is left that a failed write could be reported to.
        let _ = output.write_all(&batch).and_then(|()| output.flush());
    }
}
