//! Servers, connections and budgets of each service.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use arc_swap::ArcSwap;
use tokio::time::Instant;

use balance::{PlacementGroup, PlacementOptions, PlacementServer, ServerTicket};
use limits::{ArrivalBudget, ArrivalLimits};
use model::{FastMap, ServerId};
use routes::{ServerRecord, ServiceName};

use crate::pool::ConnectionPool;

/// Idle connections kept to one server: one for probes and one for a request beside them.
const IDLE_CONNECTIONS: usize = 2;

/// Connections to one server at a time. The users' servers accept 220 from 14 entry VMs.
pub(crate) const CONNECTIONS_TO_SERVER: usize = 16;

/// What an entry VM keeps for one service.
pub(crate) struct HostedService {
    pub(crate) name: ServiceName,
    group: Mutex<PlacementGroup>,
    budget: Mutex<ArrivalBudget>,
    /// Requests that wait here for a server.
    held: AtomicUsize,
    pub(crate) pool: ConnectionPool,
}

impl HostedService {
    /// Its servers.
    pub(crate) fn group(&self) -> MutexGuard<'_, PlacementGroup> {
        self.group.lock().expect("group lock is never poisoned")
    }

    /// Counts a request that waits here for a server, until the guard is dropped.
    pub(crate) fn hold(&self) -> HeldRequest<'_> {
        self.held.fetch_add(1, Ordering::AcqRel);
        HeldRequest { service: self }
    }

    /// Its budget of extra arrivals.
    pub(crate) fn budget(&self) -> MutexGuard<'_, ArrivalBudget> {
        self.budget.lock().expect("budget lock is never poisoned")
    }
}

/// A request that waits for a server.
pub(crate) struct HeldRequest<'a> {
    service: &'a HostedService,
}

impl HeldRequest<'_> {
    /// Requests that wait with it, itself among them.
    pub(crate) fn count(&self) -> usize {
        self.service.held.load(Ordering::Acquire)
    }
}

impl Drop for HeldRequest<'_> {
    fn drop(&mut self) {
        self.service.held.fetch_sub(1, Ordering::AcqRel);
    }
}

/// All services that routes or servers have named.
pub struct HostedServices {
    options: PlacementOptions,
    limits: Mutex<ArrivalLimits>,
    services: ArcSwap<FastMap<ServiceName, Arc<HostedService>>>,
    /// Held while services are added.
    adding: Mutex<()>,
}

impl HostedServices {
    /// No services yet.
    pub fn new(options: PlacementOptions, limits: ArrivalLimits) -> Self {
        Self {
            options,
            limits: Mutex::new(limits),
            services: ArcSwap::default(),
            adding: Mutex::new(()),
        }
    }

    /// The service with this name, which may have no servers yet.
    pub(crate) fn service(&self, name: &ServiceName) -> Arc<HostedService> {
        if let Some(service) = self.services.load().get(name) {
            return Arc::clone(service);
        }
        let _adding = self.adding();
        let mut services = FastMap::clone(&self.services.load());
        let service = services.entry(name.clone()).or_insert_with(|| self.new_service(name));
        let service = Arc::clone(service);
        self.services.store(Arc::new(services));
        service
    }

    /// Takes over the list of servers.
    pub fn set_servers<'a>(
        &self,
        listed: impl IntoIterator<Item = &'a ServerRecord>,
        now: Instant,
    ) {
        let mut by_service: FastMap<&ServiceName, Vec<PlacementServer>> = FastMap::default();
        for record in listed {
            by_service.entry(&record.service).or_default().push(placed(record));
        }
        for name in by_service.keys() {
            self.service(name);
        }
        for (name, service) in self.services.load().iter() {
            let servers = by_service.remove(name).unwrap_or_default();
            service
                .pool
                .sweep(|address| servers.iter().any(|server| server.address == *address), now);
            service.group().set_servers(&servers, now);
        }
    }

    /// Closes connections that were idle for too long.
    pub fn sweep(&self, now: Instant) {
        for service in self.services.load().values() {
            service.pool.sweep(|_| true, now);
        }
    }

    /// Changes the part of the budgets' slack that this entry VM may use from now on.
    pub fn set_slack(&self, slack: f64) {
        if std::mem::replace(&mut self.limits().slack, slack) == slack {
            return;
        }
        let _adding = self.adding();
        for service in self.services.load().values() {
            service.budget().set_slack(slack);
        }
    }

    fn limits(&self) -> MutexGuard<'_, ArrivalLimits> {
        self.limits.lock().expect("limit lock is never poisoned")
    }

    fn adding(&self) -> MutexGuard<'_, ()> {
        self.adding.lock().expect("service lock is never poisoned")
    }

    fn new_service(&self, name: &ServiceName) -> Arc<HostedService> {
        Arc::new(HostedService {
            name: name.clone(),
            group: Mutex::new(PlacementGroup::new(self.options.clone())),
            budget: Mutex::new(ArrivalBudget::new(*self.limits())),
            held: AtomicUsize::new(0),
            pool: ConnectionPool::with_idle_limit(IDLE_CONNECTIONS),
        })
    }
}

/// A request's place at a server, from the choice to the end. Dropped before, it was cancelled.
pub(crate) struct PlaceLease {
    pub(crate) service: Arc<HostedService>,
    pub(crate) ticket: ServerTicket,
    /// Age of the report by which the server was chosen.
    pub(crate) report_age: Option<Duration>,
    is_ended: bool,
}

impl PlaceLease {
    pub(crate) fn begin(service: &Arc<HostedService>, ticket: ServerTicket, now: Instant) -> Self {
        let mut group = service.group();
        group.start_request(ticket);
        let report_age = group.report_age(ticket, now);
        drop(group);
        Self { service: Arc::clone(service), ticket, report_age, is_ended: false }
    }

    /// The server's identity, if it is still known.
    pub(crate) fn server(&self) -> Option<ServerId> {
        self.service.group().id_and_address(self.ticket).map(|(id, _)| id.clone())
    }

    /// Ends the place with what the exchange showed.
    pub(crate) fn end(
        mut self,
        outcome: balance::SampleOutcome,
        report: Option<balance::ServerLoad>,
    ) {
        self.is_ended = true;
        self.service.group().finish_request(self.ticket, outcome, report, Instant::now());
    }
}

impl Drop for PlaceLease {
    fn drop(&mut self) {
        if !self.is_ended {
            let outcome = balance::SampleOutcome::Cancelled;
            self.service.group().finish_request(self.ticket, outcome, None, Instant::now());
        }
    }
}

fn placed(record: &ServerRecord) -> PlacementServer {
    PlacementServer {
        id: record.id.clone(),
        started_at_ms: record.born_ms,
        address: record.address,
        zone: record.zone.clone(),
        slots: record.slots,
        is_leaving: record.is_leaving,
        slow_start_remaining: record.warmup_left,
    }
}
