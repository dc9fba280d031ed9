//! Transfers of relay messages over slow and broken links, in simulated time.

mod common;

use std::sync::Arc;
use std::time::Duration;

use model::StoreVersion;
use peers::{HeldVersions, PeerError, RelayHub, RelayMessage, RelaySubscription};
use peers::{SubscriberMessage, serve_subscriber};
use routes::{ExecutionSemantics, HostedRoute, RouteTable, ServiceName};
use routes::{ServiceInfo, WeightedService};
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream, duplex, split};
use tokio::time::{Instant, sleep, timeout};

use crate::common::{TIMING, empty_route_table};

/// Silence after which a subscriber leaves its relay.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(800);

/// Interval at which a link forwards bytes.
const LINK_TICK: Duration = Duration::from_millis(10);

/// Returns a configuration that hardly compresses.
fn route_table(version: u64, route_count: u64) -> RouteTable {
    let service = ServiceName("orders".into());
    let info = ServiceInfo { health_path: "/".into(), max_connections: 1, warm_up: None };
    let mut table = empty_route_table(version, [(service.clone(), info)]);
    let route = |number: u64| {
        // The multiplier of a linear congruential generator.
        let prefix = format!("/{:016x}/", number.wrapping_mul(0x5851_f42d_4c95_7f2d));
        HostedRoute {
            name: prefix.as_str().into(),
            prefix: prefix.into(),
            execution: ExecutionSemantics::Once,
            timeout: Duration::from_secs(1),
            target_latency: Duration::from_secs(1),
            priority: 1,
            max_attempts: 1,
            services: vec![WeightedService { service: service.clone(), weight: 1 }],
            is_public: false,
        }
    };
    table.add_host("a.example", (1..=route_count).map(route).collect());
    table
}

fn new_hub() -> Arc<RelayHub> {
    let hub = Arc::new(RelayHub::new(TIMING, true, Arc::default()));
    hub.publish_evacuations(StoreVersion::without_era(1), Vec::new())
        .expect("zones can be encoded");
    hub.publish_config(&route_table(1, 1)).expect("a table can be encoded");
    hub.publish_servers(StoreVersion::without_era(1), Vec::new(), None)
        .expect("a list can be encoded");
    hub.confirm_config(Instant::now());
    hub.confirm_servers(Instant::now());
    hub
}

/// Connects two streams. The bytes from the second to the first are limited to `bandwidth` bytes
/// per second, and stop after `byte_limit` bytes without closing the connection.
fn link(bandwidth: usize, byte_limit: usize) -> (DuplexStream, DuplexStream) {
    let buffer_bytes = 4 << 10;
    let (subscriber, near) = duplex(buffer_bytes);
    let (far, relay) = duplex(buffer_bytes);
    let (mut near_read, mut near_write) = split(near);
    let (mut far_read, mut far_write) = split(far);
    tokio::spawn(async move {
        // Fails only when the connection ends.
        let _ = tokio::io::copy(&mut near_read, &mut far_write).await;
    });
    tokio::spawn(async move {
        let tick_bytes = (bandwidth as f64 * LINK_TICK.as_secs_f64()) as usize;
        let mut chunk = vec![0; tick_bytes];
        let mut forwarded = 0;
        while forwarded < byte_limit {
            match far_read.read(&mut chunk).await {
                Ok(count) if count > 0 => {
                    forwarded += count;
                    if near_write.write_all(&chunk[..count]).await.is_err() {
                        return;
                    }
                }
                _ => return,
            }
            sleep(LINK_TICK).await;
        }
        std::future::pending::<()>().await;
    });
    (subscriber, relay)
}

/// Subscribes to `hub` over a link, with nothing held, like a daemon without compression.
async fn subscribe(hub: &Arc<RelayHub>, bandwidth: usize, byte_limit: usize) -> RelaySubscription {
    let (subscriber, relay) = link(bandwidth, byte_limit);
    let hub = Arc::clone(hub);
    tokio::spawn(async move { serve_subscriber(relay, &hub).await });
    RelaySubscription::start(subscriber, "relay", &HeldVersions::default())
        .await
        .expect("the relay accepts the subscription")
}

/// Receives messages until a configuration of `version`; fails on the first error.
async fn receive_config(
    subscription: &mut RelaySubscription,
    version: u64,
) -> Result<RouteTable, PeerError> {
    loop {
        match subscription.next(SILENCE_TIMEOUT).await? {
            RelayMessage::Config(table) if table.version.0 == version => return Ok(table),
            _ => {}
        }
    }
}

#[tokio::test(start_paused = true)]
async fn message_that_keeps_arriving_outlasts_the_silence_timeout() {
    let hub = new_hub();
    let expected = route_table(2, 2_000);
    hub.publish_config(&expected).expect("a table can be encoded");
    let started_at = Instant::now();
    let mut subscription = subscribe(&hub, 5_000, usize::MAX).await;
    let received = receive_config(&mut subscription, 2).await.expect("the message arrives");
    assert_eq!(received, expected);
    assert!(started_at.elapsed() > 2 * SILENCE_TIMEOUT, "the link must be slower than the timeout");
}

