//! Logs, metrics and traces.

mod accounts;
mod batched;
mod hosted;
mod logs;
mod metrics;
mod registry;
mod traces;

pub use batched::{BatchedLogger, FLUSH_INTERVAL};
pub use hosted::HostedMetrics;
pub use logs::{component_logger, slog_level, start_logger};
pub use metrics::{DaemonMetrics, RequestOutcome};
pub use prometheus::IntCounter;
pub use slog::{Logger, debug, error, info, o, warn};
pub use traces::{HopSpan, TraceExporter};
