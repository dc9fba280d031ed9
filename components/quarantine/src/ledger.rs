//! Decides from the crash reports of the whole fleet which requests crash their servers.
//!
//! When a server crashes, every request in flight there is suspected, at whichever entry VM. One
//! crash says little, and neither do several, if other suspects explain them better:
//!
//! - A request is confirmed as the cause after `CrashLimits::crashes` crashes that no confirmed
//!   request explains, if it is the only suspect of all of them. Otherwise it takes one more, and at
//!   least two more than any request that shares one with it; of requests that always crash
//!   together, none is confirmed before twice as many.
//! - Crashes count from `CrashLimits::settle_time` after their first report, so that the reports of
//!   all VMs are there.
//! - A response of a server clears its request, since a harmful request crashes each server. It takes
//!   more crashes to confirm that request later.
//!
//! The reports form a set that only grows, except that old ones expire. So VMs can exchange them in
//! any order and any number of times, and arrive at the same decisions.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

use model::{FastMap, FastSet};

use crate::fingerprint::Fingerprint;
use crate::report::{CrashReport, IncarnationKey};

/// Maximum number of reports held; beyond it, the oldest ones are removed.
pub(crate) const MAX_REPORTS: usize = 4096;

/// Maximum number of requests remembered to which a server has responded.
const MAX_RESPONDED: usize = 4096;

/// Server in a report which says only that a server has responded to the request before.
const NO_SERVER: IncarnationKey = IncarnationKey(0);

/// Maximum number of requests that are or were confirmed; beyond it, the oldest ones are removed.
const MAX_VERDICTS: usize = 1024;

/// Number of crashes by which a confirmed request leads each suspect that shares one with it.
const CRASH_LEAD: usize = 2;

/// Factor on the number of crashes after which one of several requests is confirmed that share all
/// of their crashes.
const SHARED_CRASH_FACTOR: usize = 2;

/// Factor on the number of crashes for a request to which a server has responded before: it crashes
/// some servers at most.
const CLEARED_FACTOR: usize = 3;

/// Longest quarantine of a request that crashes servers again and again.
const MAX_QUARANTINE_TIME: Duration = Duration::from_secs(24 * 3600);

/// Limits of a ledger.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CrashLimits {
    /// Number of crashes that confirm a request as their cause.
    pub crashes: usize,
    /// Time after the first report of a crash until it counts.
    pub settle_time: Duration,
    /// How long a report counts, and how long a confirmed request is quarantined at first. If it
    /// crashes a server again after that, it is quarantined for twice as long.
    pub quarantine_time: Duration,
}

impl Default for CrashLimits {
    fn default() -> Self {
        Self {
            crashes: 3,
            settle_time: Duration::from_millis(300),
            quarantine_time: Duration::from_secs(600),
        }
    }
}

#[derive(Debug, Clone, Copy)]
struct HeldReport {
    is_cleared: bool,
    crashed_at: Instant,
}

/// Reports about each request, by the server that crashed. Invariant: there is one at least.
type ReportsByContent = FastMap<Fingerprint, FastMap<IncarnationKey, HeldReport>>;

/// A confirmed request.
#[derive(Debug, Clone, Copy)]
struct Verdict {
    /// End of the quarantine.
    until: Instant,
    /// Length of the quarantine. The request is watched for as long after it: one crash is then
    /// enough for the next quarantine.
    duration: Duration,
}

/// A decision about a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// The request is quarantined after this number of crashes.
    Quarantined(Fingerprint, usize),
    /// The request is no longer quarantined, because a server responded to it.
    Released(Fingerprint),
}

/// Crash reports and the decisions from them.
#[derive(Debug)]
pub struct CrashLedger {
    limits: CrashLimits,
    reports: ReportsByContent,
    verdicts: FastMap<Fingerprint, Verdict>,
    /// Requests to which a server has responded, oldest first.
    responded: VecDeque<Fingerprint>,
    responded_set: FastSet<Fingerprint>,
    /// When the reports held may lead to other decisions; `None` without reports.
    next_decision_at: Option<Instant>,
}

