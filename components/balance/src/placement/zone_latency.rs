//! Learns how long probes to each availability zone take.
//!
//! Load pattern: zones a millisecond apart on one deployment and tens of milliseconds on another. A
//! selection waits for probes as long as they usually take there, and a server in another zone
//! costs the additional delay.

use std::time::Duration;

use model::{FastMap, ZoneName};

/// Weight of the newest time in the moving average.
const NEWEST_TIME_WEIGHT: f64 = 0.1;

/// Time that a selection waits for a probe, as a multiple of the mean.
const WAIT_FACTOR: f64 = 8.0;

/// Shortest wait, for a deployment whose probes take less than the scheduling delay of a small VM.
const MIN_WAIT: Duration = Duration::from_millis(20);

/// Longest wait, and the wait before the first probe.
const MAX_WAIT: Duration = Duration::from_millis(150);

/// Mean times of probes by availability zone.
#[derive(Debug, Clone, Default)]
pub struct ZoneLatencies {
    seconds: FastMap<ZoneName, f64>,
}

impl ZoneLatencies {
    /// Applies the time of a probe that was answered.
    pub fn observe(&mut self, zone: &ZoneName, elapsed: Duration) {
        let newest = elapsed.as_secs_f64();
        match self.seconds.get_mut(zone) {
            Some(seconds) => *seconds += (newest - *seconds) * NEWEST_TIME_WEIGHT,
            None => {
                self.seconds.insert(zone.clone(), newest);
            }
        }
    }

    /// Returns the delay of a zone in addition to that of `own`; zero until both are known.
    pub fn additional_delay(&self, own: &ZoneName, zone: &ZoneName) -> Duration {
        match (self.seconds.get(own), self.seconds.get(zone)) {
            (Some(own), Some(other)) => Duration::from_secs_f64((other - own).max(0.0)),
            _ => Duration::ZERO,
        }
    }

    /// Returns how long a selection waits for probes to the known zones.
    pub fn probe_wait(&self) -> Duration {
        let slowest = self.seconds.values().copied().fold(f64::NAN, f64::max);
        match slowest.is_nan() {
            true => MAX_WAIT,
            false => Duration::from_secs_f64(slowest * WAIT_FACTOR).clamp(MIN_WAIT, MAX_WAIT),
        }
    }
}
