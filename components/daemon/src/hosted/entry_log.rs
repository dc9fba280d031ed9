//! Logs invalid entries of the server list at a bounded rate: a writer of such entries may repeat
//! them with each of its heartbeats.

use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

use tokio::time::Instant;

use model::FastMap;
use observe::{Logger, warn};
use platform::ServerRowError;

/// Time after which the same fault is logged again, and for which the number of lines is bounded.
const LOG_PERIOD: Duration = Duration::from_secs(60);

/// Lines in that time.
const MAX_LINES: usize = 20;

/// Faults that were logged recently.
#[derive(Default)]
pub(crate) struct EntryLog(Mutex<LoggedFaults>);

#[derive(Default)]
struct LoggedFaults {
    /// Key of the entry and field, and when it was logged. Invariant: at most `MAX_LINES`.
    logged: FastMap<(Box<str>, &'static str), Instant>,
    /// Faults that were not logged since the last line.
    omitted: u64,
}

impl LoggedFaults {
    /// Returns the number of faults that were not logged before this one, or `None` if it isn't to
    /// be logged either.
    fn admit(&mut self, error: &ServerRowError, now: Instant) -> Option<u64> {
        self.logged.retain(|_, logged_at| now < *logged_at + LOG_PERIOD);
        let fault = (error.key.clone(), error.field);
        if self.logged.contains_key(&fault) || self.logged.len() == MAX_LINES {
            self.omitted += 1;
            return None;
        }
        self.logged.insert(fault, now);
        Some(std::mem::take(&mut self.omitted))
    }
}

impl EntryLog {
    /// Logs an invalid entry, unless it was logged recently or too many were.
    pub(crate) fn record(&self, error: &ServerRowError, log: &Logger) {
        let admitted = self.faults().admit(error, Instant::now());
        if let Some(omitted) = admitted {
            warn!(log, "servers: ignored an invalid entry"; "entry" => &*error.key,
                "field" => error.field, "reason" => &*error.reason, "omitted" => omitted);
        }
    }

    fn faults(&self) -> MutexGuard<'_, LoggedFaults> {
        self.0.lock().expect("entry log lock is never poisoned")
    }
}

#[cfg(test)]
mod tests;
