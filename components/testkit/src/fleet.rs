//! A whole fleet: platform, backend servers and daemons.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

use records::hash_key;
use store::{ServerEntry, ServerState};

use crate::backend::{BackendBehaviour, BackendStandIn};
use crate::caller::{CallAnswer, CallRequest, call};
use crate::daemons::{DaemonProcess, free_port};
use crate::platform_server::PlatformStandIn;

/// Key of the fleet's operator in tests.
pub const FLEET_KEY: &str = "fleet-operator-key";

/// Secret of the entry VMs in tests.
const PEER_KEY: &str = "0123456789abcdef0123456789abcdef";

/// Longest time until something becomes true; CI runs with every core busy.
const PATIENCE: Duration = Duration::from_secs(60);

/// A running fleet.
pub struct TestFleet {
    program: PathBuf,
    /// The platform.
    pub platform: PlatformStandIn,
    /// The daemons.
    pub daemons: Vec<DaemonProcess>,
    started: usize,
}

/// A service of an account with its backend servers.
pub struct TestService {
    /// The backend servers, in order of their names.
    pub servers: Vec<BackendStandIn>,
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
            let server = BackendStandIn::start(&name, slots, behaviour.clone()).await;
            entries.push(entry(&name, server.address(), account, group));
            servers.push(server);
        }
        Self { servers, entries }
    }

    /// How often any server began to run the request with a tag.
    pub fn runs_of(&self, tag: &str) -> usize {
        self.servers.iter().map(|server| server.runs_of(tag)).sum()
    }
}

/// An entry of the platform's list.
fn entry(name: &str, address: SocketAddr, account: &str, group: &str) -> ServerEntry {
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
        let platform = PlatformStandIn::start().await;
        Self { program: program.into(), platform, daemons: Vec::new(), started: 0 }
    }

    /// Starts one more daemon; `changes` replace settings.
    pub fn add_daemon(&mut self, changes: &Value) -> usize {
        self.started += 1;
        let mut settings = json!({
            "vm": format!("vm-{}", self.started),
            "zone": "zone-a",
            "callers": free_port(),
            "operators": free_port(),
            "peers": free_port(),
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
        let deadline = Instant::now() + PATIENCE;
        loop {
            let request = CallRequest::get(operators, "test", "/v1/status")
                .with("authorization", &format!("Bearer {FLEET_KEY}"));
            let status = call(&request).await.map(|answer| answer.json()).unwrap_or_default();
            if fits(&status) {
                return;
            }
            assert!(Instant::now() < deadline, "status never fitted: {status}");
            sleep(Duration::from_millis(50)).await;
        }
    }

    /// Sends an operator's write to a daemon.
    pub async fn write(&self, daemon: usize, key: &str, message: &Value) -> CallAnswer {
        let operators = self.daemons[daemon].operators;
        let request = CallRequest::post(operators, "test", "/v1/records", message.to_string())
            .with("authorization", &format!("Bearer {key}"));
        call(&request).await.expect("the operator listener answers")
    }

    /// Puts a record and expects it to be accepted; its revision.
    pub async fn put(&self, record: &Value) -> u64 {
        let message = json!({ "verb": "put", "record": record });
        let answer = self.write(0, FLEET_KEY, &message).await;
        assert_eq!(answer.status, 200, "{}", answer.text());
        answer.json()["revision"].as_u64().expect("accepted writes have a revision")
    }

    /// Waits until every daemon has a revision in force.
    pub async fn wait_revision(&self, revision: u64) {
        for daemon in &self.daemons {
            self.wait_status(daemon.operators, |status| {
                status["revision"].as_u64().is_some_and(|at| at >= revision)
            })
            .await;
        }
    }

    /// The same as `put_account`, with limits that no measurement reaches.
    pub async fn put_unlimited(&self, account: &str, service: &TestService, spec: &Value) {
        let host = format!("{account}.test");
        let mut record = account_record(account, &[&host]);
        record["spec"]["limits"] = json!({ "in_flight": 100_000, "requests_per_s": 1_000_000 });
        self.put_with(&record, service, spec).await;
    }

    /// Puts an account with one service and a policy that routes its host there.
    pub async fn put_account(&self, account: &str, service: &TestService, spec: &Value) {
        let host = format!("{account}.test");
        self.put_with(&account_record(account, &[&host]), service, spec).await;
    }

    async fn put_with(&self, account_record: &Value, service: &TestService, spec: &Value) {
        let account = account_record["account"].as_str().expect("records name their account");
        let group = service.entries[0].group.as_str();
        let host = format!("{account}.test");
        self.put(account_record).await;
        self.put(&service_record(account, group, spec)).await;
        let rules = json!([{ "host": host, "path_prefix": "/", "service": group }]);
        let revision = self.put(&policy_record(account, "front", &rules)).await;
        self.wait_revision(revision).await;
    }

    /// Waits until a request through each daemon reaches a backend server.
    pub async fn wait_serving(&self, host: &str) {
        for daemon in &self.daemons {
            let deadline = Instant::now() + PATIENCE;
            let request = CallRequest::get(daemon.callers, host, "/warm-up");
            while call(&request).await.map(|answer| answer.status) != Ok(200) {
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
    let mut whole = json!({
        "group": group, "slots": 4, "connections": 200, "timeout_ms": 5_000, "expected_ms": 1_000,
    });
    for (name, value) in spec.as_object().into_iter().flatten() {
        whole[name] = value.clone();
    }
    json!({ "schema": 2, "kind": "service", "account": account, "name": group, "spec": whole })
}

/// A routing policy record of schema version 2.
pub fn policy_record(account: &str, name: &str, rules: &Value) -> Value {
    json!({
        "schema": 2, "kind": "routing-policy", "account": account, "name": name,
        "spec": { "rules": rules },
    })
}
