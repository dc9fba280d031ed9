//! A table that comes back is not overrun.

mod common;

use std::time::Duration;

use common::setup;
use serde_json::json;
use tokio::time::sleep;

/// Half of the reads and writes a second that the platform is good for.
const READS_ALLOWED: u64 = 1_000;
const WRITES_ALLOWED: u64 = 150;

#[tokio::test(flavor = "multi_thread")]
async fn fifteen_entry_vms_do_not_overrun_a_returning_table() {
    let (mut fleet, _service) = setup(1, 2, &json!({})).await;
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
        assert!(reads <= READS_ALLOWED, "{reads} reads in second {second}");
        assert!(writes <= WRITES_ALLOWED, "{writes} writes in second {second}");
    }
    for daemon in &mut fleet.daemons {
        daemon.wait_ready().await;
    }
}