impl CrashLedger {
    /// Creates an empty ledger.
    pub fn new(limits: CrashLimits) -> Self {
        Self {
            limits,
            reports: ReportsByContent::default(),
            verdicts: FastMap::default(),
            responded: VecDeque::new(),
            responded_set: FastSet::default(),
            next_decision_at: None,
        }
    }

    /// Changes the limits, from the next decision on.
    pub(crate) fn set_limits(&mut self, limits: CrashLimits) {
        self.limits = limits;
    }

    /// Number of reports held.
    pub fn len(&self) -> usize {
        self.reports.values().map(FastMap::len).sum()
    }

    /// Whether no report is held.
    pub fn is_empty(&self) -> bool {
        self.reports.is_empty()
    }

    /// Whether a report is so old that it no longer counts.
    pub fn is_expired(&self, report: &CrashReport) -> bool {
        Duration::from_millis(report.age_ms) >= self.limits.quarantine_time
    }

    /// Whether a report about the same request and server is held.
    pub fn holds(&self, report: &CrashReport) -> bool {
        let held_reports = self.reports.get(&report.content);
        held_reports.is_some_and(|held_reports| held_reports.contains_key(&report.server))
    }

    /// Adds a report. Returns whether it says anything new.
    pub fn merge(&mut self, report: &CrashReport, now: Instant) -> bool {
        if self.is_expired(report) {
            return false;
        }
        let age = Duration::from_millis(report.age_ms);
        let crashed_at = now.checked_sub(age).unwrap_or(now);
        let held_reports = self.reports.get_mut(&report.content);
        match held_reports.and_then(|held_reports| held_reports.get_mut(&report.server)) {
            Some(held) if held.is_cleared || !report.is_cleared => return false,
            Some(held) => held.is_cleared = true,
            None => {
                self.remove_excess_report();
                let held = HeldReport { is_cleared: report.is_cleared, crashed_at };
                self.reports.entry(report.content).or_default().insert(report.server, held);
            }
        }
        let decision_at = match report.is_cleared {
            true => now,
            false => crashed_at + self.limits.settle_time,
        };
        self.next_decision_at =
            Some(self.next_decision_at.map_or(decision_at, |next| next.min(decision_at)));
        true
    }

    /// Records that a server crashed while it may have run a request of this VM. Returns the reports
    /// for other VMs.
    pub fn record_crash(
        &mut self,
        content: Fingerprint,
        server: IncarnationKey,
        now: Instant,
    ) -> Vec<CrashReport> {
        let crash = CrashReport { content, server, is_cleared: false, age_ms: 0 };
        let mut reports = vec![crash];
        if self.responded_set.contains(&content) {
            reports.push(CrashReport { server: NO_SERVER, is_cleared: true, ..crash });
        }
        reports.retain(|report| self.merge(report, now));
        reports
    }

    /// Number of crashes of which a request is suspected.
    pub fn crash_count(&self, content: Fingerprint) -> usize {
        let held_reports = self.reports.get(&content);
        held_reports
            .map_or(0, |held_reports| held_reports.values().filter(|held| !held.is_cleared).count())
    }

    /// Records that a server has responded to a request of this VM. If the request was suspected, this
    /// clears it. Returns the reports for other VMs.
    pub fn record_response(&mut self, content: Fingerprint, now: Instant) -> Vec<CrashReport> {
        if !self.reports.contains_key(&content) {
            // It was only watched after its quarantine. Otherwise `decide` releases it.
            self.verdicts.remove(&content);
        }
        self.remember_response(content);
        let mut reports = self.reports_of(content, now);
        reports.retain(|report| !report.is_cleared);
        for report in &mut reports {
            report.is_cleared = true;
            self.merge(report, now);
        }
        reports
    }

    /// Returns the reports about a request.
    pub fn reports_of(&self, content: Fingerprint, now: Instant) -> Vec<CrashReport> {
        let held_reports = self.reports.get(&content);
        held_reports.into_iter().flat_map(|held| crash_reports(content, held, now)).collect()
    }

