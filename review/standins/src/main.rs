//! Runs one case of the review: `review-case CASE DAEMON RECORD`. Exits with 1 if the rule was
//! broken, 0 if it held, and 2 if the case could not run. `TROUBLE=0` leaves out the disruption.

mod client;
mod cold;
mod fleet;
mod http;
mod json;
mod late_accept;
mod late_copy;
mod pipelined;
mod random;
mod record;
mod shutdown;
mod store;
mod worker;

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

use record::Record;

/// Result of a case.
pub enum Verdict {
    Broken(String),
    Held(String),
    NotRun(String),
}

/// What a case gets.
pub struct CaseInput {
    /// Path of the daemon.
    pub daemon: PathBuf,
    pub record: Arc<Record>,
    /// Whether the disruption takes place.
    pub has_trouble: bool,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, daemon, record] = &arguments[..] else {
        eprintln!("usage: review-case CASE DAEMON RECORD");
        return ExitCode::from(2);
    };
    let record = Arc::new(Record::create(PathBuf::from(record).as_path()));
    let input = CaseInput {
        daemon: PathBuf::from(daemon),
        record: Arc::clone(&record),
        has_trouble: std::env::var("TROUBLE").map_or(true, |value| value != "0"),
    };
    let verdict = match case.as_str() {
        "late-copy" => late_copy::run(&input),
        "cold" => cold::run(&input),
        "late-accept" => late_accept::run(&input),
        "pipelined" => pipelined::run(&input),
        "shutdown" => shutdown::run(&input),
        _ => Verdict::NotRun(format!("no case {case}")),
    };
    let (code, text) = match verdict {
        Verdict::Broken(text) => (1, format!("BROKEN: {text}")),
        Verdict::Held(text) => (0, format!("held: {text}")),
        Verdict::NotRun(text) => (2, format!("could not run: {text}")),
    };
    println!("{text}");
    record.note(&text);
    record.flush();
    // Ends the threads of all stand-ins; the daemons have ended with their values.
    std::process::exit(code);
}
