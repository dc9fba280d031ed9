use tokio::time::Instant;

use super::{LOG_PERIOD, LoggedFaults, MAX_LINES};
use platform::ServerRowError;

fn fault(key: &str, field: &'static str) -> ServerRowError {
    ServerRowError { key: key.into(), server: None, field, reason: "it is missing".into() }
}

#[test]
fn repeated_fault_is_logged_once_in_a_period() {
    let mut faults = LoggedFaults::default();
    let start = Instant::now();
    assert_eq!(faults.admit(&fault("s-1", "address"), start), Some(0));
    assert_eq!(faults.admit(&fault("s-1", "address"), start), None);
    assert_eq!(faults.admit(&fault("s-1", "info"), start), Some(1));
    assert_eq!(faults.admit(&fault("s-1", "address"), start + LOG_PERIOD), Some(0));
}

#[test]
fn lines_are_bounded_whatever_the_number_of_entries() {
    let mut faults = LoggedFaults::default();
    let start = Instant::now();
    let keys = (0..1_000).map(|number| format!("s-{number}"));
    let logged = keys.filter(|key| faults.admit(&fault(key, "info"), start).is_some()).count();
    assert_eq!(logged, MAX_LINES);
}