    /// Returns all reports.
    pub fn snapshot(&self, now: Instant) -> Vec<CrashReport> {
        let by_content = self.reports.iter();
        by_content.flat_map(|(content, held)| crash_reports(*content, held, now)).collect()
    }

    /// Returns the end of a request's quarantine; `None` if it isn't quarantined.
    pub fn quarantined_until(&self, content: Fingerprint, now: Instant) -> Option<Instant> {
        let verdict = self.verdicts.get(&content)?;
        (now < verdict.until).then_some(verdict.until)
    }

    /// Number of requests that are quarantined.
    pub fn quarantined_count(&self, now: Instant) -> usize {
        self.verdicts.values().filter(|verdict| now < verdict.until).count()
    }

    /// Returns when `decide` may decide something; `None` without reports.
    pub fn next_decision_at(&self) -> Option<Instant> {
        self.next_decision_at
    }

    /// Decides about all requests by the reports held.
    pub fn decide(&mut self, now: Instant) -> Vec<Decision> {
        self.remove_expired(now);
        let mut decisions = self.release_cleared();
        let suspects = Suspects::new(&self.reports, self.limits.settle_time, now);
        let next_expiry = self.next_expiry();
        self.next_decision_at = suspects.next_settled_at.into_iter().chain(next_expiry).min();
        let mut unexplained = suspects.crashes;
        for (content, verdict) in &mut self.verdicts {
            let has_crashed_again = unexplained.get(content).is_some_and(|crashes| {
                crashes.values().any(|crashed_at| *crashed_at >= verdict.until)
            });
            if has_crashed_again && now >= verdict.until {
                verdict.duration = (verdict.duration * 2).min(MAX_QUARANTINE_TIME);
                verdict.until = now + verdict.duration;
                decisions.push(Decision::Quarantined(*content, 1));
            }
        }
        for content in self.verdicts.keys() {
            explain_crashes(&mut unexplained, *content);
        }
        while let Some(content) = self.next_confirmed(&unexplained) {
            let crashes = explain_crashes(&mut unexplained, content);
            self.add_verdict(content, now);
            decisions.push(Decision::Quarantined(content, crashes));
        }
        decisions
    }

    /// Returns a request that the unexplained crashes confirm.
    fn next_confirmed(&self, unexplained: &CrashesByContent) -> Option<Fingerprint> {
        let mut by_count: Vec<(usize, Fingerprint)> =
            unexplained.iter().map(|(content, crashes)| (crashes.len(), *content)).collect();
        by_count.sort_unstable();
        by_count.into_iter().rev().map(|(_, content)| content).find(|content| {
            let own = &unexplained[content];
            let required = self.required_crashes(content);
            let sharing = unexplained.iter().filter(|(other, crashes)| {
                *other != content && crashes.keys().any(|server| own.contains_key(server))
            });
            let most_of_sharing = sharing.map(|(_, crashes)| crashes.len()).max().unwrap_or(0);
            match most_of_sharing {
                0 => own.len() >= required,
                _ => {
                    let has_lead =
                        own.len() > required && own.len() >= most_of_sharing + CRASH_LEAD;
                    has_lead || own.len() >= required * SHARED_CRASH_FACTOR
                }
            }
        })
    }

    /// Returns the number of crashes that confirm a request.
    fn required_crashes(&self, content: &Fingerprint) -> usize {
        let held_reports = self.reports.get(content);
        let has_succeeded = held_reports
            .is_some_and(|held_reports| held_reports.values().any(|held| held.is_cleared));
        match has_succeeded {
            true => self.limits.crashes * CLEARED_FACTOR,
            false => self.limits.crashes,
        }
    }

    fn remember_response(&mut self, content: Fingerprint) {
        if !self.responded_set.insert(content) {
            return;
        }
        self.responded.push_back(content);
        if self.responded.len() > MAX_RESPONDED
            && let Some(oldest) = self.responded.pop_front()
        {
            self.responded_set.remove(&oldest);
        }
    }

