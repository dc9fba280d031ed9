//! `hash-key`: prints the SHA-256 of a key in the form used in records and settings.

use crate::errors::CommandFault;

/// Runs the command. Reads the key from standard input, so that process lists don't show it.
pub(crate) fn run() -> Result<(), CommandFault> {
    let mut key = String::new();
    std::io::stdin().read_line(&mut key).map_err(CommandFault::failed)?;
    let key = key.trim_end_matches(['\r', '\n']);
    if key.is_empty() {
        return Err(CommandFault::usage("no key on standard input"));
    }
    println!("{}", records::hash_key(key));
    Ok(())
}
