//! Runs the claim transactions, and leads a request with an `Idempotency-Key` through its claim.

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use tokio::sync::{Notify, oneshot};
use tokio::time::{Instant, Interval, interval, sleep, timeout};

use board::Blackboard;
use claims::{
    BatchStep, ClaimBook, ClaimKey, ClaimRow, ClaimState, ClaimSubmission, ClaimWork,
    RecordedAnswer, RequestFingerprint, RowVerdict, SubmitRefusal, WorkOutcome, judge_row,
    read_claim,
};
use model::{AccountId, AttemptId, VmId};
use observe::DaemonMetrics;
use platform::{CommitRequest, TableClient};

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

/// First and longest pause between two looks at another attempt's claim.
const FIRST_LOOK: Duration = Duration::from_millis(50);
const LONGEST_LOOK: Duration = Duration::from_millis(800);

type Ticket = Option<oneshot::Sender<WorkOutcome>>;

/// Where requests hand in their claims.
pub struct ClaimDesk {
    vm: VmId,
    table: TableClient,
    board: Arc<Blackboard>,
    metrics: DaemonMetrics,
    book: Mutex<ClaimBook<Ticket>>,
    changed: Notify,
}

/// What a request may do after it asked for its claim.
pub(crate) enum ClaimEnd {
    /// Run; this request holds the claim.
    Held(HeldClaim),
    /// Give this answer, which an earlier request got.
    Replay(RecordedAnswer),
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

/// A request's wish for a claim.
pub(crate) struct ClaimWish {
    pub(crate) key: ClaimKey,
    pub(crate) fingerprint: RequestFingerprint,
    pub(crate) deadline: Instant,
    /// Claims of the account that may wait.
    pub(crate) waiting_limit: usize,
    /// Whether to run without a claim while the table is down.
    pub(crate) may_run_unclaimed: bool,
}

enum LookEnd {
    /// No claim stands there any more; the request may ask again.
    Gone,
    /// The claim is this attempt's own.
    Own(u64),
    /// The request has its answer.
    End(ClaimEnd),
}

impl ClaimDesk {
    /// A desk for one entry VM.
    pub fn new(
        vm: VmId,
        table: TableClient,
        board: Arc<Blackboard>,
        metrics: DaemonMetrics,
    ) -> Self {
        let book = ClaimBook::new(FLEET_COMMITS_PER_S, Instant::now());
        Self { vm, table, board, metrics, book: Mutex::new(book), changed: Notify::new() }
    }

    /// Whether nothing waits for the table.
    pub fn is_empty(&self) -> bool {
        self.book().is_empty()
    }

    /// Asks for a claim until there is an answer or the deadline.
    pub(crate) async fn claim(self: &Arc<Self>, wish: &ClaimWish) -> ClaimEnd {
        let row_key = wish.key.row_key();
        let row = ClaimRow {
            attempt: AttemptId::random(),
            vm: self.vm.clone(),
            fingerprint: wish.fingerprint.clone(),
            created_ms: wall_clock_ms(),
            state: ClaimState::Running,
        };
        let mut look = FIRST_LOOK;
        loop {
            let outcome = match self.insert(wish, &row_key, &row).await {
                Ok(outcome) => outcome,
                Err(SubmitRefusal::TableDown) => return table_down(wish),
                Err(SubmitRefusal::AccountQueueFull) => {
                    return ClaimEnd::Refused(RequestRefusal::ClaimQueueFull);
                }
            };
            match outcome {
                WorkOutcome::Done(version) => return self.held(wish, row_key, row, version),
                WorkOutcome::NotSent => return table_down(wish),
                WorkOutcome::Unsure => {
                    self.release_unsure(wish, row_key, row);
                    // An earlier run can't be ruled out, so this one never runs unclaimed.
                    return ClaimEnd::Refused(RequestRefusal::TableDown);
                }
                WorkOutcome::Conflict => {}
            }
            // Someone's claim stands there; it may be this attempt's own, after a lost answer.
            match self.look(wish, &row_key, &row, &mut look).await {
                LookEnd::Gone => {}
                LookEnd::End(end) => return end,
                LookEnd::Own(version) => return self.held(wish, row_key, row, version),
            }
        }
    }

