//! `retire`: removes a record at a given revision.

use serde_json::json;

use crate::cli::DaemonAccess;
use crate::cmd::write::send_write;
use crate::errors::CommandFault;

pub(crate) fn run(
    access: &DaemonAccess,
    key: &str,
    base: u64,
    operation: Option<Box<str>>,
    is_json: bool,
) -> Result<(), CommandFault> {
    send_write(access, json!({ "verb": "retire", "key": key, "base": base }), operation, is_json)
}
