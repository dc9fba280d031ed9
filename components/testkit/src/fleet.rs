//! A complete fleet: the fake platform, fake backend servers and daemon processes.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

use records::hash_key;
use store::{ServerEntry, ServerState};

use crate::backend::{BackendBehaviour, FakeBackend};
use crate::caller::{CallRequest, CallResponse, call};
use crate::daemons::{DaemonProcess, free_address};
use crate::platform_server::FakePlatform;

/// Operator key of the whole fleet in tests.
pub const FLEET_KEY: &str = "fleet-operator-key";

/// Shared secret of the entry VMs in tests.
const PEER_KEY: &str = "0123456789abcdef0123456789abcdef";

/// Longest wait for a condition. The bound is generous since CI keeps every core busy.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// A running fleet.
pub struct TestFleet {
    program: PathBuf,
    /// The platform.
    pub platform: FakePlatform,
    /// The daemons.
    pub daemons: Vec<DaemonProcess>,
    started_daemons: usize,
}

/// A service of a client account with its fake backend servers.
pub struct TestService {
    /// The backend servers, ordered by the number in their names.
    pub servers: Vec<FakeBackend>,
    /// Their entries in the platform's server list.
    pub entries: Vec<ServerEntry>,
}

impl TestService {
    /// Starts `count` backend servers for one group of an account.
    pub async fn start(
        account: &str,
        group: &str,
        count: usize,
        slots: usize,
        behaviour: &BackendBehaviour,
    ) -> Self {
        let mut servers = Vec::new();
        let mut entries = Vec::new();
        for number in 0..count {
            let name = format!("{account}-{group}-{number}");
            let server = FakeBackend::start(&name, slots, behaviour.clone()).await;
            entries.push(server_entry(&name, server.address(), account, group));
            servers.push(server);
        }
        Self { servers, entries }
    }

    /// How many times the servers started to run the request with this tag, in total.
    pub fn run_count(&self, tag: &str) -> usize {
        self.servers.iter().map(|server| server.run_count(tag)).sum()
    }
}

/// Returns an entry of the platform's server list.
fn server_entry(name: &str, address: SocketAddr, account: &str, group: &str) -> ServerEntry {
    ServerEntry {
        id: name.parse().expect("the name is valid"),
        address,
        zone: "zone-a".parse().expect("the name is valid"),
        account: account.parse().expect("the name is valid"),
        group: group.parse().expect("the name is valid"),
        state: ServerState::Live,
    }
}

impl TestFleet {
    /// Starts a platform and `count` daemons, and waits until each is ready and has all members.
    pub async fn start(program: &Path, count: usize) -> Self {
        let mut fleet = Self::without_daemons(program).await;
        for _ in 0..count {
            fleet.add_daemon(&json!({}));
        }
        for daemon in &mut fleet.daemons {
            daemon.wait_ready().await;
        }
        fleet.wait_members(count).await;
        fleet
    }

    /// Starts a platform without daemons.
    pub async fn without_daemons(program: &Path) -> Self {
        let platform = FakePlatform::start().await;
        Self { program: program.into(), platform, daemons: Vec::new(), started_daemons: 0 }
    }

    /// Starts another daemon, and returns its index. Fields of `overrides` replace its settings.
    pub fn add_daemon(&mut self, overrides: &Value) -> usize {
        self.started_daemons += 1;
        let mut settings = json!({
            "vm": format!("vm-{}", self.started_daemons),
            "zone": "zone-a",
            "callers": free_address(),
            "operators": free_address(),
            "peers": free_address(),
            "peer_key": PEER_KEY,
            "first_key_sha256": hash_key(FLEET_KEY),
            "platform": {
                "table": self.platform.address(),
                "list": self.platform.address(),
                "call_ms": 1000,
            },
            "fleet_slots": 8,
            "shutdown_notice_ms": 200,
        });
        for (name, value) in overrides.as_object().into_iter().flatten() {
            settings[name] = value.clone();
        }
        self.daemons.push(DaemonProcess::start(&self.program, &settings));
        self.daemons.len() - 1
    }

    /// Waits until every daemon lists `count` members and has a slot.
    pub async fn wait_members(&self, count: usize) {
        for daemon in &self.daemons {
            self.wait_status(daemon.operators, |status| {
                status["members"].as_array().is_some_and(|members| members.len() == count)
                    && !status["slot"].is_null()
            })
            .await;
        }
    }

