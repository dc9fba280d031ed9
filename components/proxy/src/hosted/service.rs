//! Servers, connections, queue and budget of each service.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

use arc_swap::ArcSwap;
use rand::seq::SliceRandom;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep_until};

use balance::{
    AssignedTurns, ColdBound, ColdLimits, LimitResponse, ListedWarmUp, PlacementGroup,
    PlacementOptions, PlacementServer, SendTurns, ServerIncarnation, ServerNotice, ServerTicket,
    WarmUpResponse,
};
use board::HostedBoard;
use limits::{AttemptBudget, AttemptLimits};
use model::{FastMap, ServerId, ZoneName};
use observe::{HostedMetrics, Logger, info, warn};
use quarantine::Fingerprint;
use routes::{RouteTable, ServerRecord, ServiceName, WarmUp};

use crate::byte_budget::ByteBudget;
use crate::hosted::contacts::ServerContacts;
use crate::hosted::helpers::Helpers;
use crate::hosted::quota::AccountQuotas;
use crate::hosted::server_access::ServerAccess;
use crate::pool::{BackendConnection, ConnectionPool};

/// Idle connections kept per server: one for probes and one for a concurrent request.
const MAX_IDLE_CONNECTIONS_PER_SERVER: usize = 2;

/// Bytes of all requests that are read before they can be forwarded: of responses, and of what follows
/// the buffered part of a request body.
const MAX_BUFFERED_BYTES: usize = 32 << 20;

/// State of one service on this entry VM.
pub(crate) struct HostedService {
    pub(crate) name: ServiceName,
    group: Mutex<PlacementGroup>,
    budget: Mutex<AttemptBudget>,
    /// Number of requests that are queued for a server.
    queued: AtomicUsize,
    /// Wakes queued requests when an evacuation leaves them no server.
    no_server_notify: Notify,
    /// Connections that each server accepts from all entry VMs together; 0 before the first
    /// request.
    max_connections: AtomicU32,
    /// Number of entry VMs that share them.
    fleet_size: AtomicU32,
    pub(crate) pool: ConnectionPool,
    /// Memory of the VM for bodies that are read before they can be forwarded.
    pub(crate) body_budget: ByteBudget,
    /// Whether this VM reaches servers of any service.
    pub(crate) access: Arc<ServerAccess>,
    /// Last responses from servers of any service.
    pub(crate) contacts: Arc<ServerContacts>,
    metrics: HostedMetrics,
    log: Logger,
}

impl HostedService {
    /// Records the limit that a server's own response names, or that it names none.
    pub(crate) fn record_limit(&self, ticket: ServerTicket, named: LimitResponse) {
        let mut group = self.group();
        if !group.record_limit(ticket, named, Instant::now()) {
            return;
        }
        let server = group.id_and_address(ticket).map(|(id, _)| id.clone());
        drop(group);
        info!(self.log, "servers: limit changed"; "server" => server.as_ref().map(ServerId::as_str),
            "service" => &*self.name.0, "requests_per_s" => named.rate.map(|rate| rate.0),
            "by_probe" => named.is_probe);
    }

    /// Records what a server's own response says about its warm-up.
    pub(crate) fn record_warm_up(&self, ticket: ServerTicket, response: WarmUpResponse) {
        if response.left.is_none() && !response.is_probe {
            return;
        }
        let mut group = self.group();
        if !group.record_warm_up(ticket, response, Instant::now()) {
            return;
        }
        let server = group.id_and_address(ticket).map(|(id, _)| id.clone());
        drop(group);
        info!(self.log, "servers: server is cold"; "server" => server.as_ref().map(ServerId::as_str),
            "service" => &*self.name.0, "ms" => response.left.map(|left| left.as_millis() as u64));
    }