    fn add_verdict(&mut self, content: Fingerprint, now: Instant) {
        if self.verdicts.len() >= MAX_VERDICTS {
            let oldest = self.verdicts.iter().min_by_key(|(_, verdict)| verdict.until);
            if let Some(oldest) = oldest.map(|(content, _)| *content) {
                self.verdicts.remove(&oldest);
            }
        }
        let duration = self.limits.quarantine_time;
        self.verdicts.insert(content, Verdict { until: now + duration, duration });
    }

    /// Ends the quarantine of requests that have been cleared.
    fn release_cleared(&mut self) -> Vec<Decision> {
        let mut released = Vec::new();
        self.verdicts.retain(|content, _| {
            let held_reports = self.reports.get(content);
            let is_released = held_reports
                .is_some_and(|held_reports| held_reports.values().all(|held| held.is_cleared));
            if is_released {
                released.push(Decision::Released(*content));
            }
            !is_released
        });
        released
    }

    /// Returns when the first report expires.
    fn next_expiry(&self) -> Option<Instant> {
        let crashed_at = self.reports.values().flatten().map(|(_, held)| held.crashed_at);
        crashed_at.min().map(|at| at + self.limits.quarantine_time)
    }

    fn remove_expired(&mut self, now: Instant) {
        let retention = self.limits.quarantine_time;
        self.reports.retain(|_, held_reports| {
            held_reports.retain(|_, held| now < held.crashed_at + retention);
            !held_reports.is_empty()
        });
        self.verdicts.retain(|_, verdict| now < verdict.until + verdict.duration);
    }

    fn remove_excess_report(&mut self) {
        if self.len() < MAX_REPORTS {
            return;
        }
        let all = self.reports.iter().flat_map(|(content, held_reports)| {
            held_reports.iter().map(move |(server, held)| (*content, *server, held.crashed_at))
        });
        let oldest = all.min_by_key(|(content, _, crashed_at)| {
            (self.verdicts.contains_key(content), *crashed_at)
        });
        if let Some((content, server, _)) = oldest
            && let Some(held_reports) = self.reports.get_mut(&content)
        {
            held_reports.remove(&server);
            if held_reports.is_empty() {
                self.reports.remove(&content);
            }
        }
    }
}

fn crash_reports(
    content: Fingerprint,
    held_reports: &FastMap<IncarnationKey, HeldReport>,
    now: Instant,
) -> impl Iterator<Item = CrashReport> {
    held_reports.iter().map(move |(server, held)| CrashReport {
        content,
        server: *server,
        is_cleared: held.is_cleared,
        age_ms: now.saturating_duration_since(held.crashed_at).as_millis() as u64,
    })
}

/// Crashes of which each request is suspected, with their times.
type CrashesByContent = FastMap<Fingerprint, FastMap<IncarnationKey, Instant>>;

struct Suspects {
    crashes: CrashesByContent,
    /// When the next crash counts.
    next_settled_at: Option<Instant>,
}

impl Suspects {
    fn new(reports: &ReportsByContent, settle_time: Duration, now: Instant) -> Self {
        let mut first_reported_at: FastMap<IncarnationKey, Instant> = FastMap::default();
        for (server, held) in reports.values().flatten() {
            let first = first_reported_at.entry(*server).or_insert(held.crashed_at);
            *first = held.crashed_at.min(*first);
        }
        let mut crashes = CrashesByContent::default();
        let mut next_settled_at: Option<Instant> = None;
        for (content, held_reports) in reports {
            for (server, held) in held_reports {
                let settled_at = first_reported_at[server] + settle_time;
                if now < settled_at {
                    let next = next_settled_at.map_or(settled_at, |next| next.min(settled_at));
                    next_settled_at = Some(next);
                } else if !held.is_cleared {
                    crashes.entry(*content).or_default().insert(*server, held.crashed_at);
                }
            }
        }
        Self { crashes, next_settled_at }
    }
}

/// Removes the crashes of a confirmed request from those of all others. Returns their number.
fn explain_crashes(unexplained: &mut CrashesByContent, content: Fingerprint) -> usize {
    let Some(explained) = unexplained.remove(&content) else {
        return 0;
    };
    for crashes in unexplained.values_mut() {
        crashes.retain(|server, _| !explained.contains_key(server));
    }
    explained.len()
}
