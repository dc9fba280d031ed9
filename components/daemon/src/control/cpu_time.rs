//! CPU time of the control thread.

/// Returns the CPU time used by the calling thread in seconds, or `None` if the kernel does not
/// report it.
pub(crate) fn thread_cpu_seconds() -> Option<f64> {
    // The first field is the time spent on the CPU in nanoseconds (proc(5), /proc/pid/schedstat).
    let text = std::fs::read_to_string("/proc/thread-self/schedstat").ok()?;
    let nanoseconds: f64 = text.split_whitespace().next()?.parse().ok()?;
    Some(nanoseconds / 1e9)
}
