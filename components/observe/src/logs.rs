//! Structured logs. Every message begins with the fixed prefix of its part.

use std::sync::Mutex;

use slog::{Drain, Level, Logger, o};

use settings::{LogFormat, LogLevel};

/// Records that may wait for the writer; more are dropped and counted by the library.
const LOG_QUEUE_RECORDS: usize = 4_096;

/// Starts writing logs to standard error.
pub fn start_logs(level: LogLevel, format: LogFormat) -> Logger {
    let level = level_of(level);
    match format {
        LogFormat::Json => {
            let json = slog_json::Json::default(std::io::stderr());
            queued(Mutex::new(json).map(slog::Fuse), level)
        }
        LogFormat::Terminal => {
            let decorator = slog_term::TermDecorator::new().stderr().build();
            queued(slog_term::FullFormat::new(decorator).build().fuse(), level)
        }
    }
}

/// The level of log records that a setting means.
pub fn level_of(level: LogLevel) -> Level {
    match level {
        LogLevel::Debug => Level::Debug,
        LogLevel::Info => Level::Info,
        LogLevel::Warning => Level::Warning,
        LogLevel::Error => Level::Error,
    }
}

/// A logger for one part of the program, such as `config` or `peers`.
pub fn part_logger(root: &Logger, part: &'static str) -> Logger {
    root.new(o!("part" => part))
}

fn queued<D>(drain: D, level: Level) -> Logger
where
    D: Drain<Err = slog::Never, Ok = ()> + Send + 'static,
{
    let queue = slog_async::Async::new(drain).chan_size(LOG_QUEUE_RECORDS).build();
    Logger::root(queue.filter_level(level).fuse(), o!())
}
