//! Times of a hosted entry VM on which a promise to the platform depends, derived from the bounds
//! in the settings.
//!
//! Two promises bind them. A change that the store accepted must be in force at every VM within
//! the propagation time, the shorter of the bounds for configurations and for leaving servers. And
//! within the contact time after a disruption, a VM must have the current state again.
//!
//! For the first promise, each of these times is shorter than the next one, with a margin for the
//! delays of the store and of the links:
//!
//! 1. `relay_poll_wait`: the age that the state of a healthy relay reaches;
//! 2. `relay_poll_wait` + `keep_alive_interval`: the age that it reaches at a subscriber;
//! 3. `direct_read_age`, after which a VM reads the store itself; a relay whose state is older than
//!    `max_relay_state_age` is left before that, in favor of a fresher one;
//! 4. the propagation time, less `DIRECT_READ_RATIO` of it for that read.

use std::time::Duration;

use derive_more::{Display, Error};

/// Long-poll wait of a relay, as a fraction of the propagation time.
const RELAY_POLL_PROPAGATION_RATIO: f64 = 0.42;

/// Long-poll wait of a relay, as a fraction of the contact time: a poll that was pending when a
/// disruption began gets no response and must be detected and repeated within that time.
const RELAY_POLL_CONTACT_RATIO: f64 = 0.28;

/// Interval between keep-alive messages, as a fraction of the propagation time.
const KEEP_ALIVE_RATIO: f64 = 0.1;

/// Longest interval between keep-alive messages. Longer ones save no more than a few bytes per
/// second and delay the detection of a failed relay.
const MAX_KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Missed keep-alive messages after which a relay counts as failed.
const MISSED_KEEP_ALIVES: f64 = 3.2;

/// Age at which a relay is left, as a fraction of the propagation time.
const MAX_RELAY_STATE_AGE_RATIO: f64 = 0.55;

/// Part of the propagation time that a direct read of the store may take.
const DIRECT_READ_RATIO: f64 = 0.35;

/// Timeout for subscribing to a relay, as a fraction of the propagation time.
const RELAY_HANDSHAKE_RATIO: f64 = 0.2;

/// Pause before a failed call of a relay is retried first, as a part of that of other VMs. A store
/// that closes its connections accepts new ones at once, and the subscribers of a relay read the
/// store themselves if it takes long.
const RELAY_FIRST_RETRY_RATIO: f64 = 0.1;

/// Pause before a failed subscription is retried first, as a fraction of the propagation time. All
/// VMs may start within a moment, in any order.
const FIRST_SUBSCRIPTION_RETRY_RATIO: f64 = 0.025;

/// Mean time that a VM without any state waits for that of a relay before it reads the store itself,
/// as a fraction of the propagation time: if all VMs start at once, relays need most of it to start,
/// read the store and confirm their state.
const FIRST_READ_RATIO: f64 = 0.4;

/// Pause after a change, as a fraction of the propagation time.
const BATCHING_RATIO: f64 = 0.15;

/// Pause after a change at a relay, whose subscribers wait for it, as a fraction of the propagation
/// time.
const RELAY_BATCHING_RATIO: f64 = 0.05;

/// Pause before a failed call is retried first, as a fraction of the propagation time.
const FIRST_RETRY_RATIO: f64 = 0.075;

/// The same, as a fraction of the contact time.
const FIRST_RETRY_CONTACT_RATIO: f64 = 0.05;

/// Long-poll wait of a VM that reads the store itself, as a fraction of the contact time.
const LONG_POLL_CONTACT_RATIO: f64 = 0.55;

/// Time that a response of the store may take beyond the long-poll wait, as a fraction of the
/// contact time.
const STORE_CALL_CONTACT_RATIO: f64 = 0.22;

/// Longest mean pause between failed calls to the store, as a fraction of the contact time.
const FAILURE_PAUSE_CONTACT_RATIO: f64 = 0.53;

/// Mean pause between calls to the store while relays say that their calls fail too, as a fraction of
/// the contact time. The pause after a first failed call follows it. Relays find out first when the outage is over.
const KNOWN_OUTAGE_PAUSE_CONTACT_RATIO: f64 = 0.5;

/// Longest mean pause between failed calls to the store at a relay, as a fraction of the contact
/// time.
const RELAY_FAILURE_PAUSE_CONTACT_RATIO: f64 = 0.265;

/// Time for which a lapsed entry is kept, in heartbeats: a live server renews its entry with its
/// next heartbeat.
const RETENTION_HEARTBEATS: f64 = 1.133;

/// Time for which a lapsed entry is kept, as a fraction of the contact time: a server that has
/// stopped must get no requests from then on, and a VM may notice the end of an outage late.
const RETENTION_CONTACT_RATIO: f64 = 0.57;

