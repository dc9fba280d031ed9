//! Faults of a command, each with its exit status.

use derive_more::{Display, Error};

/// Why a command did not succeed.
#[derive(Debug, Display, Error)]
pub(crate) enum CommandFault {
    /// The daemon could not be asked.
    #[display("{reason}")]
    Failed {
        /// What happened.
        reason: Box<str>,
    },
    /// The command line, the profile or the record file can't be used.
    #[display("{reason}\nTry \"mustardrail --help\".")]
    Usage {
        /// What is wrong.
        reason: Box<str>,
    },
    /// The daemon refused; nothing was written.
    #[display("{reason}")]
    Refused {
        /// Why.
        reason: Box<str>,
    },
    /// The write may or may not be accepted.
    #[display("write may or may not be accepted; ask later: mustardrail operation {operation}")]
    UnknownOutcome {
        /// The operation to ask for.
        operation: Box<str>,
    },
    /// The write is accepted, but less than a majority of entry VMs confirmed that it is in force.
    #[display(
        "accepted as revision {revision}; in force at {in_force} of {members} entry VMs so far"
    )]
    Unconfirmed {
        /// The revision.
        revision: u64,
        /// Entry VMs that confirmed it.
        in_force: u64,
        /// Entry VMs in the fleet.
        members: u64,
    },
}

impl CommandFault {
    pub(crate) fn failed(reason: impl ToString) -> Self {
        Self::Failed { reason: reason.to_string().into() }
    }

    pub(crate) fn usage(reason: impl ToString) -> Self {
        Self::Usage { reason: reason.to_string().into() }
    }

    /// The exit status.
    pub(crate) fn exit_status(&self) -> u8 {
        match self {
            Self::Failed { .. } => 1,
            Self::Usage { .. } => 2,
            Self::Refused { .. } => 3,
            Self::UnknownOutcome { .. } => 4,
            Self::Unconfirmed { .. } => 5,
        }
    }
}
