//! Backend servers with slots and a queue, on machines of varying speed.

use std::collections::VecDeque;
use std::hash::Hasher;
use std::time::Duration;

use balance::ServerLoad;
use siphasher::sip::SipHasher13;

use crate::scenario::{LabScenario, duration_from_ms, is_within};

/// Utilization above which a server slows down: the knee of the load curve of servers on the
/// hosting platform.
const KNEE_UTILIZATION: f64 = 0.8;

/// Index of an attempt in `LabSimulation::attempts`.
pub(crate) type AttemptIndex = usize;

/// What a server does with an attempt that arrives.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ArrivalOutcome {
    /// Runs it; the run ends at this time.
    Started(Duration),
    /// Queues it until a slot is free.
    Queued,
    /// Rejects it, since the queue is full.
    Shed,
    /// Doesn't respond, since the server is dead.
    Dead,
}

/// A simulated backend server.
pub(crate) struct ModelServer {
    index: usize,
    seed: u64,
    slots: usize,
    queue_limit: usize,
    running: Vec<AttemptIndex>,
    waiting: VecDeque<AttemptIndex>,
    /// Factor of the service time for the whole run; 1 if the server isn't a slow one.
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

    /// Runs, queues or rejects an attempt that arrives.
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

    /// Removes an attempt that was completed or cancelled. If this frees a slot for a queued
    /// attempt, starts that one and returns it with the end of its run.
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

    /// Returns the load that a health check or a response reports at a time.
    pub(crate) fn load(&self, scenario: &LabScenario, at: Duration) -> ServerLoad {
        ServerLoad {
            running: self.running.len() as u32,
            waiting: self.waiting.len() as u32,
            slots: self.slots as u32,
            slowness: self.slowness(scenario, at),
        }
    }

    /// Returns when a request that arrives now would complete, if no other request is cancelled.
    /// `running_ends` are the ends of the runs in progress.
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
                // Queued requests start as slots become free, each with the completion time of the
                // current load.
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

    /// Returns when a run that starts at a time ends, given all speed changes of the machine until
    /// then.
    fn completion_time(&self, scenario: &LabScenario, at: Duration) -> Duration {
        let saturation = (self.running.len() as f64 / self.slots as f64 - KNEE_UTILIZATION)
            / (1.0 - KNEE_UTILIZATION);
        let load_slowdown = 1.0 + (scenario.full_load_slowdown - 1.0) * saturation.clamp(0.0, 1.0);
        let mut remaining_s = scenario.service_time_ms / 1_000.0 * load_slowdown;
        let interval_s = scenario.slowdowns.interval_ms / 1_000.0;
        let mut now_s = at.as_secs_f64();
        loop {
            let interval_end_s = ((now_s / interval_s).floor() + 1.0) * interval_s;
            let slowness = self.slowness(scenario, Duration::from_secs_f64(now_s));
            let time_s = remaining_s * slowness;
            if now_s + time_s <= interval_end_s {
                return Duration::from_secs_f64(now_s + time_s);
            }
            remaining_s -= (interval_end_s - now_s) / slowness;
            // Slightly past the boundary, so that rounding can't put it into the previous interval.
            now_s = interval_end_s + 1e-9;
        }
    }

    fn slowness(&self, scenario: &LabScenario, at: Duration) -> f64 {
        let slowdowns = scenario.slowdowns;
        let interval_index = (at.as_secs_f64()
            / duration_from_ms(slowdowns.interval_ms).as_secs_f64())
        .floor() as u64;
        let draw =
            hash_draw(self.seed ^ interval_index.wrapping_mul(0x9e37_79b9), self.index, "swing");
        match draw < slowdowns.share {
            true => self.slow_factor * slowdowns.factor,
            false => self.slow_factor,
        }
    }
}

/// Returns a pseudorandom number from 0 to 1, the same for the same seed, server and purpose.
fn hash_draw(seed: u64, server: usize, purpose: &str) -> f64 {
    let mut hasher = SipHasher13::new_with_keys(seed, server as u64);
    hasher.write(purpose.as_bytes());
    hasher.finish() as f64 / u64::MAX as f64
}
