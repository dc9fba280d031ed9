//! Command line for operators.

mod cli;
mod client;
mod cmd;
mod errors;

use std::process::ExitCode;

fn main() -> ExitCode {
    match cli::read_arguments().and_then(cmd::run) {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("mustardrail: {fault}");
            ExitCode::from(fault.exit_status())
        }
    }
}
