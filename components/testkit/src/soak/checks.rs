//! Checks of the guarantees after a soak test, from the records of callers and servers.

use std::collections::HashMap;
use std::ops::Range;
use std::time::Duration;

use hyper::Method;
use tokio::time::Instant;

use crate::caller::{CallError, call};
use crate::hosted::{COLD_OVER, COLD_SLACK, HostedRun, hosted_request};
use crate::soak::fleet::{SoakFleet, WARM_UP, version_prefix};
use crate::soak::load::{CallRecord, DEADLINE_MS, HARMFUL_CALLERS, harmful_text};

#[cfg(test)]
mod tests;

/// Longest time after a server left the list in which it may still start requests: the contact time
/// of the daemons (`contact_s`), plus the time that the platform allows daemons to stop sending to
/// a leaving server.
const MAX_LEAVE_TIME: Duration = Duration::from_secs(5);

/// Longest time after a zone was evacuated in which its servers may still receive anything: as long
/// as after a server left.
const MAX_EVACUATION_TIME: Duration = MAX_LEAVE_TIME;

/// Deadline of the calls of a check, in milliseconds.
const CHECK_DEADLINE_MS: u64 = 10_000;

/// The daemons' `contact_s`.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// Crashes after which a call is known to be harmful.
const KNOWN_CRASHES: usize = 3;

/// Times that a known harmful call may still reach a server.
const MAX_LATER_SENDS: usize = 3;

/// Attempts that the fleet may send to servers for each call.
const MAX_ATTEMPTS_PER_CALL: f64 = 1.2;

/// Further attempts that the fleet may send, which cover the retry slack in a short soak test.
const EXTRA_ATTEMPTS: f64 = 120.0;

/// Violated guarantees, each with what was observed.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct SoakViolations {
    /// Violations of guarantees that hold regardless of the load on the machine.
    pub safety: Vec<Box<str>>,
    /// Violations of time limits, which an overloaded machine alone can cause.
    pub timing: Vec<Box<str>>,
}

impl SoakViolations {
    /// All violations.
    pub fn all(&self) -> impl Iterator<Item = &str> {
        self.safety.iter().chain(&self.timing).map(|message| &**message)
    }
}

