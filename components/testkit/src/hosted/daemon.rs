//! Hosted daemons as separate processes.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use rustix::process::Signal;
use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

use crate::caller::{CallRequest, call};
use crate::daemons::free_address;
use crate::hosted::WAIT_TIMEOUT;
use crate::process::TestProcess;

/// Pause between two questions for readiness.
const READINESS_CHECK_PAUSE: Duration = Duration::from_millis(20);

/// A hosted daemon as a process; it is killed when dropped.
pub struct HostedDaemon {
    process: TestProcess,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where readiness is asked for.
    pub readiness: SocketAddr,
    /// Where metrics are read, besides.
    pub metrics: SocketAddr,
}

impl HostedDaemon {
    /// Starts a daemon on a store, which is the only relay itself.
    pub fn start(program: &Path, store: SocketAddr) -> Self {
        let relay = free_address();
        Self::start_with_relays(program, store, relay, &[relay])
    }

    /// Starts a daemon that reads the store itself or through relays.
    pub fn start_with_relays(
        program: &Path,
        store: SocketAddr,
        relay: SocketAddr,
        relays: &[SocketAddr],
    ) -> Self {
        let (callers, readiness, metrics) = (free_address(), free_address(), free_address());
        let settings = json!({
            "vm": "entry-1", "zone": "zone-a", "callers": callers, "readiness": readiness,
            "metrics": metrics, "store": store, "relay": relay, "relays": relays, "grace_s": 30, "contact_s": 3,
            "retries": { "ratio": 0.2, "slack": 120, "window_s": 10 },
        });
        let name = format!("hosted-{}", callers.port());
        let process = TestProcess::start(program, &["--hosted"], &name, &settings);
        Self { process, callers, readiness, metrics }
    }

    /// Lines that it has logged so far which hold a text.
    pub fn log_lines_containing(&self, text: &str) -> Vec<Value> {
        let log = self.process.read_log();
        let lines = log.lines().filter(|line| line.contains(text));
        lines.map(|line| serde_json::from_str(line).expect("log lines are JSON")).collect()
    }

    /// Where its log lies.
    pub fn log_path(&self) -> &Path {
        self.process.log_path()
    }

    /// The status with which it answers a question for readiness.
    pub async fn readiness_status(&self) -> Option<u16> {
        let request = CallRequest::get(self.readiness, "test", "/readyz");
        call(&request).await.ok().map(|response| response.status)
    }

    /// Waits until it says that it is ready.
    pub async fn wait_ready(&mut self) {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        while self.readiness_status().await != Some(200) {
            let has_failed = Instant::now() > deadline || self.exit_status().is_some();
            assert!(!has_failed, "daemon did not become ready: {}", self.process.describe());
            sleep(READINESS_CHECK_PAUSE).await;
        }
    }

    /// Sends a signal.
    pub fn signal(&self, signal: Signal) {
        self.process.signal(signal);
    }

    /// Begins a graceful shutdown.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Lets it read its settings again.
    pub fn reload_settings(&self) {
        self.signal(Signal::HUP);
    }

    /// Ends the process at once.
    pub fn kill(&mut self) {
        self.process.kill();
    }

    /// Whether the process has ended, and how.
    pub fn exit_status(&mut self) -> Option<i32> {
        self.process.exit_status()
    }
}
