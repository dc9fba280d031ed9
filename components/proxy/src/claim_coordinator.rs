//! Acquires, records and releases claims for requests with an `Idempotency-Key`, and runs the
//! transactions that write them. A claim is a row of the platform's transactional table, which all
//! entry VMs share.

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use tokio::sync::{Notify, oneshot};
use tokio::time::{Instant, Interval, interval, sleep, timeout};

use board::Blackboard;
use claims::{
    BatchStep, ClaimBatcher, ClaimKey, ClaimRow, ClaimState, ClaimSubmission, ClaimWrite,
    ClaimWriteOutcome, ExistingClaim, RecordedResponse, RequestFingerprint, SubmitRefusal,
    classify_claim, decode_claim,
};
use model::{AccountId, AttemptId, VmId};
use observe::DaemonMetrics;
use store::{CommitRequest, TableClient};

use crate::clock::wall_clock_ms;
use crate::refusal::RequestRefusal;

/// Limit on claim transactions per second across the fleet: less than half of the several hundred
/// writes per second that the table handles.
const FLEET_COMMITS_PER_S: f64 = 120.0;

/// Time limit for one claim write or read, after which the request treats the table as unavailable.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Longest time that the write of an outcome or a release may stay queued.
const RECORD_TIMEOUT: Duration = Duration::from_secs(60);

/// Limit on queued outcomes and releases of one account. Each follows an admitted request, so only
/// a long outage of the table fills the queue.
const MAX_QUEUED_WRITES: usize = 10_000;

/// Interval between checks for queued writes whose deadline has passed.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(50);

/// First delay between reads of another attempt's claim. The delay doubles after each read, up to
/// `MAX_POLL_DELAY`.
const INITIAL_POLL_DELAY: Duration = Duration::from_millis(50);
const MAX_POLL_DELAY: Duration = Duration::from_millis(800);

type OutcomeSender = Option<oneshot::Sender<ClaimWriteOutcome>>;

/// Acquires claims for the requests of one entry VM.
pub struct ClaimCoordinator {
    vm: VmId,
    table: TableClient,
    board: Arc<Blackboard>,
    metrics: DaemonMetrics,
    batcher: Mutex<ClaimBatcher<OutcomeSender>>,
    write_queued: Notify,
}

/// The result of acquiring a claim.
pub(crate) enum ClaimOutcome {
    /// The request holds the claim and may run.
    Held(HeldClaim),
    /// An earlier request ran; its recorded response is returned.
    Replay(RecordedResponse),
    /// The table is unavailable, and the route's policy allows the request to run without a claim.
    Unclaimed,
    /// The request must not run.
    Refused(RequestRefusal),
}

/// A claim that this entry VM holds for one request.
pub(crate) struct HeldClaim {
    account: AccountId,
    row_key: Box<str>,
    row: ClaimRow,
    version: u64,
}

/// What is needed to acquire a claim for a request.
pub(crate) struct ClaimRequest {
    pub(crate) key: ClaimKey,
    pub(crate) fingerprint: RequestFingerprint,
    pub(crate) deadline: Instant,
    /// Limit on queued claims of the account.
    pub(crate) max_waiting_claims: usize,
    /// Whether the request may run without a claim while the table is unavailable.
    pub(crate) may_run_unclaimed: bool,
}

enum PollOutcome {
    /// The claim no longer exists; the request may try to insert its own.
    Gone,
    /// The claim belongs to this attempt; the row has this version.
    SameAttempt(u64),
    /// The final outcome for the request.
    Final(ClaimOutcome),
}

impl ClaimCoordinator {
    /// Creates the coordinator of an entry VM.
    pub fn new(
        vm: VmId,
        table: TableClient,
        board: Arc<Blackboard>,
        metrics: DaemonMetrics,
    ) -> Self {
        let batcher = ClaimBatcher::new(FLEET_COMMITS_PER_S, Instant::now());
        Self {
            vm,
            table,
            board,
            metrics,
            batcher: Mutex::new(batcher),
            write_queued: Notify::new(),
        }
    }

    /// Whether no write is queued or in progress.
    pub fn is_empty(&self) -> bool {
        self.batcher().is_empty()
    }

