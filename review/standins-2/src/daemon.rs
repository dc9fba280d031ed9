//! Starts daemons with the command line of the deploy file and ends them.

use std::fs::{self, OpenOptions};
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

/// Largest number of seeds in the settings of a process.
const MAX_SEEDS: usize = 3;

/// Time after a restart of all VMs within which they must serve again.
pub const RECOVERY_S: u64 = 15;

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

/// What the settings of all VMs of a deployment have in common.
#[derive(Clone)]
struct CommonSettings {
    store: SocketAddr,
    folder: PathBuf,
}

/// One entry VM.
struct Vm {
    front: SocketAddr,
    ready: SocketAddr,
    relay: SocketAddr,
    path: PathBuf,
    /// Index of its process among the children that were started; `None` while it is down.
    child: Option<usize>,
}

/// The entry VMs of a small deployment, of which the first three at most are seeds.
pub struct Fleet {
    common: CommonSettings,
    vms: Vec<Vm>,
    seeds: Vec<SocketAddr>,
}

impl Fleet {
    /// Starts `count` daemons and waits until all are ready.
    pub fn start(store: &Store, count: usize) -> Result<Self, String> {
        let folder = std::env::temp_dir().join(format!("standins-2-{}", std::process::id()));
        fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        started().lock().unwrap().folder = Some(folder.clone());
        let addresses = free_addresses(3 * count)?;
        let (fronts, rest) = addresses.split_at(count);
        let (readiness, relays) = rest.split_at(count);
        let vms: Vec<Vm> = (0..count)
            .map(|index| Vm {
                front: fronts[index],
                ready: readiness[index],
                relay: relays[index],
                path: folder.join(format!("settings-{index}.json")),
                child: None,
            })
            .collect();
        let common = CommonSettings { store: store.address, folder };
        let seeds = relays[..count.min(MAX_SEEDS)].to_vec();
        let mut fleet = Self { common, vms, seeds };
        for index in 0..count {
            fleet.write_settings(index, true)?;
            fleet.spawn(index)?;
        }
        for index in 0..count {
            fleet.wait_until_ready(index)?;
        }
        Ok(fleet)
    }

    /// Address of a VM for clients.
    pub fn front(&self, index: usize) -> SocketAddr {
        self.vms[index].front
    }

    /// Whether all daemons that should run still do.
    pub fn is_running(&self) -> bool {
        let mut started = started().lock().unwrap();
        let mut running = self.vms.iter().filter_map(|vm| vm.child);
        running.all(|child| matches!(started.children[child].try_wait(), Ok(None)))
    }

    /// Ends the process of a VM at once, as a loss of power does.
    pub fn kill(&mut self, index: usize) {
        if let Some(child) = self.vms[index].child.take() {
            let child = &mut started().lock().unwrap().children[child];
            // It may have ended by itself.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Starts the process of a VM again and waits until it is ready.
    pub fn restart(&mut self, index: usize) -> Result<(), String> {
        self.write_settings(index, false)?;
        self.spawn(index)?;
        self.wait_until_ready(index)
    }

    /// Names other VMs as seeds in the settings of all VMs that run, and sends them SIGHUP.
    pub fn change_seeds(&mut self, indexes: &[usize]) -> Result<(), String> {
        self.seeds = indexes.iter().map(|index| self.vms[*index].relay).collect();
        for index in 0..self.vms.len() {
            if let Some(child) = self.vms[index].child {
                self.write_settings(index, false)?;
                let process = started().lock().unwrap().children[child].id();
                let command = format!("kill -HUP {process}");
                let status = Command::new("sh").arg("-c").arg(command).status();
                status.map_err(|error| format!("kill: {error}"))?;
            }
        }
        Ok(())
    }

    fn write_settings(&self, index: usize, is_first_start: bool) -> Result<(), String> {
        let vm = &self.vms[index];
        let seeds: Vec<String> = self.seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
        let settings = format!(
            "{{\"vm\": \"edge-za-{number}\", \"zone\": \"za\", \"callers\": \"{front}\", \
             \"readiness\": \"{ready}\", \"store\": \"{store}\", \"relay\": \"{relay}\", \
             \"relays\": [{seeds}], \"grace_s\": 6, \"contact_s\": 3, \"config_apply_s\": 2, \
             \"drain_s\": 2, \"recovery_s\": {RECOVERY_S}, \"heartbeat_s\": 1.5, \
             \"quotas\": {{\"over\": 0.1, \"slack\": 20, \"window_s\": 5}}, \
             \"first_start\": {is_first_start}, \
             \"retries\": {{\"ratio\": 0.2, \"slack\": 58, \"window_s\": 10}}}}",
            number = index + 1,
            front = vm.front,
            ready = vm.ready,
            store = self.common.store,
            relay = vm.relay,
            seeds = seeds.join(","),
        );
        fs::write(&vm.path, settings).map_err(|error| error.to_string())
    }

    fn spawn(&mut self, index: usize) -> Result<(), String> {
        let log = self.common.folder.join(format!("log-{index}.txt"));
        let log = OpenOptions::new().create(true).append(true).open(log);
        let log = log.map_err(|error| error.to_string())?;
        let errors = log.try_clone().map_err(|error| error.to_string())?;
        let child = Command::new(DAEMON)
            .arg("--hosted")
            .arg(&self.vms[index].path)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .map_err(|error| format!("{DAEMON}: {error}"))?;
        let mut started = started().lock().unwrap();
        started.children.push(child);
        self.vms[index].child = Some(started.children.len() - 1);
        Ok(())
    }

    fn wait_until_ready(&self, index: usize) -> Result<(), String> {
        wait_until_ready(self.vms[index].ready)
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
