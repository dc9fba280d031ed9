//! Registration and rendering of metrics.

use prometheus::{Encoder, IntCounter, IntGauge, Registry, TextEncoder};

/// Returns a new counter that is registered in `registry`.
pub(crate) fn register_counter(registry: &Registry, name: &str, help: &str) -> IntCounter {
    let counter = IntCounter::new(name, help).expect("metric definitions are valid");
    registry.register(Box::new(counter.clone())).expect("metric names are unique");
    counter
}

/// Returns a new gauge that is registered in `registry`.
pub(crate) fn register_gauge(registry: &Registry, name: &str, help: &str) -> IntGauge {
    let gauge = IntGauge::new(name, help).expect("metric definitions are valid");
    registry.register(Box::new(gauge.clone())).expect("metric names are unique");
    gauge
}

/// Returns all metrics of `registry` in the Prometheus text format.
pub(crate) fn render_metrics(registry: &Registry) -> String {
    let mut text = Vec::new();
    match TextEncoder::new().encode(&registry.gather(), &mut text) {
        Ok(()) => String::from_utf8_lossy(&text).into_owned(),
        Err(error) => format!("# metrics could not be encoded: {error}\n"),
    }
}
