//! A fake store, fake servers and a daemon process as one fleet.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};

use bytes::Bytes;
use hyper::Method;

use platform::wire_interface;

use crate::caller::{CallRequest, call};
use crate::hosted::{
    HOSTED_HOST, HostedBehaviour, HostedDaemon, HostedRun, HostedServer, RawServer, hosted_config,
    standard_routes,
};
use crate::platform_server::FakePlatform;

/// Deadline of requests, in milliseconds.
const REQUEST_DEADLINE_MS: u64 = 20_000;

/// A fake store, fake servers and one daemon process.
pub struct HostedFleet {
    /// The platform with its store.
    pub platform: FakePlatform,
    /// The servers.
    pub servers: Vec<HostedServer>,
    /// The daemon.
    pub daemon: HostedDaemon,
    request_count: AtomicU64,
}

impl HostedFleet {
    /// Starts a fleet with `count` servers of the service "orders" and the standard routes to it.
    pub async fn start(program: &Path, count: usize, behaviour: HostedBehaviour) -> Self {
        let mut servers = Vec::new();
        for number in 0..count {
            servers.push(HostedServer::start(&format!("s-{number}"), "orders", behaviour).await);
        }
        Self::start_with(program, servers, &[]).await
    }

    /// Starts a fleet with fake servers of both kinds.
    pub async fn start_with(
        program: &Path,
        servers: Vec<HostedServer>,
        raw_servers: &[RawServer],
    ) -> Self {
        let platform = FakePlatform::start().await;
        platform.put_config(&hosted_config(1, standard_routes()));
        for server in &servers {
            platform.put_server(&server.record);
        }
        for server in raw_servers {
            platform.put_server(&server.record);
        }
        let mut daemon = HostedDaemon::start(program, platform.address());
        daemon.wait_ready().await;
        Self { platform, servers, daemon, request_count: AtomicU64::new(0) }
    }

    /// Returns a request with a new request ID.
    pub fn request(&self, method: Method, path: &str) -> CallRequest {
        let number = self.request_count.fetch_add(1, Ordering::SeqCst);
        let id = format!("request-{number}");
        hosted_request(self.daemon.callers, &id, method, path, REQUEST_DEADLINE_MS)
    }

    /// Returns an idempotent request.
    pub fn idempotent_request(&self) -> CallRequest {
        self.request(Method::GET, "/read/1")
    }

    /// Sends idempotent requests and returns the number of those that were served.
    pub async fn send_requests(&self, count: u64) -> u64 {
        let mut served = 0;
        for _ in 0..count {
            let response = call(&self.idempotent_request()).await.expect("the daemon responds");
            served += u64::from(response.status == 200);
        }
        served
    }

    /// Returns a request that may run only once.
    pub fn order_request(&self, body: &str) -> CallRequest {
        let mut request = self.request(Method::POST, "/order/1?kind=stone");
        request.body = Bytes::copy_from_slice(body.as_bytes());
        request
    }

    /// The runs of all servers.
    pub fn runs(&self) -> Vec<HostedRun> {
        self.servers.iter().flat_map(HostedServer::runs).collect()
    }

    /// How many times a request ran.
    pub fn run_count(&self, request: &CallRequest) -> usize {
        let id = request_id(request);
        self.runs().iter().filter(|run| *run.id == *id).count()
    }

    /// Changes how all servers handle subsequent requests.
    pub fn set_behaviour(&self, behaviour: HostedBehaviour) {
        for server in &self.servers {
            server.set_behaviour(behaviour);
        }
    }
}

/// Returns a request with this ID and deadline to a daemon.
pub fn hosted_request(
    callers: SocketAddr,
    id: &str,
    method: Method,
    path: &str,
    deadline_ms: u64,
) -> CallRequest {
    let names = wire_interface().headers;
    let mut request = CallRequest::get(callers, HOSTED_HOST, path)
        .with_header(names.request_id.as_str(), id)
        .with_header(names.deadline_ms.as_str(), &deadline_ms.to_string());
    request.method = method;
    request
}

/// Returns the request ID from the headers of a request.
pub fn request_id(request: &CallRequest) -> Box<str> {
    let name = wire_interface().headers.request_id;
    let matching_header = request.headers.iter().find(|(header, _)| **header == *name.as_str());
    matching_header.map(|(_, value)| value.clone()).expect("the request has a request ID")
}
