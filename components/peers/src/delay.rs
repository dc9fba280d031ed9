//! Delay of the messages of one sender.
//!
//! A process that was paused reads messages that were sent long before. What they permit, or say of
//! the present, must not be taken as if they had just been sent.

use std::time::Duration;

use tokio::time::Instant;

/// Estimates how long ago messages were sent, from the readings of the sender's steady clock in
/// them.
#[derive(Debug)]
pub struct MessageDelay {
    /// Delay that is taken for a difference between the clocks, or of the links.
    tolerance: Duration,
    /// The last message that was not delayed.
    last_prompt: Option<ReadMessage>,
    /// The last message, if it was delayed.
    last_delayed: Option<ReadMessage>,
}

/// When a message was read, and the reading of the sender's clock in it.
#[derive(Debug, Clone, Copy)]
struct ReadMessage {
    read_at: Instant,
    clock: Duration,
}

impl ReadMessage {
    /// Returns how much later than this message another was read than it was sent.
    fn delay_of(&self, other: &Self) -> Duration {
        let sent_after = other.clock.saturating_sub(self.clock);
        let read_after = other.read_at.saturating_duration_since(self.read_at);
        read_after.saturating_sub(sent_after)
    }

    /// Whether another message was sent some time after this one and read about as long after it.
    /// Messages that waited together are read at once.
    fn has_pace_of(&self, other: &Self) -> bool {
        let sent_after = other.clock.saturating_sub(self.clock);
        let read_after = other.read_at.saturating_duration_since(self.read_at);
        !sent_after.is_zero() && read_after >= sent_after / 2
    }
}

impl MessageDelay {
    /// Creates an estimate for a sender whose first message is taken as not delayed.
    pub fn new(tolerance: Duration) -> Self {
        Self { tolerance, last_prompt: None, last_delayed: None }
    }

    /// Returns the delay of a message that is read at `now` and was sent when the sender's clock
    /// showed `clock`; zero if it is within the tolerance. If the messages after a delayed one come
    /// at the pace at which they are sent, the sender's clock has stood still, and they are not
    /// delayed.
    pub fn observe(&mut self, clock: Duration, now: Instant) -> Duration {
        let message = ReadMessage { read_at: now, clock };
        let delay = self.last_prompt.map_or(Duration::ZERO, |last| last.delay_of(&message));
        let has_pace = self.last_delayed.is_some_and(|last| last.has_pace_of(&message));
        if delay > self.tolerance && !has_pace {
            self.last_delayed = Some(message);
            return delay;
        }
        self.last_delayed = None;
        self.last_prompt = Some(message);
        Duration::ZERO
    }
}
