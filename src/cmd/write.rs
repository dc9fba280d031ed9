//! Shared code of the commands that write: `put`, `replace` and `retire`.

use std::path::Path;

use hyper::{Method, StatusCode};
use serde_json::{Value, json};

use model::OperationId;

use crate::cli::DaemonAccess;
use crate::client::{response_fault, send_request};
use crate::errors::CommandFault;

/// Reads a record file.
pub(crate) fn read_record(file: &Path) -> Result<Value, CommandFault> {
    let path_display = file.display();
    let text = std::fs::read_to_string(file)
        .map_err(|error| CommandFault::usage(format!("record file \"{path_display}\": {error}")))?;
    serde_json::from_str(&text)
        .map_err(|error| CommandFault::usage(format!("record file \"{path_display}\": {error}")))
}

/// Sends a write and prints its result. Generates an operation ID if none is given.
pub(crate) fn send_write(
    access: &DaemonAccess,
    mut message: Value,
    operation: Option<Box<str>>,
    is_json: bool,
) -> Result<(), CommandFault> {
    let operation = operation.unwrap_or_else(|| OperationId::random().as_str().into());
    message["operation"] = json!(operation);
    let (status, response) = send_request(access, Method::POST, "/v1/records", &message)
        // A request without a response may still have taken effect.
        .map_err(|_| CommandFault::UnknownOutcome { operation: operation.clone() })?;
    if is_json {
        println!("{response}");
    }
    if status != StatusCode::OK {
        return Err(response_fault(status, &response));
    }
    let number = |name: &str| response[name].as_u64().unwrap_or_default();
    let (revision, in_force, members) = (number("revision"), number("in_force"), number("members"));
    if in_force * 2 <= members {
        return Err(CommandFault::Unconfirmed { revision, in_force, members });
    }
    if !is_json {
        println!("accepted as revision {revision}; in force at {in_force} of {members} entry VMs");
    }
    Ok(())
}
