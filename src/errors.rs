//! Errors of a command and their exit statuses.

use derive_more::{Display, Error};

/// A command failed, or its success is not certain.
#[derive(Debug, Display, Error)]
pub(crate) enum CommandFault {
    /// The daemon is unreachable or can't serve the request.
    #[display("{reason}")]
    Failed {
        /// Description of the error.
        reason: Box<str>,
    },
    /// The command line, the profile or the record file is invalid.
    #[display("{reason}\nTry \"mustardrail --help\".")]
    Usage {
        /// Description of the error.
        reason: Box<str>,
    },
    /// The daemon refused; nothing was written.
    #[display("{reason}")]
    Refused {
        /// Reason given by the daemon.
        reason: Box<str>,
    },
    /// It is unknown whether the write was accepted.
    #[display(
        "unknown whether the write was accepted; check later with: mustardrail operation \
         {operation}"
    )]
    UnknownOutcome {
        /// ID of the write.
        operation: Box<str>,
    },
    /// The write is accepted, but not yet confirmed to be in force by a majority of entry VMs.
    #[display(
        "accepted as revision {revision}; in force at {in_force} of {members} entry VMs so far"
    )]
    Unconfirmed {
        /// Revision that the write created.
        revision: u64,
        /// Number of entry VMs that confirmed it.
        in_force: u64,
        /// Number of entry VMs in the fleet.
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

    /// Returns the exit status of the command.
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
