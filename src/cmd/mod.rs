//! The commands, one module each.

mod hash_key;
mod history;
mod list;
mod operation;
mod put;
mod replace;
mod retire;
mod show;
mod status;
mod write;

use std::path::PathBuf;

use crate::cli::DaemonAccess;
use crate::errors::CommandFault;

/// What to do.
#[derive(Debug)]
pub(crate) enum CommandTask {
    Print(String),
    HashKey,
    Put {
        access: DaemonAccess,
        file: PathBuf,
        operation: Option<Box<str>>,
        json: bool,
    },
    Replace {
        access: DaemonAccess,
        file: PathBuf,
        base: u64,
        operation: Option<Box<str>>,
        json: bool,
    },
    Retire {
        access: DaemonAccess,
        key: Box<str>,
        base: u64,
        operation: Option<Box<str>>,
        json: bool,
    },
    List {
        access: DaemonAccess,
        json: bool,
    },
    Show {
        access: DaemonAccess,
        key: Box<str>,
        json: bool,
    },
    History {
        access: DaemonAccess,
        key: Box<str>,
        json: bool,
    },
    Operation {
        access: DaemonAccess,
        id: Box<str>,
        json: bool,
    },
    Status {
        access: DaemonAccess,
        json: bool,
    },
}

/// Runs a command.
pub(crate) fn run(task: CommandTask) -> Result<(), CommandFault> {
    match task {
        CommandTask::Print(text) => {
            print!("{text}");
            Ok(())
        }
        CommandTask::HashKey => hash_key::run(),
        CommandTask::Put { access, file, operation, json } => {
            put::run(&access, &file, operation, json)
        }
        CommandTask::Replace { access, file, base, operation, json } => {
            replace::run(&access, &file, base, operation, json)
        }
        CommandTask::Retire { access, key, base, operation, json } => {
            retire::run(&access, &key, base, operation, json)
        }
        CommandTask::List { access, json } => list::run(&access, json),
        CommandTask::Show { access, key, json } => show::run(&access, &key, json),
        CommandTask::History { access, key, json } => history::run(&access, &key, json),
        CommandTask::Operation { access, id, json } => operation::run(&access, &id, json),
        CommandTask::Status { access, json } => status::run(&access, json),
    }
}
