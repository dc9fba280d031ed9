//! The record of a case: a line for each event, with the time since the start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    file: Mutex<File>,
    pub started_at: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Record {
        let file = File::create(path).expect("the folder of the case is writable");
        Record { file: Mutex::new(file), started_at: Instant::now() }
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let seconds = self.started_at.elapsed().as_secs_f64();
        let _ = writeln!(self.file.lock().unwrap(), "{seconds:9.3} {}", text.as_ref());
    }
}
