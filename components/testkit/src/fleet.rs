//! A whole fleet: platform, backend servers and daemons.

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

/// Key of the fleet's operator in tests.
pub const FLEET_KEY: &str = "fleet-operator-key";

/// Secret of the entry VMs in tests.
const PEER_KEY: &str = "0123456789abcdef0123456789abcdef";

/// Longest time until something becomes true; CI runs with every core busy.
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

/// A service of an account with its backend servers.
pub struct TestService {
    /// The backend servers, in order of their names.
    pub servers: Vec<FakeBackend>,
    /// Their entries in the platform's list.
    pub entries: Vec<ServerEntry>,
}

impl TestService {
    /// Starts `count` backend servers of a group.
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

    /// How often any server began to run the request with a tag.
    pub fn run_count(&self, tag: &str) -> usize {
        self.servers.iter().map(|server| server.run_count(tag)).sum()
    }
}

/// An entry of the platform's list.
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
    /// Starts a platform and `count` daemons, and waits until they are ready and know each other.
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

    /// Starts a platform only.
    pub async fn without_daemons(program: &Path) -> Self {
        let platform = FakePlatform::start().await;
        Self { program: program.into(), platform, daemons: Vec::new(), started_daemons: 0 }
    }

    /// Starts one more daemon; `changes` replace settings.
    pub fn add_daemon(&mut self, changes: &Value) -> usize {
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
        for (name, value) in changes.as_object().into_iter().flatten() {
            settings[name] = value.clone();
        }
        self.daemons.push(DaemonProcess::start(&self.program, &settings));
        self.daemons.len() - 1
    }

    /// Waits until every daemon counts `count` members.
    pub async fn wait_members(&self, count: usize) {
        for daemon in &self.daemons {
            self.wait_status(daemon.operators, |status| {
                status["members"].as_array().is_some_and(|members| members.len() == count)
                    && !status["slot"].is_null()
            })
            .await;
        }
    }

    /// Waits until a daemon's status fits.
    pub async fn wait_status(&self, operators: SocketAddr, fits: impl Fn(&Value) -> bool) {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        loop {
            let request = CallRequest::get(operators, "test", "/v1/status")
                .with_header("authorization", &format!("Bearer {FLEET_KEY}"));
            let status = call(&request).await.map(|response| response.json()).unwrap_or_default();
            if fits(&status) {
                return;
            }
            assert!(Instant::now() < deadline, "status never fitted: {status}");
            sleep(Duration::from_millis(50)).await;
        }
    }

    /// Sends an operator's write to a daemon.
    pub async fn write_record(&self, daemon: usize, key: &str, message: &Value) -> CallResponse {
        let operators = self.daemons[daemon].operators;
        let request = CallRequest::post(operators, "test", "/v1/records", message.to_string())
            .with_header("authorization", &format!("Bearer {key}"));
        call(&request).await.expect("the operator listener answers")
    }

    /// Puts a record and expects it to be accepted; its revision.
    pub async fn put_record(&self, record: &Value) -> u64 {
        let message = json!({ "verb": "put", "record": record });
        let response = self.write_record(0, FLEET_KEY, &message).await;
        assert_eq!(response.status, 200, "{}", response.text());
        response.json()["revision"].as_u64().expect("accepted writes have a revision")
    }

    /// Waits until every daemon has a revision in force.
    pub async fn wait_revision(&self, revision: u64) {
        for daemon in &self.daemons {
            self.wait_status(daemon.operators, |status| {
                status["revision"].as_u64().is_some_and(|current| current >= revision)
            })
            .await;
        }
    }

    /// The same as `put_account`, with limits that no measurement reaches.
    pub async fn put_unlimited_account(&self, account: &str, service: &TestService, spec: &Value) {
        let host = format!("{account}.test");
        let mut record = account_record(account, &[&host]);
        record["spec"]["limits"] = json!({ "in_flight": 100_000, "requests_per_s": 1_000_000 });
        self.put_account_record(&record, service, spec).await;
    }

    /// Puts an account with one service and a policy that routes its host there.
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
        let account = account_record["account"].as_str().expect("records name their account");
        let group = service.entries[0].group.as_str();
        let host = format!("{account}.test");
        self.put_record(account_record).await;
        self.put_record(&service_record(account, group, spec)).await;
        let rules = json!([{ "host": host, "path_prefix": "/", "service": group }]);
        let revision = self.put_record(&policy_record(account, "front", &rules)).await;
        self.wait_revision(revision).await;
    }

    /// Waits until a request through each daemon reaches a backend server.
    pub async fn wait_serving(&self, host: &str) {
        for daemon in &self.daemons {
            let deadline = Instant::now() + WAIT_TIMEOUT;
            let request = CallRequest::get(daemon.callers, host, "/warm-up");
            while call(&request).await.map(|response| response.status) != Ok(200) {
                assert!(Instant::now() < deadline, "no answer for {host}");
                sleep(Duration::from_millis(50)).await;
            }
        }
    }
}

/// A client account record.
pub fn account_record(account: &str, hosts: &[&str]) -> Value {
    json!({
        "schema": 1, "kind": "client-account", "account": account, "name": account,
        "spec": { "hosts": hosts, "runs_schema": 2 },
    })
}

/// A service record of schema version 2; `spec` replaces fields.
pub fn service_record(account: &str, group: &str, spec: &Value) -> Value {
    let mut full_spec = json!({
        "group": group, "slots": 4, "connections": 200, "timeout_ms": 5_000, "expected_ms": 1_000,
    });
    for (name, value) in spec.as_object().into_iter().flatten() {
        full_spec[name] = value.clone();
    }
    json!({ "schema": 2, "kind": "service", "account": account, "name": group, "spec": full_spec })
}

/// A routing policy record of schema version 2.
pub fn policy_record(account: &str, name: &str, rules: &Value) -> Value {
    json!({
        "schema": 2, "kind": "routing-policy", "account": account, "name": name,
        "spec": { "rules": rules },
    })
}
