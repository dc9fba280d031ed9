//! The record of a case: what was sent, answered and run, with the time since the start.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A record that all threads write to.
#[derive(Clone)]
pub struct Record {
    started_at: Instant,
    file: Arc<Mutex<BufWriter<File>>>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        let file = Arc::new(Mutex::new(BufWriter::new(File::create(path)?)));
        Ok(Self { started_at: Instant::now(), file })
    }

    /// Time since the start of the case.
    pub fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// Writes one line with the time.
    pub fn line(&self, text: &str) {
        let at = self.now().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        // A record that can't be written doesn't change the result.
        let _ = writeln!(file, "{at:9.3} {text}");
    }

    pub fn flush(&self) {
        let _ = self.file.lock().unwrap().flush();
    }
}
