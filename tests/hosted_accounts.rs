//! On a hosting platform: client accounts, their keys, and what backend servers see of them.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use limits::QuotaLimits;
use model::StoreVersion;
use peers::{RelayHub, RelayTiming, serve_subscriber};
use platform::wire_interface;
use routes::{AccountEntry, ExecutionSemantics, HostedRoute, ServerRecord};
use testkit::{
    CallRequest, CallerConnection, HostedBehaviour, HostedDaemon, HostedFleet, HostedRun,
    account_entry, call, eventually, free_address, hosted_config, hosted_route, request_id,
    standard_routes,
};
use tokio::net::TcpListener;
use tokio::time::Instant;

const DAEMON_PATH: &str = env!("CARGO_BIN_EXE_mustardraild");

const ANNA_KEY: &str = "rjvz48wuakn2ftimaj3n";
const BORIS_KEY: &str = "r26tta828m82thhkmgjq";
const UNKNOWN_KEY: &str = "0000000000000000000a";

/// Time within which a change of the configuration must be in force (`config_apply_s`).
const APPLY_TIME: Duration = Duration::from_millis(2_500);

/// Header field in which backend servers get the name of an account.
fn account_header() -> String {
    wire_interface().headers.account.to_string()
}

/// Sends the name of an account, as a caller must not.
fn with_account(request: CallRequest, name: &str) -> CallRequest {
    request.with_header(&account_header(), name)
}

/// Returns other spellings of the header field, which servers may take for it.
fn folded_headers() -> [String; 3] {
    let name = account_header();
    let last = name.rfind('-').expect("the name has several words");
    let partly_folded = format!("{}_{}", &name[..last], &name[last + 1..]);
    [name.replace('-', "_"), partly_folded, name.replace('-', ".")]
}

fn accounts() -> Vec<AccountEntry> {
    vec![account_entry("anna", &[ANNA_KEY]), account_entry("boris", &[BORIS_KEY])]
}

/// Standard routes and a public one.
fn routes() -> Vec<HostedRoute> {
    let mut routes = standard_routes();
    let public = hosted_route("/public/", ExecutionSemantics::Idempotent, &[("orders", 1)]);
    routes.push(HostedRoute { is_public: true, ..public });
    routes
}

async fn start_fleet(behaviour: HostedBehaviour) -> HostedFleet {
    let fleet = HostedFleet::start(Path::new(DAEMON_PATH), 2, behaviour).await;
    put_accounts(&fleet, 2, &accounts()).await;
    fleet
}

/// Writes a configuration and waits until it is in force.
async fn put_accounts(fleet: &HostedFleet, version: u64, accounts: &[AccountEntry]) {
    fleet.platform.put_config_with_accounts(&hosted_config(version, routes()), accounts);
    wait_for_version(&fleet.daemon, version).await;
}

async fn wait_for_version(daemon: &HostedDaemon, version: u64) {
    eventually("the configuration is in force", async || {
        let lines = daemon.log_lines_containing("config: in force");
        lines.iter().any(|line| line["version"].as_u64() == Some(version))
    })
    .await;
}

fn with_key(request: CallRequest, key: &str) -> CallRequest {
    request.with_header("authorization", &format!("Token {key}"))
}

async fn status(request: &CallRequest) -> u16 {
    call(request).await.expect("the daemon responds").status
}

/// The only run of a request.
fn run_of(fleet: &HostedFleet, request: &CallRequest) -> HostedRun {
    let id = request_id(request);
    let runs: Vec<_> = fleet.runs().into_iter().filter(|run| *run.id == *id).collect();
    assert_eq!(runs.len(), 1, "runs of the request");
    runs[0].clone()
}

/// All values of header fields of a run whose name may be taken for that of the account header.
fn account_values(run: &HostedRun) -> Vec<String> {
    let name = wire_interface().headers.account;
    let fields = run.headers.iter();
    let fields = fields.filter(|(field, _)| field.as_str().replace('_', "-") == name.as_str());
    fields.map(|(_, value)| String::from_utf8_lossy(value.as_bytes()).into_owned()).collect()
}

/// Checks that no header field of a run contains a text.
fn assert_absent(run: &HostedRun, text: &str) {
    for (name, value) in &run.headers {
        let value = String::from_utf8_lossy(value.as_bytes());
        assert!(!value.contains(text), "{name} contains \"{text}\"");
    }
}

