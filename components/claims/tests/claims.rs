//! Random histories of several entry VMs that claim the same keys over one table.

use std::time::Duration;

use claims::{
    BatchStep, ClaimBatcher, ClaimKey, ClaimRow, ClaimState, ClaimSubmission, ClaimWork,
    RequestFingerprint, RowStatus, WorkOutcome, classify_row, read_claim,
};
use model::{AttemptId, FastMap, VmId};
use proptest::prelude::*;
use store::{CommitOutcome, CommitRequest, MemoryTable, StoreError};
use testkit::property_test_config;
use tokio::time::Instant;

const VMS: usize = 3;
const KEYS: usize = 4;

#[derive(Debug, Clone)]
enum Step {
    /// A VM asks for a claim of a key.
    Ask(usize, usize),
    /// A VM runs its next transaction.
    Commit(usize),
    /// The same, but the answer is lost after it took effect.
    CommitLosingAnswer(usize),
    /// The same, but it takes effect only with the VM's next transaction.
    CommitDelayed(usize),
    /// Time passes.
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0..VMS, 0..KEYS).prop_map(|(vm, key)| Step::Ask(vm, key)),
        5 => (0..VMS).prop_map(Step::Commit),
        2 => (0..VMS).prop_map(Step::CommitLosingAnswer),
        2 => (0..VMS).prop_map(Step::CommitDelayed),
        3 => (1_u64..700).prop_map(Step::Wait),
    ]
}

/// One ask: its key and its row.
type Ask = (usize, ClaimRow);

struct World {
    table: MemoryTable,
    books: Vec<ClaimBatcher<Ask>>,
    delayed: Vec<Option<CommitRequest>>,
    now: Instant,
    /// How many attempts of each key believe that they hold its claim.
    held: FastMap<usize, usize>,
}

impl World {
    fn new() -> Self {
        let now = Instant::now();
        Self {
            table: MemoryTable::new(),
            books: (0..VMS).map(|_| ClaimBatcher::new(50.0, now)).collect(),
            delayed: vec![None; VMS],
            now,
            held: FastMap::default(),
        }
    }

    fn run(&mut self, step: &Step) {
        match *step {
            Step::Wait(milliseconds) => self.now += Duration::from_millis(milliseconds),
            Step::Ask(vm, key) => self.ask(vm, key),
            Step::Commit(vm) => self.commit(vm, MemoryTable::commit),
            Step::CommitLosingAnswer(vm) => self.commit(vm, |table, request| {
                table.commit(request);
                lost()
            }),
            Step::CommitDelayed(vm) => {
                let mut late = None;
                self.commit(vm, |_, request| {
                    late = Some(request.clone());
                    lost()
                });
                self.delayed[vm] = late;
            }
        }
    }

    fn ask(&mut self, vm: usize, key: usize) {
        let row = ClaimRow {
            attempt: AttemptId::random(),
            vm: vm_id(vm),
            fingerprint: RequestFingerprint::of(&[b"order"]),
            created_ms: 0,
            state: ClaimState::Running,
        };
        let submission = ClaimSubmission {
            account: "shop".parse().expect("the name is valid"),
            work: ClaimWork::Insert { row_key: row_key(key), row: row.clone() },
            limit: 100,
            deadline: self.now + Duration::from_secs(1),
            is_patient: false,
        };
        // A refusal is an allowed answer.
        let _ = self.books[vm].submit(submission, (key, row), self.now);
    }

    fn commit(
        &mut self,
        vm: usize,
        run: impl FnOnce(&MemoryTable, &CommitRequest) -> CommitOutcome,
    ) {
        if let Some(late) = self.delayed[vm].take() {
            self.table.commit(&late);
        }
        let BatchStep::Commit(request) = self.books[vm].next_batch(self.now) else {
            return;
        };
        let outcome = run(&self.table, &request);
        for ((key, row), end) in self.books[vm].settle(&outcome, self.now) {
            let is_held = match end {
                WorkOutcome::Done(_) => true,
                WorkOutcome::Conflict => self.is_own(key, &row),
                WorkOutcome::Unsure | WorkOutcome::NotSent => false,
            };
            if is_held {
                *self.held.entry(key).or_default() += 1;
            }
        }
    }

    fn is_own(&self, key: usize, row: &ClaimRow) -> bool {
        let Some(found) = self.table.read(&row_key(key)) else {
            return false;
        };
        let Some(claim) = read_claim(&found) else {
            return false;
        };
        let verdict = classify_row(found.version, claim, &row.attempt, &row.fingerprint);
        matches!(verdict, RowStatus::Own(_))
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

fn lost() -> CommitOutcome {
    CommitOutcome::Unknown(StoreError { call: "/table/commit".into(), reason: "lost".into() })
}

proptest! {
    #![proptest_config(property_test_config(500))]

    #[test]
    fn holds_at_most_once_claim_has_one_holder(steps in prop::collection::vec(step(), 1..150)) {
        let mut world = World::new();
        for step in &steps {
            world.run(step);
            for (key, holders) in &world.held {
                prop_assert!(*holders <= 1, "key {} has {} holders after {:?}", key, holders, step);
            }
        }
    }
}

#[test]
fn same_key_twice_at_one_vm_is_never_in_one_transaction() {
    let mut world = World::new();
    world.run(&Step::Ask(0, 0));
    world.run(&Step::Ask(0, 0));
    world.run(&Step::Commit(0));
    assert_eq!(world.held.get(&0), Some(&1));
    world.run(&Step::Commit(0));
    assert_eq!(world.held.get(&0), Some(&1));
}
