//! Random histories of several holders over one table; the oracle is the table of beliefs.

use std::time::Duration;

use members::{LeaseTimes, MemberRow, SLOT_PREFIX, SlotLease, probe_parts};
use model::ProbeRate;
use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::StdRng;
use store::{CommitOutcome, CommitRequest, MemoryTable, ScanRequest, StoreError};
use testkit::history_config;
use tokio::time::Instant;

const VMS: usize = 4;
const SLOTS: u32 = 3;

#[derive(Debug, Clone)]
enum Step {
    /// Time passes for everybody.
    Wait(u64),
    /// A VM scans and sends what it plans.
    Act(usize),
    /// The same, but the commit's answer is lost.
    ActLosingAnswer(usize),
    /// The same, but the commit itself is lost.
    ActLosingCommit(usize),
    /// The same, but the commit takes effect only with the VM's next step.
    ActDelayed(usize),
    /// A VM ends and starts anew.
    Restart(usize),
    /// A VM gives its slot back.
    Release(usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (100_u64..20_000).prop_map(Step::Wait),
        8 => (0..VMS).prop_map(Step::Act),
        2 => (0..VMS).prop_map(Step::ActLosingAnswer),
        1 => (0..VMS).prop_map(Step::ActLosingCommit),
        2 => (0..VMS).prop_map(Step::ActDelayed),
        1 => (0..VMS).prop_map(Step::Restart),
        1 => (0..VMS).prop_map(Step::Release),
    ]
}

struct World {
    table: MemoryTable,
    leases: Vec<SlotLease>,
    delayed: Vec<Option<CommitRequest>>,
    now: Instant,
    random: StdRng,
}

impl World {
    fn new() -> Self {
        Self {
            table: MemoryTable::new(),
            leases: (0..VMS).map(new_lease).collect(),
            delayed: vec![None; VMS],
            now: Instant::now(),
            random: StdRng::seed_from_u64(7),
        }
    }

    fn scan(&mut self, vm: usize) {
        let request =
            ScanRequest { prefix: SLOT_PREFIX.into(), after: "".into(), limit: usize::MAX };
        let rows = self.table.scan(&request);
        self.leases[vm].observe(&rows, self.now);
    }

    fn plan(&mut self, vm: usize) -> Option<CommitRequest> {
        if let Some(late) = self.delayed[vm].take() {
            self.table.commit(&late);
        }
        self.scan(vm);
        self.leases[vm].plan(self.now, &mut self.random)
    }

    fn run(&mut self, step: &Step) {
        match *step {
            Step::Wait(milliseconds) => self.now += Duration::from_millis(milliseconds),
            Step::Act(vm) => {
                if let Some(request) = self.plan(vm) {
                    let outcome = self.table.commit(&request);
                    self.leases[vm].settle(&outcome);
                }
            }
            Step::ActLosingAnswer(vm) => {
                if let Some(request) = self.plan(vm) {
                    self.table.commit(&request);
                    self.leases[vm].settle(&lost());
                }
            }
            Step::ActLosingCommit(vm) => {
                if self.plan(vm).is_some() {
                    self.leases[vm].settle(&lost());
                }
            }
            Step::ActDelayed(vm) => {
                if let Some(request) = self.plan(vm) {
                    self.delayed[vm] = Some(request);
                    self.leases[vm].settle(&lost());
                }
            }
            Step::Restart(vm) => self.leases[vm] = new_lease(vm),
            Step::Release(vm) => {
                if let Some(request) = self.leases[vm].plan_release() {
                    self.table.commit(&request);
                }
            }
        }
    }

    fn holders(&self) -> Vec<u32> {
        self.leases.iter().filter_map(|lease| lease.held(self.now)).map(|held| held.slot).collect()
    }
}

fn new_lease(vm: usize) -> SlotLease {
    let name = format!("vm-{vm}").parse().expect("the name is valid");
    let zone = "zone-a".parse().expect("the name is valid");
    let row = MemberRow::new(name, ([127, 0, 0, 1], 1).into(), zone);
    SlotLease::new(row, SLOTS, LeaseTimes::default())
}

fn lost() -> CommitOutcome {
    CommitOutcome::Unknown(StoreError { call: "/table/commit".into(), reason: "lost".into() })
}

proptest! {
    #![proptest_config(history_config(400))]

    #[test]
    fn holds_budget_no_slot_has_two_holders(steps in prop::collection::vec(step(), 1..120)) {
        let mut world = World::new();
        for step in &steps {
            world.run(step);
            let mut holders = world.holders();
            let count = holders.len();
            holders.sort_unstable();
            holders.dedup();
            prop_assert_eq!(holders.len(), count, "two holders of a slot after {:?}", step);
        }
    }

    #[test]
    fn holds_budget_parts_never_sum_above_it(
        budget in 0.0_f64..200.0,
        slots in 1_u32..300,
        service in "[a-z]{1,12}/[a-z]{1,12}",
    ) {
        let rate: f64 = (0..slots)
            .map(|slot| probe_parts(&service, ProbeRate(budget), slot, slots))
            .map(|parts| f64::from(parts.count) / parts.interval.as_secs_f64())
            .sum();
        prop_assert!(rate <= budget, "{rate} probes a second of {budget}");
    }
}

#[test]
fn live_holders_keep_their_slots_through_an_outage() {
    let mut world = World::new();
    for vm in 0..3 {
        world.run(&Step::Act(vm));
    }
    assert_eq!(world.holders().len(), 3);
    // Nobody can renew for two minutes; then one VM looks before the others do.
    world.now += Duration::from_secs(120);
    assert_eq!(world.holders().len(), 0);
    world.run(&Step::Act(3));
    assert_eq!(world.holders().len(), 0, "took the slot of a live VM after an outage");
    for vm in 0..3 {
        world.run(&Step::Act(vm));
    }
    assert_eq!(world.holders().len(), 3);
}
