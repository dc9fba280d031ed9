//! Messages that a relay sends to a subscriber, depending on the versions that it already holds.

mod common;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use model::StoreVersion;
use peers::{
    HeldVersions, RelayHub, RelayMessage, RelaySubscription, SubscriberMessage, SubscriberTurns,
    serve_relay,
};
use quarantine::{CrashReport, Fingerprint, IncarnationKey};
use routes::{RouteTable, ServerChange, ServerRecord, ServiceName};
use slog::{Discard, Logger, o};
use tokio::net::TcpListener;
use tokio::time::Instant;

use crate::common::{TIMING, empty_route_table};

/// Timeout for one message, long because CI runs with every core busy.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(60);

/// Number of recent changes that a relay keeps.
const CHANGE_HISTORY_CAPACITY: u64 = 64;

fn server_record(number: u64) -> ServerRecord {
    ServerRecord {
        id: format!("s-{number}").parse().expect("the name is valid"),
        started_at_ms: 1,
        sequence: 1,
        address: "127.0.0.1:80".parse().expect("the address is valid"),
        service: ServiceName("orders".into()),
        zone: "zone-a".parse().expect("the name is valid"),
        slots: 2,
        is_leaving: false,
        slow_start_remaining: Duration::ZERO,
    }
}

fn route_table(version: u64) -> RouteTable {
    empty_route_table(version, [])
}

/// A relay with configuration version 7, a server list at version 100 and one change to version
/// 110.
struct TestRelay {
    hub: Arc<RelayHub>,
    address: SocketAddr,
}

impl TestRelay {
    async fn start() -> Self {
        Self::start_with(RelayHub::new(TIMING, true, Arc::default())).await
    }

    /// Starts a relay that may have run before.
    async fn start_again() -> Self {
        Self::start_with(RelayHub::new(TIMING, false, Arc::default())).await
    }

    async fn start_with(hub: RelayHub) -> Self {
        let hub = Arc::new(hub);
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
        let address = listener.local_addr().expect("a bound socket has an address");
        tokio::spawn(serve_relay(listener, Arc::clone(&hub), Logger::root(Discard, o!())));
        let relay = Self { hub, address };
        relay
            .hub
            .publish_evacuations(StoreVersion::without_era(100), Vec::new())
            .expect("zones can be encoded");
        relay.hub.publish_config(&route_table(7)).expect("a table can be encoded");
        relay
            .hub
            .publish_servers(StoreVersion::without_era(100), vec![server_record(1)], None)
            .expect("a list can be encoded");
        relay.publish_change(110);
        relay.hub.confirm_config(Instant::now());
        relay.hub.confirm_servers(Instant::now());
        relay
    }

    /// Publishes a change that leads to `version`.
    fn publish_change(&self, version: u64) {
        let changes = vec![ServerChange::Present(server_record(version))];
        let result = self.hub.publish_servers(
            StoreVersion::without_era(version),
            vec![server_record(1), server_record(version)],
            Some(changes),
        );
        result.expect("changes can be encoded");
    }

    /// Subscribes with the given versions; returns the messages before the first keep-alive, and
    /// the keep-alive message.
    async fn subscribe(
        &self,
        config: u64,
        servers: Option<u64>,
    ) -> (Vec<RelayMessage>, RelayMessage) {
        self.subscribe_with(config, servers.map(StoreVersion::without_era)).await
    }

    async fn subscribe_with(
        &self,
        config: u64,
        servers: Option<StoreVersion>,
    ) -> (Vec<RelayMessage>, RelayMessage) {
        let held = HeldVersions {
            config: Some(config),
            servers,
            accepts_compressed: true,
            ..HeldVersions::default()
        };
        let mut subscription =
            RelaySubscription::open(self.address, &held, TIMING.handshake_timeout)
                .await
                .expect("the relay accepts the subscription");
        let mut received = Vec::new();
        loop {
            let message = subscription
                .next(MESSAGE_TIMEOUT)
                .await
                .expect("the relay keeps the connection open");
            match message {
                RelayMessage::KeepAlive { .. } => return (received, message),
                message => received.push(message),
            }
        }
    }
}

