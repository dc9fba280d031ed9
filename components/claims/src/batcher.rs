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
const UNKNOWN_COMMITS_UNTIL_DOWN: u32 = 2;

/// Time between two trials of a table that counts as down.
const DOWN_PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// Transactions that may be sent at once after a pause.
const COMMIT_BURST: f64 = 8.0;

/// A write to one claim row.
#[derive(Debug, Clone, PartialEq)]
pub enum ClaimWrite {
    /// Makes the claim, if there is none.
    Insert {
        /// Key of the row.
        row_key: Box<str>,
        /// The claim.
        row: ClaimRow,
    },
    /// Writes the outcome of a run over the claim that was made at `version`.
    RecordOutcome {
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
pub enum ClaimWriteOutcome {
    /// It took effect; the row has this version.
    Committed(u64),
    /// The row is not as required. After a lost answer it may be this very write's.
    Conflict,
    /// It had no certain end by its deadline. It may have taken effect.
    Unknown,
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
    /// Run this transaction and call `complete_batch` with its outcome.
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
    pub write: ClaimWrite,
    /// Writes of the account that may wait.
    pub max_queued: usize,
    /// When it is given up.
    pub deadline: Instant,
    /// Whether it waits while the table is down, instead of ending at once.
    pub is_queued_while_down: bool,
}

/// Claim writes that wait, and the transaction under way. `T` identifies a write to the caller.
#[derive(Debug)]
pub struct ClaimBatcher<T> {
    queue: FairQueue<QueuedWrite<T>>,
    /// Invariant: holds no two writes to the same row. Empty when no transaction is under way.
    in_flight: Vec<(AccountId, QueuedWrite<T>)>,
    bucket: TokenBucket,
    consecutive_unknown: u32,
    last_commit_at: Option<Instant>,
}

#[derive(Debug)]
struct QueuedWrite<T> {
    write: ClaimWrite,
    ticket: T,
    deadline: Instant,
    is_queued_while_down: bool,
    /// Whether a transaction with this write was sent.
    was_sent: bool,
}

impl<T> ClaimBatcher<T> {
    /// An empty book that sends at most `commits_per_s` transactions a second.
    pub fn new(commits_per_s: f64, now: Instant) -> Self {
        Self {
            queue: FairQueue::new(),
            in_flight: Vec::new(),
            bucket: TokenBucket::new(commits_per_s, COMMIT_BURST, now),
            consecutive_unknown: 0,
            last_commit_at: None,
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
        let ClaimSubmission { account, write, max_queued, deadline, is_queued_while_down } =
            submission;
        if !is_queued_while_down && self.is_down() && !self.may_probe(now) {
            return Err(SubmitRefusal::TableDown);
        }
        let queued = QueuedWrite { write, ticket, deadline, is_queued_while_down, was_sent: false };
        self.queue.push(&account, queued, max_queued).map_err(|_| SubmitRefusal::AccountQueueFull)
    }

    /// The next transaction, if one may be sent.
    pub fn next_batch(&mut self, now: Instant) -> BatchStep {
        if !self.in_flight.is_empty() || self.queue.is_empty() {
            return BatchStep::Idle;
        }
        if self.is_down() && !self.may_probe(now) {
            return BatchStep::Wait(DOWN_PROBE_INTERVAL);
        }
        if let Err(wait) = self.bucket.take(now) {
            return BatchStep::Wait(wait);
        }
        self.last_commit_at = Some(now);
        self.fill_batch();
        BatchStep::Commit(self.commit_request())
    }

    /// Takes in the outcome of the transaction under way; returns the writes that ended.
    pub fn complete_batch(
        &mut self,
        outcome: &CommitOutcome,
        now: Instant,
    ) -> Vec<(T, ClaimWriteOutcome)> {
        let batch = std::mem::take(&mut self.in_flight);
        let mut completed = Vec::new();
        match outcome {
            CommitOutcome::Done(version) => {
                self.consecutive_unknown = 0;
                let committed = ClaimWriteOutcome::Committed(*version);
                completed.extend(batch.into_iter().map(|(_, queued)| (queued.ticket, committed)));
            }
            CommitOutcome::Conflict(keys) => {
                self.consecutive_unknown = 0;
                for (account, queued) in batch {
                    if keys.iter().any(|key| **key == *queued.write.row_key()) {
                        completed.push((queued.ticket, ClaimWriteOutcome::Conflict));
                    } else {
                        self.requeue(&account, queued, &mut completed);
                    }
                }
            }
            CommitOutcome::Unknown(_) => {
                self.consecutive_unknown += 1;
                for (account, mut queued) in batch {
                    queued.was_sent = true;
                    self.requeue(&account, queued, &mut completed);
                }
            }
        }
        completed.extend(self.remove_expired(now));
        completed
    }

    /// Removes the writes whose deadline has passed.
    pub fn remove_expired(&mut self, now: Instant) -> Vec<(T, ClaimWriteOutcome)> {
        let expired = self.queue.remove_if(|queued| queued.deadline <= now);
        expired.into_iter().map(QueuedWrite::abandon).collect()
    }

    /// Whether the table counts as down.
    pub fn is_down(&self) -> bool {
        self.consecutive_unknown >= UNKNOWN_COMMITS_UNTIL_DOWN
    }

    /// Whether nothing waits or is under way.
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty() && self.in_flight.is_empty()
    }

    fn may_probe(&self, now: Instant) -> bool {
        self.in_flight.is_empty()
            && self.last_commit_at.is_none_or(|at| now >= at + DOWN_PROBE_INTERVAL)
    }

    fn fill_batch(&mut self) {
        let mut row_keys: FastSet<Box<str>> = FastSet::default();
        let mut duplicate_rows = Vec::new();
        while self.in_flight.len() < MAX_BATCH_WRITES {
            let Some((account, queued)) = self.queue.pop() else {
                break;
            };
            // Two claims of one row in one transaction would both find it absent.
            if row_keys.insert(queued.write.row_key().into()) {
                self.in_flight.push((account, queued));
            } else {
                duplicate_rows.push((account, queued));
            }
        }
        for (account, queued) in duplicate_rows {
            // The item just came out of the queue, so its place is free.
            let _ = self.queue.push(&account, queued, usize::MAX);
        }
    }

    fn commit_request(&self) -> CommitRequest {
        let mut request = CommitRequest::default();
        for (_, queued) in &self.in_flight {
            let (condition, row_write) = queued.write.condition_and_write();
            request.conditions.push(condition);
            request.writes.push(row_write);
        }
        request
    }

    fn requeue(
        &mut self,
        account: &AccountId,
        queued: QueuedWrite<T>,
        completed: &mut Vec<(T, ClaimWriteOutcome)>,
    ) {
        if self.is_down() && !queued.is_queued_while_down {
            completed.push(queued.abandon());
            return;
        }
        // The item was in the queue before, so its account's limit allowed it.
        let _ = self.queue.push(account, queued, usize::MAX);
    }
}

impl<T> QueuedWrite<T> {
    fn abandon(self) -> (T, ClaimWriteOutcome) {
        let outcome =
            if self.was_sent { ClaimWriteOutcome::Unknown } else { ClaimWriteOutcome::NotSent };
        (self.ticket, outcome)
    }
}

impl ClaimWrite {
    /// Key of the row that is written.
    pub fn row_key(&self) -> &str {
        match self {
            Self::Insert { row_key, .. }
            | Self::RecordOutcome { row_key, .. }
            | Self::Release { row_key, .. } => row_key,
        }
    }

    fn condition_and_write(&self) -> (RowCondition, RowWrite) {
        match self {
            Self::Insert { row_key, row } => {
                (RowCondition::absent(row_key), RowWrite::put(row_key, json!(row)))
            }
            Self::RecordOutcome { row_key, version, row } => {
                (RowCondition::at(row_key, *version), RowWrite::put(row_key, json!(row)))
            }
            Self::Release { row_key, version } => {
                (RowCondition::at(row_key, *version), RowWrite::delete(row_key))
            }
        }
    }
}
