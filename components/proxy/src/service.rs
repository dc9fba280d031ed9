//! What the request path keeps for each service.

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use arc_swap::ArcSwap;
use tokio::time::Instant;

use balance::{BalanceOptions, GroupSpec, ServerAddress, ServerGroup, choose_subset};
use board::Blackboard;
use limits::RetryBudget;
use model::{FastMap, ServerId, ZoneName};
use platform::{ServerEntry, ServerState};
use records::{ServiceKey, ServicePlan};

use crate::pool::ConnectionPool;

/// Fewest connections to a server that are worth keeping: fewer would make requests wait for each
/// other, so an entry VM uses fewer servers instead.
const MIN_USEFUL_CONNECTIONS: u32 = 4;

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
    /// Held while runtimes are made or changed.
    changing: Mutex<()>,
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
        Self { board, zone, options, runtimes: ArcSwap::default(), changing: Mutex::new(()) }
    }

    /// The runtime of a service; made now if the service just came into force.
    pub fn runtime(&self, plan: &ServicePlan) -> Arc<ServiceRuntime> {
        if let Some(runtime) = self.runtimes.load().get(&plan.key) {
            return Arc::clone(runtime);
        }
        self.sync(Instant::now());
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
        let _changing = self.changing.lock().expect("change lock is never poisoned");
        let config = self.board.config();
        let listed = Arc::clone(&*self.board.watch_servers().borrow());
        let known = self.runtimes.load();
        let mut runtimes: FastMap<ServiceKey, Arc<ServiceRuntime>> = FastMap::default();
        for plan in config.routing.services() {
            let runtime = match known.get(&plan.key) {
                Some(runtime) => Arc::clone(runtime),
                None => Arc::new(self.new_runtime(plan, now)),
            };
            self.sync_runtime(&runtime, plan, &listed, now);
            runtimes.insert(plan.key.clone(), runtime);
        }
        self.runtimes.store(Arc::new(runtimes));
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
        listed: &[ServerEntry],
        now: Instant,
    ) {
        let own: Vec<&ServerEntry> = listed
            .iter()
            .filter(|entry| entry.account == plan.key.account && entry.group == plan.spec.group)
            .collect();
        let servers: Vec<(ServerAddress, bool)> = self
            .subset(plan, &own)
            .into_iter()
            .map(|index| {
                let entry = own[index];
                let place = ServerAddress {
                    id: entry.id.clone(),
                    address: entry.address,
                    zone: entry.zone.clone(),
                };
                (place, entry.state == ServerState::Leaving)
            })
            .collect();
        runtime
            .pool
            .sweep(|address| servers.iter().any(|(place, _)| place.address == *address), now);
        let mut group = runtime.group();
        group.set_spec(self.group_spec(plan));
        group.set_servers(&servers, now);
    }

    fn subset(&self, plan: &ServicePlan, own: &[&ServerEntry]) -> Vec<usize> {
        let fleet = self.board.fleet();
        let Some(held) = fleet.held else {
            return (0..own.len()).collect();
        };
        let ids: Vec<ServerId> = own.iter().map(|entry| entry.id.clone()).collect();
        let per_server = (plan.spec.connections / MIN_USEFUL_CONNECTIONS).max(1);
        choose_subset(&ids, held.slot, fleet.slots, per_server)
    }

    fn group_spec(&self, plan: &ServicePlan) -> GroupSpec {
        let fleet = self.board.fleet();
        let connections = match fleet.held {
            Some(_) => (plan.spec.connections / fleet.slots.max(1)).max(MIN_USEFUL_CONNECTIONS),
            // The rounding of the members' parts leaves room for a connection without a slot.
            None => 1,
        };
        GroupSpec {
            slots: plan.spec.slots,
            expected: Duration::from_millis(plan.spec.expected_ms),
            connections,
            zone: self.zone.clone(),
        }
    }
}