    /// Acquires the claim of a request. Waits for another attempt with the same key until the
    /// request's deadline.
    pub(crate) async fn claim(self: &Arc<Self>, request: &ClaimRequest) -> ClaimOutcome {
        let row_key = request.key.row_key();
        let row = ClaimRow {
            attempt: AttemptId::random(),
            vm: self.vm.clone(),
            fingerprint: request.fingerprint.clone(),
            created_ms: wall_clock_ms(),
            state: ClaimState::Running,
        };
        let mut poll_delay = INITIAL_POLL_DELAY;
        loop {
            let outcome = match self.insert_claim(request, &row_key, &row).await {
                Ok(outcome) => outcome,
                Err(SubmitRefusal::TableDown) => return outcome_without_table(request),
                Err(SubmitRefusal::AccountQueueFull) => {
                    return ClaimOutcome::Refused(RequestRefusal::ClaimQueueFull);
                }
            };
            match outcome {
                ClaimWriteOutcome::Committed(version) => {
                    return self.accept_claim(request, row_key, row, version);
                }
                ClaimWriteOutcome::NotApplied => return outcome_without_table(request),
                ClaimWriteOutcome::Unknown => {
                    self.release_if_inserted(request, row_key, row);
                    // An earlier run can't be ruled out, so the request must not run without a
                    // claim.
                    return ClaimOutcome::Refused(RequestRefusal::TableUnavailable);
                }
                ClaimWriteOutcome::Conflict => {}
            }
            // A claim exists. It may be this attempt's own, if the table's response was lost.
            match self.poll_claim(request, &row_key, &row, &mut poll_delay).await {
                PollOutcome::Gone => {}
                PollOutcome::Final(outcome) => return outcome,
                PollOutcome::SameAttempt(version) => {
                    return self.accept_claim(request, row_key, row, version);
                }
            }
        }
    }

    /// Records the response of a claimed request, to be replayed to repeated requests.
    pub(crate) fn record(&self, mut claim: HeldClaim, response: RecordedResponse) {
        claim.row.state = ClaimState::Done(response);
        let write = ClaimWrite::RecordOutcome {
            row_key: claim.row_key,
            version: claim.version,
            row: claim.row,
        };
        self.queue_write(&claim.account, write, None);
    }

    /// Releases the claim of a request that certainly did not run.
    pub(crate) fn release(&self, claim: HeldClaim) {
        let write = ClaimWrite::Release { row_key: claim.row_key, version: claim.version };
        self.queue_write(&claim.account, write, None);
    }

    fn accept_claim(
        &self,
        request: &ClaimRequest,
        row_key: Box<str>,
        row: ClaimRow,
        version: u64,
    ) -> ClaimOutcome {
        let claim = HeldClaim { account: request.key.account.clone(), row_key, row, version };
        // The process may have been suspended past the deadline; the caller has given up by then,
        // so the request must not run any more.
        if Instant::now() >= request.deadline {
            self.release(claim);
            return ClaimOutcome::Refused(RequestRefusal::DeadlineBeforeSend);
        }
        ClaimOutcome::Held(claim)
    }

    async fn insert_claim(
        &self,
        request: &ClaimRequest,
        row_key: &str,
        row: &ClaimRow,
    ) -> Result<ClaimWriteOutcome, SubmitRefusal> {
        let now = Instant::now();
        let deadline = request.deadline.min(now + CLAIM_TIMEOUT);
        let (sender, receiver) = oneshot::channel();
        let submission = ClaimSubmission {
            account: request.key.account.clone(),
            write: ClaimWrite::Insert { row_key: row_key.into(), row: row.clone() },
            max_queued: request.max_waiting_claims,
            deadline,
            is_queued_while_down: false,
        };
        self.batcher().submit(submission, Some(sender), now)?;
        self.write_queued.notify_one();
        // The sender is dropped without a result only when the process exits.
        Ok(receiver.await.unwrap_or(ClaimWriteOutcome::Unknown))
    }