    /// Records what a server's own response says about it.
    pub(crate) fn record_notice(&self, ticket: ServerTicket, notice: &ServerNotice) {
        if *notice == ServerNotice::default() {
            return;
        }
        let mut group = self.group();
        let effect = group.record_notice(ticket, notice, Instant::now());
        let server = group.id_and_address(ticket).map(|(id, _)| id.clone());
        drop(group);
        let server = server.as_ref().map(ServerId::as_str);
        if effect.starts_leaving {
            self.metrics.leaving_notices.inc();
            info!(self.log, "servers: server says that it leaves"; "server" => server,
                "service" => &*self.name.0);
        }
        if let Some(rest) = notice.rest.filter(|_| effect.extends_rest) {
            self.metrics.rest_notices.inc();
            info!(self.log, "servers: server wants no requests"; "server" => server,
                "service" => &*self.name.0, "ms" => rest.as_millis() as u64);
        }
        if let Some(value) = &notice.invalid {
            warn!(self.log, "servers: ignored an invalid notice"; "server" => server,
                "service" => &*self.name.0, "value" => &**value);
        }
    }

    /// Records that the connection to a server broke while it may have run a request.
    pub(crate) fn record_broken_attempt(
        &self,
        request_id: &str,
        content: Fingerprint,
        server: Option<&ServerIncarnation>,
    ) {
        self.metrics.broken_attempts.inc();
        info!(self.log, "attempt: connection broke while the request may have run";
            "request" => request_id, "content" => %content, "service" => &*self.name.0,
            "server" => server.map(|server| server.id.as_str()),
            "started_at_ms" => server.map(|server| server.started_at_ms));
    }

    /// Records that a response arrived on a connection to a server. Responses to requests and probes
    /// on old connections don't show that new ones can be opened.
    pub(crate) fn record_contact(&self, connection: &BackendConnection) {
        self.contacts.record(connection.address(), Instant::now());
        if !connection.has_responded() {
            self.access.record_success();
        }
    }

    /// Locks and returns the service's servers.
    pub(crate) fn group(&self) -> MutexGuard<'_, PlacementGroup> {
        self.group.lock().expect("group lock is never poisoned")
    }

    /// Counts a request as queued until the guard is dropped.
    pub(crate) fn queue_request(&self) -> QueuedRequest<'_> {
        self.queued.fetch_add(1, Ordering::AcqRel);
        QueuedRequest { service: self }
    }

    /// Waits until a queued request checks the servers again: at `until`, or as soon as an evacuation
    /// has left none, since the request is then refused.
    pub(crate) async fn wait_in_queue(&self, until: Instant) {
        let no_server_left = self.no_server_notify.notified();
        if !self.has_server(Instant::now()) {
            return;
        }
        tokio::select! {
            () = sleep_until(until) => {}
            () = no_server_left => {}
        }
    }

    /// Whether a server accepts requests now or later.
    fn has_server(&self, now: Instant) -> bool {
        self.group().first_return(now).is_some()
    }

    fn set_evacuated_zones(&self, zones: &[ZoneName], now: Instant) {
        self.group().set_evacuated_zones(zones, now);
        if !self.has_server(now) {
            self.no_server_notify.notify_waiters();
        }
    }

    /// Sets the number of connections that each server accepts from all entry VMs together.
    pub(crate) fn set_max_connections(&self, count: u32) {
        self.max_connections.store(count, Ordering::Relaxed);
    }

    /// Returns the number of connections that this entry VM may have to each server: an equal part
    /// of what the server accepts, but one in any case.
    pub(crate) fn connection_limit(&self) -> usize {
        let accepted = self.max_connections.load(Ordering::Relaxed);
        let fleet_size = self.fleet_size.load(Ordering::Relaxed).max(1);
        (accepted / fleet_size).max(1) as usize
    }

    /// Locks and returns the service's budget of extra attempts.
    pub(crate) fn budget(&self) -> MutexGuard<'_, AttemptBudget> {
        self.budget.lock().expect("budget lock is never poisoned")
    }
}

/// A request that is queued for a server.
pub(crate) struct QueuedRequest<'a> {
    service: &'a HostedService,
}

