//! Processor time of the control thread.

use std::time::Duration;

use tokio::time::interval;

use observe::DaemonMetrics;

/// Time between two reports.
const REPORT_INTERVAL: Duration = Duration::from_secs(5);

/// Processor seconds of the calling thread so far; `None` where the kernel doesn't tell.
pub(crate) fn control_cpu_seconds() -> Option<f64> {
    // The first field counts nanoseconds on a processor (proc(5), /proc/pid/schedstat).
    let text = std::fs::read_to_string("/proc/thread-self/schedstat").ok()?;
    let nanoseconds: f64 = text.split_whitespace().next()?.parse().ok()?;
    Some(nanoseconds / 1e9)
}

/// Keeps the metric of the control thread's processor time. Must run on the control thread.
pub(crate) async fn report_control_cpu(metrics: DaemonMetrics) {
    let mut reports = interval(REPORT_INTERVAL);
    loop {
        reports.tick().await;
        if let Some(seconds) = control_cpu_seconds() {
            metrics.control_seconds.set(seconds);
        }
    }
}