/// Returns the log of the daemon once it contains the line of a request.
async fn read_log(fleet: &HostedFleet, request: &CallRequest) -> String {
    let text = format!("\"id\":\"{}\"", request_id(request));
    eventually("the log line of the request is written", async || {
        !fleet.daemon.log_lines_containing(&text).is_empty()
    })
    .await;
    std::fs::read_to_string(fleet.daemon.log_path()).expect("the log can be read")
}

/// Changes a request that has no key yet.
type Edit = fn(CallRequest) -> CallRequest;

/// Returns a request to a non-idempotent route, edited.
fn order(fleet: &HostedFleet, edit: Edit) -> CallRequest {
    edit(fleet.order_request("one stone"))
}

#[tokio::test(flavor = "multi_thread")]
async fn server_gets_the_name_of_the_account_and_never_the_key() {
    let fleet = start_fleet(HostedBehaviour::Run(Duration::ZERO)).await;
    let known: [Edit; 4] = [
        |request| with_key(request, ANNA_KEY),
        |request| request.with_header("authorization", &format!("tOKEN   {ANNA_KEY}  ")),
        |request| request.with_header("authorization", &format!("TOKEN\t{ANNA_KEY}")),
        |request| {
            with_key(request, ANNA_KEY).with_header("connection", "authorization, keep-alive")
        },
    ];
    for edit in known {
        let request = order(&fleet, edit);
        assert_eq!(status(&request).await, 200, "{:?}", request.headers);
        let run = run_of(&fleet, &request);
        assert_eq!(account_values(&run), ["anna"]);
        assert_absent(&run, ANNA_KEY);
    }
    let request = with_key(fleet.order_request("one stone"), BORIS_KEY);
    assert_eq!(status(&request).await, 200);
    assert_eq!(account_values(&run_of(&fleet, &request)), ["boris"]);
    let log = read_log(&fleet, &request).await;
    assert!(log.contains("\"account\":\"anna\""), "the log names the account");
    assert!(!log.contains(ANNA_KEY) && !log.contains(BORIS_KEY), "a key is in the log");
}

#[tokio::test(flavor = "multi_thread")]
async fn request_without_a_known_key_is_refused_and_never_runs() {
    let fleet = start_fleet(HostedBehaviour::Run(Duration::ZERO)).await;
    let unknown: [Edit; 9] = [
        |request| request,
        |request| with_key(request, UNKNOWN_KEY),
        |request| request.with_header("authorization", "Token"),
        |request| request.with_header("authorization", "Token "),
        |request| request.with_header("authorization", ANNA_KEY),
        |request| request.with_header("authorization", &format!("Token{ANNA_KEY}")),
        |request| request.with_header("authorization", &format!("Bearer {ANNA_KEY}")),
        |request| with_key(with_key(request, ANNA_KEY), UNKNOWN_KEY),
        |request| with_key(with_key(request, ANNA_KEY), ANNA_KEY),
    ];
    for edit in unknown {
        for is_forwarded in [false, true] {
            let mut request = with_account(order(&fleet, edit), "anna");
            if is_forwarded {
                // What another VM sets grants a caller nothing.
                request = request.with_header("mustardrail-forwarded", "1");
            }
            let response = call(&request).await.expect("the daemon responds");
            assert_eq!(response.status, 401, "{:?}", request.headers);
            assert_eq!(response.header("www-authenticate"), "Token");
            assert_eq!(fleet.run_count(&request), 0);
        }
    }
    let mut unrouted = fleet.idempotent_request();
    unrouted.path = "/nowhere/1".into();
    assert_eq!(status(&unrouted).await, 404, "a missing route goes before a missing key");
    let log = read_log(&fleet, &unrouted).await;
    assert!(!log.contains(ANNA_KEY) && !log.contains(UNKNOWN_KEY), "a key is in the log");
}

