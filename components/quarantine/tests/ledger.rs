//! Decisions from crash reports: which requests are quarantined, and which never are.

use std::collections::BTreeSet;
use std::time::Duration;

use quarantine::{CrashLedger, CrashLimits, CrashReport, Decision, Fingerprint, IncarnationKey};
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use tokio::time::Instant;

const LIMITS: CrashLimits = CrashLimits {
    crashes: 3,
    settle_time: Duration::from_millis(300),
    quarantine_time: Duration::from_secs(600),
};

fn content(number: u64) -> Fingerprint {
    Fingerprint::new("GET", b"shop.test", &format!("/read/{number}"), b"")
}

fn crash(number: u64, server: u64) -> CrashReport {
    CrashReport {
        content: content(number),
        server: IncarnationKey(server),
        is_cleared: false,
        age_ms: 0,
    }
}

/// A ledger and its clock.
struct Clocked {
    ledger: CrashLedger,
    now: Instant,
}

impl Clocked {
    fn new() -> Self {
        Self { ledger: CrashLedger::new(LIMITS), now: Instant::now() }
    }

    /// Reports the crash of a server with these requests.
    fn crash(&mut self, server: u64, contents: &[u64]) {
        for number in contents {
            self.ledger.record_crash(content(*number), IncarnationKey(server), self.now);
        }
    }

    /// Lets the reports settle and returns the decisions.
    fn settle(&mut self) -> Vec<Decision> {
        self.now += LIMITS.settle_time;
        self.ledger.decide(self.now)
    }

    fn is_quarantined(&self, number: u64) -> bool {
        self.ledger.quarantined_until(content(number), self.now).is_some()
    }
}

#[test]
fn request_is_quarantined_after_three_crashes_of_different_servers() {
    let mut clocked = Clocked::new();
    for server in [1, 2, 2, 1] {
        clocked.crash(server, &[1]);
        assert!(clocked.settle().is_empty(), "two servers crashed");
    }
    clocked.crash(3, &[1]);
    assert!(!clocked.is_quarantined(1), "the crash hasn't settled");
    assert_eq!(clocked.settle(), [Decision::Quarantined(content(1), 3)]);
    assert!(clocked.is_quarantined(1));
}

#[test]
fn request_that_shared_servers_with_a_harmful_one_is_not_quarantined() {
    let mut clocked = Clocked::new();
    clocked.crash(1, &[1, 2, 3]);
    clocked.crash(2, &[1, 2]);
    clocked.crash(3, &[1, 3]);
    clocked.crash(4, &[1]);
    clocked.settle();
    assert!(clocked.is_quarantined(1));
    // Both were in flight at the crash of one more server each.
    clocked.crash(5, &[2, 3]);
    clocked.settle();
    assert!(!clocked.is_quarantined(2) && !clocked.is_quarantined(3));
}

/// Three crashes with the same two suspects don't say which of them is harmful.
#[test]
fn requests_that_always_crash_together_are_decided_by_further_crashes() {
    let mut clocked = Clocked::new();
    for server in 1..=3 {
        clocked.crash(server, &[1, 2]);
    }
    clocked.settle();
    assert!(!clocked.is_quarantined(1) && !clocked.is_quarantined(2));
    for server in 4..=5 {
        clocked.crash(server, &[1]);
    }
    clocked.settle();
    assert!(clocked.is_quarantined(1) && !clocked.is_quarantined(2));
}

#[test]
fn requests_that_always_crash_together_are_quarantined_in_the_end() {
    let mut clocked = Clocked::new();
    for server in 1..=6 {
        clocked.crash(server, &[1, 2]);
    }
    clocked.settle();
    assert!(clocked.is_quarantined(1) || clocked.is_quarantined(2));
}

#[test]
fn response_of_a_server_clears_a_request_at_every_vm() {
    let (mut one, mut other) = (Clocked::new(), Clocked::new());
    other.now = one.now;
    for server in 1..=3 {
        one.crash(server, &[1]);
        other.crash(server, &[1]);
    }
    one.settle();
    other.settle();
    assert!(one.is_quarantined(1) && other.is_quarantined(1));
    let cleared = one.ledger.record_response(content(1), one.now);
    assert_eq!(cleared.len(), 3);
    for report in &cleared {
        other.ledger.merge(report, other.now);
    }
    assert_eq!(other.settle(), [Decision::Released(content(1))]);
    assert_eq!(one.settle(), [Decision::Released(content(1))]);
    assert!(!one.is_quarantined(1) && !other.is_quarantined(1));
    // A report of a third VM that arrives late doesn't undo it.
    other.crash(3, &[1]);
    other.settle();
    assert!(!other.is_quarantined(1));
}

