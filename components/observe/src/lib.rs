//! Logs, metrics and traces.

mod logs;
mod metrics;
mod traces;

pub use logs::{part_logger, start_logs};
pub use metrics::{DaemonMetrics, RequestOutcome};
pub use slog::{Logger, debug, error, info, o, warn};
pub use traces::{HopSpan, TraceExporter};
