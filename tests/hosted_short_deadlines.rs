//! On a hosting platform: deadlines that are short beside the target of their route.

use std::path::Path;
use std::time::Duration;

use hyper::Method;
use testkit::{HostedBehaviour, HostedFleet, call, hosted_request};

const DAEMON_PATH: &str = env!("CARGO_BIN_EXE_mustardraild");

/// Guards against an estimate that refuses every request whose deadline is shorter, so that no
/// response can correct it. The standard routes have a target of 10 s.
#[tokio::test(flavor = "multi_thread")]
async fn requests_with_deadlines_far_below_the_target_are_served() {
    const REQUESTS: usize = 20;
    let behaviour = HostedBehaviour::Run(Duration::from_millis(20));
    let fleet = HostedFleet::start(Path::new(DAEMON_PATH), 2, behaviour).await;
    for deadline_ms in [3_000, 450] {
        let mut served = 0;
        for number in 0..REQUESTS {
            let id = format!("short-{deadline_ms}-{number}");
            let callers = fleet.daemon.callers;
            let request = hosted_request(callers, &id, Method::GET, "/read/1", deadline_ms);
            let response = call(&request).await.expect("the daemon responds");
            served += usize::from(response.status == 200);
        }
        assert_eq!(served, REQUESTS, "with a deadline of {deadline_ms} ms");
    }
}
