//! What must hold of a soak, from what callers and servers saw.

use std::collections::HashMap;
use std::time::Duration;

use platform::wire_interface;
use tokio::time::Instant;

use crate::caller::{CallError, CallRequest, call};
use crate::hosted::{HOSTED_HOST, HostedRun};
use crate::soak::fleet::{SoakFleet, version_prefix};
use crate::soak::load::{CallRecord, DEADLINE_MS};

/// Time after leaving in which requests may still come: what the platform calls in touch, and its
/// bound for leaving.
const MAX_LEAVE_TIME: Duration = Duration::from_secs(5);

/// Part of further sends that the fleet may add, with its slack for a short soak.
const MAX_ATTEMPTS_PER_CALL: f64 = 1.2;
const EXTRA_ATTEMPTS: f64 = 120.0;

/// Promises that were broken, each with what was seen.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct SoakViolations {
    /// Those that hold however busy the machine is.
    pub safety: Vec<Box<str>>,
    /// Those with a bound in time, which a busy machine can break by itself.
    pub timing: Vec<Box<str>>,
}

impl SoakViolations {
    /// All of them.
    pub fn all(&self) -> impl Iterator<Item = &str> {
        self.safety.iter().chain(&self.timing).map(|message| &**message)
    }
}

/// Looks for broken promises.
pub(crate) async fn find_violations(fleet: &mut SoakFleet, calls: &[CallRecord]) -> SoakViolations {
    let mut violations = SoakViolations::default();
    let mut runs: HashMap<Box<str>, Vec<(Box<str>, HostedRun)>> = HashMap::new();
    for server in &fleet.servers {
        for run in server.server.runs() {
            let name = server.server.record.id.as_str().into();
            runs.entry(run.id.clone()).or_default().push((name, run));
        }
    }
    for call in calls {
        let call_runs = runs.get(&call.id).map_or(&[][..], Vec::as_slice);
        violations.safety.extend(check_call(call, call_runs).map(Box::from));
        violations.timing.extend(check_duration(call).map(Box::from));
    }
    violations.safety.extend(check_interrupted_calls(fleet, calls, &runs));
    violations.safety.extend(check_attempts(fleet, calls));
    violations.timing.extend(check_left_servers(fleet));
    violations.timing.extend(check_versions(fleet).await);
    violations
}

fn check_call(call: &CallRecord, call_runs: &[(Box<str>, HostedRun)]) -> Option<String> {
    let description = || format!("{} ({:?} {:?})", call.id, call.status, call.error);
    if call.is_order && call_runs.len() > 1 {
        return Some(format!("order {} ran {} times", description(), call_runs.len()));
    }
    if call.is_order && matches!(call.status, Some(503 | 429)) && !call_runs.is_empty() {
        return Some(format!("order {} was refused as not run and ran", description()));
    }
    let is_from_run = |(name, _): &(Box<str>, HostedRun)| *call.body == *format!("{name} ran it");
    if call.status == Some(200) && !call_runs.iter().any(is_from_run) {
        return Some(format!(
            "call {} has an answer that is not its own: {}",
            description(),
            call.body
        ));
    }
    if call_runs.iter().any(|(_, run)| run.deadline_ms > DEADLINE_MS) {
        return Some(format!("call {} was given more time than it had", description()));
    }
    None
}

fn check_duration(call: &CallRecord) -> Option<String> {
    let time = call.ended_at.saturating_duration_since(call.sent_at);
    (time > Duration::from_millis(DEADLINE_MS + 1_000))
        .then(|| format!("call {} took {time:?}", call.id))
}

/// Answers that were cut by a daemon that was neither killed nor frozen. One that ends may close a
/// connection whose request reached no server.
fn check_interrupted_calls(
    fleet: &SoakFleet,
    calls: &[CallRecord],
    runs: &HashMap<Box<str>, Vec<(Box<str>, HostedRun)>>,
) -> Vec<Box<str>> {
    let is_interrupted = |call: &&CallRecord| {
        let is_broken =
            matches!(call.error, Some(CallError::ConnectionClosed | CallError::Truncated));
        let may_close = fleet.terminated.contains(&call.daemon) && !runs.contains_key(&call.id);
        is_broken && !may_close && !fleet.killed_or_suspended.contains(&call.daemon)
    };
    calls
        .iter()
        .filter(is_interrupted)
        .map(|call| format!("call {} was cut: {:?}", call.id, call.error).into())
        .collect()
}

fn check_left_servers(fleet: &SoakFleet) -> Vec<Box<str>> {
    let mut violations = Vec::new();
    for server in &fleet.servers {
        let Some(left_at) = server.left_at else {
            continue;
        };
        let last = server.server.runs().iter().map(|run| run.started_at).max();
        // While the store is harmed nobody can know.
        let bound = left_at.max(fleet.store_fault_at) + MAX_LEAVE_TIME;
        if last.is_some_and(|last| last > bound) {
            let id = &server.record.id;
            violations.push(format!("server {id} ran a request long after it had left").into());
        }
    }
    violations
}

fn check_attempts(fleet: &SoakFleet, calls: &[CallRecord]) -> Option<Box<str>> {
    let request_count: u64 = fleet.servers.iter().map(|server| server.server.request_count()).sum();
    let allowed = calls.len() as f64 * MAX_ATTEMPTS_PER_CALL + EXTRA_ATTEMPTS;
    (request_count as f64 > allowed)
        .then(|| format!("{request_count} arrivals for {} calls", calls.len()).into())
}

/// Every daemon serves the newest configuration and no older one.
async fn check_versions(fleet: &mut SoakFleet) -> Vec<Box<str>> {
    let mut violations: Vec<Box<str>> = Vec::new();
    for daemon in &fleet.daemons {
        let newest = request_status(daemon.process.callers, &version_prefix(fleet.version)).await;
        let older =
            request_status(daemon.process.callers, &version_prefix(fleet.version - 1)).await;
        if (newest, older) != (Some(200), Some(404)) {
            let callers = daemon.process.callers;
            let message = format!(
                "daemon {callers} answers {newest:?} on the newest route and {older:?} on the older"
            );
            violations.push(message.into());
        }
    }
    violations
}

async fn request_status(daemon: std::net::SocketAddr, prefix: &str) -> Option<u16> {
    let names = wire_interface().headers;
    let id = format!("ask-{}", Instant::now().elapsed().as_nanos());
    let request = CallRequest::get(daemon, HOSTED_HOST, &format!("{prefix}1"))
        .with_header(names.request_id.as_str(), &id)
        .with_header(names.deadline_ms.as_str(), "10000");
    call(&request).await.ok().map(|answer| answer.status)
}
