//! `hash-key`: prints the SHA-256 of a key, as records and settings hold it.

use crate::errors::CommandFault;

/// Runs the command. The key comes from standard input, so that it is not seen in process lists.
pub(crate) fn run() -> Result<(), CommandFault> {
    let mut key = String::new();
    std::io::stdin().read_line(&mut key).map_err(CommandFault::failed)?;
    let key = key.trim_end_matches(['\r', '\n']);
    if key.is_empty() {
        return Err(CommandFault::usage("give a key on standard input"));
    }
    println!("{}", records::hash_key(key));
    Ok(())
}
