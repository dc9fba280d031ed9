//! Measures `ServerGroup::pick` with `finish_request`, for small and large groups.

use std::time::Duration;

use balance::{
    BalanceOptions, GroupSpec, ListedServer, LoadReport, PickOutcome, RequestSample, SampleOutcome,
    ServerEndpoint, ServerGroup,
};
use criterion::{Criterion, criterion_group, criterion_main};
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::time::Instant;

fn pick(criterion: &mut Criterion) {
    for servers in [15_u16, 500] {
        let now = Instant::now();
        let spec = GroupSpec {
            slots: 2,
            expected_time: Duration::from_millis(10),
            max_connections: 1_000,
            zone: "zone-a".parse().expect("a valid name"),
        };
        let mut group = ServerGroup::new(spec, BalanceOptions::default(), now);
        let listed: Vec<ListedServer> = (1..=servers)
            .map(|number| ListedServer {
                endpoint: ServerEndpoint {
                    id: format!("server-{number}").parse().expect("a valid name"),
                    address: ([127, 0, 0, 1], number).into(),
                    zone: "zone-a".parse().expect("a valid name"),
                },
                is_leaving: false,
                is_preferred: number % 3 == 0,
            })
            .collect();
        group.set_servers(&listed, now);
        let mut random = StdRng::seed_from_u64(1);
        let sample = RequestSample {
            outcome: SampleOutcome::Responded,
            elapsed: Duration::from_millis(8),
            report: Some(LoadReport { in_flight: 1.0 }),
        };
        criterion.bench_function(&format!("pick and finish, {servers} servers"), |bencher| {
            bencher.iter(|| {
                let picked = group.pick(Duration::from_secs(1), &[], now, &mut random);
                if let PickOutcome::Chosen { ticket, .. } = picked {
                    group.finish_request(ticket, &sample, now);
                }
            });
        });
    }
}

criterion_group!(benches, pick);
criterion_main!(benches);
