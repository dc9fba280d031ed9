//! Wall-clock time, used only for the retention of claims.

use std::time::{SystemTime, UNIX_EPOCH};

/// Milliseconds since 1970 by this VM's clock.
pub(crate) fn wall_clock_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |elapsed| elapsed.as_millis() as u64)
}
