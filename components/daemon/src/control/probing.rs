//! Probes backend servers of whom little is known, within each service's agreed budget.

use std::sync::Arc;
use std::time::Duration;

use tokio::runtime::Handle;
use tokio::time::{Instant, interval};

use board::Blackboard;
use members::probe_share;
use model::FastMap;
use observe::DaemonMetrics;
use proxy::{ProbeOrder, ServiceTable, run_probe};
use records::ServiceKey;

/// Time between two looks for a probe that is due.
const LOOK_INTERVAL: Duration = Duration::from_millis(100);

/// What the task works with.
pub(crate) struct ProbeArguments {
    pub(crate) board: Arc<Blackboard>,
    pub(crate) services: Arc<ServiceTable>,
    pub(crate) metrics: DaemonMetrics,
    /// Where probes run; their connections serve requests too.
    pub(crate) data: Handle,
}

/// Sends probes while this entry VM holds a slot. A burst of requests never causes a probe.
pub(crate) async fn run_probes(arguments: ProbeArguments) {
    let mut next_at: FastMap<(ServiceKey, u32), Instant> = FastMap::default();
    let mut looks = interval(LOOK_INTERVAL);
    loop {
        looks.tick().await;
        let fleet = arguments.board.fleet();
        let Some(held) = fleet.held_slot else {
            continue;
        };
        let config = arguments.board.config();
        next_at.retain(|(key, _), _| config.routing.service(key).is_some());
        for runtime in arguments.services.runtimes() {
            let Some(plan) = config.routing.service(&runtime.key) else {
                continue;
            };
            let key = runtime.key.to_string();
            let parts = probe_share(&key, plan.spec.probes_per_s, held.slot, fleet.slot_count);
            for part in 0..parts.part_count {
                let due = next_at.entry((runtime.key.clone(), part)).or_insert_with(Instant::now);
                let now = Instant::now();
                if now < *due || now >= held.valid_until {
                    continue;
                }
                let Some(target) = runtime.group().probe_target(now) else {
                    continue;
                };
                *due = now + parts.interval;
                let order = ProbeOrder {
                    target,
                    path: plan.spec.probe_path.clone(),
                    // A probe that could not start by then is dropped: its budget may belong to
                    // another VM.
                    valid_until: held.valid_until,
                };
                let probe = run_probe(Arc::clone(&runtime), order, arguments.metrics.clone());
                arguments.data.spawn(probe);
            }
        }
    }
}
