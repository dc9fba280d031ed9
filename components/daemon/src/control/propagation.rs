//! Tracks which revision of the configuration is in force at each entry VM.

use std::time::Duration;

use tokio::sync::watch;
use tokio::time::timeout;

use board::Blackboard;
use model::{FastMap, RevisionNumber, VmId};

/// Maximum time for which the response to an operator's write waits until the write is in force at
/// every member.
const PROPAGATION_TIMEOUT: Duration = Duration::from_secs(2);

/// Revisions in force at the peers, as they last reported.
#[derive(Debug, Clone)]
pub(crate) struct PropagationTracker {
    revisions: watch::Sender<FastMap<VmId, RevisionNumber>>,
}

/// Number of members at which a revision is in force, out of all members.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct PropagationCount {
    pub(crate) in_force: usize,
    pub(crate) members: usize,
}

impl PropagationTracker {
    /// Creates a tracker without any reported revisions.
    pub(crate) fn new() -> Self {
        Self { revisions: watch::Sender::new(FastMap::default()) }
    }

    /// Records the revision that a peer reports, unless it is older than the last one.
    pub(crate) fn record_revision(&self, vm: &VmId, revision: RevisionNumber) {
        self.revisions.send_if_modified(|revisions| {
            if revisions.get(vm).is_some_and(|reported| *reported >= revision) {
                return false;
            }
            revisions.insert(vm.clone(), revision);
            true
        });
    }

    /// Removes peers that are no longer members.
    pub(crate) fn retain_members(&self, is_member: impl Fn(&VmId) -> bool) {
        self.revisions.send_if_modified(|revisions| {
            revisions.retain(|vm, _| is_member(vm));
            false
        });
    }

    /// Waits until a revision is in force at every member, for at most `PROPAGATION_TIMEOUT`.
    /// Returns the number of members at which it is.
    pub(crate) async fn wait_for_propagation(
        &self,
        board: &Blackboard,
        local_vm: &VmId,
        revision: RevisionNumber,
    ) -> PropagationCount {
        let mut receiver = self.revisions.subscribe();
        let all_in_force = receiver.wait_for(|revisions| {
            let count = count_members(board, local_vm, revisions, revision);
            count.in_force >= count.members
        });
        // A member that has not reported the revision in time counts as not having it in force.
        let _ = timeout(PROPAGATION_TIMEOUT, all_in_force).await;
        count_members(board, local_vm, &self.revisions.borrow(), revision)
    }
}

fn count_members(
    board: &Blackboard,
    local_vm: &VmId,
    revisions: &FastMap<VmId, RevisionNumber>,
    revision: RevisionNumber,
) -> PropagationCount {
    let fleet = board.fleet();
    let other_members = fleet.members.iter().filter(|member| member.row.vm != *local_vm);
    let mut count = PropagationCount { in_force: 1, members: 1 };
    for member in other_members {
        count.members += 1;
        if revisions.get(&member.row.vm).is_some_and(|reported| *reported >= revision) {
            count.in_force += 1;
        }
    }
    count
}
