//! What was sent, answered and run, as lines of `record.txt`.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

/// What is known of one request, which is one client attempt.
#[derive(Debug, Default, Clone)]
pub struct RequestRecord {
    /// Entry VM to which it was sent.
    pub vm: String,
    /// Time at which the client sent its last byte, in seconds.
    pub sent_at: f64,
    /// Status of the answer, or 0 if the connection ended without one.
    pub status: Option<u16>,
    /// Time of the answer or of the end of the connection.
    pub ended_at: f64,
    /// Workers that got the request, with the time.
    pub arrivals: Vec<(String, f64)>,
    /// Workers that began to run it, with the time.
    pub runs: Vec<(String, f64)>,
}

pub struct Record {
    started: Instant,
    file: Mutex<BufWriter<File>>,
    requests: Mutex<BTreeMap<String, RequestRecord>>,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("record.txt can be written");
        Self {
            started: Instant::now(),
            file: Mutex::new(BufWriter::new(file)),
            requests: Mutex::default(),
        }
    }

    pub fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    pub fn note(&self, text: &str) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:9.4} {text}", self.now());
    }

    pub fn sent(&self, id: &str, vm: &str) {
        let now = self.now();
        let mut requests = self.requests.lock().unwrap();
        let request = requests.entry(id.into()).or_default();
        (request.vm, request.sent_at) = (vm.into(), now);
        drop(requests);
        self.note(&format!("client sent {id} to {vm}"));
    }

    pub fn answered(&self, id: &str, status: u16) {
        let now = self.now();
        let mut requests = self.requests.lock().unwrap();
        let request = requests.entry(id.into()).or_default();
        request.status = Some(status);
        request.ended_at = now;
        drop(requests);
        match status {
            0 => self.note(&format!("connection of {id} ended without an answer")),
            _ => self.note(&format!("client got {status} for {id}")),
        }
    }

    pub fn arrived(&self, id: &str, worker: &str) {
        let now = self.now();
        let mut requests = self.requests.lock().unwrap();
        requests.entry(id.into()).or_default().arrivals.push((worker.into(), now));
        drop(requests);
        self.note(&format!("{worker} got {id}"));
    }

    pub fn ran(&self, id: &str, worker: &str) {
        let now = self.now();
        let mut requests = self.requests.lock().unwrap();
        requests.entry(id.into()).or_default().runs.push((worker.into(), now));
        drop(requests);
        self.note(&format!("{worker} runs {id}"));
    }

    pub fn requests(&self) -> BTreeMap<String, RequestRecord> {
        self.requests.lock().unwrap().clone()
    }

    /// Writes everything to the file.
    pub fn flush(&self) {
        let _ = self.file.lock().unwrap().flush();
    }
}