fn versions_of(received: &[RelayMessage]) -> Vec<(&'static str, u64)> {
    let version = |message: &RelayMessage| match message {
        RelayMessage::Config(table) => ("config", table.version.0),
        RelayMessage::Servers { version, .. } => ("list", version.number),
        RelayMessage::Changes { version, .. } => ("changes", version.number),
        RelayMessage::Helpers(helpers) => ("helpers", helpers.len() as u64),
        RelayMessage::CrashReports(reports) => ("crash reports", reports.len() as u64),
        RelayMessage::Evacuations { version, .. } => ("evacuations", version.number),
        RelayMessage::CreditGrants(grants) => ("credits", grants.len() as u64),
        RelayMessage::CreditRequests(requests) => ("credit requests", requests.len() as u64),
        RelayMessage::KeepAlive { age_ms, .. } => ("keep-alive", *age_ms),
    };
    received.iter().map(version).collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn new_subscriber_receives_only_what_is_newer_than_its_versions() {
    let relay = TestRelay::start().await;
    let cases = [
        (0, None, vec![("config", 7), ("list", 110)]),
        (7, Some(110), vec![]),
        (7, Some(120), vec![]),
        (6, Some(100), vec![("config", 7), ("changes", 110)]),
        // A list read directly from the store may have a version between those of two changes.
        (7, Some(105), vec![("changes", 110)]),
        (7, Some(99), vec![("list", 110)]),
    ];
    for (config, servers, expected) in cases {
        let (received, _) = relay.subscribe(config, servers).await;
        assert_eq!(
            versions_of(&received),
            expected,
            "subscriber holds config {config} and servers {servers:?}"
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn subscriber_older_than_the_change_history_receives_the_full_list() {
    let relay = TestRelay::start().await;
    for number in 1..=CHANGE_HISTORY_CAPACITY {
        relay.publish_change(110 + number);
    }
    let (received, _) = relay.subscribe(7, Some(109)).await;
    assert_eq!(versions_of(&received), [("list", 110 + CHANGE_HISTORY_CAPACITY)]);
    let (received, _) = relay.subscribe(7, Some(110)).await;
    assert_eq!(received.len() as u64, CHANGE_HISTORY_CAPACITY);
}

#[tokio::test(flavor = "multi_thread")]
async fn keep_alive_reports_store_reachability_and_member_count() {
    let relay = TestRelay::start().await;
    let (_, keep_alive) = relay.subscribe(7, Some(110)).await;
    // The relay itself is a member too.
    assert!(matches!(
        keep_alive,
        RelayMessage::KeepAlive { is_store_unreachable: false, members: 2, .. }
    ));
    relay.hub.set_store_unreachable();
    let (_, keep_alive) = relay.subscribe(7, Some(110)).await;
    assert!(matches!(keep_alive, RelayMessage::KeepAlive { is_store_unreachable: true, .. }));
    relay.hub.confirm_servers(Instant::now());
    let (_, keep_alive) = relay.subscribe(7, Some(110)).await;
    assert!(matches!(keep_alive, RelayMessage::KeepAlive { is_store_unreachable: false, .. }));
}

/// A relay that restarted doesn't know what the members of its previous start may still use.
#[tokio::test(flavor = "multi_thread")]
async fn restarted_relay_grants_no_share_at_first() {
    let relay = TestRelay::start_again().await;
    let (_, keep_alive) = relay.subscribe(7, Some(110)).await;
    assert!(matches!(keep_alive, RelayMessage::KeepAlive { members: u32::MAX, .. }));
}

/// Returns the turns of the next keep-alive message, if it has any.
async fn next_keep_alive_turns(subscription: &mut RelaySubscription) -> Option<SubscriberTurns> {
    loop {
        let message = subscription.next(MESSAGE_TIMEOUT).await.expect("the relay sends messages");
        if let RelayMessage::KeepAlive { turns, .. } = message {
            return turns;
        }
    }
}

/// Returns the turns of the first keep-alive message that has any.
async fn next_turns(subscription: &mut RelaySubscription) -> SubscriberTurns {
    loop {
        if let Some(turns) = next_keep_alive_turns(subscription).await {
            return turns;
        }
    }
}

/// Others use turns that were assigned before a subscriber joined, until they know of it.
#[tokio::test(flavor = "multi_thread")]
async fn new_subscriber_gets_turns_when_the_others_know_of_it() {
    let relay = TestRelay::start().await;
    let subscribed_at = Instant::now();
    let held = HeldVersions::default();
    let mut subscription = RelaySubscription::open(relay.address, &held, TIMING.handshake_timeout)
        .await
        .expect("the relay accepts the subscription");
    assert_eq!(next_keep_alive_turns(&mut subscription).await, None);
    next_turns(&mut subscription).await;
    assert!(subscribed_at.elapsed() >= TIMING.share_validity);
}

/// Two entry VMs with the same turn would send to a limited server at the same time.
#[tokio::test(flavor = "multi_thread")]
async fn subscribers_have_turns_of_their_own_that_are_assigned_again() {
    let relay = TestRelay::start().await;
    let held = HeldVersions {
        config: Some(7),
        servers: Some(StoreVersion::without_era(110)),
        accepts_compressed: true,
        ..HeldVersions::default()
    };
    let mut subscriptions = Vec::new();
    for expected in 1..=3 {
        let mut subscription =
            RelaySubscription::open(relay.address, &held, TIMING.handshake_timeout)
                .await
                .expect("the relay accepts the subscription");
        let turns = next_turns(&mut subscription).await;
        assert_eq!((turns.index, turns.count), (expected, expected + 1));
        subscriptions.push(subscription);
    }
    let own_turns = relay.hub.own_turns(Instant::now()).expect("the relay has run for a while");
    assert_eq!(own_turns.index, 0);
    drop(subscriptions.remove(0));
    // The relay notices the end when it sends the next keep-alive.
    loop {
        let mut subscription =
            RelaySubscription::open(relay.address, &held, TIMING.handshake_timeout)
                .await
                .expect("the relay accepts the subscription");
        let turns = next_turns(&mut subscription).await;
        if turns.index == 1 {
            break;
        }
    }
    let last = subscriptions.last_mut().expect("two subscriptions are left");
    let turns = next_turns(last).await;
    assert_eq!(turns.index, 3, "a subscriber keeps its turn");
    assert!(turns.count >= 4);
}

/// Numbers of different eras can't be compared: a store that returned from an older copy gives
/// them out again.
#[tokio::test(flavor = "multi_thread")]
async fn subscriber_of_an_earlier_era_receives_the_full_list() {
    let relay = TestRelay::start().await;
    let in_new_era = |number| StoreVersion { era: 1, number };
    let records = vec![server_record(1)];
    relay
        .hub
        .publish_servers(in_new_era(90), records.clone(), None)
        .expect("a list can be encoded");
    let changes = vec![ServerChange::Present(server_record(2))];
    relay
        .hub
        .publish_servers(in_new_era(100), records, Some(changes))
        .expect("changes can be encoded");
    for (held, expected) in [
        (StoreVersion::without_era(95), vec![("list", 100)]),
        (StoreVersion::without_era(200), vec![("list", 100)]),
        (in_new_era(95), vec![("changes", 100)]),
        (in_new_era(100), vec![]),
    ] {
        let (received, keep_alive) = relay.subscribe_with(7, Some(held)).await;
        assert_eq!(versions_of(&received), expected, "subscriber holds {held}");
        assert!(matches!(keep_alive, RelayMessage::KeepAlive { era: 1, .. }));
    }
}

/// A process that has just started would use servers that have left and withdrawn routes.
#[tokio::test(flavor = "multi_thread")]
async fn relay_with_old_state_says_so_before_it_sends_the_state() {
    let relay = TestRelay::start().await;
    let confirmed_at = Instant::now() - Duration::from_secs(5);
    relay.hub.confirm_config(confirmed_at);
    relay.hub.confirm_servers(confirmed_at);
    let held = HeldVersions::default();
    let mut subscription = RelaySubscription::open(relay.address, &held, TIMING.handshake_timeout)
        .await
        .expect("the relay accepts the subscription");
    let first = subscription.next(MESSAGE_TIMEOUT).await.expect("the relay sends messages");
    assert!(matches!(first, RelayMessage::KeepAlive { age_ms: 5_000.., .. }), "{first:?}");
    let second = subscription.next(MESSAGE_TIMEOUT).await.expect("the relay sends messages");
    assert!(matches!(second, RelayMessage::Config(_)), "{second:?}");
}

fn crash_report(server: u64) -> CrashReport {
    CrashReport {
        content: Fingerprint::new("GET", b"shop.test", "/read/1", b""),
        server: IncarnationKey(server),
        is_cleared: false,
        age_ms: 0,
    }
}

/// Waits for crash reports about a server.
async fn receive_crash_report(subscription: &mut RelaySubscription, server: u64) {
    loop {
        let message = subscription.next(MESSAGE_TIMEOUT).await.expect("the relay sends messages");
        if let RelayMessage::CrashReports(reports) = message
            && reports.iter().any(|report| report.server == IncarnationKey(server))
        {
            return;
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn crash_report_of_a_subscriber_reaches_other_subscribers_and_relays() {
    let relay = TestRelay::start().await;
    let subscriber = HeldVersions { exchanges_crash_reports: true, ..HeldVersions::default() };
    let other_relay = HeldVersions { is_relay: true, ..subscriber.clone() };
    let mut connections = Vec::new();
    for held in [&subscriber, &subscriber, &other_relay] {
        let opened = RelaySubscription::open(relay.address, held, TIMING.handshake_timeout).await;
        connections.push(opened.expect("the relay accepts the subscription"));
    }
    for (server, sender) in [(1, 0), (2, 2)] {
        let sent = connections[sender].send_crash_reports(vec![crash_report(server)]).await;
        sent.expect("the relay accepts the report");
        for connection in &mut connections {
            receive_crash_report(connection, server).await;
        }
    }
    // A later subscriber gets all of them at first.
    let held = &subscriber;
    let opened = RelaySubscription::open(relay.address, held, TIMING.handshake_timeout).await;
    let mut late = opened.expect("the relay accepts the subscription");
    receive_crash_report(&mut late, 1).await;
}

/// An older version of the daemon doesn't know the message, and another relay is no member.
#[tokio::test(flavor = "multi_thread")]
async fn older_subscriber_gets_no_crash_reports_and_a_relay_gets_nothing_else() {
    let relay = TestRelay::start().await;
    relay.hub.confirm_config(Instant::now());
    relay.hub.confirm_servers(Instant::now());
    let other_relay =
        HeldVersions { exchanges_crash_reports: true, is_relay: true, ..HeldVersions::default() };
    let mut connections = Vec::new();
    for held in [&HeldVersions::default(), &other_relay] {
        let opened = RelaySubscription::open(relay.address, held, TIMING.handshake_timeout).await;
        connections.push(opened.expect("the relay accepts the subscription"));
    }
    let sent = connections[1].send_crash_reports(vec![crash_report(1)]).await;
    sent.expect("the relay accepts the report");
    for _ in 0..8 {
        let message = connections[0].next(MESSAGE_TIMEOUT).await.expect("a message arrives");
        assert!(!matches!(message, RelayMessage::CrashReports(_)), "{message:?}");
        if let RelayMessage::KeepAlive { members, .. } = message {
            assert_eq!(members, 2, "the relay itself and one subscriber");
        }
        let message = connections[1].next(MESSAGE_TIMEOUT).await.expect("a message arrives");
        let is_for_relays =
            matches!(message, RelayMessage::CrashReports(_) | RelayMessage::Helpers(_));
        assert!(is_for_relays, "{message:?}");
    }
}

/// Waits for the VMs that reach backend servers.
async fn receive_helpers(subscription: &mut RelaySubscription) -> Vec<SocketAddr> {
    loop {
        let message = subscription.next(MESSAGE_TIMEOUT).await.expect("the relay sends messages");
        if let RelayMessage::Helpers(mut helpers) = message {
            helpers.sort();
            return helpers;
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn subscriber_without_servers_learns_which_vms_reach_some() {
    let relay = TestRelay::start().await;
    let callers = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
    relay.hub.set_own_access(callers(1), true);
    let subscriber = HeldVersions { exchanges_crash_reports: true, ..HeldVersions::default() };
    let other_relay = HeldVersions { is_relay: true, ..subscriber.clone() };
    let mut connections = Vec::new();
    for (held, port) in [(&subscriber, 2), (&other_relay, 3), (&subscriber, 4)] {
        let opened = RelaySubscription::open(relay.address, held, TIMING.handshake_timeout).await;
        let mut connection = opened.expect("the relay accepts the subscription");
        let helpers =
            SubscriberMessage::Helpers { callers: vec![callers(port)], needs_helpers: false };
        connection.send(&helpers).await.expect("the relay accepts the message");
        connections.push(connection);
    }
    let lost = SubscriberMessage::Helpers { callers: Vec::new(), needs_helpers: true };
    connections[0].send(&lost).await.expect("the relay accepts the message");
    let expected = vec![callers(1), callers(3), callers(4)];
    while receive_helpers(&mut connections[0]).await != expected {}
    // A VM that is gone is forgotten, and so is the relay itself when it reaches no server.
    connections.truncate(2);
    relay.hub.set_own_access(callers(1), false);
    while receive_helpers(&mut connections[0]).await != [callers(3)] {}
}

/// The interval at which helpers are sent must not catch up on the time when none were needed.
#[tokio::test(flavor = "multi_thread")]
async fn subscriber_that_loses_its_servers_late_gets_helpers_once_per_keep_alive() {
    const KEEP_ALIVES: usize = 12;
    let relay = TestRelay::start().await;
    relay.hub.confirm_config(Instant::now());
    relay.hub.confirm_servers(Instant::now());
    let held = HeldVersions { exchanges_crash_reports: true, ..HeldVersions::default() };
    let opened = RelaySubscription::open(relay.address, &held, TIMING.handshake_timeout).await;
    let mut subscription = opened.expect("the relay accepts the subscription");
    let mut keep_alives = 0;
    while keep_alives < KEEP_ALIVES {
        let message = subscription.next(MESSAGE_TIMEOUT).await.expect("a message arrives");
        keep_alives += usize::from(matches!(message, RelayMessage::KeepAlive { .. }));
    }
    let lost = SubscriberMessage::Helpers { callers: Vec::new(), needs_helpers: true };
    subscription.send(&lost).await.expect("the relay accepts the message");
    let (mut helpers, mut keep_alives) = (0, 0);
    while keep_alives < 3 {
        match subscription.next(MESSAGE_TIMEOUT).await.expect("a message arrives") {
            RelayMessage::Helpers(_) => helpers += 1,
            RelayMessage::KeepAlive { .. } => keep_alives += 1,
            _ => {}
        }
    }
    // One at once, and one with each keep-alive message.
    assert!(helpers <= 1 + keep_alives, "{helpers} lists of helpers for {keep_alives} keep-alives");
}

/// Guards a VM that starts before the relays: it subscribes to whichever runs first, and doesn't
/// give up while none does.
#[tokio::test]
async fn first_relay_that_starts_gets_the_connection() {
    let mut addresses = Vec::new();
    for _ in 0..3 {
        // The port is free again once the listener is dropped.
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a loopback port is free");
        addresses.push(listener.local_addr().expect("a bound socket has an address"));
    }
    let last = addresses[2];
    let connecting =
        tokio::spawn(async move { peers::connect_first(&addresses, MESSAGE_TIMEOUT / 100).await });
    tokio::time::sleep(Duration::from_millis(200)).await;
    assert!(!connecting.is_finished());
    let _listener = TcpListener::bind(last).await.expect("the port is still free");
    let connected = tokio::time::timeout(MESSAGE_TIMEOUT, connecting).await;
    let (relay, _) = connected.expect("the relay accepts").expect("the task doesn't panic");
    assert_eq!(relay, last);
}
