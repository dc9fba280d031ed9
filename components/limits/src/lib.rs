//! Admission, fair queues and retry budgets, so that one account's traffic can't degrade another's.
//!
//! Everything here is a plain data structure: the clock is passed in, and nothing does I/O.

mod attempts;
mod bucket;
mod gate;
mod queue;
mod retry;
mod slack;

pub use attempts::{AttemptBudget, AttemptLimits};
pub use bucket::TokenBucket;
pub use gate::{AdmissionGate, AdmissionOutcome, AdmissionRefusal};
pub use queue::{FairQueue, QueueFull};
pub use retry::RetryBudget;
pub use slack::{MemberCount, slack_share};
