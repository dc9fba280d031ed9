//! The commands, each in its own module.

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

/// The command to run, with its arguments.
#[derive(Debug)]
pub(crate) enum CommandTask {
    Print(String),
    HashKey,
    Put {
        access: DaemonAccess,
        file: PathBuf,
        operation: Option<Box<str>>,
        is_json: bool,
    },
    Replace {
        access: DaemonAccess,
        file: PathBuf,
        base: u64,
        operation: Option<Box<str>>,
        is_json: bool,
    },
    Retire {
        access: DaemonAccess,
        key: Box<str>,
        base: u64,
        operation: Option<Box<str>>,
        is_json: bool,
    },
    List {
        access: DaemonAccess,
        is_json: bool,
    },
    Show {
        access: DaemonAccess,
        key: Box<str>,
        is_json: bool,
    },
    History {
        access: DaemonAccess,
        key: Box<str>,
        is_json: bool,
    },
    Operation {
        access: DaemonAccess,
        id: Box<str>,
        is_json: bool,
    },
    Status {
        access: DaemonAccess,
        is_json: bool,
    },
}

pub(crate) fn run(task: CommandTask) -> Result<(), CommandFault> {
    match task {
        CommandTask::Print(text) => {
            print!("{text}");
            Ok(())
        }
        CommandTask::HashKey => hash_key::run(),
        CommandTask::Put { access, file, operation, is_json } => {
            put::run(&access, &file, operation, is_json)
        }
        CommandTask::Replace { access, file, base, operation, is_json } => {
            replace::run(&access, &file, base, operation, is_json)
        }
        CommandTask::Retire { access, key, base, operation, is_json } => {
            retire::run(&access, &key, base, operation, is_json)
        }
        CommandTask::List { access, is_json } => list::run(&access, is_json),
        CommandTask::Show { access, key, is_json } => show::run(&access, &key, is_json),
        CommandTask::History { access, key, is_json } => history::run(&access, &key, is_json),
        CommandTask::Operation { access, id, is_json } => operation::run(&access, &id, is_json),
        CommandTask::Status { access, is_json } => status::run(&access, is_json),
    }
}
