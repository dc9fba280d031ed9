//! Runs the claim transactions, and leads a request with an `Idempotency-Key` through its claim.

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

/// Claim transactions a second over the whole fleet: under half of several hundred writes.
const FLEET_COMMITS_PER_S: f64 = 120.0;

/// Longest wait for a claim. After it the table counts as down for this request.
const CLAIM_PATIENCE: Duration = Duration::from_millis(1_500);

/// Longest time that an outcome or a release waits for the table.
const RECORD_PATIENCE: Duration = Duration::from_secs(60);

/// Outcomes and releases of one account that may wait. They follow admitted requests, so only a
/// long outage fills it.
const LATER_QUEUE: usize = 10_000;

/// How often waiting writes are checked for their deadline.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(50);

/// First and longest pause between two reads of another attempt's claim.
const FIRST_POLL_PAUSE: Duration = Duration::from_millis(50);
const LONGEST_POLL_PAUSE: Duration = Duration::from_millis(800);

type Ticket = Option<oneshot::Sender<ClaimWriteOutcome>>;

/// Where requests hand in their claims.
pub struct ClaimCoordinator {
    vm: VmId,
    table: TableClient,
    board: Arc<Blackboard>,
    metrics: DaemonMetrics,
    batcher: Mutex<ClaimBatcher<Ticket>>,
    changed: Notify,
}

/// What a request may do after it asked for its claim.
pub(crate) enum ClaimOutcome {
    /// Run; this request holds the claim.
    Held(HeldClaim),
    /// Give this answer, which an earlier request got.
    Replay(RecordedResponse),
    /// Run without a claim; the table is down and the route's policy allows it.
    Unclaimed,
    /// Refuse.
    Refused(RequestRefusal),
}

/// A claim that this entry VM holds for one request.
pub(crate) struct HeldClaim {
    account: AccountId,
    row_key: Box<str>,
    row: ClaimRow,
    version: u64,
}

/// A request's request for a claim.
pub(crate) struct ClaimRequest {
    pub(crate) key: ClaimKey,
    pub(crate) fingerprint: RequestFingerprint,
    pub(crate) deadline: Instant,
    /// Claims of the account that may wait.
    pub(crate) waiting_limit: usize,
    /// Whether to run without a claim while the table is down.
    pub(crate) may_run_unclaimed: bool,
}

enum PollOutcome {
    /// No claim stands there any more; the request may ask again.
    Gone,
    /// The claim is this attempt's own.
    Own(u64),
    /// The request has its answer.
    End(ClaimOutcome),
}

impl ClaimCoordinator {
    /// A coordinator for one entry VM.
    pub fn new(
        vm: VmId,
        table: TableClient,
        board: Arc<Blackboard>,
        metrics: DaemonMetrics,
    ) -> Self {
        let batcher = ClaimBatcher::new(FLEET_COMMITS_PER_S, Instant::now());
        Self { vm, table, board, metrics, batcher: Mutex::new(batcher), changed: Notify::new() }
    }

    /// Whether nothing waits for the table.
    pub fn is_empty(&self) -> bool {
        self.batcher().is_empty()
    }

