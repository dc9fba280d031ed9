//! On a hosting platform: what an outage of the store costs, and how it ends.

use std::path::Path;
use std::time::Duration;

use hyper::Method;
use routes::ExecutionSemantics;
use testkit::{
    FakePlatform, HostedBehaviour, HostedDaemon, HostedServer, StoreBehaviour, call, eventually,
    free_address, hosted_config, hosted_request, hosted_route, read_metric, standard_routes,
};
use tokio::time::{Instant, sleep};

const DAEMON_PATH: &str = env!("CARGO_BIN_EXE_mustardraild");

/// Length of the outage, as on the users' deployments.
const OUTAGE: Duration = Duration::from_secs(8);

/// Calls of one VM in such an outage: a thousand, the target for a whole day, among 103 VMs.
const MAX_CALLS: f64 = 9.0;

const CALLS_METRIC: &str = "mustardrail_store_calls_total";

/// Load pattern: all relays fail to reach the store, and all VMs with them. Each VM reads several
/// tables and once tried all of them, soon after each other.
#[tokio::test(flavor = "multi_thread")]
async fn vm_calls_the_store_rarely_while_its_relay_fails_to_reach_it() {
    let platform = FakePlatform::start().await;
    let behaviour = HostedBehaviour::Run(Duration::from_millis(5));
    let server = HostedServer::start("s-1", "orders", behaviour).await;
    platform.put_server(&server.record);
    platform.put_config(&hosted_config(1, standard_routes()));
    let (program, store, relay) = (Path::new(DAEMON_PATH), platform.address(), free_address());
    let mut relay_vm = HostedDaemon::start_with_relays(program, store, relay, &[relay]);
    relay_vm.wait_ready().await;
    let mut vm = HostedDaemon::start_with_relays(program, store, free_address(), &[relay]);
    vm.wait_ready().await;
    for behaviour in [StoreBehaviour::Refuse(503), StoreBehaviour::Disconnect] {
        platform.set_behaviour(behaviour);
        let before = read_metric(vm.metrics, CALLS_METRIC).await;
        sleep(OUTAGE).await;
        let calls = read_metric(vm.metrics, CALLS_METRIC).await - before;
        assert!(calls <= MAX_CALLS, "{behaviour:?}: {calls} calls to the store");
        platform.set_behaviour(StoreBehaviour::Serve);
        sleep(Duration::from_secs(3)).await;
    }
    // The state is followed again.
    let mut routes = standard_routes();
    routes.push(hosted_route("/added/", ExecutionSemantics::Idempotent, &[("orders", 1)]));
    platform.put_config(&hosted_config(2, routes));
    eventually("the VM follows the configuration after the outage", async || {
        let request = hosted_request(vm.callers, "added", Method::GET, "/added/1", 2_000);
        call(&request).await.is_ok_and(|response| response.status == 200)
    })
    .await;
}

/// Load pattern: callers arrive while all VMs start. One that is refused comes back after its retry
/// delay, and would have been served in that time by a VM that receives its configuration.
#[tokio::test(flavor = "multi_thread")]
async fn request_at_a_vm_without_configuration_waits_as_long_as_its_retry_delay() {
    let platform = FakePlatform::start().await;
    platform.set_behaviour(StoreBehaviour::Hang);
    let relay = free_address();
    let (program, store) = (Path::new(DAEMON_PATH), platform.address());
    let vm = HostedDaemon::start_with_relays(program, store, relay, &[relay]);
    let request = hosted_request(vm.callers, "early", Method::GET, "/read/1", 2_000);
    let (response, waited) = loop {
        let sent_at = Instant::now();
        match call(&request).await {
            Ok(response) => break (response, sent_at.elapsed()),
            // The process is still being started.
            Err(_) => sleep(Duration::from_millis(5)).await,
        }
    };
    assert_eq!(response.status, 503);
    let retry_delay = response.header("retry-after").parse::<f64>();
    let retry_delay = retry_delay.expect("a refusal has a retry delay in seconds");
    assert!(waited.as_secs_f64() >= retry_delay, "refused after {waited:?}");
}
