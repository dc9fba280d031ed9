//! Checks whether this entry VM reaches any backend server, once several have failed in a row.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, timeout};

use board::HostedBoard;

use crate::hosted::selection::probe_request;
use crate::hosted::service::{HostedService, HostedServices};
use crate::pool::BackendConnection;

/// Servers that are checked at the same time.
const CHECKED_SERVERS: usize = 4;

/// Time for opening a connection and receiving a response on it. A reachable server takes a few
/// milliseconds.
const CHECK_TIMEOUT: Duration = Duration::from_millis(300);

/// Pause while requests use all connections that this VM may have to a server.
const BUSY_PAUSE: Duration = Duration::from_millis(20);

impl HostedServices {
    /// Checks a few servers at each suspicion that this VM reaches none, until the future is
    /// dropped.
    pub async fn run_access_checks(&self, board: &HostedBoard) {
        loop {
            self.access().suspicion().await;
            if !self.reaches_any(board).await {
                self.access().confirm_loss();
            }
        }
    }

    /// Whether one of a few servers responds on a new connection.
    async fn reaches_any(&self, board: &HostedBoard) -> bool {
        let table = board.routes();
        let mut checks = JoinSet::new();
        for (service, address) in self.check_targets(CHECKED_SERVERS) {
            let info = table.as_ref().and_then(|table| table.services.get(&service.name));
            let Some(path) = info.map(|info| info.health_path.clone()) else {
                continue;
            };
            checks.spawn(async move {
                let check = responds(&service, address, &path);
                timeout(CHECK_TIMEOUT, check).await.unwrap_or(false)
            });
        }
        while let Some(result) = checks.join_next().await {
            if result.unwrap_or(false) {
                self.access().record_success();
                return true;
            }
        }
        false
    }

    /// Returns servers that are likely to respond: those that did last, and random ones to make up
    /// the number. Servers that have withdrawn are left out.
    fn check_targets(&self, count: usize) -> Vec<(Arc<HostedService>, SocketAddr)> {
        let recent = self.contacts().addresses();
        let mut targets = self.open_servers();
        // The others are in random order already.
        targets.sort_by_key(|(_, address)| {
            recent.iter().position(|known| known == address).unwrap_or(recent.len())
        });
        let now = Instant::now();
        let allowed = targets
            .into_iter()
            .filter(|(service, address)| service.group().may_probe(*address, now));
        allowed.take(count).collect()
    }
}

/// Whether a server responds to a health check on a new connection, whatever it responds.
async fn responds(service: &HostedService, address: SocketAddr, path: &str) -> bool {
    let Ok(mut connection) = open_when_allowed(service, address).await else {
        return false;
    };
    // It may have withdrawn while the connection was opened.
    if !service.group().may_probe(address, Instant::now()) {
        return true;
    }
    match probe_request(address, path) {
        Some(request) => connection.sender.send_request(request).await.is_ok(),
        None => false,
    }
}

/// Opens a connection, and waits before while requests of this VM use all that it may have.
async fn open_when_allowed(
    service: &HostedService,
    address: SocketAddr,
) -> io::Result<BackendConnection> {
    loop {
        match service.pool.open(address, service.connection_limit()).await {
            Err(error) if error.kind() == io::ErrorKind::ResourceBusy => sleep(BUSY_PAUSE).await,
            opened => return opened,
        }
    }
}
