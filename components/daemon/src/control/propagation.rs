//! Which revision is in force at which entry VM.

use std::time::Duration;

use tokio::sync::watch;
use tokio::time::timeout;

use board::Blackboard;
use model::{FastMap, RevisionNumber, VmId};

/// Longest time that an operator's write waits to be in force everywhere before it is answered.
const PROPAGATION_TIMEOUT: Duration = Duration::from_secs(2);

/// Revisions that peers said are in force.
#[derive(Debug, Clone)]
pub(crate) struct PropagationTracker {
    revisions: watch::Sender<FastMap<VmId, RevisionNumber>>,
}

/// At how many members a revision is in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct PropagationCount {
    pub(crate) in_force: usize,
    pub(crate) members: usize,
}

impl PropagationTracker {
    /// A view in which nothing was heard yet.
    pub(crate) fn new() -> Self {
        Self { revisions: watch::Sender::new(FastMap::default()) }
    }

    /// Notes what a peer said.
    pub(crate) fn record_revision(&self, vm: &VmId, revision: RevisionNumber) {
        self.revisions.send_if_modified(|revisions| {
            if revisions.get(vm).is_some_and(|known| *known >= revision) {
                return false;
            }
            revisions.insert(vm.clone(), revision);
            true
        });
    }

    /// Forgets peers that are no longer members.
    pub(crate) fn retain_members(&self, is_member: impl Fn(&VmId) -> bool) {
        self.revisions.send_if_modified(|revisions| {
            revisions.retain(|vm, _| is_member(vm));
            false
        });
    }

    /// Waits until a revision is in force at every member, or for a bounded time.
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
        // Members that did not answer in time are counted as they are.
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
    let others = fleet.members.iter().filter(|member| member.row.vm != *local_vm);
    let mut count = PropagationCount { in_force: 1, members: 1 };
    for member in others {
        count.members += 1;
        if revisions.get(&member.row.vm).is_some_and(|known| *known >= revision) {
            count.in_force += 1;
        }
    }
    count
}
