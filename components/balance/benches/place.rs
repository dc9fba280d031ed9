//! Time of one placement on a hosting platform, in its parts, at the sizes of today and of the plan.

use std::net::SocketAddr;
use std::time::Duration;

use balance::{
    ASKED, LoadFigures, PlacedServer, PlacementGroup, PlacementOptions, RequestShape, SampleOutcome,
};
use criterion::{Criterion, criterion_group, criterion_main};
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::time::Instant;

fn group_of(servers: u16, now: Instant) -> PlacementGroup {
    let mut group = PlacementGroup::new(PlacementOptions {
        vm: "vm-1".into(),
        zone: "zone-a".parse().expect("a valid name"),
        zone_cost: Duration::from_millis(1),
        zone_cost_per_kib: Duration::from_millis(2),
    });
    let listed: Vec<PlacedServer> = (1..=servers)
        .map(|number| PlacedServer {
            id: format!("server-{number}").parse().expect("a valid name"),
            born_ms: 1,
            address: SocketAddr::from(([127, 0, 0, 1], number)),
            zone: if number % 3 == 0 { "zone-a" } else { "zone-b" }.parse().expect("a valid name"),
            slots: 2,
            is_leaving: false,
            warmup_left: Duration::ZERO,
        })
        .collect();
    group.set_servers(&listed, now);
    group
}

fn place(criterion: &mut Criterion) {
    let shape = RequestShape { work: Duration::from_millis(220), bytes: 5_000 };
    let figures = LoadFigures { running: 1, waiting: 0, slots: 2, slowness: 1.0 };
    for servers in [15_u16, 170, 500] {
        let now = Instant::now();
        let mut group = group_of(servers, now);
        let mut random = StdRng::seed_from_u64(1);
        let asked = group.candidates(ASKED, shape, &[], now, &mut random);
        criterion.bench_function(&format!("candidates, {servers} servers"), |bencher| {
            bencher.iter(|| group.candidates(ASKED, shape, &[], now, &mut random));
        });
        criterion.bench_function(&format!("best of the asked, {servers} servers"), |bencher| {
            bencher.iter(|| group.best(&asked, shape, now));
        });
        criterion.bench_function(&format!("begin and finish, {servers} servers"), |bencher| {
            bencher.iter(|| {
                group.begin(asked[0]);
                group.finish(asked[0], SampleOutcome::Answered, Some(figures), now);
            });
        });
    }
}

criterion_group!(benches, place);
criterion_main!(benches);