impl QueuedRequest<'_> {
    /// Returns the number of requests queued for the service, including this one.
    pub(crate) fn count(&self) -> usize {
        self.service.queued.load(Ordering::Acquire)
    }
}

impl Drop for QueuedRequest<'_> {
    fn drop(&mut self) {
        self.service.queued.fetch_sub(1, Ordering::AcqRel);
    }
}

/// All services that a configuration has named.
pub struct HostedServices {
    options: PlacementOptions,
    limits: Mutex<AttemptLimits>,
    /// This entry VM's share of the slack of each budget, and until when it is valid.
    slack: Mutex<(f64, Instant)>,
    /// This entry VM's turns at backend servers that name a limit.
    turns: Mutex<SendTurns>,
    /// Agreed bound of the requests to cold servers; `None` if there is none.
    cold_bound: Mutex<Option<ColdBound>>,
    /// How servers warm up, by service, as the configuration in force says.
    warm_ups: Mutex<FastMap<ServiceName, WarmUp>>,
    evacuated_zones: Mutex<Vec<ZoneName>>,
    services: ArcSwap<FastMap<ServiceName, Arc<HostedService>>>,
    access: Arc<ServerAccess>,
    contacts: Arc<ServerContacts>,
    pub(crate) body_budget: ByteBudget,
    /// Credits for requests of client accounts.
    pub quotas: AccountQuotas,
    /// Other entry VMs that serve requests for this one.
    pub(crate) helpers: Helpers,
    /// Held while services are added, or the slack, the turns or the evacuated zones of all are
    /// changed.
    update_lock: Mutex<()>,
    metrics: HostedMetrics,
    log: Logger,
}

impl HostedServices {
    /// Creates an empty set of services. `turns` are this entry VM's turns at backend servers that
    /// name a limit.
    pub fn new(
        options: PlacementOptions,
        limits: AttemptLimits,
        turns: SendTurns,
        quotas: AccountQuotas,
        board: Arc<HostedBoard>,
        metrics: HostedMetrics,
        log: Logger,
    ) -> Self {
        let access = Arc::new(ServerAccess::new(board, metrics.clone(), log.clone()));
        Self {
            options,
            limits: Mutex::new(limits),
            slack: Mutex::new((limits.slack, Instant::now())),
            turns: Mutex::new(turns),
            cold_bound: Mutex::default(),
            warm_ups: Mutex::default(),
            evacuated_zones: Mutex::default(),
            services: ArcSwap::default(),
            access,
            contacts: Arc::default(),
            body_budget: ByteBudget::new(MAX_BUFFERED_BYTES),
            quotas,
            helpers: Helpers::default(),
            update_lock: Mutex::new(()),
            metrics,
            log,
        }
    }

    /// Sets the agreed bound of the requests to cold servers. Without one they have no limit.
    pub fn set_cold_bound(&self, bound: Option<ColdBound>) {
        *self.cold_bound.lock().expect("cold bound lock is never poisoned") = bound;
        self.update_cold_limits();
    }

    /// Sets the number of extra attempts allowed per request.
    pub fn set_attempt_ratio(&self, ratio: f64) {
        let _guard = self.update_lock();
        self.limits.lock().expect("limit lock is never poisoned").ratio = ratio;
        for service in self.services.load().values() {
            service.budget().set_ratio(ratio);
        }
    }

    /// Applies a configuration: the services that it names, and how their servers warm up. Returns
    /// whether a service is new, so that its servers must be set.
    pub fn apply_config(&self, table: &RouteTable) -> bool {
        let warm_ups = table
            .services
            .iter()
            .filter_map(|(name, info)| info.warm_up.map(|warm_up| (name.clone(), warm_up)));
        *self.warm_ups() = warm_ups.collect();
        let known = self.services.load().len();
        let routes = table.hosts().flat_map(|(_, routes)| routes);
        let routed = routes.flat_map(|route| &route.services).map(|weighted| &weighted.service);
        for name in table.services.keys().chain(routed) {
            self.get_or_create(name);
        }
        self.update_cold_limits();
        self.services.load().len() > known
    }

