//! A graceful shutdown interrupts no request in flight.

mod common;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use common::start_slow_fleet;
use serde_json::json;
use testkit::{CallError, CallRequest, call};
use tokio::time::sleep;

/// Addresses of the daemons that accept new connections. Stands in for the target list of the load
/// balancer that distributes connections to the entry VMs.
type AcceptingDaemons = Arc<Mutex<Vec<SocketAddr>>>;

/// Sends one request as that load balancer would: if a daemon refuses the connection, another one
/// is tried. Returns whether the request succeeded.
async fn send_with_failover(
    accepting: &AcceptingDaemons,
    mut request: CallRequest,
    number: usize,
) -> bool {
    for attempt in 0..50 {
        let addresses = accepting.lock().expect("the lock is not poisoned").clone();
        request.address = addresses[(number + attempt) % addresses.len()];
        match call(&request).await {
            Ok(response) => return response.status == 200,
            Err(CallError::ConnectFailed) => sleep(Duration::from_millis(20)).await,
            Err(_) => return false,
        }
    }
    false
}

/// Replaces every daemon under a load of idempotent requests, orders with keys, and uploads.
#[tokio::test(flavor = "multi_thread")]
async fn holds_shutdown_rolling_replacement_does_not_fail_requests() {
    // Requests run longer than the notice period before the listeners close, so that some are in
    // flight at every step of the shutdown.
    let (mut fleet, service) = start_slow_fleet(3, Duration::from_millis(600)).await;
    let accepting: AcceptingDaemons =
        Arc::new(Mutex::new(fleet.daemons.iter().map(|daemon| daemon.callers).collect()));
    let is_done = Arc::new(AtomicBool::new(false));
    let sent_count = Arc::new(AtomicUsize::new(0));
    let mut callers = Vec::new();
    for caller in 0..6 {
        let (accepting, is_done, sent_count) =
            (Arc::clone(&accepting), Arc::clone(&is_done), Arc::clone(&sent_count));
        callers.push(tokio::spawn(async move {
            let mut failed_tags = Vec::new();
            while !is_done.load(Ordering::SeqCst) {
                let number = sent_count.fetch_add(1, Ordering::SeqCst);
                let tag = format!("request-{number}");
                let address = "127.0.0.1:1".parse().expect("the address is valid");
                let request = match caller % 3 {
                    0 => CallRequest::get(address, "shop.test", "/records"),
                    1 => CallRequest::post(address, "shop.test", "/orders", "one stone")
                        .with_header("idempotency-key", &tag),
                    _ => CallRequest::post(address, "shop.test", "/proofs", vec![7; 2_000_000]),
                };
                if !send_with_failover(&accepting, request.with_header("x-request", &tag), number)
                    .await
                {
                    failed_tags.push(tag);
                }
            }
            failed_tags
        }));
    }
    sleep(Duration::from_millis(700)).await;
    for replaced in 0..3 {
        let added = fleet.add_daemon(&json!({}));
        fleet.daemons[added].wait_ready().await;
        let added_address = fleet.daemons[added].callers;
        let replaced_address = fleet.daemons[replaced].callers;
        {
            let mut accepting = accepting.lock().expect("the lock is not poisoned");
            accepting.retain(|address| *address != replaced_address);
            accepting.push(added_address);
        }
        fleet.daemons[replaced].terminate();
        // A second signal must not affect requests in flight.
        sleep(Duration::from_millis(100)).await;
        fleet.daemons[replaced].terminate();
        assert_eq!(fleet.daemons[replaced].wait_exit().await, 0);
    }
    is_done.store(true, Ordering::SeqCst);
    let mut failed_tags = Vec::new();
    for caller in callers {
        failed_tags.extend(caller.await.expect("the caller task completes"));
    }
    let total = sent_count.load(Ordering::SeqCst);
    assert!(failed_tags.is_empty(), "{} of {total} failed: {failed_tags:?}", failed_tags.len());
    for number in 0..total {
        let runs = service.run_count(&format!("request-{number}"));
        assert_eq!(runs, 1, "request-{number} ran {runs} times");
    }
}

/// A repeat at another VM gets the recorded response of an order that was in flight when the
/// shutdown began.
#[tokio::test(flavor = "multi_thread")]
async fn holds_shutdown_outcomes_of_orders_in_flight_are_recorded() {
    let (mut fleet, service) = start_slow_fleet(2, Duration::from_millis(400)).await;
    let calls: Vec<_> = (0..5)
        .map(|number| {
            let tag = format!("order-{number}");
            let request = common::order_request(&fleet, 0, &tag, &tag);
            tokio::spawn(async move { call(&request).await })
        })
        .collect();
    while (0..5).any(|number| service.run_count(&format!("order-{number}")) == 0) {
        sleep(Duration::from_millis(10)).await;
    }
    fleet.daemons[0].terminate();
    for (number, task) in calls.into_iter().enumerate() {
        let first = task.await.expect("the call task completes").expect("the daemon responds");
        assert_eq!(first.status, 200, "{}", first.text());
        let tag = format!("order-{number}");
        let repeat =
            call(&common::order_request(&fleet, 1, &tag, &tag)).await.expect("the daemon responds");
        assert_eq!((repeat.status, repeat.text()), (200, first.text()));
    }
    assert_eq!(fleet.daemons[0].wait_exit().await, 0);
}
