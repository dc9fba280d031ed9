//! Which revision is in force at which entry VM.

use std::time::Duration;

use tokio::sync::watch;
use tokio::time::timeout;

use board::Blackboard;
use model::{FastMap, RevisionNumber, VmId};

/// Longest time that an operator's write waits to be in force everywhere before it is answered.
const PROPAGATION_TIME: Duration = Duration::from_secs(2);

/// Revisions that peers said are in force.
#[derive(Debug, Clone)]
pub(crate) struct PropagationView {
    revisions: watch::Sender<FastMap<VmId, RevisionNumber>>,
}

/// At how many members a revision is in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct PropagationCount {
    pub(crate) in_force: usize,
    pub(crate) members: usize,
}

impl PropagationView {
    /// A view in which nothing was heard yet.
    pub(crate) fn new() -> Self {
        Self { revisions: watch::Sender::new(FastMap::default()) }
    }

    /// Notes what a peer said.
    pub(crate) fn hear(&self, vm: &VmId, revision: RevisionNumber) {
        self.revisions.send_if_modified(|known| {
            if known.get(vm).is_some_and(|known| *known >= revision) {
                return false;
            }
            known.insert(vm.clone(), revision);
            true
        });
    }

    /// Forgets peers that are no longer members.
    pub(crate) fn retain(&self, is_member: impl Fn(&VmId) -> bool) {
        self.revisions.send_if_modified(|known| {
            known.retain(|vm, _| is_member(vm));
            false
        });
    }

    /// Waits until a revision is in force at every member, or for a bounded time.
    pub(crate) async fn wait(
        &self,
        board: &Blackboard,
        own: &VmId,
        revision: RevisionNumber,
    ) -> PropagationCount {
        let mut heard = self.revisions.subscribe();
        let all = heard.wait_for(|known| {
            let count = count(board, own, known, revision);
            count.in_force >= count.members
        });
        // Members that did not answer in time are counted as they are.
        let _ = timeout(PROPAGATION_TIME, all).await;
        count(board, own, &self.revisions.borrow(), revision)
    }
}

fn count(
    board: &Blackboard,
    own: &VmId,
    known: &FastMap<VmId, RevisionNumber>,
    revision: RevisionNumber,
) -> PropagationCount {
    let fleet = board.fleet();
    let others = fleet.members.iter().filter(|member| member.row.vm != *own);
    let mut total = PropagationCount { in_force: 1, members: 1 };
    for member in others {
        total.members += 1;
        if known.get(&member.row.vm).is_some_and(|known| *known >= revision) {
            total.in_force += 1;
        }
    }
    total
}
