//! Daemons as child processes.

use std::net::{SocketAddr, TcpListener};
use std::ops::Range;
use std::path::Path;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use rustix::process::Signal;
use serde_json::Value;
use tokio::time::{Instant, sleep};

use crate::caller::{CallRequest, call};
use crate::process::{TestProcess, lock_process_starts};

/// Longest time for a daemon to become ready or to exit. The bound is generous since CI keeps every
/// core busy.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// A daemon process, killed on drop.
pub struct DaemonProcess {
    process: TestProcess,
    /// Address of the caller listener.
    pub callers: SocketAddr,
    /// Address of the operator listener.
    pub operators: SocketAddr,
    /// Address of the peer listener.
    pub peers: SocketAddr,
}

/// Returns a loopback address whose port was free when checked. The port lies outside the range of
/// outgoing connections, so that no connection takes it before a process listens on it.
pub fn free_address() -> SocketAddr {
    /// Ports below the range that Linux assigns to outgoing connections (32,768 and up).
    const PORT_RANGE: Range<u32> = 10_000..32_000;
    static CALL_COUNT: AtomicU32 = AtomicU32::new(0);
    loop {
        // The process ID makes successive test programs start at different ports.
        let offset = std::process::id()
            .wrapping_mul(101)
            .wrapping_add(CALL_COUNT.fetch_add(1, Ordering::Relaxed));
        let port = PORT_RANGE.start + offset % (PORT_RANGE.end - PORT_RANGE.start);
        let address = SocketAddr::from(([127, 0, 0, 1], port as u16));
        let _guard = lock_process_starts();
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

impl DaemonProcess {
    /// Starts a daemon with these settings, which must contain its three listener addresses.
    pub fn start(program: &Path, settings: &Value) -> Self {
        let address = |field: &str| {
            let text = settings[field].as_str().expect("the settings contain the address");
            text.parse().expect("the address is valid")
        };
        let operators: SocketAddr = address("operators");
        let name = format!("test-{}", operators.port());
        Self {
            process: TestProcess::start(program, &[], &name, settings),
            callers: address("callers"),
            operators,
            peers: address("peers"),
        }
    }

    /// Waits until the daemon reports that it is ready.
    pub async fn wait_ready(&mut self) {
        let is_ready = self.is_ready_within(WAIT_TIMEOUT).await;
        assert!(is_ready, "daemon did not become ready: {}", self.process.describe());
    }

    /// Whether the daemon reports within `timeout` that it is ready; `false` if it exits first.
    pub async fn is_ready_within(&mut self, timeout: Duration) -> bool {
        let deadline = Instant::now() + timeout;
        while Instant::now() < deadline && self.process.exit_status().is_none() {
            let mut request = CallRequest::get(self.operators, "test", "/readyz");
            request.timeout = Duration::from_secs(2);
            if call(&request).await.is_ok_and(|response| response.status == 200) {
                return true;
            }
            sleep(Duration::from_millis(50)).await;
        }
        false
    }

    /// Suspends the process with SIGSTOP.
    pub fn suspend(&self) {
        self.process.signal(Signal::STOP);
    }

    /// Resumes a suspended process with SIGCONT.
    pub fn resume(&self) {
        self.process.signal(Signal::CONT);
    }

    /// Starts a graceful shutdown with SIGTERM.
    pub fn terminate(&self) {
        self.process.signal(Signal::TERM);
    }

    /// Kills the process and waits until it has exited.
    pub fn kill(&mut self) {
        self.process.kill();
    }

    /// Waits until the process exits, and returns its exit status.
    pub async fn wait_exit(&mut self) -> i32 {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        while Instant::now() < deadline {
            if let Some(status) = self.process.exit_status() {
                return status;
            }
            sleep(Duration::from_millis(20)).await;
        }
        panic!("daemon did not exit: {}", self.process.describe());
    }

    /// The process ID.
    pub fn id(&self) -> u32 {
        self.process.id()
    }
}
