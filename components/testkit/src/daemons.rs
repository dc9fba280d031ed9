//! Daemons as separate processes.

use std::net::{SocketAddr, TcpListener};
use std::ops::Range;
use std::path::Path;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use rustix::process::Signal;
use serde_json::Value;
use tokio::time::{Instant, sleep};

use crate::caller::{CallRequest, call};
use crate::process::TestProcess;

/// Longest time for a daemon to become ready or to end; CI runs with every core busy.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// A daemon process; it is killed when dropped.
pub struct DaemonProcess {
    process: TestProcess,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where operators connect.
    pub operators: SocketAddr,
    /// Where peers connect.
    pub peers: SocketAddr,
}

/// A port that was free a moment ago and that no outgoing connection is given meanwhile.
pub fn free_address() -> SocketAddr {
    /// Ports below those that Linux gives to outgoing connections (32,768 and up).
    const PORT_RANGE: Range<u32> = 10_000..32_000;
    static CALL_COUNT: AtomicU32 = AtomicU32::new(0);
    loop {
        // Test programs that follow each other start at different places.
        let offset = std::process::id()
            .wrapping_mul(101)
            .wrapping_add(CALL_COUNT.fetch_add(1, Ordering::Relaxed));
        let port = PORT_RANGE.start + offset % (PORT_RANGE.end - PORT_RANGE.start);
        let address = SocketAddr::from(([127, 0, 0, 1], port as u16));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

impl DaemonProcess {
    /// Starts a daemon with these settings, which must name its three addresses.
    pub fn start(program: &Path, settings: &Value) -> Self {
        let address = |field: &str| {
            let text = settings[field].as_str().expect("settings name the address");
            text.parse().expect("the address can be read")
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

    /// Waits until the daemon says that it is ready.
    pub async fn wait_ready(&mut self) {
        let is_ready = self.is_ready_within(WAIT_TIMEOUT).await;
        assert!(is_ready, "daemon did not become ready: {}", self.process.describe());
    }

    /// Whether the daemon says that it is ready within a time; `false` once it has ended.
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

    /// Freezes the process.
    pub fn suspend(&self) {
        self.process.signal(Signal::STOP);
    }

    /// Lets a frozen process go on.
    pub fn resume(&self) {
        self.process.signal(Signal::CONT);
    }

    /// Begins a graceful shutdown.
    pub fn terminate(&self) {
        self.process.signal(Signal::TERM);
    }

    /// Ends the process at once.
    pub fn kill(&mut self) {
        self.process.kill();
    }

    /// Waits until the process has ended; its exit status.
    pub async fn wait_exit(&mut self) -> i32 {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        while Instant::now() < deadline {
            if let Some(status) = self.process.exit_status() {
                return status;
            }
            sleep(Duration::from_millis(20)).await;
        }
        panic!("daemon did not end: {}", self.process.describe());
    }

    /// The process id.
    pub fn id(&self) -> u32 {
        self.process.id()
    }
}
