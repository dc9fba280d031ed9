//! Logs, metrics and traces.

mod batched;
mod hosted;
mod logs;
mod metrics;
mod registry;
mod traces;

pub use batched::{BatchedLogs, FLUSH_INTERVAL};
pub use hosted::HostedMetrics;
pub use logs::{level_of, part_logger, start_logs};
pub use metrics::{DaemonMetrics, RequestOutcome};
pub use slog::{Logger, debug, error, info, o, warn};
pub use traces::{HopSpan, TraceExporter};
