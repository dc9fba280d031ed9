//! `operation`: prints the outcome of a write.

use crate::cli::DaemonAccess;
use crate::client::get_json;
use crate::errors::CommandFault;

pub(crate) fn run(access: &DaemonAccess, id: &str, is_json: bool) -> Result<(), CommandFault> {
    let response = get_json(access, &format!("/v1/operations/{id}"))?;
    if is_json {
        println!("{response}");
        return Ok(());
    }
    let record = response["record"].as_str().unwrap_or_default();
    println!("accepted as revision {} of {record}", response["revision"]);
    Ok(())
}
