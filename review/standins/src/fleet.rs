//! Entry VMs as processes of the project's daemon, and a small configuration.

use std::fs::OpenOptions;
use std::net::{SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http::Connection;
use crate::random::Random;
use crate::store::Store;
use crate::worker::Worker;

/// Interval at which workers renew their entries.
const HEARTBEAT: Duration = Duration::from_millis(1_500);

/// Interval at which the platform checks whether a VM is ready.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Bounds of the deployments in the users' pages.
pub const GRACE_S: f64 = 6.0;

extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
    fn prctl(option: i32, first: u64, second: u64, third: u64, fourth: u64) -> i32;
}

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
const PR_SET_PDEATHSIG: i32 = 1;

pub struct Vm {
    pub name: String,
    pub zone: String,
    pub callers: SocketAddr,
    readiness: SocketAddr,
    program: PathBuf,
    folder: PathBuf,
    /// Content of the settings file, with `FIRST_START` in place of whether the fleet is new.
    settings: String,
    child: Mutex<Option<Child>>,
}

impl Vm {
    fn start(&self, is_first_start: bool) {
        let path = self.folder.join(format!("{}.json", self.name));
        let settings = self.settings.replace("FIRST_START", &is_first_start.to_string());
        std::fs::write(&path, settings).expect("the temporary folder can be written");
        let log = OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{}.log", self.name)))
            .expect("a log can be written");
        let errors = log.try_clone().expect("a file can be opened twice");
        let mut command = Command::new(&self.program);
        command.arg("--hosted").arg(&path).stdin(Stdio::null()).stdout(log).stderr(errors);
        // SAFETY: only calls `prctl`, so that the daemon ends with this process.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL as u64, 0, 0, 0);
                Ok(())
            })
        };
        *self.child.lock().unwrap() = Some(command.spawn().expect("the daemon starts"));
    }

    /// Starts the process again after it has ended.
    pub fn restart(&self) {
        self.start(false);
    }

    pub fn signal(&self, signal: i32) {
        if let Some(child) = &*self.child.lock().unwrap() {
            // SAFETY: sends a signal to a process that this one started and has not waited for.
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    pub fn is_running(&self) -> bool {
        let mut child = self.child.lock().unwrap();
        child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    pub fn is_ready(&self) -> bool {
        let Ok(mut connection) = Connection::open(self.readiness, Duration::from_secs(1)) else {
            return false;
        };
        let sent = connection.write(b"GET /readyz HTTP/1.1\r\nHost: ready\r\n\r\n");
        sent.is_ok() && connection.read().is_ok_and(|answer| answer.status() == 200)
    }
}

impl Drop for Vm {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.lock().unwrap().take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Returns an address with a free port below those that the kernel gives to outgoing connections, so
/// that a restarted VM finds it free again.
fn free_address() -> SocketAddr {
    let random = Random::new();
    loop {
        let port = 10_000 + (random.next() * 20_000.0) as u16;
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

/// Starts entry VMs with the settings that `deploy/settings.json` gives a small deployment.
pub fn start_vms(program: &Path, folder: &Path, store: &Store, zones: &[&str]) -> Vec<Vm> {
    let relays: Vec<SocketAddr> = zones.iter().map(|_| free_address()).collect();
    let seeds: Vec<String> = relays.iter().take(3).map(|relay| format!("\"{relay}\"")).collect();
    let seeds = seeds.join(", ");
    let started = zones.iter().zip(&relays).enumerate().map(|(index, (zone, relay))| {
        let name = format!("edge-{zone}-{}", index + 1);
        let (callers, readiness, metrics) = (free_address(), free_address(), free_address());
        let settings = format!(
            "{{\n  \"vm\": \"{name}\",\n  \"zone\": \"{zone}\",\n  \"callers\": \"{callers}\",\n  \
             \"readiness\": \"{readiness}\",\n  \"metrics\": \"{metrics}\",\n  \"store\": \"{}\",\n  \
             \"relay\": \"{relay}\",\n  \"relays\": [{seeds}],\n  \"grace_s\": {GRACE_S},\n  \
             \"contact_s\": 3,\n  \"config_apply_s\": 2,\n  \"drain_s\": 2,\n  \"recovery_s\": 15,\n  \
             \"heartbeat_s\": 1.5,\n  \"first_start\": FIRST_START,\n  \
             \"cold_servers\": {{ \"over\": 1.5, \"slack\": 8 }},\n  \
             \"retries\": {{ \"ratio\": 0.2, \"slack\": 58, \"window_s\": 10 }}\n}}\n",
            store.address
        );
        let vm = Vm {
            name,
            zone: (*zone).into(),
            callers,
            readiness,
            program: program.into(),
            folder: folder.into(),
            settings,
            child: Mutex::new(None),
        };
        vm.start(true);
        vm
    });
    started.collect()
}

/// Waits until all VMs are ready; returns `false` if one is not within 20 s.
pub fn wait_ready(vms: &[Vm]) -> bool {
    let until = Instant::now() + Duration::from_secs(20);
    while !vms.iter().all(Vm::is_ready) {
        if Instant::now() > until || !vms.iter().all(Vm::is_running) {
            return false;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    true
}

/// The platform's balancer: which VMs get new connections.
pub struct Balancer {
    in_rotation: Vec<AtomicBool>,
}

impl Balancer {
    pub fn new(vms: &[Vm]) -> Self {
        Self { in_rotation: vms.iter().map(|_| AtomicBool::new(true)).collect() }
    }

    /// Checks one VM each second until `stop` is set. After two misses it gets no new connection
    /// until it responds with 200 again.
    pub fn check(&self, index: usize, vm: &Vm, stop: &AtomicBool) {
        let mut misses = 0;
        while !stop.load(Ordering::Relaxed) {
            misses = if vm.is_ready() { 0 } else { misses + 1 };
            self.in_rotation[index].store(misses < 2, Ordering::Relaxed);
            std::thread::sleep(CHECK_INTERVAL);
        }
    }

    /// Returns the VM for a new connection of a client in a zone. If fewer than half of the zone's
    /// VMs are in rotation, all of them are used.
    pub fn choose<'a>(&self, vms: &'a [Vm], zone: &str, random: &Random) -> &'a Vm {
        let own: Vec<usize> = (0..vms.len()).filter(|index| vms[*index].zone == zone).collect();
        let is_in = |index: &usize| self.in_rotation[*index].load(Ordering::Relaxed);
        let rotating: Vec<usize> = own.iter().copied().filter(is_in).collect();
        let used = if rotating.len() * 2 < own.len() { own } else { rotating };
        &vms[used[(random.next() * used.len() as f64) as usize]]
    }
}

/// A route of the configuration.
pub struct Route {
    pub prefix: String,
    pub kind: &'static str,
    pub service: String,
    pub timeout_s: f64,
    pub target_s: f64,
    pub max_attempts: u32,
}

pub const HOST: &str = "hulo84.example";

/// Time for which a worker is cold, in seconds, and requests per second that it tolerates then.
pub const WARM_UP_S: f64 = 3.0;
pub const WARM_UP_PER_S: f64 = 4.5;

/// Writes the first configuration.
pub fn write_config(store: &Store, routes: &[Route]) {
    write_config_with(store, routes, false);
}

/// Writes the first configuration, of services whose workers can be cold or can't.
pub fn write_config_with(store: &Store, routes: &[Route], has_cold_workers: bool) {
    let warm_up = match has_cold_workers {
        true => format!(",\"warmup_s\":{WARM_UP_S:.1},\"warmup_per_s\":{WARM_UP_PER_S:.1}"),
        false => String::new(),
    };
    let mut services: Vec<&str> = routes.iter().map(|route| route.service.as_str()).collect();
    services.sort_unstable();
    services.dedup();
    let services: Vec<String> = services
        .iter()
        .map(|name| {
            format!("{{\"name\":\"{name}\",\"health_path\":\"/healthz\",\"max_connections\":220{warm_up}}}")
        })
        .collect();
    let paths: Vec<String> = routes
        .iter()
        .map(|route| {
            format!(
                "{{\"name\":\"r{}\",\"prefix\":\"{}\",\"kind\":\"{}\",\"timeout_s\":{:.1},\
                 \"target_latency_s\":{:.1},\"priority\":0,\"max_attempts\":{},\"service\":\"{}\"}}",
                route.prefix.replace('/', "-"),
                route.prefix,
                route.kind,
                route.timeout_s,
                route.target_s,
                route.max_attempts,
                route.service
            )
        })
        .collect();
    let config = format!(
        "{{\"version\":\"0000000c\",\"services\":[{}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":8388608,\"header_timeout_s\":5.0,\"idle_timeout_s\":15.0}},\
         \"hosts\":[{{\"host\":\"{HOST}\",\"paths\":[{}]}}]}}",
        services.join(","),
        paths.join(",")
    );
    store.put("op", "config", &config);
}

/// Registers workers and renews their entries until `stop` is set.
pub fn keep_registered(store: &Arc<Store>, workers: &[Arc<Worker>], stop: &Arc<AtomicBool>) {
    let (store, workers, stop) = (Arc::clone(store), workers.to_vec(), Arc::clone(stop));
    workers.iter().for_each(|worker| worker.register(&store, "ready"));
    std::thread::spawn(move || loop {
        std::thread::sleep(HEARTBEAT);
        if stop.load(Ordering::Relaxed) {
            return;
        }
        let running = workers.iter().filter(|worker| !worker.has_crashed());
        running.for_each(|worker| worker.register(&store, "ready"));
    });
}

/// A folder that is removed on drop.
pub struct TempFolder(pub PathBuf);

impl TempFolder {
    pub fn create(case: &str) -> Self {
        let name = format!("mustardrail-review-{case}-{}", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path).expect("the temporary folder can be written");
        Self(path)
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.0);
        }
    }
}
