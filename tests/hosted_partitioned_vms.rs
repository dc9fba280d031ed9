//! On a hosting platform: entry VMs that lose all servers while callers, the store and other VMs
//! still reach them.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use hyper::Method;
use model::{AccountQuota, RequestRate};
use routes::{AccountEntry, ServerRecord};
use rustix::process::Signal;
use testkit::{
    CallRequest, FakePlatform, FaultProxy, HostedBehaviour, HostedDaemon, HostedServer,
    account_entry, call, eventually, free_address, hosted_config, hosted_request, standard_routes,
};
use tokio::task::JoinSet;
use tokio::time::sleep;

const DAEMON_PATH: &str = env!("CARGO_BIN_EXE_mustardraild");

/// Time after the loss within which a VM must serve requests again (`contact_s`).
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// Requests before and after the loss at each VM.
const REQUESTS: usize = 30;

/// Pause between two requests.
const REQUEST_PAUSE: Duration = Duration::from_millis(20);

/// How the connections of a VM to the servers are lost.
#[derive(Debug, Clone, Copy)]
enum Loss {
    /// Open and new connections drop all bytes.
    Hang,
    /// Open connections are reset, and new ones refused.
    Refuse,
}

/// Entry VMs that reach the same servers over separate links. Each of them is a relay and has a
/// store of its own, which lists the servers at the addresses of its links.
struct Fleet {
    servers: Vec<HostedServer>,
    vms: Vec<LinkedVm>,
    next_id: usize,
}

struct LinkedVm {
    daemon: HostedDaemon,
    links: Vec<FaultProxy>,
    _platform: FakePlatform,
}

impl Fleet {
    async fn start(vm_count: usize) -> Self {
        Self::start_with_accounts(vm_count, None).await
    }

    async fn start_with_accounts(vm_count: usize, accounts: Option<&[AccountEntry]>) -> Self {
        let mut servers = Vec::new();
        for number in 0..4 {
            let behaviour = HostedBehaviour::Run(Duration::from_millis(5));
            servers.push(HostedServer::start(&format!("s-{number}"), "orders", behaviour).await);
        }
        let relays: Vec<SocketAddr> = (0..vm_count).map(|_| free_address()).collect();
        let mut vms = Vec::new();
        for relay in &relays {
            let platform = FakePlatform::start().await;
            let mut routes = standard_routes();
            for route in &mut routes {
                route.timeout = Duration::from_secs(2);
                route.target_latency = Duration::from_secs(1);
            }
            let config = hosted_config(1, routes);
            match accounts {
                Some(accounts) => platform.put_config_with_accounts(&config, accounts),
                None => platform.put_config(&config),
            }
            let mut links = Vec::new();
            for server in &servers {
                let link = FaultProxy::start(server.record.address).await;
                let address = link.address;
                platform.put_server(&ServerRecord { address, ..server.record.clone() });
                links.push(link);
            }
            let (program, store) = (Path::new(DAEMON_PATH), platform.address());
            let mut daemon = HostedDaemon::start_with_relays(program, store, *relay, &relays);
            daemon.wait_ready().await;
            vms.push(LinkedVm { daemon, links, _platform: platform });
        }
        Self { servers, vms, next_id: 0 }
    }

    fn request(&mut self, vm: usize, method: Method, path: &str) -> CallRequest {
        self.next_id += 1;
        let callers = self.vms[vm].daemon.callers;
        hosted_request(callers, &format!("request-{}", self.next_id), method, path, 2_000)
    }

    /// Sends look-ups to a VM and returns how many were served.
    async fn served(&mut self, vm: usize) -> usize {
        let mut calls = JoinSet::new();
        for _ in 0..REQUESTS {
            let request = self.request(vm, Method::GET, "/read/1");
            calls.spawn(async move { call(&request).await.map(|response| response.status) });
            sleep(REQUEST_PAUSE).await;
        }
        calls.join_all().await.into_iter().filter(|status| *status == Ok(200)).count()
    }

    fn cut(&self, vm: usize, loss: Loss) {
        self.cut_links(vm, self.vms[vm].links.len(), loss);
    }

    /// Cuts the first `count` links of a VM.
    fn cut_links(&self, vm: usize, count: usize, loss: Loss) {
        for link in &self.vms[vm].links[..count] {
            match loss {
                Loss::Hang => link.partition(),
                Loss::Refuse => {
                    link.reset_open_connections();
                    link.refuse();
                }
            }
        }
    }

