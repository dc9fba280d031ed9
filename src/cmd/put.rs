//! `put`: creates a record.

use std::path::Path;

use serde_json::json;

use crate::cli::DaemonAccess;
use crate::cmd::write::{read_record, send_write};
use crate::errors::CommandFault;

pub(crate) fn run(
    access: &DaemonAccess,
    file: &Path,
    operation: Option<Box<str>>,
    is_json: bool,
) -> Result<(), CommandFault> {
    let message = json!({ "verb": "put", "record": read_record(file)? });
    send_write(access, message, operation, is_json)
}
