//! Quotas of client accounts that many entry VMs and a few relays keep together, in simulated time.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use limits::{
    CreditDecision, CreditGrant, CreditLedger, CreditQueue, CreditRequest, CreditSource, PartyId,
    QuotaLimits,
};
use model::{AccountQuota, RequestRate};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::time::Instant;

mod fleets;
mod parts;

const WINDOW: Duration = Duration::from_secs(5);
const OVER: f64 = 0.1;
const SLACK: f64 = 20.0;

/// Requests of all accounts together per second, without those of a hot account.
const REQUESTS_PER_S: f64 = 500.0;

/// Exponent by which the accounts' rates decrease.
const SKEW: f64 = 1.2;

const ACCOUNTS: usize = 20;

/// Quota of an account, in times its usual rate.
const QUOTA_RATIO: f64 = 1.6;

/// Burst of an account, in seconds of its quota.
const BURST_S: f64 = 0.5;

/// Part of the requests of accounts below their quota that must be served.
const MIN_SERVED: f64 = 0.98;

/// Longest delay of a message.
const MAX_DELAY_MS: u64 = 5;

/// Time for which a request waits for a credit.
const CREDIT_WAIT: Duration = Duration::from_millis(120);

/// Time after which a VM or a relay notices that the other end is cut off.
const SILENCE: Duration = Duration::from_millis(800);

/// Time until a VM that lost its relay has another one.
const SUBSCRIPTION: Duration = Duration::from_millis(50);

/// Party of a connection to another relay; those of VMs are their numbers.
const FIRST_RELAY_PARTY: u64 = 10_000;

fn quota_limits(relays: usize) -> QuotaLimits {
    QuotaLimits { over: OVER, slack: SLACK, window: WINDOW, relays }
}

fn quota(rate: f64, burst: f64) -> AccountQuota {
    AccountQuota { rate: RequestRate(rate), burst }
}

#[derive(Debug)]
enum Event {
    /// A request arrives at a VM.
    Request {
        account: usize,
        vm: usize,
    },
    ToRelay {
        vm: usize,
        relay: usize,
        connection: u64,
        requests: Vec<CreditRequest>,
    },
    ToVm {
        vm: usize,
        connection: u64,
        grants: Vec<CreditGrant>,
    },
    LoanRequests {
        from: usize,
        to: usize,
        requests: Vec<CreditRequest>,
    },
    Loans {
        from: usize,
        to: usize,
        grants: Vec<CreditGrant>,
    },
    /// A VM sends what it has delayed.
    Send {
        vm: usize,
    },
    Subscribe {
        vm: usize,
    },
    LoseRelay {
        vm: usize,
        connection: u64,
    },
    StopRelay(usize),
    StartRelay(usize),
    /// Messages of the VMs are lost until a time.
    Cut {
        vms: Vec<usize>,
        until: Duration,
    },
    /// VMs do nothing until a time.
    Freeze {
        vms: Vec<usize>,
        until: Duration,
    },
    SetQuota {
        account: usize,
        quota: Option<AccountQuota>,
    },
    ExpireLoans,
}

struct Vm {
    queue: CreditQueue<usize>,
    relay: Option<usize>,
    /// Number of the subscription.
    connection: u64,
    frozen_until: Duration,
    cut_until: Duration,
}

/// A request that was forwarded, and its account.
struct Run {
    account: usize,
    at: Duration,
}

struct Fleet {
    started_at: Instant,
    now: Duration,
    vms: Vec<Vm>,
    relays: Vec<Option<CreditLedger>>,
    quotas: Vec<Option<AccountQuota>>,
    events: BTreeMap<(Duration, u64), Event>,
    next_event: u64,
    /// Arrival of the last message of each connection.
    last_messages: BTreeMap<(u8, usize, usize), Duration>,
    rng: StdRng,
    /// Account and time of each request, by its number.
    requests: Vec<(usize, Duration)>,
    runs: Vec<Run>,
    own_credits: usize,
    messages: u64,
}

fn account_name(account: usize) -> String {
    format!("account-{account}")
}

/// Usual rates of the accounts.
fn usual_rates() -> Vec<f64> {
    let weights: Vec<f64> =
        (0..ACCOUNTS).map(|account| 1.0 / ((account + 1) as f64).powf(SKEW)).collect();
    let sum: f64 = weights.iter().sum();
    weights.iter().map(|weight| weight / sum * REQUESTS_PER_S).collect()
}