/// Time from SIGTERM until new connections are refused, as a fraction of the grace time.
const DRAIN_NOTICE_GRACE_RATIO: f64 = 0.47;

/// Longest time from SIGTERM until new connections are refused. The platform checks readiness once
/// a second and sends no new connections after two failed checks.
const MAX_DRAIN_NOTICE: Duration = Duration::from_millis(2_800);

/// Time before the end of the grace time at which the process exits even with requests in flight,
/// as a fraction of the grace time.
const EXIT_MARGIN_GRACE_RATIO: f64 = 0.067;

/// Longest such time.
const MAX_EXIT_MARGIN: Duration = Duration::from_millis(400);

/// Time after the first report of a crash until it counts, as a fraction of the contact time: within
/// that time the whole fleet must know a request that crashes its servers, and the reports of other
/// VMs arrive within a fraction of a second.
const CRASH_SETTLE_CONTACT_RATIO: f64 = 0.1;

/// Longest long-poll wait that the store accepts.
const MAX_LONG_POLL_WAIT: Duration = Duration::from_secs(30);

/// Bounds of the platform's promises that times of an entry VM depend on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HostedBounds {
    /// Time after an outage within which a VM must have the current state of the store again.
    pub contact: Duration,
    /// Time until an accepted configuration or evacuation must be in force.
    pub config_apply: Duration,
    /// Time until a leaving backend server must get no more requests.
    pub drain: Duration,
    /// Interval at which backend servers renew their entries in the list.
    pub heartbeat: Duration,
    /// Time after a restart of all entry VMs within which they must serve again.
    pub recovery: Duration,
    /// Time from SIGTERM until the platform kills the process.
    pub grace: Duration,
    /// Window of the retry budget.
    pub retry_window: Duration,
}

/// Times of a hosted entry VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HostedTiming {
    /// Long-poll wait of a relay.
    pub relay_poll_wait: Duration,
    /// Interval between two keep-alive messages of a relay.
    pub keep_alive_interval: Duration,
    /// Time without a byte after which a relay counts as failed. Invariant: longer than three
    /// keep-alive intervals.
    pub relay_silence_timeout: Duration,
    /// Timeout for subscribing to a relay.
    pub relay_handshake_timeout: Duration,
    /// Age of a relay's state above which a subscriber leaves it. Invariant: longer than
    /// `relay_poll_wait` and shorter than `direct_read_age`.
    pub max_relay_state_age: Duration,
    /// Age of its state above which a VM reads the store itself. Invariant: longer than
    /// `relay_poll_wait` and `keep_alive_interval` together, and shorter than the propagation time
    /// less the time of a direct read.
    pub direct_read_age: Duration,
    /// Mean time that the last relay of a round of subscriptions has to become fresh, and upper
    /// bound of the mean pause between rounds.
    pub last_relay_grace: Duration,
    /// Mean pause after the first failed call to the store.
    pub first_retry_pause: Duration,
    /// The same at a relay.
    pub relay_first_retry_pause: Duration,
    /// Mean pause after the first failed round of subscriptions.
    pub subscription_retry_pause: Duration,
    /// Mean time that a VM without any state waits for that of a relay.
    pub first_read_delay: Duration,
    /// Mean pause after a change, so that changes in quick succession need only one call.
    pub batching_pause: Duration,
    /// The same at a relay.
    pub relay_batching_pause: Duration,
    /// Long-poll wait of a VM that reads the store itself. Invariant: together with
    /// `store_call_timeout` shorter than the contact time.
    pub long_poll_wait: Duration,
    /// Time that a response of the store may take beyond the long-poll wait.
    pub store_call_timeout: Duration,
    /// Longest mean pause between failed calls to the store.
    pub max_failure_pause: Duration,
    /// Mean pause before that of `first_retry_pause` after a failed call while relays say that their
    /// calls fail too. Invariant: both together, with their jitter, are shorter than the contact
    /// time.
    pub known_outage_pause: Duration,
    /// The same at a relay.
    pub relay_max_failure_pause: Duration,
    /// How long lapsed entries are kept after the store became reachable again.
    pub lapsed_entry_retention: Duration,
    /// Time from SIGTERM until new connections are refused. Invariant: together with
    /// `exit_margin` shorter than the grace time.
    pub drain_notice: Duration,
    /// Time before the end of the grace time at which the process exits.
    pub exit_margin: Duration,
    /// Time after the first report of a crash until it counts. Invariant: shorter than the contact
    /// time.
    pub crash_settle_time: Duration,
}