#[tokio::test(flavor = "multi_thread")]
async fn public_route_needs_no_key_and_passes_none_on() {
    let fleet = start_fleet(HostedBehaviour::Run(Duration::ZERO)).await;
    let public = |edit: Edit| {
        let mut request = edit(fleet.idempotent_request());
        request.path = "/public/1".into();
        with_account(request, "boris")
    };
    let cases: [(Edit, &[&str], Option<&str>); 6] = [
        (|request| request, &[], None),
        (|request| with_key(request, ANNA_KEY), &["anna"], None),
        (|request| with_key(request, UNKNOWN_KEY), &[], None),
        (|request| with_key(with_key(request, ANNA_KEY), ANNA_KEY), &[], None),
        (
            |request| request.with_header("authorization", "Basic c2Vydmlj"),
            &[],
            Some("Basic c2Vydmlj"),
        ),
        (
            |request| {
                let field = format!("Basic c2Vydmlj, Token {ANNA_KEY}");
                request.with_header("authorization", &field)
            },
            &[],
            None,
        ),
    ];
    for (edit, accounts, authorization) in cases {
        let request = public(edit);
        assert_eq!(status(&request).await, 200, "{:?}", request.headers);
        let run = run_of(&fleet, &request);
        assert_eq!(account_values(&run), accounts, "{:?}", request.headers);
        assert_absent(&run, ANNA_KEY);
        assert_absent(&run, UNKNOWN_KEY);
        let passed = run.headers.get("authorization").map(|value| value.to_str().expect("text"));
        assert_eq!(passed, authorization);
    }
}

/// Guards against accounts that a caller names itself.
#[tokio::test(flavor = "multi_thread")]
async fn caller_cannot_forge_the_name_of_an_account() {
    let fleet = start_fleet(HostedBehaviour::Run(Duration::ZERO)).await;
    let forged: [Edit; 5] = [
        |request| with_account(request, "boris"),
        |request| request.with_header(&account_header().to_uppercase(), "boris"),
        |request| {
            let [folded, partly_folded, dotted] = folded_headers();
            with_account(with_account(request, "boris"), "carla")
                .with_header(&folded, "boris")
                .with_header(&partly_folded, "boris")
                .with_header(&dotted, "boris")
        },
        |request| {
            let names = wire_interface().headers;
            let (account, id, deadline) = (names.account, names.request_id, names.deadline_ms);
            let nominated = format!("{account}, {id}, {deadline}, Host");
            with_account(request, "boris").with_header("connection", &nominated)
        },
        |request| with_account(request, ""),
    ];
    for edit in forged {
        let request = with_key(order(&fleet, edit), ANNA_KEY);
        assert_eq!(status(&request).await, 200, "{:?}", request.headers);
        let run = run_of(&fleet, &request);
        assert_eq!(account_values(&run), ["anna"], "{:?}", request.headers);
        assert!(!run.headers.contains_key(&*folded_headers()[2]));
        assert!(run.headers.contains_key("host") && run.deadline_ms > 0);
    }
}

/// Deployments without accounts pass `Authorization` on, but no name of an account.
#[tokio::test(flavor = "multi_thread")]
async fn without_accounts_no_key_is_needed_and_authorization_is_for_the_server() {
    let behaviour = HostedBehaviour::Run(Duration::ZERO);
    let fleet = HostedFleet::start(Path::new(DAEMON_PATH), 1, behaviour).await;
    let request = with_key(fleet.order_request("one stone"), ANNA_KEY);
    let request = with_account(request, "anna").with_header(&folded_headers()[0], "anna");
    assert_eq!(status(&request).await, 200);
    let run = run_of(&fleet, &request);
    assert!(account_values(&run).is_empty());
    assert_eq!(run.headers["authorization"], format!("Token {ANNA_KEY}"));
}

/// Guards against keys that hold on connections that stay open.
#[tokio::test(flavor = "multi_thread")]
async fn key_that_is_taken_away_stops_on_an_open_connection() {
    let fleet = start_fleet(HostedBehaviour::Run(Duration::ZERO)).await;
    let mut connection =
        CallerConnection::connect(fleet.daemon.callers).await.expect("the daemon accepts");
    let mut send = async |key| {
        let request = with_key(fleet.order_request("one stone"), key);
        let response = connection.send(&request).await.expect("the daemon responds");
        response.status
    };
    assert_eq!(send(ANNA_KEY).await, 200);
    // The last key of an account, which stays.
    let without_key = [account_entry("anna", &[]), account_entry("boris", &[BORIS_KEY])];
    fleet.platform.put_config_with_accounts(&hosted_config(3, routes()), &without_key);
    tokio::time::sleep(APPLY_TIME).await;
    assert_eq!(send(ANNA_KEY).await, 401);
    assert_eq!(send(BORIS_KEY).await, 200);
    let added = [account_entry("anna", &[UNKNOWN_KEY]), account_entry("boris", &[BORIS_KEY])];
    fleet.platform.put_config_with_accounts(&hosted_config(4, routes()), &added);
    tokio::time::sleep(APPLY_TIME).await;
    assert_eq!(send(UNKNOWN_KEY).await, 200, "a key that was added");
    fleet.platform.put_config_with_accounts(&hosted_config(5, routes()), &[]);
    tokio::time::sleep(APPLY_TIME).await;
    assert_eq!(send(BORIS_KEY).await, 401, "no accounts are left");
}

