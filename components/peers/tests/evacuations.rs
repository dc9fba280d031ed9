//! Evacuated zones between a relay and its subscribers, also of older versions of the daemon.

mod common;

use std::sync::Arc;
use std::time::Duration;

use model::{StoreVersion, ZoneName};
use peers::{HeldVersions, RelayHub, RelayMessage, RelaySubscription, serve_subscriber};
use routes::CONFIG_FORMAT;
use tokio::io::duplex;
use tokio::time::Instant;

use crate::common::{TIMING, empty_route_table};

/// Longer than the time between any two messages.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(5);

const STREAM_BYTES: usize = 64 << 10;

fn version(number: u64) -> StoreVersion {
    StoreVersion::without_era(number)
}

fn zones(names: &[&str]) -> Vec<ZoneName> {
    names.iter().map(|name| name.parse().expect("the name is valid")).collect()
}

fn publish(hub: &RelayHub, version: StoreVersion, names: &[&str]) {
    hub.publish_evacuations(version, zones(names)).expect("zones can be encoded");
}

/// Returns a relay with a configuration and a server list, which the store has confirmed.
fn hub_without_evacuations() -> Arc<RelayHub> {
    let hub = Arc::new(RelayHub::new(TIMING, true, Arc::default()));
    hub.publish_config(&empty_route_table(7, [])).expect("a table can be encoded");
    hub.publish_servers(version(10), Vec::new(), None).expect("a list can be encoded");
    hub.confirm_config(Instant::now());
    hub.confirm_servers(Instant::now());
    hub
}

async fn subscribe(hub: &Arc<RelayHub>, held: &HeldVersions) -> RelaySubscription {
    let (subscriber, relay) = duplex(STREAM_BYTES);
    let hub = Arc::clone(hub);
    tokio::spawn(async move { serve_subscriber(relay, &hub).await });
    RelaySubscription::start(subscriber, "relay", held).await.expect("the relay accepts it")
}

fn held(evacuations: Option<StoreVersion>) -> HeldVersions {
    HeldVersions { format: CONFIG_FORMAT, evacuations, ..HeldVersions::default() }
}

async fn next(subscription: &mut RelaySubscription) -> RelayMessage {
    subscription.next(SILENCE_TIMEOUT).await.expect("the relay sends messages")
}

/// Returns the messages before the next keep-alive.
async fn until_keep_alive(subscription: &mut RelaySubscription) -> Vec<RelayMessage> {
    let mut received = Vec::new();
    loop {
        match next(subscription).await {
            RelayMessage::KeepAlive { .. } => return received,
            message => received.push(message),
        }
    }
}

fn evacuations(number: u64, names: &[&str]) -> RelayMessage {
    RelayMessage::Evacuations { version: version(number), zones: zones(names) }
}

#[tokio::test(start_paused = true)]
async fn new_subscriber_receives_evacuations_before_anything_else() {
    let hub = hub_without_evacuations();
    publish(&hub, version(12), &["zone-a", "zone-b"]);
    let expected = evacuations(12, &["zone-a", "zone-b"]);
    for held_version in [None, Some(version(11))] {
        let mut subscription = subscribe(&hub, &held(held_version)).await;
        assert_eq!(next(&mut subscription).await, expected);
        assert!(matches!(next(&mut subscription).await, RelayMessage::Config(_)));
    }
    for held_version in [version(12), version(13), StoreVersion { era: 1, number: 2 }] {
        let mut subscription = subscribe(&hub, &held(Some(held_version))).await;
        let received = until_keep_alive(&mut subscription).await;
        assert!(
            !received.iter().any(|message| matches!(message, RelayMessage::Evacuations { .. }))
        );
    }
}

/// The list of no zones tells "none" from "not yet known".
#[tokio::test(start_paused = true)]
async fn new_subscriber_receives_the_list_of_no_zones() {
    let hub = hub_without_evacuations();
    publish(&hub, version(12), &[]);
    let mut subscription = subscribe(&hub, &held(None)).await;
    assert_eq!(next(&mut subscription).await, evacuations(12, &[]));
}

#[tokio::test(start_paused = true)]
async fn subscribers_receive_each_change() {
    let hub = hub_without_evacuations();
    publish(&hub, version(12), &[]);
    let mut subscription = subscribe(&hub, &held(Some(version(12)))).await;
    until_keep_alive(&mut subscription).await;
    for (number, names) in [(13, vec!["zone-a"]), (14, vec!["zone-a", "zone-b"]), (15, vec![])] {
        publish(&hub, version(number), &names);
        let received = until_keep_alive(&mut subscription).await;
        assert_eq!(received, [evacuations(number, &names)]);
    }
}

/// A subscriber takes a keep-alive for a confirmation of all that it holds.
#[tokio::test(start_paused = true)]
async fn relay_confirms_nothing_before_it_has_published_evacuations() {
    let hub = hub_without_evacuations();
    let mut subscription = subscribe(&hub, &held(None)).await;
    assert!(matches!(next(&mut subscription).await, RelayMessage::Config(_)));
    assert!(matches!(next(&mut subscription).await, RelayMessage::Servers { .. }));
    assert!(subscription.next(SILENCE_TIMEOUT).await.is_err());
    publish(&hub, version(12), &["zone-a"]);
    hub.confirm_config(Instant::now());
    hub.confirm_servers(Instant::now());
    let mut subscription = subscribe(&hub, &held(None)).await;
    assert_eq!(until_keep_alive(&mut subscription).await.len(), 3);
}

/// It would end the connection at a message that it doesn't know.
#[tokio::test(start_paused = true)]
async fn subscriber_of_an_older_version_receives_no_evacuations() {
    let hub = hub_without_evacuations();
    publish(&hub, version(12), &["zone-a"]);
    let mut subscription = subscribe(&hub, &HeldVersions::default()).await;
    for number in 13..16 {
        let received = until_keep_alive(&mut subscription).await;
        let is_known = |message: &RelayMessage| {
            matches!(message, RelayMessage::Config(_) | RelayMessage::Servers { .. })
        };
        assert!(received.iter().all(is_known), "{received:?}");
        publish(&hub, version(number), &["zone-b"]);
    }
}