#[tokio::test(start_paused = true)]
async fn message_that_stops_arriving_ends_the_subscription_after_the_silence_timeout() {
    let hub = new_hub();
    hub.publish_config(&route_table(2, 2_000)).expect("a table can be encoded");
    let mut subscription = subscribe(&hub, 5_000, 10_000).await;
    let started_at = Instant::now();
    let error = receive_config(&mut subscription, 2).await.expect_err("the message is incomplete");
    assert!(matches!(error, PeerError::Silent { received_bytes: 5_000.. }), "{error}");
    let elapsed = started_at.elapsed();
    let last_byte_at = Duration::from_secs(2);
    assert!(elapsed <= last_byte_at + SILENCE_TIMEOUT + LINK_TICK, "ended after {elapsed:?}");
}

/// Guards against a subscriber that notices a silent relay late because it sends something itself.
#[tokio::test(start_paused = true)]
async fn own_messages_do_not_delay_the_detection_of_a_silent_relay() {
    let hub = new_hub();
    hub.publish_config(&route_table(2, 2_000)).expect("a table can be encoded");
    let mut subscription = subscribe(&hub, 5_000, 10_000).await;
    let mut own_ticks = tokio::time::interval(Duration::from_millis(100));
    let started_at = Instant::now();
    loop {
        tokio::select! {
            received = subscription.next(SILENCE_TIMEOUT) => {
                if received.is_err() {
                    break;
                }
            }
            _ = own_ticks.tick() => {
                let message = SubscriberMessage::CreditRequests(Vec::new());
                subscription.send(&message).await.expect("the link accepts the message");
            }
        }
        let elapsed = started_at.elapsed();
        let last_byte_at = Duration::from_secs(2);
        assert!(elapsed <= last_byte_at + 2 * SILENCE_TIMEOUT, "not noticed after {elapsed:?}");
    }
}

/// A relay must not give up a subscriber whose link is slow, only one that accepts nothing.
#[tokio::test(start_paused = true)]
async fn relay_ends_a_connection_only_when_nothing_can_be_sent() {
    let hub = new_hub();
    hub.publish_config(&route_table(2, 20_000)).expect("a table can be encoded");
    for (bandwidth, byte_limit, is_served) in [(50_000, usize::MAX, true), (50_000, 100_000, false)]
    {
        let (subscriber, relay) = link(bandwidth, byte_limit);
        let hub = Arc::clone(&hub);
        let serving = tokio::spawn(async move { serve_subscriber(relay, &hub).await });
        let mut subscription =
            RelaySubscription::start(subscriber, "relay", &HeldVersions::default())
                .await
                .expect("the relay accepts the subscription");
        assert_eq!(receive_config(&mut subscription, 2).await.is_ok(), is_served);
        let ended = timeout(Duration::from_secs(10), serving).await;
        assert_eq!(ended.is_err(), is_served, "{ended:?}");
    }
}

/// Returns the bytes that a subscriber with nothing held receives until the configuration.
async fn count_config_bytes(accepts_compressed: bool) -> u64 {
    let bandwidth = 100_000;
    let hub = new_hub();
    let expected = route_table(2, 4_000);
    hub.publish_config(&expected).expect("a table can be encoded");
    let (subscriber, relay) = link(bandwidth, usize::MAX);
    tokio::spawn(async move { serve_subscriber(relay, &hub).await });
    let held = HeldVersions { accepts_compressed, ..HeldVersions::default() };
    let started_at = Instant::now();
    let mut subscription = RelaySubscription::start(subscriber, "relay", &held)
        .await
        .expect("the relay accepts the subscription");
    let received = receive_config(&mut subscription, 2).await.expect("the message arrives");
    assert_eq!(received, expected);
    (started_at.elapsed().as_secs_f64() * bandwidth as f64) as u64
}

/// A relay sends a configuration to a third of a fleet over one link. Subscribers of an older
/// version get it uncompressed.
#[tokio::test(start_paused = true)]
async fn configuration_takes_a_quarter_of_its_size_on_the_link_of_a_relay() {
    let (plain, compressed) = (count_config_bytes(false).await, count_config_bytes(true).await);
    assert!(compressed * 4 <= plain, "{compressed} of {plain} bytes");
}

/// Number of rounds; in each, a keep-alive and a configuration are due when a message was sent.
const CONCURRENT_ROUNDS: u64 = 32;

/// A subscriber that receives a keep-alive takes its configuration for confirmed.
#[tokio::test(start_paused = true)]
async fn keep_alive_does_not_overtake_a_configuration() {
    let hub = new_hub();
    let mut subscription = subscribe(&hub, 20_000, usize::MAX).await;
    receive_config(&mut subscription, 1).await.expect("the message arrives");
    for round in 1..=CONCURRENT_ROUNDS {
        let versions = [2 * round, 2 * round + 1];
        for version in versions {
            hub.publish_config(&route_table(version, 100)).expect("a table can be encoded");
            hub.confirm_config(Instant::now());
            hub.confirm_servers(Instant::now());
            // The relay starts to send the configuration, which takes longer than a keep-alive
            // interval.
            sleep(LINK_TICK).await;
        }
        receive_config(&mut subscription, versions[0]).await.expect("the message arrives");
        let next = subscription.next(SILENCE_TIMEOUT).await.expect("the message arrives");
        assert!(matches!(next, RelayMessage::Config(_)), "round {round}: {next:?}");
    }
}