impl Fleet {
    fn new(vm_count: usize, relay_count: usize, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let started_at = Instant::now();
        let limits = quota_limits(relay_count);
        let vms = (0..vm_count)
            .map(|_| {
                let mut queue = CreditQueue::new(limits, rng.random_range(0.0..1.0), started_at);
                queue.set_fleet_size(vm_count as u32);
                Vm {
                    queue,
                    relay: None,
                    connection: 0,
                    frozen_until: Duration::ZERO,
                    cut_until: Duration::ZERO,
                }
            })
            .collect();
        let quotas = usual_rates()
            .iter()
            .map(|rate| Some(quota(rate * QUOTA_RATIO, rate * QUOTA_RATIO * BURST_S)))
            .collect();
        let mut fleet = Self {
            started_at,
            now: Duration::ZERO,
            vms,
            relays: (0..relay_count).map(|_| None).collect(),
            quotas,
            events: BTreeMap::new(),
            next_event: 0,
            last_messages: BTreeMap::new(),
            rng,
            requests: Vec::new(),
            runs: Vec::new(),
            own_credits: 0,
            messages: 0,
        };
        for relay in 0..relay_count {
            fleet.start_relay(relay, true);
        }
        for vm in 0..vm_count {
            fleet.schedule(Duration::ZERO, Event::Subscribe { vm });
        }
        fleet
    }

    fn instant(&self) -> Instant {
        self.started_at + self.now
    }

    fn schedule(&mut self, at: Duration, event: Event) {
        self.events.insert((at, self.next_event), event);
        self.next_event += 1;
    }

    fn schedule_message(&mut self, event: Event) {
        self.messages += 1;
        let delay = Duration::from_micros(self.rng.random_range(500..MAX_DELAY_MS * 1_000));
        // Connections keep the order of messages.
        let last = self.last_messages.entry(link(&event)).or_default();
        let at = (self.now + delay).max(*last);
        *last = at;
        self.schedule(at, event);
    }

    /// Adds an account's requests with exponential intervals. `vm` receives all of them, or random
    /// VMs do.
    fn add_load(
        &mut self,
        account: usize,
        rate: f64,
        from: Duration,
        until: Duration,
        vm: Option<usize>,
    ) {
        let mut at = from.as_secs_f64();
        loop {
            at += -self.rng.random_range(f64::MIN_POSITIVE..1.0).ln() / rate;
            if at >= until.as_secs_f64() {
                return;
            }
            let vm = vm.unwrap_or_else(|| self.rng.random_range(0..self.vms.len()));
            self.schedule(Duration::from_secs_f64(at), Event::Request { account, vm });
        }
    }

    fn add_usual_load(&mut self, until: Duration) {
        for (account, rate) in usual_rates().into_iter().enumerate() {
            self.add_load(account, rate, Duration::from_secs(1), until, None);
        }
    }

    fn start_relay(&mut self, relay: usize, is_first_start: bool) {
        let now = self.instant();
        let mut ledger = CreditLedger::new(quota_limits(self.relays.len()), is_first_start, now);
        update_ledger(&mut ledger, &self.quotas, now);
        for other in (0..self.relays.len()).filter(|other| *other != relay) {
            if let Some(other_ledger) = &mut self.relays[other] {
                other_ledger.add_lender(PartyId(FIRST_RELAY_PARTY + relay as u64));
                ledger.add_lender(PartyId(FIRST_RELAY_PARTY + other as u64));
            }
        }
        self.relays[relay] = Some(ledger);
    }

    fn stop_relay(&mut self, relay: usize) {
        self.relays[relay] = None;
        let now = self.instant();
        for other in self.relays.iter_mut().flatten() {
            other.remove_party(PartyId(FIRST_RELAY_PARTY + relay as u64), now);
        }
        for vm in 0..self.vms.len() {
            if self.vms[vm].relay == Some(relay) {
                self.lose_relay(vm);
            }
        }
        self.send_relay_messages();
    }

    fn lose_relay(&mut self, vm: usize) {
        let now = self.instant();
        if let Some(ledger) =
            self.vms[vm].relay.take().and_then(|relay| self.relays[relay].as_mut())
        {
            ledger.remove_party(PartyId(vm as u64), now);
        }
        self.vms[vm].connection += 1;
        self.vms[vm].queue.disconnect(now);
        let at = self.now + SUBSCRIPTION;
        self.schedule(at, Event::Subscribe { vm });
    }

    fn subscribe(&mut self, vm: usize) {
        let live: Vec<usize> =
            (0..self.relays.len()).filter(|relay| self.relays[*relay].is_some()).collect();
        if live.is_empty() || self.now < self.vms[vm].cut_until {
            let at = self.now + SUBSCRIPTION;
            self.schedule(at, Event::Subscribe { vm });
            return;
        }
        let relay = live[self.rng.random_range(0..live.len())];
        self.vms[vm].relay = Some(relay);
        self.vms[vm].queue.connect();
        self.send_requests(vm);
    }

