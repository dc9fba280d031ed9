//! `list`: lists records.

use crate::cli::DaemonAccess;
use crate::client::get_json;
use crate::errors::CommandFault;

pub(crate) fn run(access: &DaemonAccess, is_json: bool) -> Result<(), CommandFault> {
    let response = get_json(access, "/v1/records")?;
    if is_json {
        println!("{response}");
        return Ok(());
    }
    println!("configuration at revision {}", response["revision"]);
    for record in response["records"].as_array().into_iter().flatten() {
        println!(
            "{:>8}  {}",
            record["revision"].to_string(),
            record["key"].as_str().unwrap_or_default()
        );
    }
    Ok(())
}
