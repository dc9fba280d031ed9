//! Batches claim writes into few transactions, of which one is under way at a time.

use std::time::Duration;

use derive_more::{Display, Error};
use serde_json::json;
use tokio::time::Instant;

use limits::{FairQueue, TokenBucket};
use model::{AccountId, FastSet};
use store::{CommitOutcome, CommitRequest, RowCondition, RowWrite};

use crate::row::ClaimRow;

/// Writes in one transaction.
const MAX_BATCH_WRITES: usize = 64;

/// Transactions in a row without an answer from which the table counts as down.
const DOWN_AFTER_UNKNOWN: u32 = 2;

/// Time between two trials of a table that counts as down.
const TRIAL_INTERVAL: Duration = Duration::from_millis(500);

/// Transactions that may be sent at once after a pause.
const COMMIT_BURST: f64 = 8.0;

/// A write to one claim row.
#[derive(Debug, Clone, PartialEq)]
pub enum ClaimWork {
    /// Makes the claim, if there is none.
    Insert {
        /// Key of the row.
        row_key: Box<str>,
        /// The claim.
        row: ClaimRow,
    },
    /// Writes the outcome of a run over the claim that was made at `version`.
    Record {
        /// Key of the row.
        row_key: Box<str>,
        /// Version of the claim.
        version: u64,
        /// The claim with its outcome.
        row: ClaimRow,
    },
    /// Removes the claim that was made at `version`; it is certain that it did not run.
    Release {
        /// Key of the row.
        row_key: Box<str>,
        /// Version of the claim.
        version: u64,
    },
}

/// How a write ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WorkOutcome {
    /// It took effect; the row has this version.
    Done(u64),
    /// The row is not as required. After a lost answer it may be this very write's.
    Conflict,
    /// It had no certain end by its deadline. It may have taken effect.
    Unsure,
    /// It was never sent, since the table is down.
    NotSent,
}

/// Why a write was not taken in. Nothing was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum SubmitRefusal {
    /// The table is down.
    #[display("the platform's table is down")]
    TableDown,
    /// Too many claims of the account wait.
    #[display("too many claims of the account wait for the platform's table")]
    AccountQueueFull,
}

/// What to do next.
#[derive(Debug, PartialEq)]
pub enum BatchStep {
    /// Run this transaction and call `settle` with its outcome.
    Commit(CommitRequest),
    /// Ask again after this time.
    Wait(Duration),
    /// Ask again after the next `submit`.
    Idle,
}

/// A write that is handed in.
#[derive(Debug, Clone)]
pub struct ClaimSubmission {
    /// The account that it is for.
    pub account: AccountId,
    /// The write.
    pub work: ClaimWork,
    /// Writes of the account that may wait.
    pub limit: usize,
    /// When it is given up.
    pub deadline: Instant,
    /// Whether it waits while the table is down, instead of ending at once.
    pub is_patient: bool,
}

/// Claim writes that wait, and the transaction under way. `T` identifies a write to the caller.
#[derive(Debug)]
pub struct ClaimBatcher<T> {
    waiting: FairQueue<Waiting<T>>,
    /// Invariant: holds no two writes to the same row. Empty when no transaction is under way.
    under_way: Vec<(AccountId, Waiting<T>)>,
    bucket: TokenBucket,
    unknown_in_row: u32,
    tried_at: Option<Instant>,
}

#[derive(Debug)]
struct Waiting<T> {
    work: ClaimWork,
    ticket: T,
    deadline: Instant,
    is_patient: bool,
    /// Whether a transaction with this write was sent.
    was_sent: bool,
}

impl<T> ClaimBatcher<T> {
    /// An empty book that sends at most `commits_per_s` transactions a second.
    pub fn new(commits_per_s: f64, now: Instant) -> Self {
        Self {
            waiting: FairQueue::new(),
            under_way: Vec::new(),
            bucket: TokenBucket::new(commits_per_s, COMMIT_BURST, now),
            unknown_in_row: 0,
            tried_at: None,
        }
    }

    /// Changes the rate of transactions.
    pub fn set_rate(&mut self, commits_per_s: f64, now: Instant) {
        self.bucket.set_rate(commits_per_s, COMMIT_BURST, now);
    }

    /// Takes in a write.
    pub fn submit(
        &mut self,
        submission: ClaimSubmission,
        ticket: T,
        now: Instant,
    ) -> Result<(), SubmitRefusal> {
        let ClaimSubmission { account, work, limit, deadline, is_patient } = submission;
        if !is_patient && self.is_down() && !self.may_try(now) {
            return Err(SubmitRefusal::TableDown);
        }
        let waiting = Waiting { work, ticket, deadline, is_patient, was_sent: false };
        self.waiting.push(&account, waiting, limit).map_err(|_| SubmitRefusal::AccountQueueFull)
    }

