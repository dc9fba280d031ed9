//! What must hold of a soak, from what callers and servers saw.

use std::collections::HashMap;
use std::time::Duration;

use platform::wire_interface;
use tokio::time::Instant;

use crate::caller::{CallFault, CallRequest, call};
use crate::hosted::{HOSTED_HOST, HostedRun};
use crate::soak::fleet::{SoakFleet, marker};
use crate::soak::load::{CallRecord, DEADLINE_MS};

/// Time after leaving in which requests may still come: what the platform calls in touch, and its
/// bound for leaving.
const LEAVING_TIME: Duration = Duration::from_secs(5);

/// Part of further sends that the fleet may add, with its slack for a short soak.
const SENDS_RATIO: f64 = 1.2;
const SENDS_SLACK: f64 = 120.0;

/// Promises that were broken, each with what was seen.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct BrokenPromises {
    /// Those that hold however busy the machine is.
    pub always: Vec<Box<str>>,
    /// Those with a bound in time, which a busy machine can break by itself.
    pub timed: Vec<Box<str>>,
}

impl BrokenPromises {
    /// All of them.
    pub fn all(&self) -> impl Iterator<Item = &str> {
        self.always.iter().chain(&self.timed).map(|said| &**said)
    }
}

/// Looks for broken promises.
pub(crate) async fn check(fleet: &mut SoakFleet, calls: &[CallRecord]) -> BrokenPromises {
    let mut broken = BrokenPromises::default();
    let mut runs: HashMap<Box<str>, Vec<(Box<str>, HostedRun)>> = HashMap::new();
    for server in &fleet.servers {
        for run in server.server.runs() {
            let name = server.server.record.id.as_str().into();
            runs.entry(run.id.clone()).or_default().push((name, run));
        }
    }
    for call in calls {
        let ran = runs.get(&call.id).map_or(&[][..], Vec::as_slice);
        broken.always.extend(check_call(call, ran).map(Box::from));
        broken.timed.extend(check_time(call).map(Box::from));
    }
    broken.always.extend(check_cuts(fleet, calls, &runs));
    broken.always.extend(check_sends(fleet, calls));
    broken.timed.extend(check_leavers(fleet));
    broken.timed.extend(check_versions(fleet).await);
    broken
}

fn check_call(call: &CallRecord, ran: &[(Box<str>, HostedRun)]) -> Option<String> {
    let said = || format!("{} ({:?} {:?})", call.id, call.status, call.fault);
    if call.is_order && ran.len() > 1 {
        return Some(format!("order {} ran {} times", said(), ran.len()));
    }
    if call.is_order && matches!(call.status, Some(503 | 429)) && !ran.is_empty() {
        return Some(format!("order {} was refused as not run and ran", said()));
    }
    let is_own = |(name, _): &(Box<str>, HostedRun)| *call.body == *format!("{name} ran it");
    if call.status == Some(200) && !ran.iter().any(is_own) {
        return Some(format!("call {} has an answer that is not its own: {}", said(), call.body));
    }
    if ran.iter().any(|(_, run)| run.deadline_ms > DEADLINE_MS) {
        return Some(format!("call {} was given more time than it had", said()));
    }
    None
}

fn check_time(call: &CallRecord) -> Option<String> {
    let time = call.ended_at.saturating_duration_since(call.sent_at);
    (time > Duration::from_millis(DEADLINE_MS + 1_000))
        .then(|| format!("call {} took {time:?}", call.id))
}

/// Answers that were cut by a daemon that was neither killed nor frozen. One that ends may close a
/// connection whose request reached no server.
fn check_cuts(
    fleet: &SoakFleet,
    calls: &[CallRecord],
    runs: &HashMap<Box<str>, Vec<(Box<str>, HostedRun)>>,
) -> Vec<Box<str>> {
    let is_cut = |call: &&CallRecord| {
        let is_broken = matches!(call.fault, Some(CallFault::BrokeBefore | CallFault::Truncated));
        let may_close = fleet.terminated.contains(&call.daemon) && !runs.contains_key(&call.id);
        is_broken && !may_close && !fleet.harmed.contains(&call.daemon)
    };
    calls
        .iter()
        .filter(is_cut)
        .map(|call| format!("call {} was cut: {:?}", call.id, call.fault).into())
        .collect()
}

fn check_leavers(fleet: &SoakFleet) -> Vec<Box<str>> {
    let mut broken = Vec::new();
    for server in &fleet.servers {
        let Some(left_at) = server.left_at else {
            continue;
        };
        let last = server.server.runs().iter().map(|run| run.began_at).max();
        // While the store is harmed nobody can know.
        let bound = left_at.max(fleet.store_harmed_at) + LEAVING_TIME;
        if last.is_some_and(|last| last > bound) {
            let id = &server.record.id;
            broken.push(format!("server {id} ran a request long after it had left").into());
        }
    }
    broken
}

fn check_sends(fleet: &SoakFleet, calls: &[CallRecord]) -> Option<Box<str>> {
    let arrivals: u64 = fleet.servers.iter().map(|server| server.server.arrivals()).sum();
    let allowed = calls.len() as f64 * SENDS_RATIO + SENDS_SLACK;
    (arrivals as f64 > allowed)
        .then(|| format!("{arrivals} arrivals for {} calls", calls.len()).into())
}

/// Every daemon serves the newest configuration and no older one.
async fn check_versions(fleet: &mut SoakFleet) -> Vec<Box<str>> {
    let mut broken: Vec<Box<str>> = Vec::new();
    for daemon in &fleet.daemons {
        let newest = ask(daemon.process.callers, &marker(fleet.version)).await;
        let older = ask(daemon.process.callers, &marker(fleet.version - 1)).await;
        if (newest, older) != (Some(200), Some(404)) {
            let callers = daemon.process.callers;
            let said = format!(
                "daemon {callers} answers {newest:?} on the newest route and {older:?} on the older"
            );
            broken.push(said.into());
        }
    }
    broken
}

async fn ask(daemon: std::net::SocketAddr, prefix: &str) -> Option<u16> {
    let names = wire_interface().headers;
    let id = format!("ask-{}", Instant::now().elapsed().as_nanos());
    let request = CallRequest::get(daemon, HOSTED_HOST, &format!("{prefix}1"))
        .with(names.request_id.as_str(), &id)
        .with(names.deadline_ms.as_str(), "10000");
    call(&request).await.ok().map(|answer| answer.status)
}