    /// Asks for a claim until there is an answer or the deadline.
    pub(crate) async fn claim(self: &Arc<Self>, request: &ClaimRequest) -> ClaimOutcome {
        let row_key = request.key.row_key();
        let row = ClaimRow {
            attempt: AttemptId::random(),
            vm: self.vm.clone(),
            fingerprint: request.fingerprint.clone(),
            created_ms: wall_clock_ms(),
            state: ClaimState::Running,
        };
        let mut pause = FIRST_POLL_PAUSE;
        loop {
            let outcome = match self.insert(request, &row_key, &row).await {
                Ok(outcome) => outcome,
                Err(SubmitRefusal::TableDown) => return table_down(request),
                Err(SubmitRefusal::AccountQueueFull) => {
                    return ClaimOutcome::Refused(RequestRefusal::ClaimQueueFull);
                }
            };
            match outcome {
                ClaimWriteOutcome::Committed(version) => {
                    return self.held(request, row_key, row, version);
                }
                ClaimWriteOutcome::NotApplied => return table_down(request),
                ClaimWriteOutcome::Unknown => {
                    self.release_unsure(request, row_key, row);
                    // An earlier run can't be ruled out, so this one never runs unclaimed.
                    return ClaimOutcome::Refused(RequestRefusal::TableDown);
                }
                ClaimWriteOutcome::Conflict => {}
            }
            // Someone's claim stands there; it may be this attempt's own, after a lost answer.
            match self.poll_claim(request, &row_key, &row, &mut pause).await {
                PollOutcome::Gone => {}
                PollOutcome::End(end) => return end,
                PollOutcome::Own(version) => return self.held(request, row_key, row, version),
            }
        }
    }

    /// Notes the outcome of a claimed run, for repeated requests.
    pub(crate) fn record(&self, mut claim: HeldClaim, answer: RecordedResponse) {
        claim.row.state = ClaimState::Done(answer);
        let work = ClaimWrite::RecordOutcome {
            row_key: claim.row_key,
            version: claim.version,
            row: claim.row,
        };
        self.submit_later(&claim.account, work, None);
    }

    /// Gives a claim back; the request certainly did not run.
    pub(crate) fn release(&self, claim: HeldClaim) {
        let work = ClaimWrite::Release { row_key: claim.row_key, version: claim.version };
        self.submit_later(&claim.account, work, None);
    }

    fn held(
        &self,
        request: &ClaimRequest,
        row_key: Box<str>,
        row: ClaimRow,
        version: u64,
    ) -> ClaimOutcome {
        let claim = HeldClaim { account: request.key.account.clone(), row_key, row, version };
        // A holder that was paused until its caller gave up must not run the request any more.
        if Instant::now() >= request.deadline {
            self.release(claim);
            return ClaimOutcome::Refused(RequestRefusal::DeadlineBefore);
        }
        ClaimOutcome::Held(claim)
    }

    async fn insert(
        &self,
        request: &ClaimRequest,
        row_key: &str,
        row: &ClaimRow,
    ) -> Result<ClaimWriteOutcome, SubmitRefusal> {
        let now = Instant::now();
        let deadline = request.deadline.min(now + CLAIM_PATIENCE);
        let (ticket, outcome) = oneshot::channel();
        let submission = ClaimSubmission {
            account: request.key.account.clone(),
            write: ClaimWrite::Insert { row_key: row_key.into(), row: row.clone() },
            max_queued: request.waiting_limit,
            deadline,
            is_queued_while_down: false,
        };
        self.batcher().submit(submission, Some(ticket), now)?;
        self.changed.notify_one();
        // The coordinator's task ends only with the process.
        Ok(outcome.await.unwrap_or(ClaimWriteOutcome::Unknown))
    }