    async fn poll_claim(
        &self,
        request: &ClaimRequest,
        row_key: &str,
        row: &ClaimRow,
        poll_delay: &mut Duration,
    ) -> PollOutcome {
        loop {
            let remaining = request.deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                return PollOutcome::Final(ClaimOutcome::Refused(
                    RequestRefusal::EarlierOutcomeUnknown,
                ));
            }
            self.metrics.table_reads.inc();
            let read = timeout(remaining.min(CLAIM_TIMEOUT), self.table.read(row_key)).await;
            let Ok(Ok(stored)) = read else {
                return PollOutcome::Final(ClaimOutcome::Refused(
                    RequestRefusal::EarlierOutcomeUnknown,
                ));
            };
            let Some((version, claim)) = stored
                .and_then(|stored| decode_claim(&stored).map(|claim| (stored.version, claim)))
            else {
                return PollOutcome::Gone;
            };
            match classify_claim(version, claim, &row.attempt, &row.fingerprint) {
                ExistingClaim::SameAttempt(version) => return PollOutcome::SameAttempt(version),
                ExistingClaim::Replay(response) => {
                    return PollOutcome::Final(ClaimOutcome::Replay(response));
                }
                ExistingClaim::Mismatch => {
                    return PollOutcome::Final(ClaimOutcome::Refused(RequestRefusal::KeyMismatch));
                }
                ExistingClaim::Running(holder) if !self.is_live(&holder) => {
                    return PollOutcome::Final(ClaimOutcome::Refused(
                        RequestRefusal::EarlierOutcomeUnknown,
                    ));
                }
                ExistingClaim::Running(_) => {
                    sleep((*poll_delay).min(remaining)).await;
                    *poll_delay = (*poll_delay * 2).min(MAX_POLL_DELAY);
                }
            }
        }
    }

    fn is_live(&self, holder: &VmId) -> bool {
        *holder == self.vm || self.board.fleet().is_member(holder)
    }

    /// Releases the claim of an insert whose result is unknown, if it was made. Its request was
    /// refused and never runs. Until the release, or if this VM fails before it, a repeated request
    /// is refused with the outcome `unknown`.
    fn release_if_inserted(
        self: &Arc<Self>,
        request: &ClaimRequest,
        row_key: Box<str>,
        row: ClaimRow,
    ) {
        let coordinator = Arc::clone(self);
        let account = request.key.account.clone();
        let (sender, receiver) = oneshot::channel();
        let insert = ClaimWrite::Insert { row_key: row_key.clone(), row: row.clone() };
        // Repeats the insert. Once it has succeeded or conflicted, no delayed copy of the first one
        // can take effect any more, and the row shows whether the claim was made.
        self.queue_write(&account, insert, Some(sender));
        tokio::spawn(async move {
            let version = match receiver.await {
                Ok(ClaimWriteOutcome::Committed(version)) => Some(version),
                Ok(ClaimWriteOutcome::Conflict) => match coordinator.table.read(&row_key).await {
                    Ok(Some(stored)) => decode_claim(&stored)
                        .filter(|claim| claim.attempt == row.attempt)
                        .map(|_| stored.version),
                    _ => None,
                },
                _ => None,
            };
            if let Some(version) = version {
                coordinator.release(HeldClaim { account, row_key, row, version });
            }
        });
    }

    fn queue_write(&self, account: &AccountId, write: ClaimWrite, sender: OutcomeSender) {
        let now = Instant::now();
        let submission = ClaimSubmission {
            account: account.clone(),
            write,
            max_queued: MAX_QUEUED_WRITES,
            deadline: now + RECORD_TIMEOUT,
            is_queued_while_down: true,
        };
        // A write that exceeds the limit is dropped; repeated requests are then refused with the
        // outcome `unknown`.
        let _ = self.batcher().submit(submission, sender, now);
        self.write_queued.notify_one();
    }

    fn batcher(&self) -> MutexGuard<'_, ClaimBatcher<OutcomeSender>> {
        self.batcher.lock().expect("claim lock is never poisoned")
    }
}

fn outcome_without_table(request: &ClaimRequest) -> ClaimOutcome {
    if request.may_run_unclaimed {
        return ClaimOutcome::Unclaimed;
    }
    ClaimOutcome::Refused(RequestRefusal::TableUnavailable)
}

/// Runs the coordinator's transactions, one at a time, until the process exits.
pub async fn run_claim_transactions(coordinator: Arc<ClaimCoordinator>) {
    let mut expiry = interval(EXPIRY_INTERVAL);
    loop {
        let now = Instant::now();
        let members = coordinator.board.fleet().members.len().max(1);
        let step = {
            let mut batcher = coordinator.batcher();
            batcher.set_rate(FLEET_COMMITS_PER_S / members as f64, now);
            batcher.next_batch(now)
        };
        match step {
            BatchStep::Commit(request) => run_commit(&coordinator, &request, &mut expiry).await,
            BatchStep::Wait(delay) => {
                sleep(delay.min(EXPIRY_INTERVAL)).await;
                expire_queued(&coordinator);
            }
            BatchStep::Idle => {
                tokio::select! {
                    () = coordinator.write_queued.notified() => {}
                    _ = expiry.tick() => expire_queued(&coordinator),
                }
            }
        }
    }
}

async fn run_commit(
    coordinator: &ClaimCoordinator,
    request: &CommitRequest,
    expiry: &mut Interval,
) {
    coordinator.metrics.table_commits.inc();
    let mut commit = std::pin::pin!(coordinator.table.commit(request));
    let outcome = loop {
        tokio::select! {
            outcome = &mut commit => break outcome,
            _ = expiry.tick() => expire_queued(coordinator),
        }
    };
    let finished = coordinator.batcher().complete_batch(&outcome, Instant::now());
    send_outcomes(finished);
}

fn expire_queued(coordinator: &ClaimCoordinator) {
    let finished = coordinator.batcher().remove_expired(Instant::now());
    send_outcomes(finished);
}

fn send_outcomes(finished: Vec<(OutcomeSender, ClaimWriteOutcome)>) {
    for (sender, outcome) in finished {
        if let Some(sender) = sender {
            // The receiver is gone if the request was cancelled meanwhile.
            let _ = sender.send(outcome);
        }
    }
}