    /// Keeps callers busy at a VM for the contact time.
    async fn send_during_contact_time(&mut self, vm: usize) {
        let mut calls = JoinSet::new();
        for _ in 0..CONTACT_TIME.as_millis() / 100 {
            let request = self.request(vm, Method::GET, "/read/1");
            calls.spawn(async move { call(&request).await.is_ok() });
            sleep(Duration::from_millis(100)).await;
        }
        calls.detach_all();
    }

    fn runs(&self, id: &str) -> usize {
        let runs = self.servers.iter().flat_map(HostedServer::runs);
        runs.filter(|run| *run.id == *id).count()
    }
}

async fn check_partitioned_vm(loss: Loss) {
    let mut fleet = Fleet::start(2).await;
    assert_eq!(fleet.served(0).await, REQUESTS);
    assert_eq!(fleet.served(1).await, REQUESTS);
    fleet.cut(0, loss);
    fleet.send_during_contact_time(0).await;
    let (served, at_other) = (fleet.served(0).await, fleet.served(1).await);
    assert!(
        served * 3 >= at_other * 2,
        "{loss:?}: {served} of {REQUESTS} requests are served at the VM without servers, {at_other} at the other"
    );
    // Orders too, and each at most once.
    let mut calls = JoinSet::new();
    for _ in 0..REQUESTS {
        let mut order = fleet.request(0, Method::POST, "/order/1");
        order.body = "one stone".into();
        calls.spawn(async move { (call(&order).await, order) });
        sleep(REQUEST_PAUSE).await;
    }
    for (result, order) in calls.join_all().await {
        let status = result.expect("the daemon responds").status;
        let runs = fleet.runs(&testkit::request_id(&order));
        let is_consistent = match status {
            200 => runs == 1,
            503 => runs == 0,
            _ => runs <= 1,
        };
        assert!(is_consistent, "{loss:?}: {status} after {runs} runs");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn vm_partitioned_from_all_servers_serves_its_callers_while_connections_hang() {
    check_partitioned_vm(Loss::Hang).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn vm_partitioned_from_all_servers_serves_its_callers_while_connections_are_refused() {
    check_partitioned_vm(Loss::Refuse).await;
}

/// Guards against a VM that takes crashed servers for a partition: it has kept connections to the
/// others, so only new connections to the crashed ones fail, several in a row.
#[tokio::test(flavor = "multi_thread")]
async fn vm_that_reaches_one_of_four_servers_forwards_no_request() {
    for loss in [Loss::Hang, Loss::Refuse] {
        let mut fleet = Fleet::start(2).await;
        assert_eq!(fleet.served(0).await, REQUESTS);
        fleet.cut_links(0, 3, loss);
        fleet.send_during_contact_time(0).await;
        let served = fleet.served(0).await;
        let name = "mustardrail_forwarded_requests_total ";
        assert_eq!(read_counter(&fleet.vms[0].daemon, name).await, 0, "{loss:?}");
        assert!(served * 3 >= REQUESTS * 2, "{loss:?}: {served} of {REQUESTS} are served");
    }
}

/// Servers that are all gone are no partition: no VM can help, and requests are refused as not run.
#[tokio::test(flavor = "multi_thread")]
async fn vms_refuse_requests_when_all_servers_are_gone() {
    let mut fleet = Fleet::start(2).await;
    assert_eq!(fleet.served(0).await, REQUESTS);
    for vm in 0..2 {
        fleet.cut(vm, Loss::Refuse);
    }
    for vm in 0..2 {
        fleet.send_during_contact_time(vm).await;
    }
    let mut calls = JoinSet::new();
    for number in 0..REQUESTS {
        let order = fleet.request(number % 2, Method::POST, "/order/1");
        calls.spawn(async move { (call(&order).await, order) });
    }
    for (result, order) in calls.join_all().await {
        let response = result.expect("the daemon responds");
        assert_eq!(response.status, 503, "{}", response.text());
        assert_eq!(fleet.runs(&testkit::request_id(&order)), 0);
    }
    eventually("both VMs are still ready", async || {
        fleet.vms[0].daemon.readiness_status().await == Some(200)
            && fleet.vms[1].daemon.readiness_status().await == Some(200)
    })
    .await;
}

/// A VM that serves requests for another one can freeze or be lost.
#[tokio::test(flavor = "multi_thread")]
async fn vm_partitioned_from_all_servers_serves_its_callers_while_another_vm_is_frozen() {
    let mut fleet = Fleet::start(4).await;
    assert_eq!(fleet.served(0).await, REQUESTS);
    fleet.cut(0, Loss::Refuse);
    fleet.vms[1].daemon.signal(Signal::STOP);
    fleet.vms[2].daemon.kill();
    fleet.send_during_contact_time(0).await;
    let served = fleet.served(0).await;
    fleet.vms[1].daemon.signal(Signal::CONT);
    assert!(served * 3 >= REQUESTS * 2, "{served} of {REQUESTS} requests are served");
}

/// The VM that serves a request for another one authenticates it itself.
#[tokio::test(flavor = "multi_thread")]
async fn vm_partitioned_from_all_servers_serves_client_accounts_without_showing_their_keys() {
    const KEY: &str = "rjvz48wuakn2ftimaj3n";
    let accounts = [account_entry("anna", &[KEY])];
    let mut fleet = Fleet::start_with_accounts(2, Some(&accounts)).await;
    let send = async |fleet: &mut Fleet, key: &str| {
        let request = fleet
            .request(0, Method::POST, "/order/1")
            .with_header("authorization", &format!("Token {key}"))
            .with_header("x-mustardrail-tenant", "boris");
        let status = call(&request).await.expect("the daemon responds").status;
        (testkit::request_id(&request), status)
    };
    assert_eq!(send(&mut fleet, KEY).await.1, 200);
    fleet.cut(0, Loss::Refuse);
    fleet.send_during_contact_time(0).await;
    let mut served = Vec::new();
    for _ in 0..REQUESTS {
        let (id, status) = send(&mut fleet, KEY).await;
        if status == 200 {
            served.push(id);
        }
        let (id, status) = send(&mut fleet, "0000000000000000000a").await;
        assert_eq!((status, fleet.runs(&id)), (401, 0));
    }
    assert!(served.len() * 3 >= REQUESTS * 2, "{} of {REQUESTS} are served", served.len());
    let runs: Vec<_> = fleet.servers.iter().flat_map(HostedServer::runs).collect();
    for run in runs.iter().filter(|run| served.contains(&run.id)) {
        let accounts: Vec<_> = run.headers.get_all("x-mustardrail-tenant").iter().collect();
        assert_eq!(accounts, ["anna"]);
        assert!(!run.headers.contains_key("authorization"));
        assert!(!run.headers.contains_key("mustardrail-forwarded"));
    }
    for vm in &fleet.vms {
        let log = std::fs::read_to_string(vm.daemon.log_path()).expect("the log can be read");
        assert!(!log.contains(KEY), "a key is in a log");
    }
}

/// Number of requests of the account "anna" that got a credit at a VM.
async fn granted_count(daemon: &HostedDaemon) -> usize {
    let name = "mustardrail_account_credits_total{account=\"anna\",outcome=\"granted\"} ";
    read_counter(daemon, name).await
}

/// Returns the value of the metric with this name and a space at its end.
async fn read_counter(daemon: &HostedDaemon, name: &str) -> usize {
    let request = CallRequest::get(daemon.metrics, "test", "/metrics");
    let response = call(&request).await.expect("the daemon responds");
    let text = response.text();
    let line = text.lines().find_map(|line| line.strip_prefix(name));
    line.map_or(0, |count| count.parse().expect("a counter is a number"))
}

/// Guards against a forwarded request that counts at both VMs.
#[tokio::test(flavor = "multi_thread")]
async fn request_that_another_vm_serves_needs_one_credit() {
    const KEY: &str = "rjvz48wuakn2ftimaj3n";
    let quota = AccountQuota { rate: RequestRate(0.001), burst: 200.0 };
    let mut anna = account_entry("anna", &[KEY]);
    anna.account.quota = Some(quota);
    let mut fleet = Fleet::start_with_accounts(2, Some(&[anna])).await;
    fleet.cut(0, Loss::Refuse);
    let mut served = 0;
    for _ in 0..3 * REQUESTS {
        let request = fleet.request(0, Method::POST, "/order/1");
        let request = request.with_header("authorization", &format!("Token {KEY}"));
        let response = call(&request).await.expect("the daemon responds");
        served += usize::from(response.status == 200);
        sleep(REQUEST_PAUSE).await;
    }
    assert!(served >= 2 * REQUESTS, "{served} requests were served");
    let mut granted = 0;
    for vm in &fleet.vms {
        granted += granted_count(&vm.daemon).await;
    }
    println!("served {served}, granted {granted}");
    // Until the loss is noticed, a request takes a credit at both VMs.
    assert!(granted <= 3 * REQUESTS + REQUESTS / 2, "{granted} credits for {served} requests");
}