/// Error for two settings that can't be met together.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display(
    "{shorter} ({shorter_ms} ms) must be longer than {ratio} of {longer} ({longer_ms} ms): {reason}"
)]
pub struct TimingError {
    /// Name of the setting that is too short.
    pub shorter: &'static str,
    /// Name of the setting that it is too short for.
    pub longer: &'static str,
    shorter_ms: u128,
    longer_ms: u128,
    ratio: Box<str>,
    reason: &'static str,
}

impl HostedTiming {
    /// Derives the times; fails if the bounds can't be met together.
    pub fn new(bounds: &HostedBounds) -> Result<Self, TimingError> {
        check_bounds(bounds)?;
        let propagation = bounds.config_apply.min(bounds.drain);
        let contact = bounds.contact;
        let keep_alive_interval =
            propagation.mul_f64(KEEP_ALIVE_RATIO).min(MAX_KEEP_ALIVE_INTERVAL);
        let first_retry_pause =
            propagation.mul_f64(FIRST_RETRY_RATIO).min(contact.mul_f64(FIRST_RETRY_CONTACT_RATIO));
        let relay_poll_wait = propagation
            .mul_f64(RELAY_POLL_PROPAGATION_RATIO)
            .min(contact.mul_f64(RELAY_POLL_CONTACT_RATIO));
        Ok(Self {
            relay_poll_wait: relay_poll_wait.min(MAX_LONG_POLL_WAIT),
            keep_alive_interval,
            relay_silence_timeout: keep_alive_interval.mul_f64(MISSED_KEEP_ALIVES),
            relay_handshake_timeout: propagation.mul_f64(RELAY_HANDSHAKE_RATIO),
            max_relay_state_age: propagation.mul_f64(MAX_RELAY_STATE_AGE_RATIO),
            direct_read_age: propagation.mul_f64(1.0 - DIRECT_READ_RATIO),
            last_relay_grace: propagation,
            first_retry_pause,
            relay_first_retry_pause: first_retry_pause.mul_f64(RELAY_FIRST_RETRY_RATIO),
            subscription_retry_pause: propagation.mul_f64(FIRST_SUBSCRIPTION_RETRY_RATIO),
            first_read_delay: propagation.mul_f64(FIRST_READ_RATIO),
            batching_pause: propagation.mul_f64(BATCHING_RATIO),
            relay_batching_pause: propagation.mul_f64(RELAY_BATCHING_RATIO),
            long_poll_wait: contact.mul_f64(LONG_POLL_CONTACT_RATIO).min(MAX_LONG_POLL_WAIT),
            store_call_timeout: contact.mul_f64(STORE_CALL_CONTACT_RATIO),
            max_failure_pause: contact.mul_f64(FAILURE_PAUSE_CONTACT_RATIO),
            known_outage_pause: contact.mul_f64(KNOWN_OUTAGE_PAUSE_CONTACT_RATIO),
            relay_max_failure_pause: contact.mul_f64(RELAY_FAILURE_PAUSE_CONTACT_RATIO),
            lapsed_entry_retention: bounds
                .heartbeat
                .mul_f64(RETENTION_HEARTBEATS)
                .min(contact.mul_f64(RETENTION_CONTACT_RATIO)),
            drain_notice: bounds.grace.mul_f64(DRAIN_NOTICE_GRACE_RATIO).min(MAX_DRAIN_NOTICE),
            exit_margin: bounds.grace.mul_f64(EXIT_MARGIN_GRACE_RATIO).min(MAX_EXIT_MARGIN),
            crash_settle_time: contact.mul_f64(CRASH_SETTLE_CONTACT_RATIO),
        })
    }
}

/// Checks the bounds that must be met together.
fn check_bounds(bounds: &HostedBounds) -> Result<(), TimingError> {
    let is_met = |(_, one): (&str, Duration), (_, other): (&str, Duration), ratio: f64| {
        one > other.mul_f64(ratio)
    };
    let contact = ("contact_s", bounds.contact);
    let rules = [
        (
            ("recovery_s", bounds.recovery),
            contact,
            2.0 * STORE_CALL_CONTACT_RATIO,
            "after a restart, a call to the store may have to be repeated once",
        ),
        (
            ("retries.window_s", bounds.retry_window),
            ("config_apply_s or drain_s", bounds.config_apply.min(bounds.drain)),
            KEEP_ALIVE_RATIO * MISSED_KEEP_ALIVES,
            "a share of the retry budget must expire within its window when its relay fails",
        ),
    ];
    for (shorter, longer, ratio, reason) in rules {
        if !is_met(shorter, longer, ratio) {
            return Err(TimingError {
                shorter: shorter.0,
                longer: longer.0,
                shorter_ms: shorter.1.as_millis(),
                longer_ms: longer.1.as_millis(),
                ratio: format!("{ratio:.2}").into(),
                reason,
            });
        }
    }
    Ok(())
}
