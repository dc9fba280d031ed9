//! Checks the order of the times that are derived from the bounds in the settings, over a grid of
//! bounds.

use std::time::Duration;

use settings::{HostedBounds, HostedTiming};

/// Bounds that are combined, in seconds.
const GRID_SECONDS: [f64; 8] = [0.5, 1.0, 1.5, 2.0, 3.0, 4.0, 10.0, 20.0];

/// Time that the store takes to respond beyond the long-poll wait, as a fraction of the time until
/// a change must be in force.
const RESPONSE_DELAY_RATIO: f64 = 0.04;

/// Part of the time until a change must be in force that is left for reading the store directly.
const DIRECT_READ_RATIO: f64 = 0.3;

/// Longest pause relative to its mean.
const MAX_JITTER: f64 = 1.5;

/// Time that a VM may take to read the store after an outage, as a fraction of the contact time.
const READ_AFTER_OUTAGE_RATIO: f64 = 0.1;

/// Time that a server may take to renew its entry after a heartbeat, in heartbeats.
const RENEWAL_RATIO: f64 = 0.1;

fn all_bounds() -> Vec<HostedBounds> {
    let mut all = Vec::new();
    for contact in GRID_SECONDS {
        for config_apply in GRID_SECONDS {
            for drain in GRID_SECONDS {
                for heartbeat in GRID_SECONDS {
                    all.push(HostedBounds {
                        contact: Duration::from_secs_f64(contact),
                        config_apply: Duration::from_secs_f64(config_apply),
                        drain: Duration::from_secs_f64(drain),
                        heartbeat: Duration::from_secs_f64(heartbeat),
                        recovery: Duration::from_secs_f64(5.0 * contact),
                        grace: Duration::from_secs_f64(2.0 * contact),
                        retry_window: Duration::from_secs_f64(10.0 * drain),
                    });
                }
            }
        }
    }
    all
}

fn propagation(bounds: &HostedBounds) -> Duration {
    bounds.config_apply.min(bounds.drain)
}

#[test]
fn calm_subscriber_neither_leaves_its_relay_nor_reads_the_store() {
    for bounds in all_bounds() {
        let timing = HostedTiming::new(&bounds).expect("the bounds can be met");
        let delay = propagation(&bounds).mul_f64(RESPONSE_DELAY_RATIO);
        let oldest_at_relay = timing.relay_poll_wait + delay;
        assert!(
            oldest_at_relay < timing.max_relay_state_age,
            "a relay whose polls succeed is left: {bounds:?}, {timing:?}"
        );
        let oldest_at_subscriber = oldest_at_relay + timing.keep_alive_interval;
        assert!(
            oldest_at_subscriber < timing.direct_read_age,
            "a subscriber of a fresh relay reads the store: {bounds:?}, {timing:?}"
        );
        assert!(timing.max_relay_state_age < timing.direct_read_age, "{bounds:?}, {timing:?}");
    }
}

/// A store that closes all connections and has dropped its history costs a relay two failed and two
/// further calls, one table after the other.
#[test]
fn subscriber_stays_with_its_relay_when_the_store_closes_its_connections() {
    for bounds in all_bounds() {
        let timing = HostedTiming::new(&bounds).expect("the bounds can be met");
        let delay = propagation(&bounds).mul_f64(RESPONSE_DELAY_RATIO);
        let recovery = timing.relay_first_retry_pause.mul_f64(MAX_JITTER) + delay * 2;
        let oldest_at_relay = timing.relay_poll_wait + recovery;
        assert!(oldest_at_relay < timing.max_relay_state_age, "{bounds:?}, {timing:?}");
    }
}

#[test]
fn change_is_in_force_in_time_without_any_relay() {
    for bounds in all_bounds() {
        let timing = HostedTiming::new(&bounds).expect("the bounds can be met");
        let limit = propagation(&bounds);
        let in_force = timing.direct_read_age + limit.mul_f64(DIRECT_READ_RATIO);
        assert!(in_force <= limit, "a change comes too late: {bounds:?}, {timing:?}");
    }
}

