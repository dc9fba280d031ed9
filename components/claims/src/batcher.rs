//! Batches claim writes into table transactions, with at most one transaction in flight.

use std::time::Duration;

use derive_more::{Display, Error};
use serde_json::json;
use tokio::time::Instant;

use limits::{FairQueue, TokenBucket};
use model::{AccountId, FastSet};
use store::{CommitOutcome, CommitRequest, RowCondition, RowWrite};

use crate::row::ClaimRow;

/// Maximum number of writes per transaction.
const MAX_BATCH_WRITES: usize = 64;

/// Consecutive transactions with an unknown outcome after which the table is considered down.
const UNKNOWN_COMMITS_UNTIL_DOWN: u32 = 2;

/// Interval between transactions that probe a table that is considered down.
const DOWN_PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// Transactions that may be sent in a burst after an idle period (capacity of the token bucket).
const COMMIT_BURST: f64 = 8.0;

/// A write to one claim row.
#[derive(Debug, Clone, PartialEq)]
pub enum ClaimWrite {
    /// Inserts the claim if the row does not exist.
    Insert {
        /// Key of the row.
        row_key: Box<str>,
        /// The claim.
        row: ClaimRow,
    },
    /// Stores the outcome of the execution in the claim that was inserted at `version`.
    RecordOutcome {
        /// Key of the row.
        row_key: Box<str>,
        /// Version of the claim.
        version: u64,
        /// The claim with the outcome.
        row: ClaimRow,
    },
    /// Deletes the claim that was inserted at `version`, for a request that certainly did not run.
    Release {
        /// Key of the row.
        row_key: Box<str>,
        /// Version of the claim.
        version: u64,
    },
}

/// Outcome of a claim write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimWriteOutcome {
    /// The write was committed with this row version.
    Committed(u64),
    /// The row does not meet the condition of the write. After a lost response, this may be due to
    /// an earlier commit of the same write.
    Conflict,
    /// The write was sent, but it is not known whether it took effect.
    Unknown,
    /// The write expired in the queue and certainly did not take effect.
    NotApplied,
}

/// Reason why a write was not queued. Nothing was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum SubmitRefusal {
    /// The table is considered down.
    #[display("the platform's table is unavailable")]
    TableDown,
    /// The account has reached its limit of queued claim writes.
    #[display("the account has too many queued claims")]
    AccountQueueFull,
}

/// Next action for the caller of [`ClaimBatcher::next_batch`].
#[derive(Debug, PartialEq)]
pub enum BatchStep {
    /// Run this transaction and pass its outcome to `complete_batch`.
    Commit(CommitRequest),
    /// Call `next_batch` again after this time.
    Wait(Duration),
    /// Nothing can be sent until the next `submit` or `complete_batch`.
    Idle,
}

/// A claim write to be queued.
#[derive(Debug, Clone)]
pub struct ClaimSubmission {
    /// Client account that the write is made for.
    pub account: AccountId,
    /// The write.
    pub write: ClaimWrite,
    /// Maximum number of queued writes of the account.
    pub max_queued: usize,
    /// Time at which the write expires if it is still queued.
    pub deadline: Instant,
    /// Whether the write stays queued while the table is down, instead of failing at once.
    pub is_queued_while_down: bool,
}

/// Queued claim writes and the transaction in flight. `T` identifies a write to the caller.
#[derive(Debug)]
pub struct ClaimBatcher<T> {
    queue: FairQueue<QueuedWrite<T>>,
    /// Writes of the transaction in flight; empty if there is none.
    /// Invariant: no two writes are to the same row.
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
    /// Whether a transaction with this write ended with an unknown outcome.
    has_unknown_commit: bool,
}

impl<T> ClaimBatcher<T> {
    /// Creates an empty batcher that sends at most `commits_per_s` transactions per second,
    /// averaged over bursts.
    pub fn new(commits_per_s: f64, now: Instant) -> Self {
        Self {
            queue: FairQueue::new(),
            in_flight: Vec::new(),
            bucket: TokenBucket::new(commits_per_s, COMMIT_BURST, now),
            consecutive_unknown: 0,
            last_commit_at: None,
        }
    }

    /// Sets the maximum average rate of transactions.
    pub fn set_rate(&mut self, commits_per_s: f64, now: Instant) {
        self.bucket.set_rate(commits_per_s, COMMIT_BURST, now);
    }

    /// Queues a write.
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
        let queued = QueuedWrite {
            write,
            ticket,
            deadline,
            is_queued_while_down,
            has_unknown_commit: false,
        };
        self.queue.push(&account, queued, max_queued).map_err(|_| SubmitRefusal::AccountQueueFull)
    }

    /// Returns the next transaction, or when to call again if none may be sent now.
    pub fn next_batch(&mut self, now: Instant) -> BatchStep {
        if !self.in_flight.is_empty() || self.queue.is_empty() {
            return BatchStep::Idle;
        }
        if self.is_down() && !self.may_probe(now) {
            return BatchStep::Wait(DOWN_PROBE_INTERVAL);
        }
        if let Err(wait) = self.bucket.try_take(now) {
            return BatchStep::Wait(wait);
        }
        self.last_commit_at = Some(now);
        self.fill_batch();
        BatchStep::Commit(self.commit_request())
    }

    /// Applies the outcome of the transaction in flight and returns the completed writes.
    pub fn complete_batch(
        &mut self,
        outcome: &CommitOutcome,
        now: Instant,
    ) -> Vec<(T, ClaimWriteOutcome)> {
        let batch = std::mem::take(&mut self.in_flight);
        let mut completed = Vec::new();
        match outcome {
            CommitOutcome::Committed(version) => {
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
                    queued.has_unknown_commit = true;
                    self.requeue(&account, queued, &mut completed);
                }
            }
        }
        completed.extend(self.remove_expired(now));
        completed
    }

    /// Removes and returns the queued writes whose deadline has passed.
    pub fn remove_expired(&mut self, now: Instant) -> Vec<(T, ClaimWriteOutcome)> {
        let expired = self.queue.remove_if(|queued| queued.deadline <= now);
        expired.into_iter().map(QueuedWrite::abandon).collect()
    }

    /// Whether the table is considered down.
    pub fn is_down(&self) -> bool {
        self.consecutive_unknown >= UNKNOWN_COMMITS_UNTIL_DOWN
    }

    /// Whether no write is queued or in flight.
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
            // Two inserts of the same row in one transaction would both find it absent.
            if row_keys.insert(queued.write.row_key().into()) {
                self.in_flight.push((account, queued));
            } else {
                duplicate_rows.push((account, queued));
            }
        }
        for (account, queued) in duplicate_rows {
            // The write was just removed from the queue, so the account's limit is not exceeded.
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
        // The write was within the account's limit when it was first queued.
        let _ = self.queue.push(account, queued, usize::MAX);
    }
}

impl<T> QueuedWrite<T> {
    fn abandon(self) -> (T, ClaimWriteOutcome) {
        let outcome = if self.has_unknown_commit {
            ClaimWriteOutcome::Unknown
        } else {
            ClaimWriteOutcome::NotApplied
        };
        (self.ticket, outcome)
    }
}

impl ClaimWrite {
    /// Returns the key of the row that is written.
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
                (RowCondition::at_version(row_key, *version), RowWrite::put(row_key, json!(row)))
            }
            Self::Release { row_key, version } => {
                (RowCondition::at_version(row_key, *version), RowWrite::delete(row_key))
            }
        }
    }
}
