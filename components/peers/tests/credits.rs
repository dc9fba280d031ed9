//! Credits that a relay grants to its subscribers and lends to other relays.

mod common;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use limits::{CreditGrant, CreditRequest};
use model::{AccountQuota, RequestRate};
use peers::{
    HeldVersions, RelayHub, RelayMessage, RelaySubscription, SubscriberMessage, serve_relay,
};
use routes::{AccountName, CONFIG_FORMAT, ClientAccount, ClientAccounts, RouteTable};
use slog::{Discard, Logger, o};
use tokio::net::TcpListener;

use crate::common::{TIMING, empty_route_table};

/// Timeout for one message, long because CI runs with every core busy.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(60);

/// Credits of the account at each of three relays: its part of the burst and of half of the slack.
const CREDITS: u32 = 13;

/// Returns a configuration with an account whose credits are hardly renewed.
fn table_with_account(version: u64, name: &str) -> RouteTable {
    let quota = AccountQuota { rate: RequestRate(0.003), burst: 30.0 };
    let account =
        ClientAccount { name: AccountName(name.into()), priority: None, quota: Some(quota) };
    let accounts = ClientAccounts { accounts: vec![Arc::new(account)], keys: Default::default() };
    let mut table = empty_route_table(version, []);
    table.accounts = Some(accounts);
    table
}

async fn start_relay() -> (Arc<RelayHub>, SocketAddr) {
    let hub = Arc::new(RelayHub::new(TIMING, true, Arc::default()));
    hub.publish_config(&table_with_account(1, "a")).expect("a table can be encoded");
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("a bound socket has an address");
    tokio::spawn(serve_relay(listener, Arc::clone(&hub), Logger::root(Discard, o!())));
    (hub, address)
}

async fn open(address: SocketAddr, is_relay: bool, format: u32) -> RelaySubscription {
    let held =
        HeldVersions { exchanges_crash_reports: true, is_relay, format, ..HeldVersions::default() };
    let opened = RelaySubscription::open(address, &held, TIMING.handshake_timeout).await;
    opened.expect("the relay accepts the subscription")
}

fn request(account: &str, count: u32) -> Vec<CreditRequest> {
    vec![CreditRequest { account: account.into(), count }]
}

async fn send_request(connection: &mut RelaySubscription, account: &str, count: u32) {
    let message = SubscriberMessage::CreditRequests(request(account, count));
    connection.send(&message).await.expect("the relay accepts the message");
}

/// Waits for a response that is not empty.
async fn receive_grant(connection: &mut RelaySubscription) -> CreditGrant {
    loop {
        let message = connection.next(MESSAGE_TIMEOUT).await.expect("the relay sends messages");
        if let RelayMessage::CreditGrants(grants) = message
            && let Some(grant) = grants.first()
        {
            return grant.clone();
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn subscribers_share_the_credits_of_their_relay() {
    let (_hub, address) = start_relay().await;
    let mut first = open(address, false, CONFIG_FORMAT).await;
    let mut second = open(address, false, CONFIG_FORMAT).await;
    send_request(&mut first, "a", 10).await;
    let grant = receive_grant(&mut first).await;
    assert_eq!((grant.count, grant.retry_after_ms, grant.left), (10, 0, CREDITS - 10));
    send_request(&mut second, "a", 10).await;
    let grant = receive_grant(&mut second).await;
    assert_eq!(grant.count, CREDITS - 10);
    assert!(grant.retry_after_ms > 1_000, "{grant:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn account_that_the_relay_does_not_know_gets_no_credit_until_it_does() {
    let (hub, address) = start_relay().await;
    let mut subscriber = open(address, false, CONFIG_FORMAT).await;
    send_request(&mut subscriber, "b", 1).await;
    let grant = receive_grant(&mut subscriber).await;
    assert_eq!((grant.count, grant.retry_after_ms), (0, 0));
    hub.publish_config(&table_with_account(2, "b")).expect("a table can be encoded");
    send_request(&mut subscriber, "b", 1).await;
    assert_eq!(receive_grant(&mut subscriber).await.count, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn relay_lends_to_another_relay_and_borrows_from_it() {
    let (_hub, address) = start_relay().await;
    let mut subscriber = open(address, false, CONFIG_FORMAT).await;
    let mut relay = open(address, true, CONFIG_FORMAT).await;
    send_request(&mut relay, "a", 3).await;
    assert_eq!(receive_grant(&mut relay).await.count, 3);
    send_request(&mut subscriber, "a", CREDITS).await;
    let requested = loop {
        let message = relay.next(MESSAGE_TIMEOUT).await.expect("the relay sends messages");
        if let RelayMessage::CreditRequests(requests) = message {
            break requests;
        }
    };
    assert_eq!(requested, request("a", 3), "what is missing");
    let grant = CreditGrant { account: "a".into(), count: 2, retry_after_ms: 700, left: 0 };
    let message = SubscriberMessage::CreditGrants(vec![grant]);
    relay.send(&message).await.expect("the relay accepts the message");
    let grant = receive_grant(&mut subscriber).await;
    assert_eq!(grant.count, CREDITS - 1);
    assert!((1..=700).contains(&grant.retry_after_ms), "{grant:?}");
}

/// An older version of the daemon ends the connection when it gets a message that it doesn't know.
#[tokio::test(flavor = "multi_thread")]
async fn older_relay_gets_no_message_about_credits() {
    let (_hub, address) = start_relay().await;
    let mut older = open(address, true, 0).await;
    let mut subscriber = open(address, false, CONFIG_FORMAT).await;
    send_request(&mut subscriber, "a", CREDITS + 1).await;
    assert_eq!(receive_grant(&mut subscriber).await.count, CREDITS);
    for _ in 0..8 {
        let message = older.next(MESSAGE_TIMEOUT).await.expect("the relay sends messages");
        let is_about_credits =
            matches!(message, RelayMessage::CreditGrants(_) | RelayMessage::CreditRequests(_));
        assert!(!is_about_credits, "{message:?}");
    }
}
