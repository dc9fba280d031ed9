//! What the request path keeps for each service.

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
use records::{ServiceKey, ServicePlan};
use store::{ServerEntry, ServerState};

use crate::pool::ConnectionPool;

/// Fewest connections to a server that are worth keeping: fewer would make requests wait for each
/// other, so an entry VM uses fewer servers instead.
const MIN_USEFUL_CONNECTIONS: u32 = 4;

/// Entry VMs for which one server is a preferred server.
const PREFERRED_BY: usize = 3;

/// Servers, connections and budgets of one service.
pub struct ServiceRuntime {
    /// The service.
    pub key: ServiceKey,
    group: Mutex<ServerGroup>,
    retries: Mutex<RetryBudget>,
    pub(crate) pool: ConnectionPool,
}

/// The runtimes of all services in force.
pub struct ServiceTable {
    board: Arc<Blackboard>,
    zone: ZoneName,
    options: BalanceOptions,
    runtimes: ArcSwap<FastMap<ServiceKey, Arc<ServiceRuntime>>>,
    /// Revision of the configuration that the runtimes follow. Invariant: held while they change.
    synced: Mutex<RevisionNumber>,
    /// The same, for a look without the lock.
    synced_revision: AtomicU64,
}

impl ServiceRuntime {
    /// The servers of the service.
    pub fn group(&self) -> MutexGuard<'_, ServerGroup> {
        self.group.lock().expect("group lock is never poisoned")
    }

    /// The budget of second tries.
    pub(crate) fn retries(&self) -> MutexGuard<'_, RetryBudget> {
        self.retries.lock().expect("retry lock is never poisoned")
    }
}

impl ServiceTable {
    /// A table that follows the blackboard.
    pub fn new(board: Arc<Blackboard>, zone: ZoneName, options: BalanceOptions) -> Self {
        Self {
            board,
            zone,
            options,
            runtimes: ArcSwap::default(),
            synced: Mutex::default(),
            synced_revision: AtomicU64::new(0),
        }
    }

    /// The runtime of a service that is in force at a revision. The first request of a revision
    /// brings all runtimes there, so that no request meets a service as it was before.
    pub fn runtime(&self, plan: &ServicePlan, revision: RevisionNumber) -> Arc<ServiceRuntime> {
        if self.synced_revision.load(Ordering::Acquire) < revision.0 {
            self.sync_to(revision, Instant::now());
        }
        match self.runtimes.load().get(&plan.key) {
            Some(runtime) => Arc::clone(runtime),
            // The service was retired meanwhile; a runtime without servers refuses the request.
            None => Arc::new(self.new_runtime(plan, Instant::now())),
        }
    }

    /// All runtimes with their services in force.
    pub fn runtimes(&self) -> Vec<Arc<ServiceRuntime>> {
        self.runtimes.load().values().map(Arc::clone).collect()
    }

    /// Takes over the configuration, the list of servers and this VM's slot as they are now.
    pub fn sync(&self, now: Instant) {
        let mut synced = self.synced.lock().expect("change lock is never poisoned");
        self.change(&mut synced, now);
    }

    fn sync_to(&self, revision: RevisionNumber, now: Instant) {
        let mut synced = self.synced.lock().expect("change lock is never poisoned");
        if *synced < revision {
            self.change(&mut synced, now);
        }
    }

    fn change(&self, synced: &mut RevisionNumber, now: Instant) {
        let config = self.board.config();
        let listed = Arc::clone(&*self.board.watch_servers().borrow());
        let groups = by_group(&listed);
        let known = self.runtimes.load();
        let mut runtimes: FastMap<ServiceKey, Arc<ServiceRuntime>> = FastMap::default();
        for plan in config.routing.services() {
            let runtime = match known.get(&plan.key) {
                Some(runtime) => Arc::clone(runtime),
                None => Arc::new(self.new_runtime(plan, now)),
            };
            let own = groups.get(&(&plan.key.account, &plan.spec.group));
            self.sync_runtime(&runtime, plan, own.map_or(&[], Vec::as_slice), now);
            runtimes.insert(plan.key.clone(), runtime);
        }
        self.runtimes.store(Arc::new(runtimes));
        *synced = config.routing.revision();
        self.synced_revision.store(synced.0, Ordering::Release);
    }

    /// Notes that a server is leaving.
    pub fn mark_leaving(&self, server: &ServerId, now: Instant) {
        for runtime in self.runtimes.load().values() {
            runtime.group().mark_leaving(server, now);
        }
    }

    fn new_runtime(&self, plan: &ServicePlan, now: Instant) -> ServiceRuntime {
        let group = ServerGroup::new(self.group_spec(plan), self.options, now);
        ServiceRuntime {
            key: plan.key.clone(),
            group: Mutex::new(group),
            retries: Mutex::new(RetryBudget::new()),
            pool: ConnectionPool::default(),
        }
    }

    fn sync_runtime(
        &self,
        runtime: &ServiceRuntime,
        plan: &ServicePlan,
        own: &[&ServerEntry],
        now: Instant,
    ) {
        let chosen: Vec<&ServerEntry> =
            self.subset(plan, own).into_iter().map(|index| own[index]).collect();
        let servers = self.listed_servers(&chosen);
        runtime.pool.sweep(|address| chosen.iter().any(|entry| entry.address == *address), now);
        let mut group = runtime.group();
        group.set_spec(self.group_spec(plan));
        group.set_servers(&servers, now);
    }

    fn listed_servers(&self, chosen: &[&ServerEntry]) -> Vec<ListedServer> {
        let ids: Vec<ServerId> = chosen.iter().map(|entry| entry.id.clone()).collect();
        let fleet = self.board.fleet();
        let members = fleet.members.len();
        let rank = fleet
            .held_slot
            .and_then(|held| fleet.members.iter().position(|member| member.slot == held.slot));
        let is_preferred = match rank {
            Some(rank) => choose_preferred(&ids, rank, members, PREFERRED_BY),
            None => vec![true; ids.len()],
        };
        chosen
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

    fn subset(&self, plan: &ServicePlan, own: &[&ServerEntry]) -> Vec<usize> {
        let fleet = self.board.fleet();
        let Some(held) = fleet.held_slot else {
            return (0..own.len()).collect();
        };
        let ids: Vec<ServerId> = own.iter().map(|entry| entry.id.clone()).collect();
        let per_server = (plan.spec.connections / MIN_USEFUL_CONNECTIONS).max(1);
        choose_subset(&ids, held.slot, fleet.slot_count, per_server)
    }

    fn group_spec(&self, plan: &ServicePlan) -> GroupSpec {
        let fleet = self.board.fleet();
        let connections = match fleet.held_slot {
            Some(_) => {
                (plan.spec.connections / fleet.slot_count.max(1)).max(MIN_USEFUL_CONNECTIONS)
            }
            // The rounding of the members' parts leaves room for a connection without a slot.
            None => 1,
        };
        GroupSpec {
            slots: plan.spec.slots,
            expected_time: Duration::from_millis(plan.spec.expected_ms),
            max_connections: connections,
            zone: self.zone.clone(),
        }
    }
}

/// The listed servers of each group of each account.
fn by_group(listed: &[ServerEntry]) -> FastMap<(&AccountId, &GroupName), Vec<&ServerEntry>> {
    let mut groups: FastMap<(&AccountId, &GroupName), Vec<&ServerEntry>> = FastMap::default();
    for entry in listed {
        groups.entry((&entry.account, &entry.group)).or_default().push(entry);
    }
    groups
}
