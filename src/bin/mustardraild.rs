//! Command line of the daemon, which runs on each entry VM.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use lexopt::prelude::*;
use miette::{IntoDiagnostic, Report};

/// Exit status for invalid arguments or settings.
const EXIT_INVALID_SETTINGS: u8 = 2;

const HELP: &str = "\
Load balancer daemon, one per entry VM.

Usage:
  mustardraild SETTINGS.json          run with these settings
  mustardraild --check SETTINGS.json  check the settings and exit
  mustardraild --hosted SETTINGS.json run on a hosting platform
  mustardraild --dev                  run a sample setup in one process

Options:
  --check      check the settings and exit: 0 if valid, 2 if not
  --hosted     read configuration and backend servers from the platform's store
  --dev        run with an in-memory platform, a sample account and small backend servers
  -h, --help   print this text
  --version    print the version

SIGTERM or SIGINT starts a graceful shutdown: requests in flight are completed.
";

enum DaemonTask {
    Run(PathBuf),
    RunHosted(PathBuf),
    Check(PathBuf),
    CheckHosted(PathBuf),
    Dev,
    Print(String),
}

fn main() -> ExitCode {
    let task = match read_arguments() {
        Ok(task) => task,
        Err(error) => {
            eprintln!("mustardraild: {error}\nTry \"mustardraild --help\".");
            return ExitCode::from(EXIT_INVALID_SETTINGS);
        }
    };
    match run(task) {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("{:?}", fault.report);
            ExitCode::from(fault.status)
        }
    }
}

struct TaskFault {
    report: Report,
    status: u8,
}

fn run(task: DaemonTask) -> Result<(), TaskFault> {
    match task {
        DaemonTask::Print(text) => {
            print!("{text}");
            Ok(())
        }
        DaemonTask::Dev => daemon::run_dev().into_diagnostic().map_err(run_fault),
        DaemonTask::Check(path) => {
            settings::load_settings(&path).map_err(settings_fault)?;
            print_valid(&path);
            Ok(())
        }
        DaemonTask::CheckHosted(path) => {
            settings::load_hosted_settings(&path).map_err(settings_fault)?;
            print_valid(&path);
            Ok(())
        }
        DaemonTask::RunHosted(path) => {
            let settings = settings::load_hosted_settings(&path).map_err(settings_fault)?;
            daemon::run_hosted(&path, settings).into_diagnostic().map_err(run_fault)
        }
        DaemonTask::Run(path) => {
            let settings = settings::load_settings(&path).map_err(settings_fault)?;
            daemon::run_daemon(settings).into_diagnostic().map_err(run_fault)
        }
    }
}

fn print_valid(path: &Path) {
    println!("settings file \"{}\" is valid", path.display());
}

fn settings_fault(fault: settings::SettingsError) -> TaskFault {
    TaskFault { report: Report::new(fault), status: EXIT_INVALID_SETTINGS }
}

fn run_fault(report: Report) -> TaskFault {
    TaskFault { report, status: 1 }
}

fn read_arguments() -> Result<DaemonTask, lexopt::Error> {
    let mut parser = lexopt::Parser::from_env();
    let mut is_check = false;
    let mut path: Option<PathBuf> = None;
    let mut is_dev = false;
    let mut is_hosted = false;
    while let Some(argument) = parser.next()? {
        match argument {
            Short('h') | Long("help") => return Ok(DaemonTask::Print(HELP.into())),
            Long("version") => {
                let version = env!("CARGO_PKG_VERSION");
                return Ok(DaemonTask::Print(format!("mustardraild {version}\n")));
            }
            Long("check") => is_check = true,
            Long("dev") => is_dev = true,
            Long("hosted") => is_hosted = true,
            Value(value) if path.is_none() => path = Some(value.into()),
            other => return Err(other.unexpected()),
        }
    }
    match (path, is_dev, is_check, is_hosted) {
        (None, true, false, false) => Ok(DaemonTask::Dev),
        (Some(path), false, false, false) => Ok(DaemonTask::Run(path)),
        (Some(path), false, false, true) => Ok(DaemonTask::RunHosted(path)),
        (Some(path), false, true, false) => Ok(DaemonTask::Check(path)),
        (Some(path), false, true, true) => Ok(DaemonTask::CheckHosted(path)),
        _ => Err("expected one settings file, or --dev".into()),
    }
}
