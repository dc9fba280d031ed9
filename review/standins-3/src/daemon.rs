//! The project's daemon as a process, started as the deploy file says, with settings like those of
//! a small deployment.

use std::fs::File;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use crate::http::call;

pub struct Daemon {
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Mutex<Option<Child>>,
}

/// Returns free loopback addresses of this process, at an IP address of its own: connections that
/// others open, from 127.0.0.1, then take none of the ports before the daemons listen.
pub fn free_addresses(count: usize) -> Vec<SocketAddr> {
    let [.., high, low] = std::process::id().to_be_bytes();
    let ip = Ipv4Addr::new(127, 10 + high % 200, low, 1);
    // The listeners are kept until all addresses are drawn, so that none is drawn twice.
    let listeners: Vec<TcpListener> =
        (0..count).map(|_| TcpListener::bind((ip, 0)).expect("a free port")).collect();
    listeners.iter().map(|listener| listener.local_addr().expect("it is bound")).collect()
}

/// The template of `deploy/settings.json`, filled in.
fn settings(
    name: &str,
    zone: &str,
    [callers, readiness, metrics, relay]: [SocketAddr; 4],
    store: SocketAddr,
    relays: &[SocketAddr],
) -> String {
    let relays: Vec<String> = relays.iter().map(|relay| format!("\"{relay}\"")).collect();
    let relays = relays.join(",");
    format!(
        r#"{{
  "vm": "{name}",
  "zone": "{zone}",
  "callers": "{callers}",
  "readiness": "{readiness}",
  "metrics": "{metrics}",
  "store": "{store}",
  "relay": "{relay}",
  "relays": [{relays}],
  "grace_s": 6,
  "contact_s": 3,
  "relay_change_s": 3,
  "config_apply_s": 2.5,
  "drain_s": 2.5,
  "evacuate_s": 5,
  "recovery_s": 15,
  "cold_servers": {{ "over": 1.5, "slack": 8 }},
  "heartbeat_s": 1.5,
  "quotas": {{ "over": 0.1, "slack": 20, "window_s": 5 }},
  "first_start": true,
  "retries": {{ "ratio": 0.2, "slack": 168, "window_s": 10 }}
}}
"#
    )
}

impl Daemon {
    /// Starts a daemon. `addresses` are those for callers, readiness, metrics and the relay.
    pub fn start(
        folder: &Path,
        name: &str,
        zone: &str,
        addresses: [SocketAddr; 4],
        store: SocketAddr,
        relays: &[SocketAddr],
    ) -> Daemon {
        let settings_path = folder.join(format!("{name}.json"));
        let text = settings(name, zone, addresses, store, relays);
        std::fs::write(&settings_path, text).expect("the temporary folder is writable");
        let daemon = Daemon {
            callers: addresses[0],
            readiness: addresses[1],
            settings: settings_path,
            log: folder.join(format!("{name}.log")),
            child: Mutex::new(None),
        };
        daemon.spawn();
        daemon
    }

    /// Starts the process, again after it has ended.
    pub fn spawn(&self) {
        let log = File::options().create(true).append(true).open(&self.log).expect("a log file");
        let errors = log.try_clone().expect("a log file");
        let child = Command::new("target/release/mustardraild")
            .arg("--hosted")
            .arg(&self.settings)
            .env("MUSTARDRAIL_BOOT", &self.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .expect("target/release/mustardraild was built");
        *self.child.lock().unwrap() = Some(child);
    }

    /// Kills the process and waits for its end.
    pub fn kill(&self) {
        if let Some(mut child) = self.child.lock().unwrap().take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn is_ready(&self) -> bool {
        let host = [("Host", self.readiness.to_string())];
        let answer =
            call(self.readiness, "GET /readyz HTTP/1.1", &host, b"", Duration::from_millis(500));
        answer.is_ok_and(|answer| answer.status() == 200)
    }

    pub fn wait_ready(&self, timeout: Duration) -> bool {
        let until = Instant::now() + timeout;
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}
