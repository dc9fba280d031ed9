//! Resource usage of processes and metrics of daemons.

use std::net::SocketAddr;

use crate::caller::{CallRequest, call};

/// Resource usage of a process.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ProcessUsage {
    /// Resident memory in bytes.
    pub resident_bytes: u64,
    /// CPU time in seconds, user and system.
    pub cpu_seconds: f64,
}

impl ProcessUsage {
    /// Reads the usage of a process from `/proc`.
    pub fn read(pid: u32) -> Self {
        /// Clock ticks per second on Linux (`getconf CLK_TCK`).
        const TICKS_PER_S: f64 = 100.0;
        /// Page size of the machines that run the benchmarks.
        const PAGE_BYTES: u64 = 4_096;
        let read_file = |name: &str| {
            std::fs::read_to_string(format!("/proc/{pid}/{name}")).expect("the process runs")
        };
        let stat = read_file("stat");
        // The second field may contain spaces and ends with the last parenthesis.
        let rest = stat.rsplit(')').next().unwrap_or_default();
        // The remaining fields start with the third one, so utime and stime have indices 11 and 12.
        let fields: Vec<&str> = rest.split_whitespace().collect();
        let ticks = |index: usize| fields[index].parse::<f64>().expect("ticks are numbers");
        let resident_pages: u64 = read_file("statm")
            .split_whitespace()
            .nth(1)
            .and_then(|pages| pages.parse().ok())
            .expect("statm has a resident field");
        Self {
            resident_bytes: resident_pages * PAGE_BYTES,
            cpu_seconds: (ticks(11) + ticks(12)) / TICKS_PER_S,
        }
    }
}

/// Reads one metric of a daemon; 0 if it is missing.
pub async fn read_metric(operators: SocketAddr, name: &str) -> f64 {
    let request = CallRequest::get(operators, "test", "/metrics");
    let Ok(response) = call(&request).await else {
        return 0.0;
    };
    response
        .text()
        .lines()
        .find_map(|line| line.strip_prefix(name)?.trim().parse().ok())
        .unwrap_or_default()
}
