//! On a hosting platform: what an outage of the store costs, and how it ends.

use std::path::Path;
use std::time::Duration;

use hyper::Method;
use routes::ExecutionSemantics;
use testkit::{
    FakePlatform, HostedBehaviour, HostedDaemon, HostedServer, StoreBehaviour, call, eventually,
    free_address, hosted_config, hosted_request, hosted_route, read_metric, standard_routes,
};
use tokio::time::sleep;

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
