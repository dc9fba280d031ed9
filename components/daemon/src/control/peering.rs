//! Connections to all other entry VMs.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::task::AbortHandle;
use tokio::time::{Instant, interval};

use board::Blackboard;
use model::FastMap;
use observe::{DaemonMetrics, Logger};
use peers::{PeerEvent, PeerHeartbeat, PeerIdentity, dial_peer};

/// Interval between checks of the set of peer addresses.
const ADDRESS_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Account and group under which the platform's server list contains the entry VMs.
const ENTRY_VM_ACCOUNT: &str = "fleet";
const ENTRY_VM_GROUP: &str = "entry";

/// Dependencies of `maintain_peer_connections`.
pub(crate) struct PeeringArguments {
    pub(crate) identity: PeerIdentity,
    pub(crate) local_address: SocketAddr,
    pub(crate) board: Arc<Blackboard>,
    pub(crate) events: mpsc::Sender<PeerEvent>,
    pub(crate) metrics: DaemonMetrics,
    pub(crate) stamp_epoch: Instant,
    pub(crate) log: Logger,
}

/// Runs one dial task for each other entry VM among the fleet's members and in the platform's
/// server list, until the task is aborted.
pub(crate) async fn maintain_peer_connections(arguments: PeeringArguments) {
    let mut dial_tasks: FastMap<SocketAddr, AbortHandle> = FastMap::default();
    let mut ticks = interval(ADDRESS_CHECK_INTERVAL);
    loop {
        ticks.tick().await;
        let addresses = peer_addresses(&arguments);
        dial_tasks.retain(|address, task| {
            let is_current = addresses.contains(address);
            if !is_current {
                task.abort();
            }
            is_current
        });
        for address in addresses {
            dial_tasks.entry(address).or_insert_with(|| spawn_dial_task(&arguments, address));
        }
    }
}

/// Returns the peer addresses of all entry VMs in the platform's server list. A VM that starts
/// while the table is unreachable finds its peers through them.
pub(crate) fn listed_entry_vm_addresses(board: &Blackboard) -> Vec<SocketAddr> {
    board
        .watch_servers()
        .borrow()
        .iter()
        .filter(|entry| entry.account.as_str() == ENTRY_VM_ACCOUNT)
        .filter(|entry| entry.group.as_str() == ENTRY_VM_GROUP)
        .map(|entry| entry.address)
        .collect()
}

fn peer_addresses(arguments: &PeeringArguments) -> Vec<SocketAddr> {
    let fleet = arguments.board.fleet();
    let listed = listed_entry_vm_addresses(&arguments.board);
    let members = fleet.members.iter().map(|member| member.row.peer_address);
    let mut addresses: Vec<SocketAddr> =
        members.chain(listed).filter(|address| *address != arguments.local_address).collect();
    addresses.sort_unstable();
    addresses.dedup();
    addresses
}

fn spawn_dial_task(arguments: &PeeringArguments, address: SocketAddr) -> AbortHandle {
    let (board, epoch) = (Arc::clone(&arguments.board), arguments.stamp_epoch);
    let heartbeat = move || PeerHeartbeat {
        revision: board.revision(),
        stamp_us: epoch.elapsed().as_micros() as u64,
    };
    let task = dial_peer(
        address,
        arguments.identity.clone(),
        arguments.events.clone(),
        heartbeat,
        arguments.metrics.clone(),
        arguments.log.clone(),
    );
    tokio::spawn(task).abort_handle()
}