    fn update_cold_limits(&self) {
        let _guard = self.update_lock();
        for (name, service) in self.services.load().iter() {
            service.group().set_cold_limits(self.cold_limits(name));
        }
    }

    fn cold_limits(&self, name: &ServiceName) -> Option<ColdLimits> {
        let bound = (*self.cold_bound.lock().expect("cold bound lock is never poisoned"))?;
        let WarmUp { duration, rate } = *self.warm_ups().get(name)?;
        Some(ColdLimits { duration, rate, bound })
    }

    /// Returns the number of cold servers of all services.
    pub fn cold_servers(&self, now: Instant) -> usize {
        self.services.load().values().map(|service| service.group().cold_servers(now)).sum()
    }

    /// Returns the service with this name. Adds it, without servers, if it is new.
    pub(crate) fn get_or_create(&self, name: &ServiceName) -> Arc<HostedService> {
        if let Some(service) = self.services.load().get(name) {
            return Arc::clone(service);
        }
        let _guard = self.update_lock();
        let mut services = FastMap::clone(&self.services.load());
        let service = services.entry(name.clone()).or_insert_with(|| self.new_service(name));
        let service = Arc::clone(service);
        self.services.store(Arc::new(services));
        service
    }

    /// Applies a list of servers, which replaces those of all services. Servers of services that no
    /// configuration has named are left out.
    pub fn set_servers<'a>(
        &self,
        records: impl IntoIterator<Item = &'a ServerRecord>,
        now: Instant,
    ) {
        let mut by_service: FastMap<&ServiceName, Vec<PlacementServer>> = FastMap::default();
        for record in records {
            by_service.entry(&record.service).or_default().push(placement_server(record, now));
        }
        for (name, service) in self.services.load().iter() {
            let servers = by_service.remove(name).unwrap_or_default();
            service.pool.close_stale(
                |address| servers.iter().any(|server| server.address == *address),
                now,
            );
            service.group().set_servers(&servers);
        }
        self.update_server_count();
    }

    /// Replaces the evacuated zones. Their servers get no requests and no probes.
    pub fn set_evacuated_zones(&self, zones: &[ZoneName], now: Instant) {
        *self.evacuated_zones() = zones.to_vec();
        let guard = self.update_lock();
        for service in self.services.load().values() {
            service.set_evacuated_zones(zones, now);
        }
        drop(guard);
        self.update_server_count();
    }

    /// Counts the servers that tell whether this VM reaches any.
    fn update_server_count(&self) {
        let services = self.services.load();
        let open_servers = services.values().map(|service| service.group().open_servers());
        self.access.set_server_count(open_servers.sum());
    }

    /// Closes connections that have been idle for too long.
    pub fn close_idle_connections(&self, now: Instant) {
        for service in self.services.load().values() {
            service.pool.close_stale(|_| true, now);
        }
        self.helpers.pool.close_stale(|_| true, now);
    }

    /// Sets this entry VM's share of the budgets' slack, which applies from now on until
    /// `valid_until`.
    pub fn set_slack(&self, slack: f64, valid_until: Instant) {
        *self.slack() = (slack, valid_until);
        let _guard = self.update_lock();
        for service in self.services.load().values() {
            service.budget().set_slack(slack, valid_until);
        }
    }

    /// Sets the turns at backend servers that name a limit, as a relay assigned them. The limit is
    /// divided among `relays` relays.
    pub fn assign_turns(&self, assigned: &AssignedTurns, relays: u32) {
        let assigned_turns = self.turns().with_parts(relays).assign(assigned);
        let Some(turns) = assigned_turns else {
            warn!(self.log, "relay: ignored malformed turns"; "index" => assigned.index,
                "count" => assigned.count);
            return;
        };
        *self.turns() = turns;
        let _guard = self.update_lock();
        for service in self.services.load().values() {
            service.group().set_turns(turns);
            service.fleet_size.store(turns.fleet_size(assigned.read_at), Ordering::Relaxed);
        }
    }

    /// Returns the last responses from servers.
    pub(crate) fn contacts(&self) -> &ServerContacts {
        &self.contacts
    }

    /// Returns up to `count` random servers of all services at other addresses than `address`, none
    /// of them in an evacuated zone.
    pub(crate) fn other_servers(
        &self,
        address: SocketAddr,
        count: usize,
    ) -> Vec<(Arc<HostedService>, SocketAddr)> {
        let mut others = self.open_servers();
        others.retain(|(_, other)| *other != address);
        others.truncate(count);
        others
    }

    /// Returns the servers of all services in random order, none of them in an evacuated zone.
    pub(crate) fn open_servers(&self) -> Vec<(Arc<HostedService>, SocketAddr)> {
        let mut servers = Vec::new();
        for service in self.services.load().values() {
            let addresses = service.group().open_addresses();
            servers.extend(addresses.into_iter().map(|address| (Arc::clone(service), address)));
        }
        servers.shuffle(&mut rand::rng());
        servers
    }

    pub(crate) fn access(&self) -> &ServerAccess {
        &self.access
    }

    fn slack(&self) -> MutexGuard<'_, (f64, Instant)> {
        self.slack.lock().expect("slack lock is never poisoned")
    }

    fn turns(&self) -> MutexGuard<'_, SendTurns> {
        self.turns.lock().expect("turn lock is never poisoned")
    }

    fn warm_ups(&self) -> MutexGuard<'_, FastMap<ServiceName, WarmUp>> {
        self.warm_ups.lock().expect("warm-up lock is never poisoned")
    }

    fn evacuated_zones(&self) -> MutexGuard<'_, Vec<ZoneName>> {
        self.evacuated_zones.lock().expect("zone lock is never poisoned")
    }

    fn update_lock(&self) -> MutexGuard<'_, ()> {
        self.update_lock.lock().expect("service lock is never poisoned")
    }

    fn new_service(&self, name: &ServiceName) -> Arc<HostedService> {
        let mut group = PlacementGroup::new(self.options.clone());
        let turns = *self.turns();
        group.set_turns(turns);
        group.set_cold_limits(self.cold_limits(name));
        group.set_evacuated_zones(&self.evacuated_zones(), Instant::now());
        let limits = *self.limits.lock().expect("limit lock is never poisoned");
        let mut budget = AttemptBudget::new(limits);
        let (slack, valid_until) = *self.slack();
        budget.set_slack(slack, valid_until);
        Arc::new(HostedService {
            name: name.clone(),
            group: Mutex::new(group),
            budget: Mutex::new(budget),
            queued: AtomicUsize::new(0),
            no_server_notify: Notify::new(),
            max_connections: AtomicU32::new(0),
            fleet_size: AtomicU32::new(turns.fleet_size(Instant::now())),
            pool: ConnectionPool::with_idle_limit(MAX_IDLE_CONNECTIONS_PER_SERVER),
            body_budget: self.body_budget.clone(),
            access: Arc::clone(&self.access),
            contacts: Arc::clone(&self.contacts),
            metrics: self.metrics.clone(),
            log: self.log.clone(),
        })
    }
}

fn placement_server(record: &ServerRecord, now: Instant) -> PlacementServer {
    let left = Some(record.slow_start_remaining).filter(|left| !left.is_zero());
    let warm_up =
        left.map(|left| ListedWarmUp { sequence: record.sequence, left, received_at: now });
    PlacementServer {
        id: record.id.clone(),
        started_at_ms: record.started_at_ms,
        address: record.address,
        zone: record.zone.clone(),
        slots: record.slots,
        is_leaving: record.is_leaving,
        warm_up,
    }
}