    fn send_requests(&mut self, vm: usize) {
        let now = self.instant();
        let requests = self.vms[vm].queue.next_requests(now);
        let connection = self.vms[vm].connection;
        if let Some(at) = self.vms[vm].queue.next_request_at().filter(|at| *at > now) {
            self.schedule(at - self.started_at, Event::Send { vm });
        }
        if let Some(relay) = self.vms[vm].relay.filter(|_| !requests.is_empty()) {
            self.schedule_message(Event::ToRelay { vm, relay, connection, requests });
        }
    }

    fn send_relay_messages(&mut self) {
        for relay in 0..self.relays.len() {
            let Some(ledger) = &mut self.relays[relay] else {
                continue;
            };
            for (party, messages) in ledger.take_messages() {
                if party.0 < FIRST_RELAY_PARTY {
                    let vm = party.0 as usize;
                    let connection = self.vms[vm].connection;
                    let grants = messages.grants;
                    self.schedule_message(Event::ToVm { vm, connection, grants });
                    continue;
                }
                let (from, to) = (relay, (party.0 - FIRST_RELAY_PARTY) as usize);
                if !messages.requests.is_empty() {
                    let requests = messages.requests;
                    self.schedule_message(Event::LoanRequests { from, to, requests });
                }
                if !messages.grants.is_empty() {
                    let grants = messages.grants;
                    self.schedule_message(Event::Loans { from, to, grants });
                }
            }
        }
    }

    fn handle_request(&mut self, account: usize, vm: usize) {
        let request = self.requests.len();
        self.requests.push((account, self.now));
        let Some(quota) = self.quotas[account] else {
            self.runs.push(Run { account, at: self.now });
            return;
        };
        let (now, name) = (self.instant(), account_name(account));
        match self.vms[vm].queue.decide(&name, quota, now, &mut self.rng) {
            Some(decision) => self.finish(request, decision),
            None => {
                self.vms[vm].queue.wait(&name, request, now + CREDIT_WAIT);
                self.send_requests(vm);
            }
        }
    }

    fn finish(&mut self, request: usize, decision: CreditDecision) {
        if let CreditDecision::Granted(credit) = decision {
            assert!(self.instant() < credit.expires_at, "credits are not used late");
            self.own_credits += usize::from(credit.source == CreditSource::Own);
            self.runs.push(Run { account: self.requests[request].0, at: self.now });
        }
    }

    /// Plays all events until a time.
    fn run(&mut self, until: Duration) {
        self.schedule(Duration::from_millis(100), Event::ExpireLoans);
        while let Some(((at, _), event)) = self.events.pop_first() {
            if at > until {
                return;
            }
            self.now = at;
            self.play(event);
        }
    }

    fn play(&mut self, event: Event) {
        let now = self.instant();
        if let Some(vm) = event_vm(&event)
            && self.now < self.vms[vm].frozen_until
        {
            let at = self.vms[vm].frozen_until;
            self.schedule(at, event);
            return;
        }
        match event {
            Event::Request { account, vm } => self.handle_request(account, vm),
            Event::ToRelay { vm, relay, connection, requests } => {
                let is_open = self.vms[vm].connection == connection;
                if is_open
                    && self.now >= self.vms[vm].cut_until
                    && let Some(ledger) = &mut self.relays[relay]
                {
                    ledger.request(PartyId(vm as u64), &requests, now);
                }
            }
            Event::ToVm { vm, connection, grants } => {
                if self.vms[vm].connection == connection && self.now >= self.vms[vm].cut_until {
                    let queue = &mut self.vms[vm].queue;
                    for (request, decision) in queue.apply_grants(&grants, now, &mut self.rng) {
                        self.finish(request, decision);
                    }
                    self.send_requests(vm);
                }
            }
            Event::LoanRequests { from, to, requests } => {
                if let Some(ledger) = &mut self.relays[to] {
                    ledger.lend(PartyId(FIRST_RELAY_PARTY + from as u64), &requests, now);
                }
            }
            Event::Loans { from, to, grants } => {
                if let Some(ledger) = &mut self.relays[to] {
                    ledger.apply_loans(PartyId(FIRST_RELAY_PARTY + from as u64), &grants, now);
                }
            }
            Event::Send { vm } => self.send_requests(vm),
            Event::Subscribe { vm } => self.subscribe(vm),
            Event::LoseRelay { vm, connection } => {
                if self.vms[vm].connection == connection && self.vms[vm].relay.is_some() {
                    self.lose_relay(vm);
                }
            }
            Event::StopRelay(relay) => self.stop_relay(relay),
            Event::StartRelay(relay) => self.start_relay(relay, false),
            Event::Cut { vms, until } => {
                for vm in vms {
                    self.vms[vm].cut_until = until;
                    let connection = self.vms[vm].connection;
                    let at = self.now + SILENCE;
                    self.schedule(at, Event::LoseRelay { vm, connection });
                }
            }
            Event::Freeze { vms, until } => {
                for vm in vms {
                    self.vms[vm].frozen_until = until;
                }
            }
            Event::SetQuota { account, quota } => {
                self.quotas[account] = quota;
                for ledger in self.relays.iter_mut().flatten() {
                    update_ledger(ledger, &self.quotas, now);
                }
            }
            Event::ExpireLoans => {
                for ledger in self.relays.iter_mut().flatten() {
                    ledger.expire_loans(now);
                }
                let at = self.now + Duration::from_millis(100);
                self.schedule(at, Event::ExpireLoans);
            }
        }
        self.send_relay_messages();
    }