/// Guards against queued requests that are sent with a key that is no longer known.
#[tokio::test(flavor = "multi_thread")]
async fn queued_request_is_refused_when_its_key_is_taken_away() {
    const RUN_TIME: Duration = Duration::from_secs(2);
    let fleet = start_fleet(HostedBehaviour::Run(RUN_TIME)).await;
    // More than the servers run at once.
    let calls: Vec<_> = (0..32)
        .map(|_| {
            let request = with_key(fleet.order_request("one stone"), ANNA_KEY);
            tokio::spawn(async move { (status(&request).await, request) })
        })
        .collect();
    tokio::time::sleep(Duration::from_millis(500)).await;
    put_accounts(&fleet, 3, &[account_entry("boris", &[BORIS_KEY])]).await;
    let revoked_at = Instant::now();
    let mut refused = 0;
    for call in calls {
        let (status, request) = call.await.expect("the call ends");
        let is_refused = status == 401;
        refused += u32::from(is_refused);
        if is_refused {
            assert_eq!(fleet.run_count(&request), 0);
        } else {
            assert_eq!(status, 200);
        }
    }
    assert!(refused > 0, "no request was queued");
    let latest = fleet.runs().iter().map(|run| run.started_at).max().expect("requests ran");
    let late = latest.saturating_duration_since(revoked_at);
    assert!(late < Duration::from_millis(500), "a request was sent {late:?} after the revocation");
}

/// Guards against a configuration of which a part is used, and against keys in messages.
#[tokio::test(flavor = "multi_thread")]
async fn invalid_accounts_change_nothing() {
    let fleet = start_fleet(HostedBehaviour::Run(Duration::ZERO)).await;
    let invalid = [
        vec![account_entry("anna", &[UNKNOWN_KEY]), account_entry("", &[BORIS_KEY])],
        vec![account_entry("anna", &[UNKNOWN_KEY]), account_entry("anna", &[BORIS_KEY])],
        vec![account_entry("anna", &[UNKNOWN_KEY]), account_entry("boris", &[UNKNOWN_KEY])],
        vec![account_entry("anna", &[UNKNOWN_KEY, ""])],
    ];
    let count = invalid.len();
    for (index, accounts) in invalid.into_iter().enumerate() {
        let version = 3 + index as u64;
        fleet.platform.put_config_with_accounts(&hosted_config(version, routes()), &accounts);
        eventually("the configuration is found to be invalid", async || {
            fleet.daemon.log_lines_containing("invalid configuration").len() > index
        })
        .await;
        let known = with_key(fleet.order_request("one stone"), ANNA_KEY);
        assert_eq!(status(&known).await, 200);
        let unknown = with_key(fleet.order_request("one stone"), UNKNOWN_KEY);
        assert_eq!(status(&unknown).await, 401);
    }
    assert_eq!(fleet.daemon.log_lines_containing("invalid configuration").len(), count);
    put_accounts(&fleet, 20, &accounts()).await;
    let last = with_key(fleet.order_request("one stone"), ANNA_KEY);
    assert_eq!(status(&last).await, 200);
    let log = read_log(&fleet, &last).await;
    assert!(!log.contains(UNKNOWN_KEY) && !log.contains(BORIS_KEY), "a key is in the log");
}

