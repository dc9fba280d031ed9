//! Daemons as separate processes.

use std::net::{SocketAddr, TcpListener};
use std::ops::Range;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;
use tokio::time::{Instant, sleep};

use crate::caller::{CallRequest, call};

/// Longest time for a daemon to become ready or to end; CI runs with every core busy.
const PATIENCE: Duration = Duration::from_secs(60);

/// A daemon process; it is killed when dropped.
pub struct DaemonProcess {
    child: Child,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where operators connect.
    pub operators: SocketAddr,
    /// Where peers connect.
    pub peers: SocketAddr,
}

/// A port that was free a moment ago and that no outgoing connection is given meanwhile.
pub fn free_port() -> SocketAddr {
    /// Ports below those that Linux gives to outgoing connections (32,768 and up).
    const PORTS: Range<u32> = 10_000..32_000;
    static TAKEN: AtomicU32 = AtomicU32::new(0);
    loop {
        // Test programs that follow each other start at different places.
        let turn = std::process::id()
            .wrapping_mul(101)
            .wrapping_add(TAKEN.fetch_add(1, Ordering::Relaxed));
        let port = PORTS.start + turn % (PORTS.end - PORTS.start);
        let address = SocketAddr::from(([127, 0, 0, 1], port as u16));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

impl DaemonProcess {
    /// Starts a daemon with these settings, which must name its three addresses.
    pub fn start(program: &Path, settings: &Value) -> Self {
        let name = format!("mustardrail-test-{}.json", free_port().port());
        let path = std::env::temp_dir().join(format!("{}-{name}", std::process::id()));
        std::fs::write(&path, settings.to_string()).expect("the temporary folder can be written");
        let child = Command::new(program)
            .arg(&path)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log_target())
            .spawn()
            .expect("the daemon can be started");
        let address = |field: &str| {
            let text = settings[field].as_str().expect("settings name the address");
            text.parse().expect("the address can be read")
        };
        Self {
            child,
            callers: address("callers"),
            operators: address("operators"),
            peers: address("peers"),
        }
    }

    /// Waits until the daemon says that it is ready.
    pub async fn wait_ready(&self) {
        assert!(self.is_ready_within(PATIENCE).await, "daemon did not become ready");
    }

    /// Whether the daemon says that it is ready within a time.
    pub async fn is_ready_within(&self, patience: Duration) -> bool {
        let deadline = Instant::now() + patience;
        while Instant::now() < deadline {
            let mut request = CallRequest::get(self.operators, "test", "/readyz");
            request.patience = Duration::from_secs(2);
            if call(&request).await.is_ok_and(|answer| answer.status == 200) {
                return true;
            }
            sleep(Duration::from_millis(50)).await;
        }
        false
    }

    /// Freezes the process.
    pub fn freeze(&self) {
        self.signal(Signal::STOP);
    }

    /// Lets a frozen process go on.
    pub fn thaw(&self) {
        self.signal(Signal::CONT);
    }

    /// Begins a graceful shutdown.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Ends the process at once.
    pub fn kill(&mut self) {
        // It may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Waits until the process has ended; its exit status.
    pub async fn wait_ended(&mut self) -> i32 {
        let deadline = Instant::now() + PATIENCE;
        while Instant::now() < deadline {
            if let Some(status) = self.child.try_wait().expect("the daemon can be waited for") {
                return status.code().unwrap_or(-1);
            }
            sleep(Duration::from_millis(20)).await;
        }
        panic!("daemon did not end");
    }

    /// The process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(self.child.id() as i32).expect("process ids are positive");
        kill_process(pid, signal).expect("the daemon can be signalled");
    }
}

impl Drop for DaemonProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Daemons log into a file when `MUSTARDRAIL_TEST_LOG` names one, and nowhere else.
pub(crate) fn log_target() -> Stdio {
    let Ok(path) = std::env::var("MUSTARDRAIL_TEST_LOG") else {
        return Stdio::null();
    };
    match std::fs::OpenOptions::new().create(true).append(true).open(path) {
        Ok(file) => file.into(),
        Err(_) => Stdio::null(),
    }
}