    /// Part of an account's requests in a time range that was served.
    fn served(&self, account: usize, from: Duration, until: Duration) -> f64 {
        let is_in = |at: Duration| from <= at && at < until;
        let sent =
            self.requests.iter().filter(|(other, at)| *other == account && is_in(*at)).count();
        let run = self.runs.iter().filter(|run| run.account == account && is_in(run.at)).count();
        run as f64 / sent as f64
    }

    /// Part of the requests of all accounts but some that was served.
    fn served_except(&self, excluded: &[usize]) -> f64 {
        let counts = |account: &usize| !excluded.contains(account);
        let sent = self.requests.iter().filter(|(account, _)| counts(account)).count();
        let run = self.runs.iter().filter(|run| counts(&run.account)).count();
        run as f64 / sent as f64
    }

    /// Largest number of requests of an account in any window that starts in a time range.
    fn largest_window(&self, account: usize, from: Duration) -> usize {
        let times: Vec<Duration> = self
            .runs
            .iter()
            .filter(|run| run.account == account && run.at >= from)
            .map(|run| run.at)
            .collect();
        let mut first = 0;
        let mut largest = 0;
        for (index, at) in times.iter().enumerate() {
            while times[first] + WINDOW < *at {
                first += 1;
            }
            largest = largest.max(index + 1 - first);
        }
        largest
    }

    /// Fails if an account exceeds its quota in a window. Returns the fullest window as a part of
    /// what is allowed.
    fn check_windows(&self) -> f64 {
        let mut fullest = 0.0_f64;
        for (account, quota) in self.quotas.iter().enumerate() {
            let Some(quota) = quota else {
                continue;
            };
            let largest = self.largest_window(account, Duration::ZERO);
            let allowed = allowed(*quota);
            assert!(largest as f64 <= allowed, "{largest} of account {account}, {allowed} allowed");
            fullest = fullest.max(largest as f64 / allowed);
        }
        fullest
    }
}

fn allowed(quota: AccountQuota) -> f64 {
    (quota.rate.0 * WINDOW.as_secs_f64() + quota.burst) * (1.0 + OVER) + SLACK
}

fn update_ledger(ledger: &mut CreditLedger, quotas: &[Option<AccountQuota>], now: Instant) {
    let names: Vec<String> = (0..quotas.len()).map(account_name).collect();
    ledger.update(names.iter().map(String::as_str).zip(quotas.iter().copied()), now);
}

/// VM that handles an event.
fn event_vm(event: &Event) -> Option<usize> {
    match event {
        Event::Request { vm, .. }
        | Event::ToVm { vm, .. }
        | Event::Send { vm }
        | Event::Subscribe { vm }
        | Event::LoseRelay { vm, .. } => Some(*vm),
        _ => None,
    }
}

/// Connection of a message and its direction.
fn link(event: &Event) -> (u8, usize, usize) {
    match event {
        Event::ToRelay { vm, relay, .. } => (0, *vm, *relay),
        Event::ToVm { vm, .. } => (1, *vm, 0),
        Event::LoanRequests { from, to, .. } | Event::Loans { from, to, .. } => (2, *from, *to),
        _ => (3, 0, 0),
    }
}

const SIZES: [(usize, usize); 6] = [(3, 1), (3, 3), (100, 1), (100, 3), (500, 1), (500, 3)];

const END: Duration = Duration::from_secs(21);

fn print_result(name: &str, size: (usize, usize), fleet: &Fleet, served: f64) {
    let fullest = fleet.check_windows();
    println!(
        "{name}: {} VMs, {} relays: served {served:.4}, fullest window {fullest:.3}, {:.2} messages \
         a request, {} credits without a relay",
        size.0,
        size.1,
        fleet.messages as f64 / fleet.requests.len() as f64,
        fleet.own_credits
    );
}
