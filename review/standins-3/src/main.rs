//! Stand-ins for the cases of the third review. Each case exits with 1 if its rule was broken, 0 if
//! it held, and 2 if it could not run.

mod cold;
mod daemon;
mod fleet;
mod http;
mod json;
mod pipelined;
mod record;
mod store;
mod worker;

use std::path::PathBuf;
use std::process::ExitCode;

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(record)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: review-3 CASE RECORD [MORE]");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").ok().as_deref() != Some("0");
    let record = record::Record::create(&PathBuf::from(record));
    let more: Vec<String> = arguments.collect();
    let code = match case.as_str() {
        "cold" => {
            let number = |index: usize| more.get(index).and_then(|text| text.parse::<f64>().ok());
            let case = cold::ColdCase {
                tells_load: more.first().is_some_and(|text| text == "load"),
                workers: number(1).unwrap_or(3.0) as usize,
                per_worker: number(2).unwrap_or(50.0),
                events: number(3).unwrap_or(5.0) as usize,
            };
            cold::run(&record, has_trouble, &case)
        }
        "pipelined" => pipelined::run(&record, has_trouble),
        _ => 2,
    };
    ExitCode::from(code)
}