    /// Notes the outcome of a claimed run, for repeated requests.
    pub(crate) fn record(&self, mut claim: HeldClaim, answer: RecordedAnswer) {
        claim.row.state = ClaimState::Done(answer);
        let work =
            ClaimWork::Record { row_key: claim.row_key, version: claim.version, row: claim.row };
        self.submit_later(&claim.account, work, None);
    }

    /// Gives a claim back; the request certainly did not run.
    pub(crate) fn release(&self, claim: HeldClaim) {
        let work = ClaimWork::Release { row_key: claim.row_key, version: claim.version };
        self.submit_later(&claim.account, work, None);
    }

    fn held(&self, wish: &ClaimWish, row_key: Box<str>, row: ClaimRow, version: u64) -> ClaimEnd {
        let claim = HeldClaim { account: wish.key.account.clone(), row_key, row, version };
        // A holder that was paused until its caller gave up must not run the request any more.
        if Instant::now() >= wish.deadline {
            self.release(claim);
            return ClaimEnd::Refused(RequestRefusal::DeadlineBefore);
        }
        ClaimEnd::Held(claim)
    }

    async fn insert(
        &self,
        wish: &ClaimWish,
        row_key: &str,
        row: &ClaimRow,
    ) -> Result<WorkOutcome, SubmitRefusal> {
        let now = Instant::now();
        let deadline = wish.deadline.min(now + CLAIM_PATIENCE);
        let (ticket, outcome) = oneshot::channel();
        let submission = ClaimSubmission {
            account: wish.key.account.clone(),
            work: ClaimWork::Insert { row_key: row_key.into(), row: row.clone() },
            limit: wish.waiting_limit,
            deadline,
            is_patient: false,
        };
        self.book().submit(submission, Some(ticket), now)?;
        self.changed.notify_one();
        // The desk's task ends only with the process.
        Ok(outcome.await.unwrap_or(WorkOutcome::Unsure))
    }

    async fn look(
        &self,
        wish: &ClaimWish,
        row_key: &str,
        row: &ClaimRow,
        pause: &mut Duration,
    ) -> LookEnd {
        loop {
            let remaining = wish.deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                return LookEnd::End(ClaimEnd::Refused(RequestRefusal::EarlierUnknown));
            }
            self.metrics.table_reads.inc();
            let read = timeout(remaining.min(CLAIM_PATIENCE), self.table.read(row_key)).await;
            let Ok(Ok(found)) = read else {
                return LookEnd::End(ClaimEnd::Refused(RequestRefusal::EarlierUnknown));
            };
            let Some((version, found)) =
                found.and_then(|found| read_claim(&found).map(|claim| (found.version, claim)))
            else {
                return LookEnd::Gone;
            };
            match judge_row(version, found, &row.attempt, &row.fingerprint) {
                RowVerdict::Own(version) => return LookEnd::Own(version),
                RowVerdict::Replay(answer) => return LookEnd::End(ClaimEnd::Replay(answer)),
                RowVerdict::Mismatch => {
                    return LookEnd::End(ClaimEnd::Refused(RequestRefusal::KeyMismatch));
                }
                RowVerdict::Running(holder) if !self.is_live(&holder) => {
                    return LookEnd::End(ClaimEnd::Refused(RequestRefusal::EarlierUnknown));
                }
                RowVerdict::Running(_) => {
                    sleep((*pause).min(remaining)).await;
                    *pause = (*pause * 2).min(LONGEST_LOOK);
                }
            }
        }
    }

    fn is_live(&self, holder: &VmId) -> bool {
        *holder == self.vm || self.board.fleet().is_member(holder)
    }

