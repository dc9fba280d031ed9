//! Processes that are partitioned from the servers behind fault proxies.

use std::fs;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};

/// State `ESTABLISHED` of a connection in `/proc/net/tcp`.
const ESTABLISHED: &str = "01";

/// Processes that are partitioned from the servers behind the proxies which share this.
#[derive(Debug, Clone, Default)]
pub(crate) struct ProcessCuts(Arc<Mutex<Vec<u32>>>);

impl ProcessCuts {
    pub(crate) fn add(&self, process_id: u32) {
        self.processes().push(process_id);
    }

    pub(crate) fn end(&self) {
        self.processes().clear();
    }

    /// Whether a partitioned process opened the connection from `client`.
    pub(crate) fn applies_to(&self, client: SocketAddr) -> bool {
        let processes = self.processes().clone();
        if processes.is_empty() {
            return false;
        }
        let Some(inode) = socket_inode(client) else {
            return false;
        };
        processes.into_iter().any(|process_id| owns_socket(process_id, &inode))
    }

    fn processes(&self) -> MutexGuard<'_, Vec<u32>> {
        self.0.lock().expect("cut lock is never poisoned")
    }
}

/// Returns the inode of the IPv4 socket that is bound to a local address.
fn socket_inode(address: SocketAddr) -> Option<Box<str>> {
    let SocketAddr::V4(address) = address else {
        return None;
    };
    let ip = u32::from_ne_bytes(address.ip().octets());
    let text = format!("{ip:08X}:{:04X}", address.port());
    let table = fs::read_to_string("/proc/net/tcp").ok()?;
    table.lines().find_map(|line| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let is_socket =
            fields.get(1) == Some(&text.as_str()) && fields.get(3) == Some(&ESTABLISHED);
        is_socket.then(|| fields.get(9).map(|inode| Box::from(*inode))).flatten()
    })
}

fn owns_socket(process_id: u32, inode: &str) -> bool {
    let expected = format!("socket:[{inode}]");
    let Ok(descriptors) = fs::read_dir(format!("/proc/{process_id}/fd")) else {
        // The process has ended.
        return false;
    };
    descriptors
        .flatten()
        .filter_map(|descriptor| fs::read_link(descriptor.path()).ok())
        .any(|target| target.to_string_lossy() == expected.as_str())
}
