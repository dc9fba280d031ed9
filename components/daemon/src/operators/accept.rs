//! Has operators' writes accepted by the platform's table.

use std::sync::Arc;
use std::time::Duration;

use ractor::ActorRef;
use tokio::time::{Instant, sleep};

use board::Blackboard;
use members::newest_common_schema;
use model::{AccountId, OperationId, RevisionNumber, VmId, jittered};
use observe::{DaemonMetrics, Logger, info};
use records::{
    ChangeEntry, ConfigSnapshot, OperationRow, WriteRefusal, WriteRequest, admit_write,
    operation_key, plan_write, read_operation,
};
use store::{CommitOutcome, ServerListClient, StoreError, TableClient};

use crate::control::{ConfigMessage, PropagationView, catch_up};

/// Longest time that a write is tried before its end is reported as unknown.
const ACCEPT_TIME: Duration = Duration::from_secs(8);

/// Mean pause between two tries, so that racing operators do not keep colliding.
const RETRY_PAUSE: Duration = Duration::from_millis(40);

/// How a write ended.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum WriteOutcome {
    /// It is accepted, and in force at this many of so many members.
    Accepted { revision: RevisionNumber, in_force: usize, members: usize },
    /// It is refused, and nothing was written.
    Refused(WriteRefusal),
    /// The table can't be reached, and nothing was sent.
    NotSent(StoreError),
    /// It may or may not be accepted; the operation can be asked for later.
    Unknown(OperationId),
}

/// What operators' requests work with.
pub(crate) struct OperatorApi {
    pub(crate) vm: VmId,
    pub(crate) table: TableClient,
    pub(crate) list: ServerListClient,
    pub(crate) board: Arc<Blackboard>,
    pub(crate) config: ActorRef<ConfigMessage>,
    pub(crate) propagation: PropagationView,
    pub(crate) metrics: DaemonMetrics,
    pub(crate) first_key_sha256: Box<str>,
    pub(crate) log: Logger,
}

/// What is known of a write under way.
struct WriteState {
    snapshot: ConfigSnapshot,
    /// Base of a commit whose answer was lost. It may still take effect while the table stands at
    /// this revision, and never after.
    unsure_base: Option<RevisionNumber>,
    deadline: Instant,
}

impl OperatorApi {
    /// Tries a write until it is accepted or refused, or time runs out.
    pub(crate) async fn write(&self, request: &WriteRequest, actor: &AccountId) -> WriteOutcome {
        let mut state = WriteState {
            snapshot: self.board.config().snapshot.clone(),
            unsure_base: None,
            deadline: Instant::now() + ACCEPT_TIME,
        };
        let mut last_error = None;
        while Instant::now() < state.deadline {
            match self.try_write(request, actor, &mut state).await {
                Ok(Some(end)) => return self.finish(end).await,
                Ok(None) => {}
                Err(error) if state.unsure_base.is_none() => return WriteOutcome::NotSent(error),
                Err(error) => last_error = Some(error),
            }
            sleep(jittered(RETRY_PAUSE)).await;
        }
        match last_error {
            Some(error) if state.unsure_base.is_none() => WriteOutcome::NotSent(error),
            _ => WriteOutcome::Unknown(request.operation.clone()),
        }
    }

    /// What became of an operation; `None` when it is not known to the table.
    pub(crate) async fn find_operation(
        &self,
        actor: &AccountId,
        operation: &OperationId,
    ) -> Result<Option<OperationRow>, StoreError> {
        self.metrics.table_reads.inc();
        let row = self.table.read(&operation_key(actor, operation)).await?;
        Ok(row.as_ref().and_then(read_operation))
    }

    /// One try: read, check, commit. `None` when it must be tried again.
    async fn try_write(
        &self,
        request: &WriteRequest,
        actor: &AccountId,
        state: &mut WriteState,
    ) -> Result<Option<WriteOutcome>, StoreError> {
        self.metrics.table_reads.inc();
        let news = catch_up(&self.table, state.snapshot.revision()).await?;
        let revision_row = news.revision_row;
        news.apply_to(&mut state.snapshot);
        // Read after the snapshot: a write of this operation that the snapshot holds has its row.
        if let Some(row) = self.find_operation(actor, &request.operation).await? {
            return Ok(Some(accepted(row.revision)));
        }
        let fleet = self.board.fleet();
        let readable = |kind| newest_common_schema(&fleet.members, kind);
        let entry = match admit_write(&state.snapshot, request, actor, &readable) {
            Ok(entry) => entry,
            Err(_) if state.unsure_base == Some(state.snapshot.revision()) => return Ok(None),
            Err(refusal) => return Ok(Some(WriteOutcome::Refused(refusal))),
        };
        self.metrics.table_commits.inc();
        match self.table.commit(&plan_write(&entry, revision_row)).await {
            CommitOutcome::Committed(_) => {
                let revision = entry.revision;
                self.tell_config(entry);
                Ok(Some(accepted(revision)))
            }
            CommitOutcome::Conflict(_) => Ok(None),
            CommitOutcome::Unknown(error) => {
                state.unsure_base = Some(state.snapshot.revision());
                Err(error)
            }
        }
    }

    fn tell_config(&self, entry: ChangeEntry) {
        info!(self.log, "operators: write accepted"; "revision" => entry.revision.0,
            "record" => entry.change.key().to_string(), "actor" => entry.actor.to_string());
        // The controller ends only with the process.
        let _ = self.config.cast(ConfigMessage::Accepted(entry));
    }

    async fn finish(&self, end: WriteOutcome) -> WriteOutcome {
        let WriteOutcome::Accepted { revision, .. } = end else {
            return end;
        };
        let count = self.propagation.wait(&self.board, &self.vm, revision).await;
        WriteOutcome::Accepted { revision, in_force: count.in_force, members: count.members }
    }
}

fn accepted(revision: RevisionNumber) -> WriteOutcome {
    WriteOutcome::Accepted { revision, in_force: 0, members: 0 }
}