#[test]
fn store_is_read_again_within_the_contact_time_after_an_outage() {
    for bounds in all_bounds() {
        let timing = HostedTiming::new(&bounds).expect("the bounds can be met");
        let read = bounds.contact.mul_f64(READ_AFTER_OUTAGE_RATIO);
        // A poll that was pending when the outage began, and is repeated once.
        let pending = timing.long_poll_wait + timing.store_call_timeout;
        let pause = timing.first_retry_pause.mul_f64(MAX_JITTER);
        assert!(pending + pause + read < bounds.contact, "{bounds:?}, {timing:?}");
        // A VM whose calls failed throughout the outage.
        let longest_pause = timing.max_failure_pause.mul_f64(MAX_JITTER);
        assert!(longest_pause + read < bounds.contact, "{bounds:?}, {timing:?}");
        let longest_in_known_outage =
            (timing.known_outage_pause + timing.first_retry_pause).mul_f64(MAX_JITTER);
        assert!(longest_in_known_outage + read < bounds.contact, "{bounds:?}, {timing:?}");
        let longest_at_relay = timing.relay_max_failure_pause.mul_f64(MAX_JITTER);
        let at_relay = timing.store_call_timeout + longest_at_relay + read;
        assert!(at_relay < bounds.contact, "{bounds:?}, {timing:?}");
    }
}

#[test]
fn failed_relay_is_detected_before_its_budget_share_matters() {
    for bounds in all_bounds() {
        let timing = HostedTiming::new(&bounds).expect("the bounds can be met");
        assert!(timing.relay_silence_timeout > 3 * timing.keep_alive_interval);
        assert!(timing.relay_silence_timeout < bounds.retry_window, "{bounds:?}, {timing:?}");
    }
}

#[test]
fn lapsed_entries_are_kept_for_a_heartbeat_but_no_longer_than_the_contact_time() {
    for bounds in all_bounds() {
        let timing = HostedTiming::new(&bounds).expect("the bounds can be met");
        let renewal = bounds.heartbeat.mul_f64(1.0 + RENEWAL_RATIO);
        let longest = bounds.contact.mul_f64(0.6);
        assert!(timing.lapsed_entry_retention <= longest, "{bounds:?}, {timing:?}");
        if renewal < bounds.contact / 2 {
            assert!(timing.lapsed_entry_retention > renewal, "{bounds:?}, {timing:?}");
        }
    }
}

/// After a start of all VMs, the relays' state must arrive before the VMs read the store themselves.
#[test]
fn state_of_relays_arrives_before_most_vms_read_the_store_at_their_start() {
    for bounds in all_bounds() {
        let timing = HostedTiming::new(&bounds).expect("the bounds can be met");
        let confirmation = timing.subscription_retry_pause.mul_f64(MAX_JITTER)
            + propagation(&bounds).mul_f64(RESPONSE_DELAY_RATIO)
            + timing.keep_alive_interval;
        assert!(confirmation < timing.first_read_delay, "{bounds:?}, {timing:?}");
        let longest = timing.first_read_delay.mul_f64(MAX_JITTER);
        assert!(longest < timing.direct_read_age, "{bounds:?}, {timing:?}");
    }
}

#[test]
fn stop_ends_within_the_grace_time() {
    for bounds in all_bounds() {
        let timing = HostedTiming::new(&bounds).expect("the bounds can be met");
        // Half of the grace time is left for requests that were accepted last.
        assert!(timing.drain_notice + timing.exit_margin < bounds.grace.mul_f64(0.55));
    }
}

#[test]
fn bounds_that_contradict_each_other_are_both_named() {
    let mut bounds = all_bounds()[0];
    bounds.contact = Duration::from_secs(20);
    bounds.recovery = Duration::from_secs(1);
    let error = HostedTiming::new(&bounds).expect_err("a restart can't be that fast");
    let text = error.to_string();
    assert!(text.contains("recovery_s") && text.contains("contact_s"), "{text}");
    bounds.recovery = Duration::from_secs(100);
    bounds.retry_window = Duration::from_millis(100);
    let text = HostedTiming::new(&bounds).expect_err("the window is too short").to_string();
    assert!(text.contains("retries.window_s") && text.contains("drain_s"), "{text}");
}

/// The fleet must know a request that crashes its servers within the contact time.
#[test]
fn crashes_count_well_within_the_contact_time() {
    for bounds in all_bounds() {
        let timing = HostedTiming::new(&bounds).expect("the bounds can be met");
        assert!(timing.crash_settle_time * 4 < bounds.contact, "{bounds:?}, {timing:?}");
    }
}