/// Checks all guarantees, and returns the violated ones.
pub(crate) async fn find_violations(fleet: &mut SoakFleet, calls: &[CallRecord]) -> SoakViolations {
    let mut violations = SoakViolations::default();
    let mut runs: HashMap<Box<str>, Vec<(Box<str>, HostedRun)>> = HashMap::new();
    for server in &fleet.servers {
        for run in server.hosted_server.runs() {
            let server_id = server.hosted_server.record.id.as_str().into();
            runs.entry(run.id.clone()).or_default().push((server_id, run));
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
    violations.timing.extend(check_evacuated_servers(fleet));
    violations.timing.extend(check_cold_servers(fleet, calls));
    violations.timing.extend(check_harmful_calls(fleet));
    violations.timing.extend(check_versions(fleet).await);
    violations
}

/// Checks one call against its runs at all servers.
fn check_call(call: &CallRecord, call_runs: &[(Box<str>, HostedRun)]) -> Option<String> {
    let description = || format!("{} ({:?} {:?})", call.id, call.status, call.error);
    if call.is_order && call_runs.len() > 1 {
        return Some(format!("order {} ran {} times", description(), call_runs.len()));
    }
    if call.is_order && matches!(call.status, Some(503 | 429)) && !call_runs.is_empty() {
        return Some(format!("order {} ran although it was refused as not run", description()));
    }
    let is_from_run =
        |(server_id, _): &(Box<str>, HostedRun)| *call.body == *format!("{server_id} ran it");
    if call.status == Some(200) && !call_runs.iter().any(is_from_run) {
        return Some(format!(
            "call {} got a response that none of its runs produced: {}",
            description(),
            call.body
        ));
    }
    if call.body.contains("crashed the backend servers") {
        return Some(format!("call {} is harmless, but refused as harmful", description()));
    }
    if call_runs.iter().any(|(_, run)| run.deadline_ms > DEADLINE_MS) {
        return Some(format!(
            "call {} reached a server with a longer deadline than its caller set",
            description()
        ));
    }
    None
}

/// Checks that a call ended within a second after its deadline.
fn check_duration(call: &CallRecord) -> Option<String> {
    let duration = call.ended_at.saturating_duration_since(call.sent_at);
    (duration > Duration::from_millis(DEADLINE_MS + 1_000))
        .then(|| format!("call {} took {duration:?}", call.id))
}

/// Returns the calls whose connections were closed early by a daemon that was neither killed nor
/// suspended. A terminated daemon may close a connection whose request reached no server.
fn check_interrupted_calls(
    fleet: &SoakFleet,
    calls: &[CallRecord],
    runs: &HashMap<Box<str>, Vec<(Box<str>, HostedRun)>>,
) -> Vec<Box<str>> {
    let is_interrupted = |call: &&CallRecord| {
        let is_closed_early =
            matches!(call.error, Some(CallError::ConnectionClosed | CallError::Truncated));
        let may_close = fleet.terminated.contains(&call.daemon) && !runs.contains_key(&call.id);
        is_closed_early && !may_close && !fleet.killed_or_suspended.contains(&call.daemon)
    };
    calls
        .iter()
        .filter(is_interrupted)
        .map(|call| {
            format!("the daemon closed the connection of call {}: {:?}", call.id, call.error).into()
        })
        .collect()
}

/// Returns the servers that started a request too long after they left the list.
fn check_left_servers(fleet: &SoakFleet) -> Vec<Box<str>> {
    let mut violations = Vec::new();
    for server in &fleet.servers {
        let Some(left_at) = server.left_at else {
            continue;
        };
        let last_run_at = server.hosted_server.runs().iter().map(|run| run.started_at).max();
        // During a store fault no daemon can receive the change.
        let bound = left_at.max(fleet.store_fault_at) + MAX_LEAVE_TIME;
        if last_run_at.is_some_and(|last_run_at| last_run_at > bound) {
            let id = &server.record.id;
            violations
                .push(format!("server {id} ran a request too long after it left the list").into());
        }
    }
    violations
}

/// Returns the servers in evacuated zones that received a request or health check too late.
fn check_evacuated_servers(fleet: &SoakFleet) -> Vec<Box<str>> {
    let mut violations = Vec::new();
    for server in &fleet.servers {
        let zone = server.record.zone.as_str();
        let Some(evacuated_at) = fleet.evacuated.get(zone) else {
            continue;
        };
        // During a store fault no daemon can receive the evacuation.
        let bound = (*evacuated_at).max(fleet.store_fault_at) + MAX_EVACUATION_TIME;
        let received_at = server.hosted_server.received_at();
        let late = received_at.iter().filter(|at| **at > bound).count();
        if late > 0 {
            let id = &server.record.id;
            let message =
                format!("server {id} received {late} requests too long after {zone} was evacuated");
            violations.push(message.into());
        }
    }
    violations
}

/// Returns the servers that got more requests in a second than a cold server may get. Requests that
/// were sent before that second and held up on the way, such as by a partition, don't count.
fn check_cold_servers(fleet: &SoakFleet, calls: &[CallRecord]) -> Vec<Box<str>> {
    let allowed = WARM_UP.rate.0 * COLD_OVER + COLD_SLACK;
    let calls: HashMap<&str, &CallRecord> = calls.iter().map(|call| (&*call.id, call)).collect();
    let mut violations = Vec::new();
    for server in &fleet.servers {
        let runs = server.hosted_server.runs();
        let journeys: Vec<Range<Instant>> = runs
            .iter()
            .map(|run| sent_at(fleet, calls.get(&*run.id).copied(), run)..run.started_at)
            .collect();
        for period in server.hosted_server.cold_periods() {
            let peak = peak_of_journeys(&journeys, &period);
            if peak as f64 > allowed {
                let id = &server.record.id;
                violations.push(format!("cold server {id} got {peak} requests in a second").into());
            }
        }
    }
    violations
}

/// Returns when a daemon sent a request, by the time that it had left then; its arrival if that isn't
/// known. A daemon that was suspended may have received the call much later than it was made.
fn sent_at(fleet: &SoakFleet, call: Option<&CallRecord>, run: &HostedRun) -> Instant {
    match call.filter(|call| !fleet.killed_or_suspended.contains(&call.daemon)) {
        Some(call) => {
            let elapsed = Duration::from_millis(DEADLINE_MS.saturating_sub(run.deadline_ms));
            run.started_at.min(call.sent_at + elapsed)
        }
        None => run.started_at,
    }
}

/// Returns the largest number of requests that were sent and received within one second of a period.
pub(crate) fn peak_of_journeys(journeys: &[Range<Instant>], period: &Range<Instant>) -> usize {
    let inside = |from: Instant| {
        let second = from..(from + Duration::from_secs(1)).min(period.end);
        let is_inside = |journey: &&Range<Instant>| {
            second.contains(&journey.start) && second.contains(&journey.end)
        };
        journeys.iter().filter(is_inside).count()
    };
    let starts = journeys.iter().map(|journey| journey.start).filter(|at| period.contains(at));
    starts.map(inside).max().unwrap_or(0)
}

/// Checks that a call which has crashed three servers is hardly sent again once all daemons have had
/// the contact time without faults.
fn check_harmful_calls(fleet: &SoakFleet) -> Vec<Box<str>> {
    let mut violations = Vec::new();
    let faults_ended_at = fleet.faults_ended_at.unwrap_or_else(Instant::now);
    for number in 0..HARMFUL_CALLERS {
        let text = harmful_text(number);
        let mut started_at = Vec::new();
        for server in &fleet.servers {
            let runs = server.hosted_server.runs();
            let matching = runs
                .iter()
                .filter(|run| run.target.ends_with(&text) || run.body.as_ref() == text.as_bytes());
            started_at.extend(matching.map(|run| run.started_at));
        }
        started_at.sort();
        let Some(third) = started_at.get(KNOWN_CRASHES - 1) else {
            continue;
        };
        let bound = faults_ended_at.max(*third) + CONTACT_TIME;
        let later = started_at.iter().filter(|at| **at > bound).count();
        if later > MAX_LATER_SENDS {
            let message = format!(
                "call {text} ran {later} of {} times too long after it had crashed three servers",
                started_at.len()
            );
            violations.push(message.into());
        }
    }
    violations
}

/// Checks the number of requests that reached the servers against the retry budget.
fn check_attempts(fleet: &SoakFleet, calls: &[CallRecord]) -> Option<Box<str>> {
    let request_count: u64 =
        fleet.servers.iter().map(|server| server.hosted_server.request_count()).sum();
    let allowed = calls.len() as f64 * MAX_ATTEMPTS_PER_CALL + EXTRA_ATTEMPTS;
    (request_count as f64 > allowed).then(|| {
        format!("{request_count} requests reached the servers for {} calls", calls.len()).into()
    })
}

/// Checks that every daemon routes by the newest configuration and not by the one before.
async fn check_versions(fleet: &mut SoakFleet) -> Vec<Box<str>> {
    let mut violations: Vec<Box<str>> = Vec::new();
    for daemon in &fleet.daemons {
        let newest = request_status(daemon.process.callers, &version_prefix(fleet.version)).await;
        let previous =
            request_status(daemon.process.callers, &version_prefix(fleet.version - 1)).await;
        if (newest, previous) != (Some(200), Some(404)) {
            let callers = daemon.process.callers;
            let message = format!(
                "daemon {callers}: {newest:?} on the newest route, {previous:?} on the previous one"
            );
            violations.push(message.into());
        }
    }
    violations
}

/// Returns the status of a request on a route; `None` if there is no response.
async fn request_status(daemon: std::net::SocketAddr, prefix: &str) -> Option<u16> {
    let id = format!("ask-{}", Instant::now().elapsed().as_nanos());
    let path = format!("{prefix}1");
    let request = hosted_request(daemon, &id, Method::GET, &path, CHECK_DEADLINE_MS);
    call(&request).await.ok().map(|response| response.status)
}
