//! Measures the steps of one placement on a hosting platform, for small and large groups.

use std::net::SocketAddr;
use std::time::Duration;

use balance::{
    PROBES_PER_ROUND, PlacementGroup, PlacementOptions, PlacementServer, RequestShape,
    SampleOutcome, ServerLoad,
};
use criterion::{Criterion, criterion_group, criterion_main};
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::time::Instant;

fn group_of(servers: u16) -> PlacementGroup {
    let mut group = PlacementGroup::new(PlacementOptions {
        vm: "vm-1".into(),
        zone: "zone-a".parse().expect("a valid name"),
        zone_cost_per_kib: 0.01,
    });
    let listed: Vec<PlacementServer> = (1..=servers)
        .map(|number| PlacementServer {
            id: format!("server-{number}").parse().expect("a valid name"),
            started_at_ms: 1,
            address: SocketAddr::from(([127, 0, 0, 1], number)),
            zone: if number % 3 == 0 { "zone-a" } else { "zone-b" }.parse().expect("a valid name"),
            slots: 2,
            is_leaving: false,
            warm_up: None,
        })
        .collect();
    group.set_servers(&listed);
    group
}

fn place(criterion: &mut Criterion) {
    let shape = RequestShape {
        service_time: Duration::from_millis(220),
        transfer_bytes: 5_000,
        target: Duration::from_millis(600),
    };
    let load = ServerLoad { running: 1, waiting: 0, slots: 2, slowness: 1.0 };
    for servers in [15_u16, 170, 500] {
        let now = Instant::now();
        let mut group = group_of(servers);
        let mut random = StdRng::seed_from_u64(1);
        let candidates = group.candidates(PROBES_PER_ROUND, shape, &[], now, &mut random);
        criterion.bench_function(&format!("candidates, {servers} servers"), |bencher| {
            bencher.iter(|| group.candidates(PROBES_PER_ROUND, shape, &[], now, &mut random));
        });
        criterion.bench_function(&format!("best server, {servers} servers"), |bencher| {
            bencher.iter(|| group.best_server(&candidates, shape, now));
        });
        criterion.bench_function(&format!("start and finish, {servers} servers"), |bencher| {
            bencher.iter(|| {
                let request = group.start_request(candidates[0], shape, now);
                group.finish_request(request, SampleOutcome::Responded, Some(load), now);
            });
        });
    }
}

criterion_group!(benches, place);
criterion_main!(benches);
