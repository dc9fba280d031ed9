//! Probes backend servers whose last reported load is old, within each service's probe budget.

use std::sync::Arc;
use std::time::Duration;

use tokio::runtime::Handle;
use tokio::time::{Instant, interval};

use board::Blackboard;
use members::probe_share;
use model::FastMap;
use observe::DaemonMetrics;
use proxy::{PlannedProbe, ServiceTable, run_probe};
use records::ServiceKey;

/// Interval between checks for due probes.
const DUE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Dependencies of `run_probes`.
pub(crate) struct ProbeArguments {
    pub(crate) board: Arc<Blackboard>,
    pub(crate) services: Arc<ServiceTable>,
    pub(crate) metrics: DaemonMetrics,
    /// Runtime that runs the probes, whose connections also serve requests.
    pub(crate) data_runtime: Handle,
}

/// Sends probes while this entry VM holds a slot, until the task is aborted. Requests never cause a
/// probe, however many arrive at once.
pub(crate) async fn run_probes(arguments: ProbeArguments) {
    let mut next_probe_at: FastMap<(ServiceKey, u32), Instant> = FastMap::default();
    let mut ticks = interval(DUE_CHECK_INTERVAL);
    loop {
        ticks.tick().await;
        let fleet = arguments.board.fleet();
        let Some(held_slot) = fleet.held_slot else {
            continue;
        };
        let config = arguments.board.config();
        next_probe_at.retain(|(key, _), _| config.routing.service(key).is_some());
        for runtime in arguments.services.runtimes() {
            let Some(service) = config.routing.service(&runtime.key) else {
                continue;
            };
            let key = runtime.key.to_string();
            let share =
                probe_share(&key, service.spec.probes_per_s, held_slot.slot, fleet.slot_count);
            for part in 0..share.part_count {
                let due_at =
                    next_probe_at.entry((runtime.key.clone(), part)).or_insert_with(Instant::now);
                let now = Instant::now();
                if now < *due_at || now >= held_slot.valid_until {
                    continue;
                }
                let Some(target) = runtime.group().probe_target(now) else {
                    continue;
                };
                *due_at = now + share.interval;
                let planned_probe = PlannedProbe {
                    target,
                    path: service.spec.probe_path.clone(),
                    // A probe that has not started by then is dropped: its share of the budget
                    // may belong to another VM.
                    valid_until: held_slot.valid_until,
                };
                let probe =
                    run_probe(Arc::clone(&runtime), planned_probe, arguments.metrics.clone());
                arguments.data_runtime.spawn(probe);
            }
        }
    }
}
