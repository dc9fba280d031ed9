use std::time::Duration;

use tokio::time::Instant;

use crate::soak::checks::peak_of_journeys;

#[test]
fn requests_that_were_sent_before_the_second_of_their_arrival_do_not_count() {
    let start = Instant::now();
    let at = |millis| start + Duration::from_millis(millis);
    let cold = at(1_000)..at(4_000);
    // Held up for more than a second, all received at the same moment.
    let held_up: Vec<_> = (0..40).map(|number| at(900 + number)..at(2_400)).collect();
    assert_eq!(peak_of_journeys(&held_up, &cold), 0);
    // Sent before the server was cold, and received after that.
    assert_eq!(peak_of_journeys(&[at(999)..at(1_001)], &cold), 0);
    let sent_every = |pause: u64| -> Vec<_> {
        (0..20).map(|number| at(1_000 + pause * number)..at(1_001 + pause * number)).collect()
    };
    assert_eq!(peak_of_journeys(&sent_every(49), &cold), 20);
    assert_eq!(peak_of_journeys(&sent_every(100), &cold), 10);
}
