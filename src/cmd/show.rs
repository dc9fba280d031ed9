//! `show`: prints a record.

use crate::cli::DaemonAccess;
use crate::client::read;
use crate::errors::CommandFault;

/// Runs the command.
pub(crate) fn run(access: &DaemonAccess, key: &str, is_json: bool) -> Result<(), CommandFault> {
    let answer = read(access, &format!("/v1/records/{key}"))?;
    if is_json {
        println!("{answer}");
        return Ok(());
    }
    println!("revision {}", answer["revision"]);
    println!("{:#}", answer["record"]);
    Ok(())
}
