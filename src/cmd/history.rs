//! `history`: prints every change of a record.

use crate::cli::DaemonAccess;
use crate::client::read;
use crate::errors::CommandFault;

/// Runs the command.
pub(crate) fn run(access: &DaemonAccess, key: &str, is_json: bool) -> Result<(), CommandFault> {
    let answer = read(access, &format!("/v1/history/{key}"))?;
    if is_json {
        println!("{answer}");
        return Ok(());
    }
    for change in answer["changes"].as_array().into_iter().flatten() {
        let verb = if change["change"].get("put").is_some() { "put" } else { "retire" };
        let actor = change["actor"].as_str().unwrap_or_default();
        let operation = change["operation"].as_str().unwrap_or_default();
        println!(
            "{:>8}  {verb:<7} by {actor}, operation {operation}",
            change["revision"].to_string()
        );
    }
    Ok(())
}
