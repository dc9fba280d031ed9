//! The request path's state for each service.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use arc_swap::ArcSwap;
use tokio::time::Instant;

use balance::{
    BalanceOptions, GroupSpec, ListedServer, ServerEndpoint, ServerGroup, choose_preferred,
    choose_subset,
};
use board::Blackboard;
use limits::RetryBudget;
use model::{AccountId, FastMap, GroupName, RevisionNumber, ServerId, ZoneName};
use records::{ServiceConfig, ServiceKey};
use store::{ServerEntry, ServerState};

use crate::pool::ConnectionPool;

/// Smallest number of connections from one entry VM to one server. With fewer connections, requests
/// would wait for each other, so an entry VM uses fewer servers instead.
const MIN_CONNECTIONS_PER_SERVER: u32 = 4;

/// Number of entry VMs that have the same server among their preferred ones.
const VMS_PER_PREFERRED_SERVER: usize = 3;

/// Servers, connections and retry budget of one service.
pub struct ServiceRuntime {
    /// Account and name of the service.
    pub key: ServiceKey,
    group: Mutex<ServerGroup>,
    retry_budget: Mutex<RetryBudget>,
    pub(crate) pool: ConnectionPool,
}

/// The runtimes of all services of the configuration.
pub struct ServiceTable {
    board: Arc<Blackboard>,
    zone: ZoneName,
    options: BalanceOptions,
    runtimes: ArcSwap<FastMap<ServiceKey, Arc<ServiceRuntime>>>,
    /// Revision of the configuration that the runtimes reflect. Invariant: locked while they
    /// change.
    applied_revision: Mutex<RevisionNumber>,
    /// Copy of `applied_revision` that is read without the lock.
    published_revision: AtomicU64,
}

impl ServiceRuntime {
    /// Locks and returns the service's servers.
    pub fn group(&self) -> MutexGuard<'_, ServerGroup> {
        self.group.lock().expect("group lock is never poisoned")
    }

    /// Locks and returns the service's retry budget.
    pub(crate) fn retry_budget(&self) -> MutexGuard<'_, RetryBudget> {
        self.retry_budget.lock().expect("budget lock is never poisoned")
    }
}

impl ServiceTable {
    /// Creates an empty table, which `sync` fills from the blackboard.
    pub fn new(board: Arc<Blackboard>, zone: ZoneName, options: BalanceOptions) -> Self {
        Self {
            board,
            zone,
            options,
            runtimes: ArcSwap::default(),
            applied_revision: Mutex::default(),
            published_revision: AtomicU64::new(0),
        }
    }

    /// Returns the runtime of a service as of `revision` or later. The first request of a newer
    /// revision updates all runtimes, so that no request uses an outdated service.
    pub fn runtime(&self, config: &ServiceConfig, revision: RevisionNumber) -> Arc<ServiceRuntime> {
        if self.published_revision.load(Ordering::Acquire) < revision.0 {
            self.sync_to_revision(revision, Instant::now());
        }
        match self.runtimes.load().get(&config.key) {
            Some(runtime) => Arc::clone(runtime),
            // A newer revision has retired the service. A runtime without servers refuses the
            // request.
            None => Arc::new(self.new_runtime(config, Instant::now())),
        }
    }

    /// Returns the runtimes of all services of the configuration.
    pub fn runtimes(&self) -> Vec<Arc<ServiceRuntime>> {
        self.runtimes.load().values().map(Arc::clone).collect()
    }

    /// Applies the current configuration, list of servers and slot of this VM to the runtimes.
    pub fn sync(&self, now: Instant) {
        let mut applied = self.applied_revision.lock().expect("revision lock is never poisoned");
        self.sync_all(&mut applied, now);
    }

    fn sync_to_revision(&self, revision: RevisionNumber, now: Instant) {
        let mut applied = self.applied_revision.lock().expect("revision lock is never poisoned");
        if *applied < revision {
            self.sync_all(&mut applied, now);
        }
    }

