//! Processor time of the control thread.

/// Processor seconds of the calling thread so far; `None` where the kernel doesn't tell.
pub(crate) fn thread_cpu_seconds() -> Option<f64> {
    // The first field counts nanoseconds on a processor (proc(5), /proc/pid/schedstat).
    let text = std::fs::read_to_string("/proc/thread-self/schedstat").ok()?;
    let nanoseconds: f64 = text.split_whitespace().next()?.parse().ok()?;
    Some(nanoseconds / 1e9)
}
