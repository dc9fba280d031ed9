//! `replace`: replaces a record at a given revision.

use std::path::Path;

use serde_json::json;

use crate::cli::DaemonAccess;
use crate::cmd::write::{read_record, send_write};
use crate::errors::CommandFault;

pub(crate) fn run(
    access: &DaemonAccess,
    file: &Path,
    base: u64,
    operation: Option<Box<str>>,
    is_json: bool,
) -> Result<(), CommandFault> {
    let message = json!({ "verb": "replace", "record": read_record(file)?, "base": base });
    send_write(access, message, operation, is_json)
}