    /// The next transaction, if one may be sent.
    pub fn next_batch(&mut self, now: Instant) -> BatchStep {
        if !self.under_way.is_empty() || self.waiting.is_empty() {
            return BatchStep::Idle;
        }
        if self.is_down() && !self.may_try(now) {
            return BatchStep::Wait(TRIAL_INTERVAL);
        }
        if let Err(wait) = self.bucket.try_take(now) {
            return BatchStep::Wait(wait);
        }
        self.tried_at = Some(now);
        self.fill_batch();
        BatchStep::Commit(self.commit_request())
    }

    /// Takes in the outcome of the transaction under way; returns the writes that ended.
    pub fn settle(&mut self, outcome: &CommitOutcome, now: Instant) -> Vec<(T, WorkOutcome)> {
        let batch = std::mem::take(&mut self.under_way);
        let mut ended = Vec::new();
        match outcome {
            CommitOutcome::Committed(version) => {
                self.unknown_in_row = 0;
                let done = WorkOutcome::Done(*version);
                ended.extend(batch.into_iter().map(|(_, waiting)| (waiting.ticket, done)));
            }
            CommitOutcome::Conflict(keys) => {
                self.unknown_in_row = 0;
                for (account, waiting) in batch {
                    if keys.iter().any(|key| **key == *waiting.work.row_key()) {
                        ended.push((waiting.ticket, WorkOutcome::Conflict));
                    } else {
                        self.wait_again(&account, waiting, &mut ended);
                    }
                }
            }
            CommitOutcome::Unknown(_) => {
                self.unknown_in_row += 1;
                for (account, mut waiting) in batch {
                    waiting.was_sent = true;
                    self.wait_again(&account, waiting, &mut ended);
                }
            }
        }
        ended.extend(self.expire(now));
        ended
    }

    /// Removes the writes whose deadline has passed.
    pub fn expire(&mut self, now: Instant) -> Vec<(T, WorkOutcome)> {
        let expired = self.waiting.remove_if(|waiting| waiting.deadline <= now);
        expired.into_iter().map(Waiting::give_up).collect()
    }

    /// Whether the table counts as down.
    pub fn is_down(&self) -> bool {
        self.unknown_in_row >= DOWN_AFTER_UNKNOWN
    }

    /// Whether nothing waits or is under way.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty() && self.under_way.is_empty()
    }

    fn may_try(&self, now: Instant) -> bool {
        self.under_way.is_empty() && self.tried_at.is_none_or(|at| now >= at + TRIAL_INTERVAL)
    }

    fn fill_batch(&mut self) {
        let mut rows: FastSet<Box<str>> = FastSet::default();
        let mut same_row = Vec::new();
        while self.under_way.len() < MAX_BATCH_WRITES {
            let Some((account, waiting)) = self.waiting.pop() else {
                break;
            };
            // Two claims of one row in one transaction would both find it absent.
            if rows.insert(waiting.work.row_key().into()) {
                self.under_way.push((account, waiting));
            } else {
                same_row.push((account, waiting));
            }
        }
        for (account, waiting) in same_row {
            // The item just came out of the queue, so its place is free.
            let _ = self.waiting.push(&account, waiting, usize::MAX);
        }
    }

    fn commit_request(&self) -> CommitRequest {
        let mut request = CommitRequest::default();
        for (_, waiting) in &self.under_way {
            let (condition, write) = waiting.work.transaction_part();
            request.conditions.push(condition);
            request.writes.push(write);
        }
        request
    }

    fn wait_again(
        &mut self,
        account: &AccountId,
        waiting: Waiting<T>,
        ended: &mut Vec<(T, WorkOutcome)>,
    ) {
        if self.is_down() && !waiting.is_patient {
            ended.push(waiting.give_up());
            return;
        }
        // The item was in the queue before, so its account's limit allowed it.
        let _ = self.waiting.push(account, waiting, usize::MAX);
    }
}

impl<T> Waiting<T> {
    fn give_up(self) -> (T, WorkOutcome) {
        let outcome = if self.was_sent { WorkOutcome::Unsure } else { WorkOutcome::NotSent };
        (self.ticket, outcome)
    }
}

impl ClaimWork {
    /// Key of the row that is written.
    pub fn row_key(&self) -> &str {
        match self {
            Self::Insert { row_key, .. }
            | Self::Record { row_key, .. }
            | Self::Release { row_key, .. } => row_key,
        }
    }

    fn transaction_part(&self) -> (RowCondition, RowWrite) {
        match self {
            Self::Insert { row_key, row } => {
                (RowCondition::absent(row_key), RowWrite::put(row_key, json!(row)))
            }
            Self::Record { row_key, version, row } => {
                (RowCondition::at_version(row_key, *version), RowWrite::put(row_key, json!(row)))
            }
            Self::Release { row_key, version } => {
                (RowCondition::at_version(row_key, *version), RowWrite::delete(row_key))
            }
        }
    }
}
