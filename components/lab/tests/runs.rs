//! Runs of the model: the same for a seed, each caller ends once, and what each decision is for.

use std::path::Path;

use lab::{LabOutcome, LabPolicy, LabScenario, run_scenario, summarize};

/// Seeds of one comparison. Fixed, as is everything else of a run.
const SEEDS: std::ops::Range<u64> = 1..9;

fn scenario(name: &str) -> LabScenario {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("scenarios");
    LabScenario::load(&folder.join(format!("{name}.json"))).expect("the scenario is valid")
}

fn policy(name: &str) -> LabPolicy {
    name.parse().expect("the policy is known")
}

fn runs(scenario: &LabScenario, name: &str) -> Vec<LabOutcome> {
    SEEDS.map(|seed| run_scenario(scenario, policy(name), seed)).collect()
}

/// Mean part of the callers in the two worst windows who are served within their target.
fn mean_worst_windows(scenario: &LabScenario, name: &str) -> f64 {
    summarize(&scenario.name, "any", &runs(scenario, name)).worst_windows.mean
}

/// Mean part of all callers who are served within their target.
fn mean_within_target(scenario: &LabScenario, name: &str) -> f64 {
    summarize(&scenario.name, "any", &runs(scenario, name)).within_target.mean
}

#[test]
fn a_seed_gives_the_same_run_again() {
    let scenario = scenario("burst");
    for policy in LabPolicy::all() {
        assert_eq!(run_scenario(&scenario, *policy, 7), run_scenario(&scenario, *policy, 7));
    }
}

#[test]
fn every_caller_ends_once() {
    for name in ["calm", "burst", "crashes", "overload"] {
        let scenario = scenario(name);
        for policy in LabPolicy::all() {
            let outcome = run_scenario(&scenario, *policy, 3);
            let ended = outcome.within_target + outcome.late + outcome.refused + outcome.failed;
            assert!((ended - 1.0).abs() < 1e-9, "{name}, {policy}: {ended}");
            let answered = outcome.response_times.len() as f64 / outcome.callers as f64;
            assert!(
                (answered - outcome.within_target - outcome.late).abs() < 1e-9,
                "{name}, {policy}"
            );
        }
    }
}

#[test]
fn nothing_is_better_than_knowing_all_and_chance_is_worst() {
    for name in ["calm", "burst", "crashes", "overload", "stock"] {
        let scenario = scenario(name);
        let (oracle, chosen) =
            (mean_within_target(&scenario, "oracle"), mean_within_target(&scenario, "chosen"));
        let random = mean_within_target(&scenario, "random");
        assert!(oracle >= chosen && chosen > random, "{name}: {oracle}, {chosen}, {random}");
    }
}

/// Load: 1.4 times what the servers can do, for half a minute. Several entry VMs see each slot that
/// comes free; those whose requests then wait at the server are late.
#[test]
fn overload_leaves_most_of_the_capacity_to_callers_in_time() {
    let scenario = scenario("overload");
    let (chosen, oracle) =
        (mean_within_target(&scenario, "chosen"), mean_within_target(&scenario, "oracle"));
    let crowding = mean_within_target(&scenario, "crowding");
    assert!(chosen >= 0.85 * oracle, "{chosen} of {oracle}");
    assert!(crowding < 0.8 * oracle, "{crowding} of {oracle}: without it the load is no trouble");
}

/// Load: bursts of 1.7 and 1.5 on servers of which some are slow. Requests that wait at servers hold
/// slots that others could have used in time.
#[test]
fn holding_requests_here_is_better_than_queues_at_servers_in_bursts() {
    let scenario = scenario("burst");
    let (chosen, queued) =
        (mean_worst_windows(&scenario, "chosen"), mean_worst_windows(&scenario, "queued"));
    assert!(chosen > queued + 0.1, "{chosen}, {queued}");
}

/// Load: machines that are five times slower for 150 ms at a time. Only reports from right before
/// the choice say which.
#[test]
fn asking_servers_is_better_than_what_answers_told() {
    for name in ["calm", "stock", "burst"] {
        let scenario = scenario(name);
        let (chosen, unasked) =
            (mean_worst_windows(&scenario, "chosen"), mean_worst_windows(&scenario, "unasked"));
        assert!(chosen > unasked + 0.05, "{name}: {chosen}, {unasked}");
    }
}

/// Load: servers that die without a sign. A second send brings the answer of another.
#[test]
fn second_sends_answer_what_dead_servers_hold() {
    let scenario = scenario("crashes");
    let failed = |name| summarize(&scenario.name, "any", &runs(&scenario, name)).failed.mean;
    let (chosen, single) = (failed("chosen"), failed("single"));
    assert!(chosen < 0.5 * single, "{chosen}, {single}");
}

#[test]
fn a_bad_scenario_is_refused_with_the_name_of_its_field() {
    let folder = std::env::temp_dir();
    let good = std::fs::read_to_string(
        Path::new(env!("CARGO_MANIFEST_DIR")).join("scenarios").join("calm.json"),
    )
    .expect("the scenario can be read");
    let cases = [
        ("\"vms\": 14", "\"vms\": 0", "vms must be above 0"),
        ("\"share\": 0.25", "\"share\": 2.5", "swings.share must be from 0 to 1"),
        ("\"queue\": 4", "\"quene\": 4", "unknown field `quene`"),
        ("\"target_ms\": 600", "\"target_ms\": 6", "target_ms must be work_ms or more"),
    ];
    for (number, (from, to, expected)) in cases.into_iter().enumerate() {
        let path = folder.join(format!("lab-{}-{number}.json", std::process::id()));
        std::fs::write(&path, good.replace(from, to)).expect("the folder can be written");
        let fault = LabScenario::load(&path).expect_err("the scenario is bad").to_string();
        assert!(fault.contains(expected), "{fault}");
    }
    let fault = "fastest".parse::<LabPolicy>().expect_err("there is none").to_string();
    assert!(fault.contains("\"fastest\"") && fault.contains("oracle"), "{fault}");
}
