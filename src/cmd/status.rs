//! `status`: prints an entry VM's view of the fleet.

use crate::cli::DaemonAccess;
use crate::client::get_json;
use crate::errors::CommandFault;

pub(crate) fn run(access: &DaemonAccess, is_json: bool) -> Result<(), CommandFault> {
    let response = get_json(access, "/v1/status")?;
    if is_json {
        println!("{response}");
        return Ok(());
    }
    let vm = response["vm"].as_str().unwrap_or_default();
    let ready = if response["ready"] == true { "ready" } else { "not ready" };
    println!("{vm}: {ready}, revision {}, slot {}", response["revision"], response["slot"]);
    for member in response["members"].as_array().into_iter().flatten() {
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
