//! Checks server groups with random sequences of operations against simple counters.

use std::time::Duration;

use balance::{
    BalanceOptions, GroupSpec, ListedServer, LoadReport, PickOutcome, ProbeOutcome, RequestSample,
    SampleOutcome, ServerEndpoint, ServerGroup, ServerTicket, choose_preferred, choose_subset,
};
use model::ServerId;
use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::StdRng;
use testkit::property_test_config;
use tokio::time::Instant;

const SERVERS: usize = 6;
const CONNECTIONS: u32 = 3;

#[derive(Debug, Clone)]
enum Step {
    Pick,
    /// Finishes the oldest request with an outcome, as index into `OUTCOMES`, and a reported load.
    Finish(usize, f64),
    Wait(u64),
    Leave(usize),
    Probe(bool),
    Relist,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => Just(Step::Pick),
        6 => (0_usize..4, 0.0_f64..50.0).prop_map(|(outcome, load)| Step::Finish(outcome, load)),
        3 => (1_u64..3_000).prop_map(Step::Wait),
        1 => (0..SERVERS).prop_map(Step::Leave),
        1 => any::<bool>().prop_map(Step::Probe),
        1 => Just(Step::Relist),
    ]
}

fn id(number: usize) -> ServerId {
    format!("server-{number}").parse().expect("the name is valid")
}

fn listed(count: usize) -> Vec<ListedServer> {
    (0..count)
        .map(|number| ListedServer {
            endpoint: ServerEndpoint {
                id: id(number),
                address: ([127, 0, 0, 1], number as u16 + 1).into(),
                zone: "zone-a".parse().expect("the name is valid"),
            },
            is_leaving: false,
            is_preferred: number % 2 == 0,
        })
        .collect()
}

fn group(now: Instant) -> ServerGroup {
    let spec = GroupSpec {
        slots: 2,
        expected_time: Duration::from_millis(10),
        max_connections: CONNECTIONS,
        zone: "zone-a".parse().expect("the name is valid"),
    };
    let mut group = ServerGroup::new(spec, BalanceOptions::default(), now);
    group.set_servers(&listed(SERVERS), now);
    group
}

const OUTCOMES: [SampleOutcome; 4] = [
    SampleOutcome::Responded,
    SampleOutcome::Failed,
    SampleOutcome::Unreachable,
    SampleOutcome::Cancelled,
];

proptest! {
    #![proptest_config(property_test_config(300))]

    #[test]
    fn holds_drain_leaving_server_is_never_chosen(steps in prop::collection::vec(step(), 1..250)) {
        let mut now = Instant::now();
        let mut random = StdRng::seed_from_u64(1);
        let mut group = group(now);
        let mut pending: Vec<ServerTicket> = Vec::new();
        let mut leaving_signal_at: Vec<Option<Instant>> = vec![None; SERVERS];
        for step in steps {
            match step {
                Step::Pick => {
                    let picked = group.pick(Duration::from_secs(60), &[], now, &mut random);
                    if let PickOutcome::Chosen { ticket, address, .. } = picked {
                        let number = usize::from(address.port()) - 1;
                        let signal_at = leaving_signal_at[number];
                        prop_assert!(
                            signal_at.is_none_or(|at| now >= at + Duration::from_secs(60)),
                            "chose server {} after its leaving signal", number
                        );
                        pending.push(ticket);
                        let in_flight = pending.iter().filter(|other| **other == ticket).count();
                        prop_assert!(in_flight <= CONNECTIONS as usize);
                    }
                }
                Step::Finish(outcome, load) => {
                    if !pending.is_empty() {
                        let sample = RequestSample {
                            outcome: OUTCOMES[outcome],
                            elapsed: Duration::from_millis(10),
                            report: Some(LoadReport { in_flight: load }),
                        };
                        group.finish_request(pending.remove(0), &sample, now);
                    }
                }
                Step::Wait(milliseconds) => now += Duration::from_millis(milliseconds),
                Step::Leave(number) => {
                    group.mark_leaving(&id(number), now);
                    leaving_signal_at[number] = Some(now);
                }
                Step::Probe(has_response) => {
                    if let Some(target) = group.probe_target(now) {
                        let outcome = match has_response {
                            true => ProbeOutcome::Responded(Some(LoadReport { in_flight: 1.0 })),
                            false => ProbeOutcome::Failed,
                        };
                        group.apply_probe_outcome(target.ticket, outcome, now);
                        prop_assert_ne!(group.probe_target(now), Some(target));
                    }
                }
                Step::Relist => group.set_servers(&listed(SERVERS), now),
            }
        }
    }

    #[test]
    fn pick_finds_server_despite_failures(failures in prop::collection::vec(0_usize..4, 1..300)) {
        let now = Instant::now();
        let mut random = StdRng::seed_from_u64(1);
        let mut group = group(now);
        for outcome in failures {
            let picked = group.pick(Duration::from_secs(60), &[], now, &mut random);
            let PickOutcome::Chosen { ticket, .. } = picked else {
                return Err(TestCaseError::fail("no server was chosen"));
            };
            let sample = RequestSample {
                outcome: OUTCOMES[outcome],
                elapsed: Duration::from_millis(5),
                report: None,
            };
            group.finish_request(ticket, &sample, now);
        }
    }

    #[test]
    fn subsets_respect_connection_limits(
        servers in 1_usize..60,
        slots in 1_u32..80,
        per_server in 1_u32..80,
    ) {
        let ids: Vec<ServerId> = (0..servers).map(id).collect();
        let mut vm_counts = vec![0; servers];
        for slot in 0..slots {
            for index in choose_subset(&ids, slot, slots, per_server) {
                vm_counts[index] += 1;
            }
        }
        let expected = per_server.min(slots);
        prop_assert!(vm_counts.iter().all(|count| *count == expected), "{:?}", vm_counts);
    }

    #[test]
    fn preferred_servers_are_spread_evenly(servers in 1_usize..60, members in 1_usize..60) {
        let ids: Vec<ServerId> = (0..servers).map(id).collect();
        let mut vm_counts = vec![0_usize; servers];
        for rank in 0..members {
            let preferred = choose_preferred(&ids, rank, members, 3);
            prop_assert!(preferred.iter().any(|is_preferred| *is_preferred));
            for (index, is_preferred) in preferred.into_iter().enumerate() {
                vm_counts[index] += usize::from(is_preferred);
            }
        }
        let (fewest, most) = (vm_counts.iter().min(), vm_counts.iter().max());
        let spread = most.zip(fewest).map_or(0, |(most, fewest)| most - fewest);
        prop_assert!(spread <= 2 + members / servers, "{:?}", vm_counts);
    }
}