    fn sync_all(&self, applied: &mut RevisionNumber, now: Instant) {
        let config = self.board.config();
        let entries = Arc::clone(&*self.board.watch_servers().borrow());
        let groups = entries_by_group(&entries);
        let current = self.runtimes.load();
        let mut runtimes: FastMap<ServiceKey, Arc<ServiceRuntime>> = FastMap::default();
        for service_config in config.routing.services() {
            let runtime = match current.get(&service_config.key) {
                Some(runtime) => Arc::clone(runtime),
                None => Arc::new(self.new_runtime(service_config, now)),
            };
            let group_entries =
                groups.get(&(&service_config.key.account, &service_config.spec.group));
            self.sync_runtime(
                &runtime,
                service_config,
                group_entries.map_or(&[], Vec::as_slice),
                now,
            );
            runtimes.insert(service_config.key.clone(), runtime);
        }
        self.runtimes.store(Arc::new(runtimes));
        *applied = config.routing.revision();
        self.published_revision.store(applied.0, Ordering::Release);
    }

    /// Marks a server as leaving in all services, so that it gets no new requests.
    pub fn mark_leaving(&self, server: &ServerId, now: Instant) {
        for runtime in self.runtimes.load().values() {
            runtime.group().mark_leaving(server, now);
        }
    }

    fn new_runtime(&self, config: &ServiceConfig, now: Instant) -> ServiceRuntime {
        let group = ServerGroup::new(self.group_spec(config), self.options, now);
        ServiceRuntime {
            key: config.key.clone(),
            group: Mutex::new(group),
            retry_budget: Mutex::new(RetryBudget::new()),
            pool: ConnectionPool::default(),
        }
    }

    fn sync_runtime(
        &self,
        runtime: &ServiceRuntime,
        config: &ServiceConfig,
        group_entries: &[&ServerEntry],
        now: Instant,
    ) {
        let selected: Vec<&ServerEntry> = self
            .select_subset(config, group_entries)
            .into_iter()
            .map(|index| group_entries[index])
            .collect();
        let servers = self.listed_servers(&selected);
        runtime
            .pool
            .close_stale(|address| selected.iter().any(|entry| entry.address == *address), now);
        let mut group = runtime.group();
        group.set_spec(self.group_spec(config));
        group.set_servers(&servers, now);
    }

    fn listed_servers(&self, selected: &[&ServerEntry]) -> Vec<ListedServer> {
        let ids: Vec<ServerId> = selected.iter().map(|entry| entry.id.clone()).collect();
        let fleet = self.board.fleet();
        let members = fleet.members.len();
        let rank = fleet
            .held_slot
            .and_then(|held| fleet.members.iter().position(|member| member.slot == held.slot));
        let is_preferred = match rank {
            Some(rank) => choose_preferred(&ids, rank, members, VMS_PER_PREFERRED_SERVER),
            None => vec![true; ids.len()],
        };
        selected
            .iter()
            .zip(is_preferred)
            .map(|(entry, is_preferred)| ListedServer {
                endpoint: ServerEndpoint {
                    id: entry.id.clone(),
                    address: entry.address,
                    zone: entry.zone.clone(),
                },
                is_leaving: entry.state == ServerState::Leaving,
                is_preferred,
            })
            .collect()
    }

    fn select_subset(&self, config: &ServiceConfig, group_entries: &[&ServerEntry]) -> Vec<usize> {
        let fleet = self.board.fleet();
        let Some(held) = fleet.held_slot else {
            return (0..group_entries.len()).collect();
        };
        let ids: Vec<ServerId> = group_entries.iter().map(|entry| entry.id.clone()).collect();
        let slots_per_server = (config.spec.connections / MIN_CONNECTIONS_PER_SERVER).max(1);
        choose_subset(&ids, held.slot, fleet.slot_count, slots_per_server)
    }

    fn group_spec(&self, config: &ServiceConfig) -> GroupSpec {
        let fleet = self.board.fleet();
        let connections = match fleet.held_slot {
            Some(_) => {
                (config.spec.connections / fleet.slot_count.max(1)).max(MIN_CONNECTIONS_PER_SERVER)
            }
            // The members' shares are rounded down, which leaves room for one connection from an
            // entry VM without a slot.
            None => 1,
        };
        GroupSpec {
            slots: config.spec.slots,
            expected_time: Duration::from_millis(config.spec.expected_ms),
            max_connections: connections,
            zone: self.zone.clone(),
        }
    }
}

/// Groups the listed servers by account and server group.
fn entries_by_group(
    entries: &[ServerEntry],
) -> FastMap<(&AccountId, &GroupName), Vec<&ServerEntry>> {
    let mut groups: FastMap<(&AccountId, &GroupName), Vec<&ServerEntry>> = FastMap::default();
    for entry in entries {
        groups.entry((&entry.account, &entry.group)).or_default().push(entry);
    }
    groups
}
