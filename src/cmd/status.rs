//! `status`: tells what an entry VM knows of the fleet.

use crate::cli::DaemonAccess;
use crate::client::read;
use crate::errors::CommandFault;

/// Runs the command.
pub(crate) fn run(access: &DaemonAccess, is_json: bool) -> Result<(), CommandFault> {
    let answer = read(access, "/v1/status")?;
    if is_json {
        println!("{answer}");
        return Ok(());
    }
    let vm = answer["vm"].as_str().unwrap_or_default();
    let ready = if answer["ready"] == true { "ready" } else { "not ready" };
    println!("{vm}: {ready}, revision {}, slot {}", answer["revision"], answer["slot"]);
    for member in answer["members"].as_array().into_iter().flatten() {
        let text = |name: &str| member[name].as_str().unwrap_or_default().to_owned();
        println!(
            "{:>5}  {}  {}  {}",
            member["slot"].to_string(),
            text("vm"),
            text("zone"),
            text("peers")
        );
    }
    Ok(())
}
