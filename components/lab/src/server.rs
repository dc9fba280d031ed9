//! Backend servers: slots, a queue, and machines whose speed changes.

use std::collections::VecDeque;
use std::hash::Hasher;
use std::time::Duration;

use balance::ServerLoad;
use siphasher::sip::SipHasher13;

use crate::scenario::{LabScenario, is_within, millis};

/// Part of the slots from which a server slows down, as the users' servers do.
const KNEE: f64 = 0.8;

/// How much longer work takes when all slots are in use, as measured at the users' servers.
const FULL_SLOWDOWN: f64 = 1.4;

/// One send of a request, by its index.
pub(crate) type SendIndex = usize;

/// What became of a send that reached a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ArrivalEnd {
    /// It runs, and ends then.
    Runs(Duration),
    /// It waits.
    Waits,
    /// It was turned away.
    Shed,
    /// Nobody is there.
    Dead,
}

/// A server of the model.
pub(crate) struct ModelServer {
    number: usize,
    seed: u64,
    slots: usize,
    queue_limit: usize,
    running: Vec<SendIndex>,
    waiting: VecDeque<SendIndex>,
    sluggish: f64,
}

impl ModelServer {
    pub(crate) fn new(scenario: &LabScenario, number: usize, seed: u64) -> Self {
        let slow = scenario.sluggish.filter(|slow| chance(seed, number, "sluggish") < slow.share);
        Self {
            number,
            seed,
            slots: scenario.slots as usize,
            queue_limit: scenario.queue,
            running: Vec::new(),
            waiting: VecDeque::new(),
            sluggish: slow.map_or(1.0, |slow| slow.factor),
        }
    }

    /// Whether the server is dead at a time.
    pub(crate) fn is_dead(&self, scenario: &LabScenario, at: Duration) -> bool {
        scenario.crashes.iter().enumerate().any(|(index, crash)| {
            is_within(at.as_secs_f64(), crash.at_s, crash.for_s)
                && chance(self.seed ^ index as u64, self.number, "crash") < crash.share
        })
    }

    /// Takes a send that has arrived.
    pub(crate) fn arrive(
        &mut self,
        scenario: &LabScenario,
        send: SendIndex,
        at: Duration,
    ) -> ArrivalEnd {
        if self.is_dead(scenario, at) {
            return ArrivalEnd::Dead;
        }
        if self.running.len() < self.slots {
            return ArrivalEnd::Runs(self.begin(scenario, send, at));
        }
        if self.waiting.len() >= self.queue_limit {
            return ArrivalEnd::Shed;
        }
        self.waiting.push_back(send);
        ArrivalEnd::Waits
    }

    /// Takes a send away, ended or cancelled; begins a waiting one, if there is one, and tells when it
    /// ends.
    pub(crate) fn leave(
        &mut self,
        scenario: &LabScenario,
        send: SendIndex,
        at: Duration,
    ) -> Option<(SendIndex, Duration)> {
        self.waiting.retain(|other| *other != send);
        self.running.retain(|other| *other != send);
        if self.running.len() >= self.slots {
            return None;
        }
        let next = self.waiting.pop_front()?;
        Some((next, self.begin(scenario, next, at)))
    }

    /// What a health check or an answer tells at a time.
    pub(crate) fn figures(&self, scenario: &LabScenario, at: Duration) -> ServerLoad {
        ServerLoad {
            running: self.running.len() as u32,
            waiting: self.waiting.len() as u32,
            slots: self.slots as u32,
            slowness: self.slowness(scenario, at),
        }
    }

    /// When one more request would end, were it to arrive at a time and nothing to leave early.
    pub(crate) fn would_end(
        &self,
        scenario: &LabScenario,
        ends: &[Duration],
        at: Duration,
    ) -> Duration {
        let mut ends: Vec<Duration> = ends.to_vec();
        ends.sort_unstable();
        let begins_at = match self.running.len() < self.slots {
            true => at,
            false => {
                // Those that wait begin as slots come free, each for the usual time.
                let mut free: VecDeque<Duration> = ends.into();
                for _ in 0..self.waiting.len() {
                    if let Some(first) = free.pop_front() {
                        let end = self.run_end(scenario, first.max(at));
                        free.insert(free.partition_point(|other| *other < end), end);
                    }
                }
                free.front().copied().unwrap_or(at).max(at)
            }
        };
        self.run_end(scenario, begins_at)
    }

    pub(crate) fn has_free_slot(&self) -> bool {
        self.running.len() < self.slots
    }

    pub(crate) fn running(&self) -> &[SendIndex] {
        &self.running
    }

    fn begin(&mut self, scenario: &LabScenario, send: SendIndex, at: Duration) -> Duration {
        self.running.push(send);
        self.run_end(scenario, at)
    }

    /// When work that begins at a time ends, over all changes of the machine's speed.
    fn run_end(&self, scenario: &LabScenario, at: Duration) -> Duration {
        let full = (self.running.len() as f64 / self.slots as f64 - KNEE) / (1.0 - KNEE);
        let crowding = 1.0 + (FULL_SLOWDOWN - 1.0) * full.clamp(0.0, 1.0);
        let mut left = scenario.work_ms / 1_000.0 * crowding;
        let every = scenario.swings.every_ms / 1_000.0;
        let mut now = at.as_secs_f64();
        loop {
            let step_end = ((now / every).floor() + 1.0) * every;
            let slowness = self.slowness(scenario, Duration::from_secs_f64(now));
            let time = left * slowness;
            if now + time <= step_end {
                return Duration::from_secs_f64(now + time);
            }
            left -= (step_end - now) / slowness;
            // A hair beyond the step, against rounding.
            now = step_end + 1e-9;
        }
    }

    fn slowness(&self, scenario: &LabScenario, at: Duration) -> f64 {
        let swings = scenario.swings;
        let step = (at.as_secs_f64() / millis(swings.every_ms).as_secs_f64()).floor() as u64;
        let is_slow = chance(self.seed ^ step.wrapping_mul(0x9e37_79b9), self.number, "swing");
        match is_slow < swings.share {
            true => self.sluggish * swings.factor,
            false => self.sluggish,
        }
    }
}

/// A number from 0 to 1 that is the same for the same seed, server and purpose.
fn chance(seed: u64, server: usize, purpose: &str) -> f64 {
    let mut hasher = SipHasher13::new_with_keys(seed, server as u64);
    hasher.write(purpose.as_bytes());
    hasher.finish() as f64 / u64::MAX as f64
}
