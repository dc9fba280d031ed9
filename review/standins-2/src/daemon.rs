//! Starts daemons with the command line of the deploy file and ends them.

use std::fs::{self, File};
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio, exit};
use std::sync::{Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::Reader;
use crate::store::Store;

const DAEMON: &str = "target/release/mustardraild";

/// Longest time until a daemon is ready.
const START_TIMEOUT: Duration = Duration::from_secs(15);

/// Exit status if the case takes too long.
const EXIT_NOT_RUN: i32 = 2;

/// Everything that must not outlive this process.
#[derive(Default)]
struct Started {
    children: Vec<Child>,
    folder: Option<PathBuf>,
}

fn started() -> &'static Mutex<Started> {
    static STARTED: OnceLock<Mutex<Started>> = OnceLock::new();
    STARTED.get_or_init(Mutex::default)
}

/// Ends the daemons and removes the temporary folder.
pub fn kill_all() {
    let mut started = started().lock().unwrap();
    for mut child in started.children.drain(..) {
        // It may have ended by itself.
        let _ = child.kill();
        let _ = child.wait();
    }
    if let Some(folder) = started.folder.take() {
        let _ = fs::remove_dir_all(folder);
    }
}

/// Ends everything if the case takes longer than `max_time`.
pub fn start_watchdog(max_time: Duration) {
    thread::spawn(move || {
        thread::sleep(max_time);
        kill_all();
        exit(EXIT_NOT_RUN);
    });
}

/// The entry VMs of a small deployment, all of them seeds.
pub struct Fleet {
    /// Addresses for clients.
    pub fronts: Vec<SocketAddr>,
}

impl Fleet {
    /// Starts `count` daemons, at most three, and waits until all are ready.
    pub fn start(store: &Store, count: usize) -> Result<Self, String> {
        let folder = std::env::temp_dir().join(format!("standins-2-{}", std::process::id()));
        fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        started().lock().unwrap().folder = Some(folder.clone());
        let ports = free_addresses(3 * count)?;
        let (fronts, rest) = ports.split_at(count);
        let (readiness, relays) = rest.split_at(count);
        let seeds: Vec<String> = relays.iter().map(|relay| format!("\"{relay}\"")).collect();
        for index in 0..count {
            let settings = format!(
                "{{\"vm\": \"edge-za-{number}\", \"zone\": \"za\", \"callers\": \"{front}\", \
                 \"readiness\": \"{ready}\", \"store\": \"{store}\", \"relay\": \"{relay}\", \
                 \"relays\": [{seeds}], \"grace_s\": 6, \"contact_s\": 3, \"config_apply_s\": 2, \
                 \"drain_s\": 2, \"recovery_s\": 15, \"heartbeat_s\": 1.5, \"first_start\": true, \
                 \"retries\": {{\"ratio\": 0.2, \"slack\": 58, \"window_s\": 10}}}}",
                number = index + 1,
                front = fronts[index],
                ready = readiness[index],
                store = store.address,
                relay = relays[index],
                seeds = seeds.join(","),
            );
            let path = folder.join(format!("settings-{index}.json"));
            fs::write(&path, settings).map_err(|error| error.to_string())?;
            let log = File::create(folder.join(format!("log-{index}.txt")));
            let log = log.map_err(|error| error.to_string())?;
            let errors = log.try_clone().map_err(|error| error.to_string())?;
            let child = Command::new(DAEMON)
                .arg("--hosted")
                .arg(&path)
                .stdin(Stdio::null())
                .stdout(log)
                .stderr(errors)
                .spawn()
                .map_err(|error| format!("{DAEMON}: {error}"))?;
            started().lock().unwrap().children.push(child);
        }
        for address in readiness {
            wait_until_ready(*address)?;
        }
        Ok(Self { fronts: fronts.to_vec() })
    }

    /// Whether all daemons still run.
    pub fn is_running(&self) -> bool {
        let mut started = started().lock().unwrap();
        started.children.iter_mut().all(|child| matches!(child.try_wait(), Ok(None)))
    }
}

fn free_addresses(count: usize) -> Result<Vec<SocketAddr>, String> {
    let listeners: Result<Vec<TcpListener>, _> =
        (0..count).map(|_| TcpListener::bind("127.0.0.1:0")).collect();
    let listeners = listeners.map_err(|error| error.to_string())?;
    let addresses: Result<Vec<SocketAddr>, _> =
        listeners.iter().map(TcpListener::local_addr).collect();
    addresses.map_err(|error| error.to_string())
}

fn wait_until_ready(address: SocketAddr) -> Result<(), String> {
    let until = Instant::now() + START_TIMEOUT;
    while Instant::now() < until {
        if is_ready(address).unwrap_or(false) {
            return Ok(());
        }
        thread::sleep(Duration::from_millis(50));
    }
    Err(format!("the daemon at {address} was not ready in time"))
}

fn is_ready(address: SocketAddr) -> std::io::Result<bool> {
    let mut stream = TcpStream::connect(address)?;
    stream.write_all(b"GET /readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")?;
    let mut reader = Reader::new(stream);
    reader.set_timeout(Duration::from_secs(1))?;
    Ok(reader.response()?.head.status() == 200)
}
