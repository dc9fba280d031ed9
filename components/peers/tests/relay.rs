//! Relays: what a subscriber is told, by what it knows already.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use model::RevisionNumber;
use peers::{KnownVersions, RelayHub, RelayMessage, RelaySubscription, serve_relay};
use routes::{CallerLimits, RouteTable, ServerChange, ServerRecord, ServiceName};
use slog::{Discard, Logger, o};
use tokio::net::TcpListener;
use tokio::time::Instant;

/// Longest time for a message; CI runs with every core busy.
const PATIENCE: Duration = Duration::from_secs(60);

/// Window of the shared budget.
const WINDOW: Duration = Duration::from_secs(10);

/// Changes that a relay keeps.
const KEPT_CHANGES: u64 = 64;

fn record(number: u64) -> ServerRecord {
    ServerRecord {
        id: format!("s-{number}").parse().expect("the name is valid"),
        started_ms: 1,
        sequence: 1,
        address: "127.0.0.1:80".parse().expect("an address"),
        service: ServiceName("orders".into()),
        zone: "zone-a".parse().expect("the name is valid"),
        slots: 2,
        is_leaving: false,
        slow_start_left: Duration::ZERO,
    }
}

fn table(version: u64) -> RouteTable {
    let limits = CallerLimits {
        max_header_bytes: 1,
        max_body_bytes: 1,
        header_timeout: Duration::from_secs(1),
        idle_timeout: Duration::from_secs(1),
    };
    RouteTable::new(RevisionNumber(version), std::iter::empty().collect(), limits)
}

/// A relay that knows configuration 7 and a list at version 100, and has one change after it.
struct TestRelay {
    hub: Arc<RelayHub>,
    address: SocketAddr,
}

impl TestRelay {
    async fn start() -> Self {
        let hub = Arc::new(RelayHub::new(WINDOW));
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
        let address = listener.local_addr().expect("a bound socket has an address");
        tokio::spawn(serve_relay(listener, Arc::clone(&hub), Logger::root(Discard, o!())));
        let relay = Self { hub, address };
        relay.hub.tell_config(&table(7)).expect("a table can be encoded");
        relay.hub.tell_servers(100, vec![record(1)], None).expect("a list can be encoded");
        relay.change(110);
        relay.hub.confirm_config(Instant::now());
        relay.hub.confirm_servers(Instant::now());
        relay
    }

    /// Tells of a change that ends at a version.
    fn change(&self, version: u64) {
        let changes = vec![ServerChange::Present(record(version))];
        let told = self.hub.tell_servers(version, vec![record(1), record(version)], Some(changes));
        told.expect("changes can be encoded");
    }

    /// What a new subscriber is told before the first sign of life, and that sign.
    async fn tells(&self, config: u64, servers: Option<u64>) -> (Vec<RelayMessage>, RelayMessage) {
        let known = KnownVersions { config: Some(config), servers };
        let mut subscription =
            RelaySubscription::open(self.address, &known).await.expect("the relay answers");
        let mut told = Vec::new();
        loop {
            let message = subscription.next(PATIENCE).await.expect("the relay goes on");
            match message {
                RelayMessage::Alive { .. } => return (told, message),
                message => told.push(message),
            }
        }
    }
}

fn versions_of(told: &[RelayMessage]) -> Vec<(&'static str, u64)> {
    let version = |message: &RelayMessage| match message {
        RelayMessage::Config(table) => ("config", table.version.0),
        RelayMessage::Servers { version, .. } => ("list", *version),
        RelayMessage::Changes { version, .. } => ("changes", *version),
        RelayMessage::Alive { age_ms, .. } => ("alive", *age_ms),
    };
    told.iter().map(version).collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_subscriber_is_told_what_it_does_not_know_and_no_more() {
    let relay = TestRelay::start().await;
    let cases = [
        (0, None, vec![("config", 7), ("list", 110)]),
        (7, Some(110), vec![]),
        (7, Some(120), vec![]),
        (6, Some(100), vec![("config", 7), ("changes", 110)]),
        // A list of the store's own lies between two changes.
        (7, Some(105), vec![("changes", 110)]),
        (7, Some(99), vec![("list", 110)]),
    ];
    for (config, servers, expected) in cases {
        let (told, _) = relay.tells(config, servers).await;
        assert_eq!(versions_of(&told), expected, "knows {config}, {servers:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn one_that_knows_less_than_the_kept_changes_is_told_the_whole_list() {
    let relay = TestRelay::start().await;
    for number in 1..=KEPT_CHANGES {
        relay.change(110 + number);
    }
    let (told, _) = relay.tells(7, Some(109)).await;
    assert_eq!(versions_of(&told), [("list", 110 + KEPT_CHANGES)]);
    let (told, _) = relay.tells(7, Some(110)).await;
    assert_eq!(told.len() as u64, KEPT_CHANGES);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_sign_of_life_tells_of_the_store_and_of_members() {
    let relay = TestRelay::start().await;
    let (_, alive) = relay.tells(7, Some(110)).await;
    // In its first window a relay assumes 50 members.
    assert!(matches!(alive, RelayMessage::Alive { is_store_away: false, members: 50, .. }));
    relay.hub.note_outage();
    let (_, alive) = relay.tells(7, Some(110)).await;
    assert!(matches!(alive, RelayMessage::Alive { is_store_away: true, .. }));
    relay.hub.confirm_servers(Instant::now());
    let (_, alive) = relay.tells(7, Some(110)).await;
    assert!(matches!(alive, RelayMessage::Alive { is_store_away: false, .. }));
}
