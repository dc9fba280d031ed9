//! Stand-ins for the platform's store, the workers and the clients, and the cases of the second
//! review that use them. Only the standard library is used.
//!
//! `standins-2 CASE RECORD` plays one case against daemons that it starts. It exits with 1 if the
//! rule was broken, 0 if it held, and 2 if the case could not run. With `TROUBLE=0` the same traffic
//! is played without the disruption.

mod client;
mod daemon;
mod early_response;
mod given_up;
mod http;
mod json;
mod pipelined;
mod record;
mod recovery;
mod store;
mod worker;

use std::path::PathBuf;
use std::process::exit;
use std::time::Duration;

use crate::record::Record;

/// Result of a case that could run.
pub enum Verdict {
    Held,
    Broken,
}

/// Longest time of a case. The daemons end with this process's guard, or with this deadline.
const MAX_RUN_TIME: Duration = Duration::from_secs(105);

const EXIT_HELD: i32 = 0;
const EXIT_BROKEN: i32 = 1;
const EXIT_NOT_RUN: i32 = 2;

fn main() {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(path)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: standins-2 CASE RECORD");
        exit(EXIT_NOT_RUN);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = match Record::create(&PathBuf::from(path)) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("record: {error}");
            exit(EXIT_NOT_RUN);
        }
    };
    record.line(&format!("case {case}, trouble {}", if has_trouble { "on" } else { "off" }));
    daemon::start_watchdog(MAX_RUN_TIME);
    let result = match case.as_str() {
        "early-response" => early_response::run(&record, has_trouble),
        "pipelined" => pipelined::run(&record, has_trouble),
        "recovery" => recovery::run(&record, has_trouble),
        "given-up" => given_up::run(&record, has_trouble),
        _ => Err(format!("unknown case {case}")),
    };
    daemon::kill_all();
    let code = match result {
        Ok(Verdict::Held) => {
            record.line("result: the rule held");
            EXIT_HELD
        }
        Ok(Verdict::Broken) => {
            record.line("result: the rule was broken");
            EXIT_BROKEN
        }
        Err(error) => {
            record.line(&format!("result: not run: {error}"));
            EXIT_NOT_RUN
        }
    };
    record.flush();
    exit(code);
}
