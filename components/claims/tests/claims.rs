//! Random histories of several entry VMs that claim the same keys in one table.

use std::time::Duration;

use claims::{
    BatchStep, ClaimBatcher, ClaimKey, ClaimRow, ClaimState, ClaimSubmission, ClaimWrite,
    ClaimWriteOutcome, ExistingClaim, RequestFingerprint, classify_claim, decode_claim,
};
use model::{AttemptId, FastMap, VmId};
use proptest::prelude::*;
use store::{CommitOutcome, CommitRequest, MemoryTable, StoreError};
use testkit::property_test_config;
use tokio::time::Instant;

const VM_COUNT: usize = 3;
const KEY_COUNT: usize = 4;

#[derive(Debug, Clone)]
enum Step {
    /// A VM submits a claim for a key.
    Submit(usize, usize),
    /// A VM runs its next transaction.
    Commit(usize),
    /// A VM runs its next transaction; the response is lost after the commit.
    CommitResponseLost(usize),
    /// A VM runs its next transaction; the response is lost, and the commit is delayed until the
    /// VM's next commit step.
    CommitDelayed(usize),
    /// Advances the clock by a number of milliseconds.
    Wait(u64),
}

fn random_step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0..VM_COUNT, 0..KEY_COUNT).prop_map(|(vm, key)| Step::Submit(vm, key)),
        5 => (0..VM_COUNT).prop_map(Step::Commit),
        2 => (0..VM_COUNT).prop_map(Step::CommitResponseLost),
        2 => (0..VM_COUNT).prop_map(Step::CommitDelayed),
        3 => (1_u64..700).prop_map(Step::Wait),
    ]
}

/// Key number and row of a submitted claim.
type PendingClaim = (usize, ClaimRow);

struct Simulation {
    table: MemoryTable,
    batchers: Vec<ClaimBatcher<PendingClaim>>,
    delayed: Vec<Option<CommitRequest>>,
    now: Instant,
    /// Number of attempts per key that act as holder of its claim.
    holder_counts: FastMap<usize, usize>,
}

impl Simulation {
    fn new() -> Self {
        let now = Instant::now();
        Self {
            table: MemoryTable::new(),
            batchers: (0..VM_COUNT).map(|_| ClaimBatcher::new(50.0, now)).collect(),
            delayed: vec![None; VM_COUNT],
            now,
            holder_counts: FastMap::default(),
        }
    }

    fn run(&mut self, step: &Step) {
        match *step {
            Step::Wait(milliseconds) => self.now += Duration::from_millis(milliseconds),
            Step::Submit(vm, key) => self.submit(vm, key),
            Step::Commit(vm) => self.commit(vm, MemoryTable::commit),
            Step::CommitResponseLost(vm) => self.commit(vm, |table, request| {
                table.commit(request);
                unknown_outcome()
            }),
            Step::CommitDelayed(vm) => {
                let mut delayed = None;
                self.commit(vm, |_, request| {
                    delayed = Some(request.clone());
                    unknown_outcome()
                });
                self.delayed[vm] = delayed;
            }
        }
    }

    fn submit(&mut self, vm: usize, key: usize) {
        let row = ClaimRow {
            attempt: AttemptId::random(),
            vm: vm_id(vm),
            fingerprint: RequestFingerprint::of(&[b"order"]),
            created_ms: 0,
            state: ClaimState::Running,
        };
        let submission = ClaimSubmission {
            account: "shop".parse().expect("the name is valid"),
            write: ClaimWrite::Insert { row_key: row_key(key), row: row.clone() },
            max_queued: 100,
            deadline: self.now + Duration::from_secs(1),
            is_queued_while_down: false,
        };
        // The batcher may refuse the write, for example while the table is down.
        let _ = self.batchers[vm].submit(submission, (key, row), self.now);
    }

    fn commit(
        &mut self,
        vm: usize,
        run: impl FnOnce(&MemoryTable, &CommitRequest) -> CommitOutcome,
    ) {
        if let Some(delayed) = self.delayed[vm].take() {
            self.table.commit(&delayed);
        }
        let BatchStep::Commit(request) = self.batchers[vm].next_batch(self.now) else {
            return;
        };
        let outcome = run(&self.table, &request);
        for ((key, row), outcome) in self.batchers[vm].complete_batch(&outcome, self.now) {
            let is_holder = match outcome {
                ClaimWriteOutcome::Committed(_) => true,
                ClaimWriteOutcome::Conflict => self.is_same_attempt(key, &row),
                ClaimWriteOutcome::Unknown | ClaimWriteOutcome::NotApplied => false,
            };
            if is_holder {
                *self.holder_counts.entry(key).or_default() += 1;
            }
        }
    }

    fn is_same_attempt(&self, key: usize, row: &ClaimRow) -> bool {
        let Some(found) = self.table.read(&row_key(key)) else {
            return false;
        };
        let Some(claim) = decode_claim(&found) else {
            return false;
        };
        let existing = classify_claim(found.version, claim, &row.attempt, &row.fingerprint);
        matches!(existing, ExistingClaim::SameAttempt(_))
    }
}

fn vm_id(vm: usize) -> VmId {
    format!("vm-{vm}").parse().expect("the name is valid")
}

fn row_key(key: usize) -> Box<str> {
    ClaimKey {
        account: "shop".parse().expect("the name is valid"),
        service: "orders".parse().expect("the name is valid"),
        key: format!("key-{key}").into(),
    }
    .row_key()
}

fn unknown_outcome() -> CommitOutcome {
    CommitOutcome::Unknown(StoreError {
        path: "/table/commit".into(),
        reason: "response lost".into(),
    })
}

proptest! {
    #![proptest_config(property_test_config(500))]

    #[test]
    fn holds_at_most_once_claim_has_one_holder(
        steps in prop::collection::vec(random_step(), 1..150),
    ) {
        let mut simulation = Simulation::new();
        for step in &steps {
            simulation.run(step);
            for (key, holders) in &simulation.holder_counts {
                prop_assert!(*holders <= 1, "key {} has {} holders after {:?}", key, holders, step);
            }
        }
    }
}

#[test]
fn duplicate_key_on_one_vm_is_split_across_transactions() {
    let mut simulation = Simulation::new();
    simulation.run(&Step::Submit(0, 0));
    simulation.run(&Step::Submit(0, 0));
    simulation.run(&Step::Commit(0));
    assert_eq!(simulation.holder_counts.get(&0), Some(&1));
    simulation.run(&Step::Commit(0));
    assert_eq!(simulation.holder_counts.get(&0), Some(&1));
}
