//! Keeps the requests of all entry VMs to a server within its limit: one that the server named, or
//! that of a cold server.
//!
//! Load pattern: a server in need names a rate that all entry VMs together must keep, and each VM
//! could send it only one request in many seconds. Independent token buckets would let the whole
//! fleet send at the same moment. Instead the VMs take turns: the limit is divided into equal
//! parts, one for each relay, and the VMs of a relay share its part one after the other.
//!
//! VMs learn at different moments that the fleet has grown or shrunk, and must not take each other's
//! turns meanwhile. So the boundaries of the turns depend on the relay's clock alone, and the turns
//! are assigned as in linear hashing: a round has as many turns as the next power of two, and those
//! beyond the number of VMs belong to the VMs half a round before. One more VM takes over one turn;
//! all others keep theirs.

use std::hash::Hasher;
use std::time::Duration;

use siphasher::sip::SipHasher13;
use tokio::time::Instant;

use model::{ProbeRate, RequestRate, ServerId};

/// What a response says about the server's limit.
#[derive(Debug, Clone, Copy)]
pub struct LimitResponse {
    /// The limit that it names.
    pub rate: Option<RequestRate>,
    /// Whether it responds to a probe.
    pub is_probe: bool,
    /// When the request or probe was sent. An older one than the one that brought a limit may still
    /// be answered without it.
    pub sent_at: Instant,
}

/// Fraction of a limit that is divided. The rest covers VMs that change their relay.
const DIVIDED_FRACTION: f64 = 0.9;

/// Fraction of a turn in which its request may be sent, so that requests of two successive turns
/// are some time apart.
const USABLE_FRACTION: f64 = 0.75;

/// Largest difference between the readings of a relay's clock by two of its subscribers.
const CLOCK_ERROR: Duration = Duration::from_millis(100);

/// Bounds of periods.
const MIN_PERIOD: Duration = Duration::from_millis(1);
const MAX_PERIOD: Duration = Duration::from_secs(3_600);

/// Largest fleet of entry VMs that is supported. A VM without valid turns uses its part of a limit
/// as if it were one of so many.
const MAX_FLEET_VMS: u32 = 4_096;

/// Turns that a relay assigns to an entry VM.
#[derive(Debug, Clone, Copy)]
pub struct AssignedTurns {
    /// Number of VMs that share the relay's turns.
    pub count: u32,
    /// Number of this VM among them.
    pub index: u32,
    /// Reading of the relay's clock.
    pub clock: Duration,
    /// When the clock was read.
    pub read_at: Instant,
    /// Time after that for which the turns are the VM's.
    pub validity: Duration,
}

/// An entry VM's turns to send requests to servers that have a limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SendTurns {
    /// Number of equal parts into which each limit is divided. Invariant: at least 1.
    parts: u32,
    /// Number of VMs that share the part. Invariant: at least 1.
    count: u32,
    /// This VM's number among them. Invariant: less than `count`.
    index: u32,
    /// This VM's number while no relay assigns one. Invariant: less than `MAX_FLEET_VMS`.
    unassigned_index: u32,
    /// Reading of the clock that the VMs of the part share.
    clock: Duration,
    /// When the clock was read.
    read_at: Instant,
    /// Time from which the turns may belong to other VMs.
    valid_until: Instant,
}

impl SendTurns {
    /// Returns the turns of a VM to which no relay has assigned any. `position` is a random number
    /// from 0 to 1, which differs between the VMs.
    pub fn unassigned(parts: usize, position: f64, now: Instant) -> Self {
        let parts = u32::try_from(parts).unwrap_or(u32::MAX).max(1);
        let unassigned_index =
            ((position * f64::from(MAX_FLEET_VMS)) as u32).min(MAX_FLEET_VMS - 1);
        Self {
            parts,
            count: MAX_FLEET_VMS,
            index: unassigned_index,
            unassigned_index,
            clock: Duration::ZERO,
            read_at: now,
            valid_until: now,
        }
    }

    /// Returns the turns that a relay assigned; `None` if they violate an invariant.
    pub fn assign(self, assigned: &AssignedTurns) -> Option<Self> {
        let AssignedTurns { count, index, clock, read_at, validity } = *assigned;
        let valid_until = read_at + validity;
        (index < count).then_some(Self { count, index, clock, read_at, valid_until, ..self })
    }

