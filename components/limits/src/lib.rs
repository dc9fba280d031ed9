//! Admission control, fair queues and retry budgets, which keep one client account's traffic from
//! degrading another's.
//!
//! All types are plain data structures: the current time is passed in, and nothing performs I/O.

mod attempts;
mod bucket;
mod gate;
mod queue;
mod quota;
mod relays;
mod retry;
mod slack;

pub use attempts::{AttemptBudget, AttemptLimits};
pub use bucket::TokenBucket;
pub use gate::{AdmissionGate, AdmissionOutcome, AdmissionRefusal};
pub use queue::{FairQueue, QueueFull};
pub use quota::{
    Credit, CreditDecision, CreditGrant, CreditLedger, CreditMessages, CreditQueue, CreditRequest,
    CreditSource, PartyId, QuotaLimits,
};
pub use relays::RelayCount;
pub use retry::RetryBudget;
pub use slack::{MemberId, ShareLedger, share_divisor, slack_share};
