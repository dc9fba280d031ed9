//! `list`: lists records.

use crate::cli::DaemonAccess;
use crate::client::read;
use crate::errors::CommandFault;

/// Runs the command.
pub(crate) fn run(access: &DaemonAccess, is_json: bool) -> Result<(), CommandFault> {
    let answer = read(access, "/v1/records")?;
    if is_json {
        println!("{answer}");
        return Ok(());
    }
    println!("configuration at revision {}", answer["revision"]);
    for record in answer["records"].as_array().into_iter().flatten() {
        println!(
            "{:>8}  {}",
            record["revision"].to_string(),
            record["key"].as_str().unwrap_or_default()
        );
    }
    Ok(())
}