    /// Waits until a daemon's status matches a predicate.
    pub async fn wait_status(&self, operators: SocketAddr, matches: impl Fn(&Value) -> bool) {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        loop {
            let request = CallRequest::get(operators, "test", "/v1/status")
                .with_header("authorization", &format!("Bearer {FLEET_KEY}"));
            let status = call(&request).await.map(|response| response.json()).unwrap_or_default();
            if matches(&status) {
                return;
            }
            assert!(
                Instant::now() < deadline,
                "timed out waiting for a matching status; last status: {status}"
            );
            sleep(Duration::from_millis(50)).await;
        }
    }

    /// Sends an operator's write to the daemon with this index.
    pub async fn write_record(&self, daemon: usize, key: &str, message: &Value) -> CallResponse {
        let operators = self.daemons[daemon].operators;
        let request = CallRequest::post(operators, "test", "/v1/records", message.to_string())
            .with_header("authorization", &format!("Bearer {key}"));
        call(&request).await.expect("the operator listener responds")
    }

    /// Puts a record, asserts that it is accepted, and returns its revision.
    pub async fn put_record(&self, record: &Value) -> u64 {
        let message = json!({ "verb": "put", "record": record });
        let response = self.write_record(0, FLEET_KEY, &message).await;
        assert_eq!(response.status, 200, "{}", response.text());
        response.json()["revision"].as_u64().expect("accepted writes have a revision")
    }

    /// Waits until every daemon has applied a revision.
    pub async fn wait_revision(&self, revision: u64) {
        for daemon in &self.daemons {
            self.wait_status(daemon.operators, |status| {
                status["revision"].as_u64().is_some_and(|current| current >= revision)
            })
            .await;
        }
    }

    /// Like `put_account`, with limits that are too high to affect a benchmark.
    pub async fn put_unlimited_account(&self, account: &str, service: &TestService, spec: &Value) {
        let host = format!("{account}.test");
        let mut record = account_record(account, &[&host]);
        record["spec"]["limits"] = json!({ "in_flight": 100_000, "requests_per_s": 1_000_000 });
        self.put_account_record(&record, service, spec).await;
    }

    /// Puts an account, a service and a policy that routes the host of the account to the service.
    pub async fn put_account(&self, account: &str, service: &TestService, spec: &Value) {
        let host = format!("{account}.test");
        self.put_account_record(&account_record(account, &[&host]), service, spec).await;
    }

    async fn put_account_record(
        &self,
        account_record: &Value,
        service: &TestService,
        spec: &Value,
    ) {
        let account = account_record["account"].as_str().expect("records contain their account");
        let group = service.entries[0].group.as_str();
        let host = format!("{account}.test");
        self.put_record(account_record).await;
        self.put_record(&service_record(account, group, spec)).await;
        let rules = json!([{ "host": host, "path_prefix": "/", "service": group }]);
        let revision = self.put_record(&policy_record(account, "front", &rules)).await;
        self.wait_revision(revision).await;
    }

    /// Waits until each daemon responds with 200 to a request for `host`.
    pub async fn wait_serving(&self, host: &str) {
        for daemon in &self.daemons {
            let deadline = Instant::now() + WAIT_TIMEOUT;
            let request = CallRequest::get(daemon.callers, host, "/warm-up");
            while call(&request).await.map(|response| response.status) != Ok(200) {
                assert!(
                    Instant::now() < deadline,
                    "timed out waiting for a successful response for {host}"
                );
                sleep(Duration::from_millis(50)).await;
            }
        }
    }
}

/// Returns a client account record.
pub fn account_record(account: &str, hosts: &[&str]) -> Value {
    json!({
        "schema": 1, "kind": "client-account", "account": account, "name": account,
        "spec": { "hosts": hosts, "runs_schema": 2 },
    })
}

/// Returns a service record of schema version 2. Fields of `spec` replace the defaults.
pub fn service_record(account: &str, group: &str, spec: &Value) -> Value {
    let mut full_spec = json!({
        "group": group, "slots": 4, "connections": 200, "timeout_ms": 5_000, "expected_ms": 1_000,
    });
    for (name, value) in spec.as_object().into_iter().flatten() {
        full_spec[name] = value.clone();
    }
    json!({ "schema": 2, "kind": "service", "account": account, "name": group, "spec": full_spec })
}

/// Returns a routing policy record of schema version 2.
pub fn policy_record(account: &str, name: &str, rules: &Value) -> Value {
    json!({
        "schema": 2, "kind": "routing-policy", "account": account, "name": name,
        "spec": { "rules": rules },
    })
}
