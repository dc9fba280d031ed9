//! `history`: prints all changes of a record.

use crate::cli::DaemonAccess;
use crate::client::get_json;
use crate::errors::CommandFault;

pub(crate) fn run(access: &DaemonAccess, key: &str, is_json: bool) -> Result<(), CommandFault> {
    let response = get_json(access, &format!("/v1/history/{key}"))?;
    if is_json {
        println!("{response}");
        return Ok(());
    }
    for change in response["changes"].as_array().into_iter().flatten() {
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
