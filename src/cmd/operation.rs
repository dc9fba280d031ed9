//! `operation`: tells what became of a write.

use crate::cli::DaemonAccess;
use crate::client::read;
use crate::errors::CommandFault;

/// Runs the command.
pub(crate) fn run(access: &DaemonAccess, id: &str, is_json: bool) -> Result<(), CommandFault> {
    let answer = read(access, &format!("/v1/operations/{id}"))?;
    if is_json {
        println!("{answer}");
        return Ok(());
    }
    let record = answer["record"].as_str().unwrap_or_default();
    println!("accepted as revision {} of {record}", answer["revision"]);
    Ok(())
}
