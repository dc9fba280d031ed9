//! Random histories of several entry VMs that lease slots in one table, checked by the slots that
//! each VM considers its own.

use std::time::Duration;

use members::{LeaseTiming, MemberRow, SLOT_PREFIX, SlotLease, probe_share};
use model::ProbeRate;
use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::StdRng;
use store::{CommitOutcome, CommitRequest, MemoryTable, ScanRequest, StoreError};
use testkit::property_test_config;
use tokio::time::Instant;

const VM_COUNT: usize = 4;
const SLOT_COUNT: u32 = 3;

#[derive(Debug, Clone)]
enum Step {
    /// The clock of all VMs advances by milliseconds.
    AdvanceClock(u64),
    /// A VM scans the table and commits the transaction that it plans.
    Commit(usize),
    /// Like `Commit`, but the response is lost.
    CommitResponseLost(usize),
    /// Like `Commit`, but the request is lost.
    CommitLost(usize),
    /// Like `Commit`, but it takes effect only with the VM's next step that commits.
    CommitDelayed(usize),
    /// A VM's process ends and a new one starts.
    Restart(usize),
    /// A VM releases its slot.
    Release(usize),
}

fn any_step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (100_u64..20_000).prop_map(Step::AdvanceClock),
        8 => (0..VM_COUNT).prop_map(Step::Commit),
        2 => (0..VM_COUNT).prop_map(Step::CommitResponseLost),
        1 => (0..VM_COUNT).prop_map(Step::CommitLost),
        2 => (0..VM_COUNT).prop_map(Step::CommitDelayed),
        1 => (0..VM_COUNT).prop_map(Step::Restart),
        1 => (0..VM_COUNT).prop_map(Step::Release),
    ]
}

struct LeaseFleet {
    table: MemoryTable,
    leases: Vec<SlotLease>,
    delayed_commits: Vec<Option<CommitRequest>>,
    now: Instant,
    random: StdRng,
}

impl LeaseFleet {
    fn new() -> Self {
        Self {
            table: MemoryTable::new(),
            leases: (0..VM_COUNT).map(unheld_lease).collect(),
            delayed_commits: vec![None; VM_COUNT],
            now: Instant::now(),
            random: StdRng::seed_from_u64(7),
        }
    }

    fn scan(&mut self, vm: usize) {
        let request =
            ScanRequest { prefix: SLOT_PREFIX.into(), after: "".into(), limit: usize::MAX };
        let rows = self.table.scan(&request);
        self.leases[vm].apply_scan(&rows, self.now);
    }

    /// Executes the VM's delayed commit, if any, scans the table and returns the transaction that
    /// the VM plans.
    fn scan_and_plan(&mut self, vm: usize) -> Option<CommitRequest> {
        if let Some(request) = self.delayed_commits[vm].take() {
            self.table.commit(&request);
        }
        self.scan(vm);
        self.leases[vm].plan_commit(self.now, &mut self.random)
    }

    fn run_step(&mut self, step: &Step) {
        match *step {
            Step::AdvanceClock(milliseconds) => self.now += Duration::from_millis(milliseconds),
            Step::Commit(vm) => {
                if let Some(request) = self.scan_and_plan(vm) {
                    let outcome = self.table.commit(&request);
                    self.leases[vm].apply_outcome(&outcome);
                }
            }
            Step::CommitResponseLost(vm) => {
                if let Some(request) = self.scan_and_plan(vm) {
                    self.table.commit(&request);
                    self.leases[vm].apply_outcome(&unknown_outcome());
                }
            }
            Step::CommitLost(vm) => {
                if self.scan_and_plan(vm).is_some() {
                    self.leases[vm].apply_outcome(&unknown_outcome());
                }
            }
            Step::CommitDelayed(vm) => {
                if let Some(request) = self.scan_and_plan(vm) {
                    self.delayed_commits[vm] = Some(request);
                    self.leases[vm].apply_outcome(&unknown_outcome());
                }
            }
            Step::Restart(vm) => self.leases[vm] = unheld_lease(vm),
            Step::Release(vm) => {
                if let Some(request) = self.leases[vm].plan_release() {
                    self.table.commit(&request);
                }
            }
        }
    }

    fn held_slots(&self) -> Vec<u32> {
        self.leases
            .iter()
            .filter_map(|lease| lease.held_slot(self.now))
            .map(|held| held.slot)
            .collect()
    }
}

fn unheld_lease(vm: usize) -> SlotLease {
    let name = format!("vm-{vm}").parse().expect("the name is valid");
    let zone = "zone-a".parse().expect("the name is valid");
    let row = MemberRow::new(name, ([127, 0, 0, 1], 1).into(), zone);
    SlotLease::new(row, SLOT_COUNT, LeaseTiming::default())
}

fn unknown_outcome() -> CommitOutcome {
    CommitOutcome::Unknown(StoreError {
        path: "/table/commit".into(),
        reason: "response lost".into(),
    })
}

proptest! {
    #![proptest_config(property_test_config(400))]

    #[test]
    fn holds_budget_no_slot_has_two_holders(steps in prop::collection::vec(any_step(), 1..120)) {
        let mut fleet = LeaseFleet::new();
        for step in &steps {
            fleet.run_step(step);
            let mut held_slots = fleet.held_slots();
            let count = held_slots.len();
            held_slots.sort_unstable();
            held_slots.dedup();
            prop_assert_eq!(held_slots.len(), count, "two holders of a slot after {:?}", step);
        }
    }

    #[test]
    fn holds_budget_sum_of_probe_rates_stays_within_budget(
        budget in 0.0_f64..200.0,
        slots in 1_u32..300,
        service in "[a-z]{1,12}/[a-z]{1,12}",
    ) {
        let total_rate: f64 = (0..slots)
            .map(|slot| probe_share(&service, ProbeRate(budget), slot, slots))
            .map(|share| f64::from(share.part_count) / share.interval.as_secs_f64())
            .sum();
        prop_assert!(
            total_rate <= budget,
            "{total_rate} probes per second exceed the budget of {budget}"
        );
    }
}

#[test]
fn live_holders_keep_their_slots_after_a_table_outage() {
    let mut fleet = LeaseFleet::new();
    for vm in 0..3 {
        fleet.run_step(&Step::Commit(vm));
    }
    assert_eq!(fleet.held_slots().len(), 3);
    // No VM can renew for two minutes; then a VM without a slot scans before the holders do.
    fleet.now += Duration::from_secs(120);
    assert_eq!(fleet.held_slots().len(), 0);
    fleet.run_step(&Step::Commit(3));
    assert_eq!(
        fleet.held_slots().len(),
        0,
        "a live VM lost its slot to another VM after an outage"
    );
    for vm in 0..3 {
        fleet.run_step(&Step::Commit(vm));
    }
    assert_eq!(fleet.held_slots().len(), 3);
}