#[tokio::test(flavor = "multi_thread")]
async fn vm_behind_a_relay_knows_the_accounts() {
    let program = Path::new(DAEMON_PATH);
    let mut fleet = HostedFleet::start(program, 1, HostedBehaviour::Run(Duration::ZERO)).await;
    let (store, relay) = (fleet.platform.address(), free_address());
    let mut relay_vm = HostedDaemon::start_with_relays(program, store, relay, &[relay]);
    relay_vm.wait_ready().await;
    fleet.daemon = HostedDaemon::start_with_relays(program, store, free_address(), &[relay]);
    fleet.daemon.wait_ready().await;
    put_accounts(&fleet, 2, &accounts()).await;
    let line = fleet.daemon.log_lines_containing("config: in force").pop().expect("a line");
    assert_eq!(line["source"].as_str(), Some(&*relay.to_string()));
    let known = with_key(fleet.order_request("one stone"), ANNA_KEY);
    assert_eq!(status(&known).await, 200);
    assert_eq!(account_values(&run_of(&fleet, &known)), ["anna"]);
    let unknown = with_key(fleet.order_request("one stone"), UNKNOWN_KEY);
    assert_eq!(status(&unknown).await, 401);
    let mut public = fleet.idempotent_request();
    public.path = "/public/1".into();
    assert_eq!(status(&public).await, 200);
    put_accounts(&fleet, 3, &[account_entry("boris", &[BORIS_KEY])]).await;
    let revoked = with_key(fleet.order_request("one stone"), ANNA_KEY);
    assert_eq!(status(&revoked).await, 401);
}

/// A relay of an older version of the daemon, which doesn't know client accounts: what its
/// configuration leaves out must not be taken for absent.
#[tokio::test(flavor = "multi_thread")]
async fn configuration_of_an_older_relay_is_not_used() {
    let program = Path::new(DAEMON_PATH);
    let mut fleet = HostedFleet::start(program, 1, HostedBehaviour::Run(Duration::ZERO)).await;
    fleet.platform.put_config_with_accounts(&hosted_config(9, routes()), &accounts());
    let relay = OlderRelay::start(fleet.servers[0].record.clone()).await;
    let (store, own) = (fleet.platform.address(), free_address());
    fleet.daemon = HostedDaemon::start_with_relays(program, store, own, &[relay.address]);
    fleet.daemon.wait_ready().await;
    wait_for_version(&fleet.daemon, 9).await;
    let request = fleet.order_request("one stone");
    assert_eq!(status(&request).await, 401);
    // A version that is newer than the one in force.
    relay.publish(10);
    tokio::time::sleep(APPLY_TIME).await;
    let request = fleet.order_request("one stone");
    assert_eq!(status(&request).await, 401);
    let known = with_key(fleet.order_request("one stone"), ANNA_KEY);
    assert_eq!(status(&known).await, 200);
    let applied = fleet.daemon.log_lines_containing("config: in force");
    assert!(applied.iter().all(|line| line["source"] == "store"), "{applied:?}");
}

/// A relay in the test's own process.
struct OlderRelay {
    address: SocketAddr,
    hub: Arc<RelayHub>,
}

impl OlderRelay {
    async fn start(server: ServerRecord) -> Self {
        let timing = RelayTiming {
            keep_alive_interval: Duration::from_millis(250),
            handshake_timeout: Duration::from_secs(5),
            budget_window: Duration::from_secs(10),
            max_state_age: Duration::from_millis(1_100),
            share_validity: Duration::from_millis(800),
            handover_time: Duration::ZERO,
            quotas: QuotaLimits {
                over: 0.1,
                slack: 20.0,
                window: Duration::from_secs(5),
                relays: 1,
            },
        };
        let hub = Arc::new(RelayHub::new(timing, true, Arc::default()));
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
        let address = listener.local_addr().expect("a bound socket has an address");
        let relay = Self { address, hub: Arc::clone(&hub) };
        relay.publish(8);
        let version = StoreVersion::without_era(1);
        hub.publish_servers(version, vec![server], None).expect("a list can be encoded");
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let hub = Arc::clone(&hub);
                tokio::spawn(async move { serve_subscriber(stream, &hub).await });
            }
        });
        let hub = Arc::clone(&relay.hub);
        tokio::spawn(async move {
            loop {
                hub.confirm_config(Instant::now());
                hub.confirm_servers(Instant::now());
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
        });
        relay
    }

    /// Publishes a configuration of an older format, without accounts.
    fn publish(&self, version: u64) {
        let mut table = hosted_config(version, routes());
        table.format = 0;
        self.hub.publish_config(&table).expect("a table can be encoded");
    }
}
