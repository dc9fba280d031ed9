//! Structured logs. Each message starts with the fixed prefix of its component, such as `config:`.

use std::sync::Mutex;

use slog::{Drain, Level, Logger, o};

use settings::{LogFormat, LogLevel};

/// Maximum number of log records queued for the writer thread; `slog_async` drops and counts
/// further records.
const LOG_QUEUE_RECORDS: usize = 4_096;

/// Returns a logger that writes to standard error in a thread of its own.
pub fn start_logger(level: LogLevel, format: LogFormat) -> Logger {
    let level = slog_level(level);
    match format {
        LogFormat::Json => {
            let json = slog_json::Json::default(std::io::stderr());
            async_logger(Mutex::new(json).map(slog::Fuse), level)
        }
        LogFormat::Terminal => {
            let decorator = slog_term::TermDecorator::new().stderr().build();
            async_logger(slog_term::FullFormat::new(decorator).build().fuse(), level)
        }
    }
}

/// Returns the `slog` level for the level in the settings.
pub fn slog_level(level: LogLevel) -> Level {
    match level {
        LogLevel::Debug => Level::Debug,
        LogLevel::Info => Level::Info,
        LogLevel::Warning => Level::Warning,
        LogLevel::Error => Level::Error,
    }
}

/// Returns a logger for a component of the daemon, such as `config` or `peers`.
pub fn component_logger(root: &Logger, component: &'static str) -> Logger {
    root.new(o!("part" => component))
}

fn async_logger<D>(drain: D, level: Level) -> Logger
where
    D: Drain<Err = slog::Never, Ok = ()> + Send + 'static,
{
    let queue = slog_async::Async::new(drain).chan_size(LOG_QUEUE_RECORDS).build();
    Logger::root(queue.filter_level(level).fuse(), o!())
}
