//! Backend servers: slots, a queue, and machines whose speed changes.

use std::collections::VecDeque;
use std::hash::Hasher;
use std::time::Duration;

use balance::ServerLoad;
use siphasher::sip::SipHasher13;

use crate::scenario::{LabScenario, duration_from_ms, is_within};

/// Part of the slots from which a server slows down, as the users' servers do.
const SLOWDOWN_SLOT_SHARE: f64 = 0.8;

/// How much longer work takes when all slots are in use, as measured at the users' servers.
const FULL_LOAD_SLOWDOWN: f64 = 1.4;

/// One send of a request, by its index.
pub(crate) type AttemptIndex = usize;

/// What became of a send that reached a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ArrivalOutcome {
    /// It runs, and ends then.
    Started(Duration),
    /// It waits.
    Queued,
    /// It was turned away.
    Shed,
    /// Nobody is there.
    Dead,
}

/// A server of the model.
pub(crate) struct ModelServer {
    index: usize,
    seed: u64,
    slots: usize,
    queue_limit: usize,
    running: Vec<AttemptIndex>,
    waiting: VecDeque<AttemptIndex>,
    slow_factor: f64,
}

impl ModelServer {
    pub(crate) fn new(scenario: &LabScenario, index: usize, seed: u64) -> Self {
        let slow =
            scenario.slow_servers.filter(|slow| hash_draw(seed, index, "sluggish") < slow.share);
        Self {
            index,
            seed,
            slots: scenario.slots as usize,
            queue_limit: scenario.queue_limit,
            running: Vec::new(),
            waiting: VecDeque::new(),
            slow_factor: slow.map_or(1.0, |slow| slow.factor),
        }
    }

    /// Whether the server is dead at a time.
    pub(crate) fn is_dead(&self, scenario: &LabScenario, at: Duration) -> bool {
        scenario.crashes.iter().enumerate().any(|(crash_index, crash)| {
            is_within(at.as_secs_f64(), crash.start_s, crash.duration_s)
                && hash_draw(self.seed ^ crash_index as u64, self.index, "crash") < crash.share
        })
    }

    /// Takes a send that has arrived.
    pub(crate) fn arrive(
        &mut self,
        scenario: &LabScenario,
        attempt: AttemptIndex,
        at: Duration,
    ) -> ArrivalOutcome {
        if self.is_dead(scenario, at) {
            return ArrivalOutcome::Dead;
        }
        if self.running.len() < self.slots {
            return ArrivalOutcome::Started(self.start(scenario, attempt, at));
        }
        if self.waiting.len() >= self.queue_limit {
            return ArrivalOutcome::Shed;
        }
        self.waiting.push_back(attempt);
        ArrivalOutcome::Queued
    }

    /// Takes a send away, ended or cancelled; begins a waiting one, if there is one, and tells when it
    /// ends.
    pub(crate) fn remove(
        &mut self,
        scenario: &LabScenario,
        attempt: AttemptIndex,
        at: Duration,
    ) -> Option<(AttemptIndex, Duration)> {
        self.waiting.retain(|other| *other != attempt);
        self.running.retain(|other| *other != attempt);
        if self.running.len() >= self.slots {
            return None;
        }
        let next = self.waiting.pop_front()?;
        Some((next, self.start(scenario, next, at)))
    }

    /// What a health check or an answer tells at a time.
    pub(crate) fn load(&self, scenario: &LabScenario, at: Duration) -> ServerLoad {
        ServerLoad {
            running: self.running.len() as u32,
            waiting: self.waiting.len() as u32,
            slots: self.slots as u32,
            slowness: self.slowness(scenario, at),
        }
    }

    /// When one more request would end, were it to arrive at a time and nothing to leave early.
    pub(crate) fn projected_end(
        &self,
        scenario: &LabScenario,
        running_ends: &[Duration],
        at: Duration,
    ) -> Duration {
        let mut ends: Vec<Duration> = running_ends.to_vec();
        ends.sort_unstable();
        let starts_at = match self.running.len() < self.slots {
            true => at,
            false => {
                // Those that wait begin as slots come free_times, each for the usual time.
                let mut free_times: VecDeque<Duration> = ends.into();
                for _ in 0..self.waiting.len() {
                    if let Some(first) = free_times.pop_front() {
                        let end = self.completion_time(scenario, first.max(at));
                        free_times.insert(free_times.partition_point(|other| *other < end), end);
                    }
                }
                free_times.front().copied().unwrap_or(at).max(at)
            }
        };
        self.completion_time(scenario, starts_at)
    }

    pub(crate) fn has_free_slot(&self) -> bool {
        self.running.len() < self.slots
    }

    pub(crate) fn running(&self) -> &[AttemptIndex] {
        &self.running
    }

    fn start(&mut self, scenario: &LabScenario, attempt: AttemptIndex, at: Duration) -> Duration {
        self.running.push(attempt);
        self.completion_time(scenario, at)
    }

    /// When work that begins at a time ends, over all changes of the machine's speed.
    fn completion_time(&self, scenario: &LabScenario, at: Duration) -> Duration {
        let saturation = (self.running.len() as f64 / self.slots as f64 - SLOWDOWN_SLOT_SHARE)
            / (1.0 - SLOWDOWN_SLOT_SHARE);
        let load_slowdown = 1.0 + (FULL_LOAD_SLOWDOWN - 1.0) * saturation.clamp(0.0, 1.0);
        let mut remaining = scenario.service_time_ms / 1_000.0 * load_slowdown;
        let interval = scenario.slowdowns.interval_ms / 1_000.0;
        let mut now = at.as_secs_f64();
        loop {
            let step_end = ((now / interval).floor() + 1.0) * interval;
            let slowness = self.slowness(scenario, Duration::from_secs_f64(now));
            let time = remaining * slowness;
            if now + time <= step_end {
                return Duration::from_secs_f64(now + time);
            }
            remaining -= (step_end - now) / slowness;
            // A hair beyond the step, against rounding.
            now = step_end + 1e-9;
        }
    }

    fn slowness(&self, scenario: &LabScenario, at: Duration) -> f64 {
        let slowdowns = scenario.slowdowns;
        let step = (at.as_secs_f64() / duration_from_ms(slowdowns.interval_ms).as_secs_f64())
            .floor() as u64;
        let draw = hash_draw(self.seed ^ step.wrapping_mul(0x9e37_79b9), self.index, "swing");
        match draw < slowdowns.share {
            true => self.slow_factor * slowdowns.factor,
            false => self.slow_factor,
        }
    }
}

/// A number from 0 to 1 that is the same for the same seed, server and purpose.
fn hash_draw(seed: u64, server: usize, purpose: &str) -> f64 {
    let mut hasher = SipHasher13::new_with_keys(seed, server as u64);
    hasher.write(purpose.as_bytes());
    hasher.finish() as f64 / u64::MAX as f64
}
