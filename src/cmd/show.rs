//! `show`: prints a record.

use crate::cli::DaemonAccess;
use crate::client::get_json;
use crate::errors::CommandFault;

pub(crate) fn run(access: &DaemonAccess, key: &str, is_json: bool) -> Result<(), CommandFault> {
    let response = get_json(access, &format!("/v1/records/{key}"))?;
    if is_json {
        println!("{response}");
        return Ok(());
    }
    println!("revision {}", response["revision"]);
    println!("{:#}", response["record"]);
    Ok(())
}