    /// Returns the same turns, of limits that are divided into `parts` equal parts.
    pub fn with_parts(self, parts: u32) -> Self {
        Self { parts: parts.max(1), ..self }
    }

    /// Number of entry VMs that share the limits of all servers, as far as it is known: the parts
    /// may have different numbers of turns.
    pub fn fleet_size(&self, now: Instant) -> u32 {
        self.parts.saturating_mul(self.valid_count(now))
    }

    /// Number of VMs that share the part. Without valid turns, a VM keeps to the longest round, in
    /// which its use adds little to that of the VM that may have its turn now.
    fn valid_count(&self, now: Instant) -> u32 {
        if now < self.valid_until { self.count } else { MAX_FLEET_VMS }
    }

    /// This VM's number among them.
    fn valid_index(&self, now: Instant) -> u32 {
        if now < self.valid_until { self.index } else { self.unassigned_index }
    }

    /// Returns the length of a turn at a server that all entry VMs may send requests at `rate`.
    fn turn_length(&self, rate: RequestRate) -> Duration {
        bounded_period(rate.0 / f64::from(self.parts))
    }

    /// Returns the largest rate at which all entry VMs together send a server at most `max_requests`
    /// within any `window`.
    ///
    /// A relay's part of the rate is one request per turn of length T, sent in the usable fraction u
    /// of the turn. The last of n requests is sent at least (n - 1 - u) T after the first, so more
    /// than n requests take longer than the window if T exceeds window / (n - u). With clocks that
    /// differ by `CLOCK_ERROR` the window is that much longer. While the number of turns changes,
    /// two VMs may take one turn for theirs, so one request of each part is kept free for it.
    pub(crate) fn max_rate(&self, max_requests: f64, window: Duration) -> RequestRate {
        let parts = f64::from(self.parts);
        let per_part = ((max_requests / parts).floor() - 1.0).max(1.0);
        let window = (window + CLOCK_ERROR).as_secs_f64();
        RequestRate(parts * (per_part - USABLE_FRACTION) / window)
    }

    /// Returns how many turns ago this VM's latest turn was when turn `number` began, 0 if that is
    /// its own, and how many turns later its next one begins.
    fn distances(&self, number: u64, now: Instant) -> (u64, u64) {
        let (count, index) = (u64::from(self.valid_count(now)), u64::from(self.valid_index(now)));
        let round = count.next_power_of_two();
        let half = round / 2;
        let has_second = index < half && index + half >= count;
        let interval = if has_second { half } else { round };
        let since = (number % interval + interval - index % interval) % interval;
        (since, interval - since)
    }

    fn clock_at(&self, now: Instant) -> Duration {
        self.clock + now.saturating_duration_since(self.read_at)
    }
}

/// Returns the interval at which this VM probes a server if the whole fleet does so at `rate`.
pub(crate) fn check_interval(turns: Option<&SendTurns>, rate: ProbeRate, now: Instant) -> Duration {
    let vms = turns.map_or(1, |turns| turns.fleet_size(now));
    bounded_period(rate.0 / f64::from(vms))
}

fn bounded_period(rate: f64) -> Duration {
    let period = Duration::try_from_secs_f64(1.0 / rate).unwrap_or(MAX_PERIOD);
    period.clamp(MIN_PERIOD, MAX_PERIOD)
}

/// A limit that a server named.
#[derive(Debug, Clone, Copy)]
pub(crate) struct NamedLimit {
    rate: RequestRate,
    /// When a response named it first.
    named_at: Instant,
    /// Whether the response to a probe named it. Then one that doesn't ends it.
    is_named_by_probes: bool,
    /// When a probe was last sent to learn whether the limit still holds.
    pub(crate) checked_at: Instant,
}

impl NamedLimit {
    pub(crate) fn new(rate: RequestRate, is_named_by_probes: bool, now: Instant) -> Self {
        Self { rate, named_at: now, is_named_by_probes, checked_at: now }
    }

    /// Applies a later response that names a limit; returns whether the limit changed.
    pub(crate) fn update(&mut self, rate: RequestRate, is_probe: bool) -> bool {
        let has_changed = rate != self.rate;
        self.rate = rate;
        self.is_named_by_probes |= is_probe;
        has_changed
    }

