//! Submits operators' writes to the platform's table.

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
    build_commit, decode_operation, operation_key,
};
use store::{CommitOutcome, ServerListClient, StoreError, TableClient};

use crate::control::{ConfigMessage, PropagationTracker, read_table_update};

/// Maximum time spent on a write before its outcome is reported as unknown.
const WRITE_TIMEOUT: Duration = Duration::from_secs(8);

/// Mean pause between two attempts. Jitter keeps concurrent writes from colliding repeatedly.
const RETRY_PAUSE: Duration = Duration::from_millis(40);

/// Outcome of a write.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum WriteOutcome {
    /// Accepted, and in force at `in_force` of `members` members.
    Accepted { revision: RevisionNumber, in_force: usize, members: usize },
    /// Refused; nothing was written.
    Refused(WriteRefusal),
    /// The table is unreachable; nothing was written.
    NotSent(StoreError),
    /// May or may not have been accepted; the operation can be queried later.
    Unknown(OperationId),
}

/// State and clients that operators' requests use.
pub(crate) struct OperatorApi {
    pub(crate) vm: VmId,
    pub(crate) table: TableClient,
    pub(crate) list: ServerListClient,
    pub(crate) board: Arc<Blackboard>,
    pub(crate) config: ActorRef<ConfigMessage>,
    pub(crate) propagation: PropagationTracker,
    pub(crate) metrics: DaemonMetrics,
    pub(crate) first_key_sha256: Box<str>,
    pub(crate) log: Logger,
}

/// State of a write across its attempts.
struct WriteState {
    snapshot: ConfigSnapshot,
    /// Base revision of a commit whose response was lost. The commit may still take effect while
    /// the table is at this revision, but not afterwards.
    unconfirmed_base: Option<RevisionNumber>,
    deadline: Instant,
}

impl OperatorApi {
    /// Attempts a write until it is accepted or refused or `WRITE_TIMEOUT` has passed.
    pub(crate) async fn write(&self, request: &WriteRequest, actor: &AccountId) -> WriteOutcome {
        let mut state = WriteState {
            snapshot: self.board.config().snapshot.clone(),
            unconfirmed_base: None,
            deadline: Instant::now() + WRITE_TIMEOUT,
        };
        let mut last_error = None;
        while Instant::now() < state.deadline {
            match self.attempt_write(request, actor, &mut state).await {
                Ok(Some(outcome)) => return self.add_propagation_counts(outcome).await,
                Ok(None) => {}
                Err(error) if state.unconfirmed_base.is_none() => {
                    return WriteOutcome::NotSent(error);
                }
                Err(error) => last_error = Some(error),
            }
            sleep(jittered(RETRY_PAUSE)).await;
        }
        match last_error {
            Some(error) if state.unconfirmed_base.is_none() => WriteOutcome::NotSent(error),
            _ => WriteOutcome::Unknown(request.operation.clone()),
        }
    }

    /// Returns the result of an accepted operation, or `None` if the table does not have it.
    pub(crate) async fn find_operation(
        &self,
        actor: &AccountId,
        operation: &OperationId,
    ) -> Result<Option<OperationRow>, StoreError> {
        self.metrics.table_reads.inc();
        let row = self.table.read(&operation_key(actor, operation)).await?;
        Ok(row.as_ref().and_then(decode_operation))
    }

    /// Makes one attempt: reads, checks and commits. Returns `None` if another attempt is needed.
    async fn attempt_write(
        &self,
        request: &WriteRequest,
        actor: &AccountId,
        state: &mut WriteState,
    ) -> Result<Option<WriteOutcome>, StoreError> {
        self.metrics.table_reads.inc();
        let update = read_table_update(&self.table, state.snapshot.revision()).await?;
        let revision_row_version = update.revision_row_version;
        update.apply_to(&mut state.snapshot);
        // Read after the snapshot: if the snapshot includes the write of this operation, the table
        // has its operation row.
        if let Some(row) = self.find_operation(actor, &request.operation).await? {
            return Ok(Some(accepted_outcome(row.revision)));
        }
        let fleet = self.board.fleet();
        let newest_schema = |kind| newest_common_schema(&fleet.members, kind);
        let entry = match admit_write(&state.snapshot, request, actor, &newest_schema) {
            Ok(entry) => entry,
            Err(_) if state.unconfirmed_base == Some(state.snapshot.revision()) => return Ok(None),
            Err(refusal) => return Ok(Some(WriteOutcome::Refused(refusal))),
        };
        self.metrics.table_commits.inc();
        match self.table.commit(&build_commit(&entry, revision_row_version)).await {
            CommitOutcome::Committed(_) => {
                let revision = entry.revision;
                self.notify_config_controller(entry);
                Ok(Some(accepted_outcome(revision)))
            }
            CommitOutcome::Conflict(_) => Ok(None),
            CommitOutcome::Unknown(error) => {
                state.unconfirmed_base = Some(state.snapshot.revision());
                Err(error)
            }
        }
    }

    fn notify_config_controller(&self, entry: ChangeEntry) {
        info!(self.log, "operators: write accepted"; "revision" => entry.revision.0,
            "record" => entry.change.key().to_string(), "actor" => entry.actor.to_string());
        // Sending fails only while the process exits.
        let _ = self.config.cast(ConfigMessage::WriteAccepted(entry));
    }

    async fn add_propagation_counts(&self, outcome: WriteOutcome) -> WriteOutcome {
        let WriteOutcome::Accepted { revision, .. } = outcome else {
            return outcome;
        };
        let count = self.propagation.wait_for_propagation(&self.board, &self.vm, revision).await;
        WriteOutcome::Accepted { revision, in_force: count.in_force, members: count.members }
    }
}

fn accepted_outcome(revision: RevisionNumber) -> WriteOutcome {
    WriteOutcome::Accepted { revision, in_force: 0, members: 0 }
}