    async fn poll_claim(
        &self,
        request: &ClaimRequest,
        row_key: &str,
        row: &ClaimRow,
        pause: &mut Duration,
    ) -> PollOutcome {
        loop {
            let remaining = request.deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                return PollOutcome::End(ClaimOutcome::Refused(RequestRefusal::EarlierUnknown));
            }
            self.metrics.table_reads.inc();
            let read = timeout(remaining.min(CLAIM_PATIENCE), self.table.read(row_key)).await;
            let Ok(Ok(found)) = read else {
                return PollOutcome::End(ClaimOutcome::Refused(RequestRefusal::EarlierUnknown));
            };
            let Some((version, found)) =
                found.and_then(|found| decode_claim(&found).map(|claim| (found.version, claim)))
            else {
                return PollOutcome::Gone;
            };
            match classify_claim(version, found, &row.attempt, &row.fingerprint) {
                ExistingClaim::SameAttempt(version) => return PollOutcome::Own(version),
                ExistingClaim::Replay(answer) => {
                    return PollOutcome::End(ClaimOutcome::Replay(answer));
                }
                ExistingClaim::Mismatch => {
                    return PollOutcome::End(ClaimOutcome::Refused(RequestRefusal::KeyMismatch));
                }
                ExistingClaim::Running(holder) if !self.is_live(&holder) => {
                    return PollOutcome::End(ClaimOutcome::Refused(RequestRefusal::EarlierUnknown));
                }
                ExistingClaim::Running(_) => {
                    sleep((*pause).min(remaining)).await;
                    *pause = (*pause * 2).min(LONGEST_POLL_PAUSE);
                }
            }
        }
    }

    fn is_live(&self, holder: &VmId) -> bool {
        *holder == self.vm || self.board.fleet().is_member(holder)
    }

    /// Removes a claim that may have been made after its answer was lost. It never runs: its
    /// request was refused. Until then, or if this VM fails first, a repeat is told "unknown".
    fn release_unsure(self: &Arc<Self>, request: &ClaimRequest, row_key: Box<str>, row: ClaimRow) {
        let coordinator = Arc::clone(self);
        let account = request.key.account.clone();
        let (ticket, outcome) = oneshot::channel();
        let insert = ClaimWrite::Insert { row_key: row_key.clone(), row: row.clone() };
        // Once this very insert has ended one way or the other, no earlier copy of it can take
        // effect any more, and the row can be judged.
        self.submit_later(&account, insert, Some(ticket));
        tokio::spawn(async move {
            let version = match outcome.await {
                Ok(ClaimWriteOutcome::Committed(version)) => Some(version),
                Ok(ClaimWriteOutcome::Conflict) => match coordinator.table.read(&row_key).await {
                    Ok(Some(found)) => decode_claim(&found)
                        .filter(|claim| claim.attempt == row.attempt)
                        .map(|_| found.version),
                    _ => None,
                },
                _ => None,
            };
            if let Some(version) = version {
                coordinator.release(HeldClaim { account, row_key, row, version });
            }
        });
    }

    fn submit_later(&self, account: &AccountId, work: ClaimWrite, ticket: Ticket) {
        let now = Instant::now();
        let submission = ClaimSubmission {
            account: account.clone(),
            write: work,
            max_queued: LATER_QUEUE,
            deadline: now + RECORD_PATIENCE,
            is_queued_while_down: true,
        };
        // A write that finds no room is dropped: repeats are then told "unknown".
        let _ = self.batcher().submit(submission, ticket, now);
        self.changed.notify_one();
    }

    fn batcher(&self) -> MutexGuard<'_, ClaimBatcher<Ticket>> {
        self.batcher.lock().expect("claim lock is never poisoned")
    }
}

fn table_down(request: &ClaimRequest) -> ClaimOutcome {
    if request.may_run_unclaimed {
        return ClaimOutcome::Unclaimed;
    }
    ClaimOutcome::Refused(RequestRefusal::TableDown)
}

/// Runs the coordinator's transactions, one at a time, for as long as the process runs.
pub async fn run_claims(coordinator: Arc<ClaimCoordinator>) {
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
            BatchStep::Wait(pause) => {
                sleep(pause.min(EXPIRY_INTERVAL)).await;
                expire(&coordinator);
            }
            BatchStep::Idle => {
                tokio::select! {
                    () = coordinator.changed.notified() => {}
                    _ = expiry.tick() => expire(&coordinator),
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
            _ = expiry.tick() => expire(coordinator),
        }
    };
    let ended = coordinator.batcher().complete_batch(&outcome, Instant::now());
    tell(ended);
}

fn expire(coordinator: &ClaimCoordinator) {
    let ended = coordinator.batcher().remove_expired(Instant::now());
    tell(ended);
}

fn tell(ended: Vec<(Ticket, ClaimWriteOutcome)>) {
    for (ticket, outcome) in ended {
        if let Some(ticket) = ticket {
            // A request that has gone no longer wants to know.
            let _ = ticket.send(outcome);
        }
    }
}