    /// Whether a response that names no limit ends this one.
    pub(crate) fn is_ended_by(&self, response: LimitResponse) -> bool {
        response.sent_at > self.named_at && (self.is_named_by_probes || !response.is_probe)
    }

    /// Rate at which all entry VMs together send requests.
    pub(crate) fn divided_rate(&self) -> RequestRate {
        RequestRate(self.rate.0 * DIVIDED_FRACTION)
    }
}

/// Keeps this entry VM to its turns at one server.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SendGate {
    /// When the last request was sent.
    sent_at: Option<Instant>,
    /// When the server last named a limit after it had none.
    limited_at: Option<Instant>,
    /// Offset of the turns at this server. It differs between servers, so that a VM's turns at
    /// several servers are spread.
    offset: u32,
}

/// Position within this VM's turns, in seconds.
struct TurnPosition {
    /// Time since the start of the latest turn.
    since_start: f64,
    /// Time until the start of the next one.
    until_next: f64,
    /// Length of a turn.
    turn: f64,
}

impl TurnPosition {
    fn is_usable(&self) -> bool {
        self.since_start < self.turn * USABLE_FRACTION
    }
}

impl SendGate {
    pub(crate) fn new(server: &ServerId) -> Self {
        let mut hasher = SipHasher13::new();
        hasher.write(server.as_str().as_bytes());
        Self { sent_at: None, limited_at: None, offset: hasher.finish() as u32 }
    }

    /// Returns how long to wait until a request may be sent, if all entry VMs together send at
    /// `rate`; zero if it may be sent now.
    pub(crate) fn wait(
        &self,
        rate: RequestRate,
        turns: Option<&SendTurns>,
        now: Instant,
    ) -> Duration {
        let Some(turns) = turns else {
            let period_start = self.sent_at.max(self.limited_at);
            let passed = period_start.map(|start| now.saturating_duration_since(start));
            return passed
                .map_or(Duration::ZERO, |passed| bounded_period(rate.0).saturating_sub(passed));
        };
        let position = self.position(rate, turns, now);
        // The clock may be corrected, so a turn may seem to start later or again.
        let correction = CLOCK_ERROR.as_secs_f64().min(position.turn * (1.0 - USABLE_FRACTION));
        let interval = position.since_start + position.until_next;
        let min_gap = (position.since_start + correction).max((interval - position.turn) / 2.0);
        let is_unused = self
            .sent_at
            .is_none_or(|sent_at| now.saturating_duration_since(sent_at).as_secs_f64() > min_gap);
        if is_unused && position.is_usable() {
            return Duration::ZERO;
        }
        Duration::from_secs_f64(position.until_next)
    }

    /// Whether a request for which a turn was taken at `taken_at` may be sent now: the turn isn't
    /// over, and no other request has taken one since.
    pub(crate) fn holds(
        &self,
        taken_at: Instant,
        rate: RequestRate,
        turns: Option<&SendTurns>,
        now: Instant,
    ) -> bool {
        let is_last = self.sent_at == Some(taken_at);
        let Some(turns) = turns else {
            return is_last;
        };
        let position = self.position(rate, turns, now);
        let since_taken = now.saturating_duration_since(taken_at).as_secs_f64();
        is_last && since_taken <= position.since_start && position.is_usable()
    }

    pub(crate) fn record_sent(&mut self, now: Instant) {
        self.sent_at = Some(now);
    }

    /// Records that the server names a limit, from which on it holds.
    pub(crate) fn record_limited(&mut self, now: Instant) {
        self.limited_at = Some(now);
    }

    fn position(&self, rate: RequestRate, turns: &SendTurns, now: Instant) -> TurnPosition {
        let turn = turns.turn_length(rate).as_secs_f64();
        let turns_passed = turns.clock_at(now).as_secs_f64() / turn + self.phase();
        let number = turns_passed as u64 + u64::from(self.offset);
        let in_turn = turns_passed.fract();
        let (since_own, until_own) = turns.distances(number, now);
        TurnPosition {
            since_start: (since_own as f64 + in_turn) * turn,
            until_next: (until_own as f64 - in_turn) * turn,
            turn,
        }
    }

    /// Start of the turns at this server, as a fraction of a turn.
    fn phase(&self) -> f64 {
        f64::from(self.offset) / f64::from(u32::MAX)
    }
}
