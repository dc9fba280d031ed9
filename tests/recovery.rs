//! Entry VMs don't overload the platform's table when it is reachable again after an outage.

mod common;

use std::time::Duration;

use common::start_fleet;
use serde_json::json;
use tokio::time::sleep;

/// Half of the read rate that the platform's table supports.
const MAX_READS_PER_S: u64 = 1_000;
/// Half of the write rate that the platform's table supports.
const MAX_WRITES_PER_S: u64 = 150;

#[tokio::test(flavor = "multi_thread")]
async fn fifteen_entry_vms_do_not_overload_a_recovered_table() {
    let (mut fleet, _service) = start_fleet(1, 2, &json!({})).await;
    for _ in 0..14 {
        fleet.add_daemon(&json!({ "fleet_slots": 8 }));
    }
    for daemon in &mut fleet.daemons {
        daemon.wait_ready().await;
    }
    fleet.platform.set_down(true);
    sleep(Duration::from_secs(6)).await;
    fleet.platform.set_down(false);
    for second in 0..8 {
        let (reads, writes) = (fleet.platform.read_count(), fleet.platform.commit_count());
        sleep(Duration::from_secs(1)).await;
        let (reads, writes) =
            (fleet.platform.read_count() - reads, fleet.platform.commit_count() - writes);
        assert!(reads <= MAX_READS_PER_S, "{reads} reads in second {second}");
        assert!(writes <= MAX_WRITES_PER_S, "{writes} writes in second {second}");
    }
    for daemon in &mut fleet.daemons {
        daemon.wait_ready().await;
    }
}
