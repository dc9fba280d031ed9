//! At most one run of a request with an `Idempotency-Key`, over all entry VMs.
//!
//! Before a request is sent to a backend server, its entry VM inserts a claim row in the
//! platform's table on condition that none is there. A claim is not a lease: it stays for the
//! retention time, so a holder that was paused can neither lose it nor gain it back. Nothing here
//! does I/O: callers run the transactions of [`ClaimBook`] and tell it how they ended.

mod book;
mod row;

pub use book::{BatchStep, ClaimBook, ClaimSubmission, ClaimWork, SubmitRefusal, WorkOutcome};
pub use row::{
    CLAIM_PREFIX, ClaimKey, ClaimRow, ClaimState, RecordedAnswer, RequestFingerprint, RowVerdict,
    is_past_retention, judge_row, read_claim,
};