    /// Removes a claim that may have been made after its answer was lost. It never runs: its
    /// request was refused. Until then, or if this VM fails first, a repeat is told "unknown".
    fn release_unsure(self: &Arc<Self>, wish: &ClaimWish, row_key: Box<str>, row: ClaimRow) {
        let desk = Arc::clone(self);
        let account = wish.key.account.clone();
        let (ticket, outcome) = oneshot::channel();
        let insert = ClaimWork::Insert { row_key: row_key.clone(), row: row.clone() };
        // Once this very insert has ended one way or the other, no earlier copy of it can take
        // effect any more, and the row can be judged.
        self.submit_later(&account, insert, Some(ticket));
        tokio::spawn(async move {
            let version = match outcome.await {
                Ok(WorkOutcome::Done(version)) => Some(version),
                Ok(WorkOutcome::Conflict) => match desk.table.read(&row_key).await {
                    Ok(Some(found)) => read_claim(&found)
                        .filter(|claim| claim.attempt == row.attempt)
                        .map(|_| found.version),
                    _ => None,
                },
                _ => None,
            };
            if let Some(version) = version {
                desk.release(HeldClaim { account, row_key, row, version });
            }
        });
    }

    fn submit_later(&self, account: &AccountId, work: ClaimWork, ticket: Ticket) {
        let now = Instant::now();
        let submission = ClaimSubmission {
            account: account.clone(),
            work,
            limit: LATER_QUEUE,
            deadline: now + RECORD_PATIENCE,
            is_patient: true,
        };
        // A write that finds no room is dropped: repeats are then told "unknown".
        let _ = self.book().submit(submission, ticket, now);
        self.changed.notify_one();
    }

    fn book(&self) -> MutexGuard<'_, ClaimBook<Ticket>> {
        self.book.lock().expect("claim lock is never poisoned")
    }
}

fn table_down(wish: &ClaimWish) -> ClaimEnd {
    if wish.may_run_unclaimed {
        return ClaimEnd::Unclaimed;
    }
    ClaimEnd::Refused(RequestRefusal::TableDown)
}

/// Runs the desk's transactions, one at a time, for as long as the process runs.
pub async fn run_claims(desk: Arc<ClaimDesk>) {
    let mut expiry = interval(EXPIRY_INTERVAL);
    loop {
        let now = Instant::now();
        let members = desk.board.fleet().members.len().max(1);
        let step = {
            let mut book = desk.book();
            book.set_rate(FLEET_COMMITS_PER_S / members as f64, now);
            book.next_batch(now)
        };
        match step {
            BatchStep::Commit(request) => run_commit(&desk, &request, &mut expiry).await,
            BatchStep::Wait(pause) => {
                sleep(pause.min(EXPIRY_INTERVAL)).await;
                expire(&desk);
            }
            BatchStep::Idle => {
                tokio::select! {
                    () = desk.changed.notified() => {}
                    _ = expiry.tick() => expire(&desk),
                }
            }
        }
    }
}

async fn run_commit(desk: &ClaimDesk, request: &CommitRequest, expiry: &mut Interval) {
    desk.metrics.table_commits.inc();
    let mut commit = std::pin::pin!(desk.table.commit(request));
    let outcome = loop {
        tokio::select! {
            outcome = &mut commit => break outcome,
            _ = expiry.tick() => expire(desk),
        }
    };
    let ended = desk.book().settle(&outcome, Instant::now());
    tell(ended);
}

fn expire(desk: &ClaimDesk) {
    let ended = desk.book().expire(Instant::now());
    tell(ended);
}

fn tell(ended: Vec<(Ticket, WorkOutcome)>) {
    for (ticket, outcome) in ended {
        if let Some(ticket) = ticket {
            // A request that has gone no longer wants to know.
            let _ = ticket.send(outcome);
        }
    }
}
