//! Dials every other entry VM that is known.

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

/// Time between two looks at the members.
const LOOK_INTERVAL: Duration = Duration::from_secs(1);

/// Account and group under which the platform's list names entry VMs.
const ENTRY_ACCOUNT: &str = "fleet";
const ENTRY_GROUP: &str = "entry";

/// What the task works with.
pub(crate) struct PeeringArguments {
    pub(crate) identity: PeerIdentity,
    pub(crate) own_address: SocketAddr,
    pub(crate) board: Arc<Blackboard>,
    pub(crate) events: mpsc::Sender<PeerEvent>,
    pub(crate) metrics: DaemonMetrics,
    pub(crate) stamp_base: Instant,
    pub(crate) log: Logger,
}

/// Keeps one dialing task for each other entry VM, from the table's members and from the list.
pub(crate) async fn run_peering(arguments: PeeringArguments) {
    let mut dialing: FastMap<SocketAddr, AbortHandle> = FastMap::default();
    let mut looks = interval(LOOK_INTERVAL);
    loop {
        looks.tick().await;
        let wanted = wanted_addresses(&arguments);
        dialing.retain(|address, task| {
            let is_wanted = wanted.contains(address);
            if !is_wanted {
                task.abort();
            }
            is_wanted
        });
        for address in wanted {
            dialing.entry(address).or_insert_with(|| dial(&arguments, address));
        }
    }
}

/// Peer addresses of the entry VMs in the platform's list. A VM that starts while the table is
/// down finds its peers by them.
pub(crate) fn listed_entry_vms(board: &Blackboard) -> Vec<SocketAddr> {
    board
        .watch_servers()
        .borrow()
        .iter()
        .filter(|entry| entry.account.as_str() == ENTRY_ACCOUNT)
        .filter(|entry| entry.group.as_str() == ENTRY_GROUP)
        .map(|entry| entry.address)
        .collect()
}

fn wanted_addresses(arguments: &PeeringArguments) -> Vec<SocketAddr> {
    let fleet = arguments.board.fleet();
    let by_list = listed_entry_vms(&arguments.board);
    let members = fleet.members.iter().map(|member| member.row.peer_address);
    let mut wanted: Vec<SocketAddr> =
        members.chain(by_list).filter(|address| *address != arguments.own_address).collect();
    wanted.sort_unstable();
    wanted.dedup();
    wanted
}

fn dial(arguments: &PeeringArguments, address: SocketAddr) -> AbortHandle {
    let (board, base) = (Arc::clone(&arguments.board), arguments.stamp_base);
    let beat = move || PeerHeartbeat {
        revision: board.revision(),
        stamp_us: base.elapsed().as_micros() as u64,
    };
    let task = dial_peer(
        address,
        arguments.identity.clone(),
        arguments.events.clone(),
        beat,
        arguments.metrics.clone(),
        arguments.log.clone(),
    );
    tokio::spawn(task).abort_handle()
}
