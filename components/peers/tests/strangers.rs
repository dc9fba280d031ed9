//! Connections to a relay that don't come from an entry VM: the relay doesn't authenticate them.

mod common;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use model::StoreVersion;
use peers::{HeldVersions, RelayHub, RelayMessage, RelaySubscription, serve_relay};
use quarantine::{CrashBoard, CrashReport, Fingerprint, IncarnationKey};
use routes::{ServiceInfo, ServiceName};
use slog::{Discard, Logger, o};
use tokio::net::TcpListener;
use tokio::time::Instant;

use crate::common::{TIMING, empty_route_table};

/// Timeout for one message, long because CI runs with every core busy.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(60);

/// Longest time until a configuration reaches a subscriber. Relays and tests are built without
/// optimization and share the cores with others.
const MAX_DELAY: Duration = Duration::from_secs(4);

struct Relay {
    hub: Arc<RelayHub>,
    crashes: Arc<CrashBoard>,
    address: SocketAddr,
}

impl Relay {
    async fn start() -> Self {
        let crashes = Arc::new(CrashBoard::default());
        let hub = Arc::new(RelayHub::new(TIMING, true, Arc::clone(&crashes)));
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
        let address = listener.local_addr().expect("a bound socket has an address");
        tokio::spawn(serve_relay(listener, Arc::clone(&hub), Logger::root(Discard, o!())));
        let relay = Self { hub, crashes, address };
        relay.publish(1);
        let version = StoreVersion::without_era(1);
        relay.hub.publish_servers(version, Vec::new(), None).expect("a list can be encoded");
        relay
    }

    /// Publishes a configuration of a few hundred kilobytes, and confirms it.
    fn publish(&self, version: u64) {
        let services = (0..2_000).map(|number| {
            // Text that hardly gets smaller by compression.
            let health_path = Fingerprint::new("", b"", &format!("{version}/{number}"), b"");
            let info = ServiceInfo {
                health_path: format!("/{health_path}").into(),
                max_connections: 1,
                warm_up: None,
            };
            (ServiceName(format!("service-{number}").into()), info)
        });
        let table = empty_route_table(version, services);
        self.hub.publish_config(&table).expect("a table can be encoded");
        self.hub.confirm_config(Instant::now());
        self.hub.confirm_servers(Instant::now());
    }

    async fn subscribe(&self) -> RelaySubscription {
        let held = HeldVersions { exchanges_crash_reports: true, ..HeldVersions::default() };
        let opened = RelaySubscription::open(self.address, &held, MESSAGE_TIMEOUT).await;
        opened.expect("the relay accepts the subscription")
    }
}

/// Receives messages up to a configuration of a version. Returns how long that took.
async fn receive_config(subscription: &mut RelaySubscription, version: u64) -> Duration {
    let started_at = Instant::now();
    loop {
        let message = subscription.next(MESSAGE_TIMEOUT).await.expect("a message arrives");
        if matches!(message, RelayMessage::Config(table) if table.version.0 == version) {
            return started_at.elapsed();
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn stranger_that_never_reads_delays_nobody_and_is_disconnected() {
    let relay = Relay::start().await;
    let mut subscriber = relay.subscribe().await;
    receive_config(&mut subscriber, 1).await;
    let mut strangers = Vec::new();
    for _ in 0..20 {
        strangers.push(relay.subscribe().await);
    }
    // More than the socket buffers of a stranger and its queue hold.
    for version in 2..150 {
        relay.publish(version);
        let time = receive_config(&mut subscriber, version).await;
        assert!(time < MAX_DELAY, "version {version} took {time:?}");
    }
    // Longer than the relay waits for a receiver that accepts nothing.
    tokio::time::sleep(Duration::from_secs(3)).await;
    for stranger in &mut strangers {
        let end = async { while stranger.next(MESSAGE_TIMEOUT).await.is_ok() {} };
        let ended = tokio::time::timeout(Duration::from_secs(10), end).await;
        assert!(ended.is_ok(), "the relay still serves a stranger that never read");
    }
}

/// The relay has one thread, as the daemon does.
#[tokio::test]
async fn stranger_that_sends_a_million_reports_delays_nobody() {
    const MESSAGES: u64 = 100;
    const REPORTS: u64 = 10_000;
    let relay = Relay::start().await;
    let mut subscriber = relay.subscribe().await;
    receive_config(&mut subscriber, 1).await;
    let mut stranger = relay.subscribe().await;
    let flood = std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        runtime.expect("a runtime can be built").block_on(async move {
            for message in 0..MESSAGES {
                let reports = (0..REPORTS).map(|number| CrashReport {
                    content: Fingerprint::new("GET", b"", &format!("/{message}/{number}"), b""),
                    server: IncarnationKey(1 + number),
                    is_cleared: false,
                    age_ms: 0,
                });
                if stranger.send_crash_reports(reports.collect()).await.is_err() {
                    return message;
                }
                // It reads what the relay sends, so that it stays connected.
                while stranger.next(Duration::from_millis(1)).await.is_ok() {}
            }
            MESSAGES
        })
    });
    let mut version = 2;
    let mut longest = Duration::ZERO;
    while !flood.is_finished() {
        let started_at = Instant::now();
        tokio::time::sleep(Duration::from_millis(50)).await;
        relay.publish(version);
        receive_config(&mut subscriber, version).await;
        longest = longest.max(started_at.elapsed());
        version += 1;
    }
    let sent = flood.join().expect("the stranger ends");
    let held = relay.crashes.snapshot(Instant::now()).len();
    assert!(held <= 4_096, "{held} reports are held");
    assert!(longest < MAX_DELAY, "an update took {longest:?} while {sent} messages arrived");
}