#[test]
fn quarantine_ends_and_doubles_if_the_request_crashes_a_server_again() {
    let mut clocked = Clocked::new();
    for server in 1..=3 {
        clocked.crash(server, &[1]);
    }
    clocked.settle();
    clocked.now += LIMITS.quarantine_time;
    clocked.ledger.decide(clocked.now);
    assert!(!clocked.is_quarantined(1));
    clocked.crash(4, &[1]);
    clocked.settle();
    let until = clocked.ledger.quarantined_until(content(1), clocked.now);
    assert_eq!(until, Some(clocked.now + LIMITS.quarantine_time * 2));
}

#[test]
fn crashes_long_apart_do_not_add_up() {
    let mut clocked = Clocked::new();
    for server in 1..=10 {
        clocked.crash(server, &[1]);
        clocked.settle();
        clocked.now += LIMITS.quarantine_time / 2;
    }
    assert!(!clocked.is_quarantined(1));
}

#[test]
fn memory_is_bounded() {
    let mut clocked = Clocked::new();
    for number in 0..20_000 {
        clocked.crash(number / 8, &[number]);
    }
    assert!(clocked.ledger.len() <= 4096, "{}", clocked.ledger.len());
}

/// VMs receive the reports in any order, and some of them several times.
#[test]
fn order_and_repeats_of_reports_do_not_matter() {
    for seed in 0..200 {
        let mut random = StdRng::seed_from_u64(seed);
        let now = Instant::now();
        let mut reports: Vec<CrashReport> = (0..40)
            .map(|_| {
                let report = crash(random.random_range(0..5), random.random_range(0..12));
                CrashReport { is_cleared: random.random_bool(0.1), ..report }
            })
            .collect();
        let mut decided: Vec<BTreeSet<Fingerprint>> = Vec::new();
        for _ in 0..3 {
            reports.shuffle(&mut random);
            let mut ledger = CrashLedger::new(LIMITS);
            for report in reports.iter().chain(&reports[..10]) {
                ledger.merge(report, now);
            }
            let later = now + LIMITS.settle_time;
            ledger.decide(later);
            let quarantined = (0..5).map(content);
            let is_quarantined =
                |content: &Fingerprint| ledger.quarantined_until(*content, later).is_some();
            decided.push(quarantined.filter(is_quarantined).collect());
        }
        assert!(decided.iter().all(|one| *one == decided[0]), "seed {seed}: {decided:?}");
    }
}

/// Servers with several slots run harmful and harmless requests and crash under the harmful ones,
/// and some by themselves. Harmless requests are sent again until they succeed. One that meets a
/// crash wherever it is sent, four times and more, can't be told from a harmful one.
#[test]
fn only_harmful_requests_are_quarantined_among_many_that_share_their_servers() {
    const SERVERS: usize = 14;
    const HARMFUL: u64 = 3;
    const HARMLESS: u64 = 40;
    const RUNS: u64 = 300;
    let mut quarantined_harmless = 0;
    for seed in 0..RUNS {
        let mut random = StdRng::seed_from_u64(seed);
        let mut clocked = Clocked::new();
        let mut incarnation = 0;
        let mut responses = [0; (HARMFUL + HARMLESS) as usize];
        let mut crashes = [0; (HARMFUL + HARMLESS) as usize];
        for _ in 0..60 {
            // Requests are placed for a moment; those that are quarantined are refused.
            let mut in_flight: Vec<Vec<u64>> = vec![Vec::new(); SERVERS];
            for number in (0..HARMFUL + HARMLESS).filter(|number| !clocked.is_quarantined(*number))
            {
                let share = if number < HARMFUL { 0.5 } else { 0.4 };
                if random.random_bool(share) {
                    in_flight[random.random_range(0..SERVERS)].push(number);
                }
            }
            for contents in in_flight {
                let is_harmed = contents.iter().any(|number| *number < HARMFUL);
                let has_crashed = is_harmed || random.random_bool(0.03);
                for number in &contents {
                    let counts = if has_crashed { &mut crashes } else { &mut responses };
                    counts[*number as usize] += 1;
                }
                if has_crashed {
                    incarnation += 1;
                    clocked.crash(incarnation, &contents);
                } else {
                    for number in contents {
                        clocked.ledger.record_response(content(number), clocked.now);
                    }
                }
            }
            clocked.settle();
        }
        for number in 0..HARMFUL {
            assert!(clocked.is_quarantined(number), "seed {seed}: harmful request {number}");
        }
        for number in (HARMFUL..HARMFUL + HARMLESS).filter(|one| clocked.is_quarantined(*one)) {
            let (responses, crashes) = (responses[number as usize], crashes[number as usize]);
            quarantined_harmless += 1;
            assert!(
                responses == 0 && crashes > LIMITS.crashes,
                "seed {seed}: harmless request {number} after {crashes} crashes, {responses} responses"
            );
        }
    }
    let total = RUNS * HARMLESS;
    assert!(
        quarantined_harmless * 1_000 < total,
        "{quarantined_harmless} of {total} harmless requests are quarantined"
    );
}
