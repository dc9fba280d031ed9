//! At most one run of a request with an `Idempotency-Key`, over all entry VMs.
//!
//! Before a request is sent to a backend server, its entry VM inserts a claim row in the
//! platform's table on condition that none is there. A claim is not a lease: it stays for the
//! retention time, so a holder that was paused can neither lose it nor gain it back. Nothing here
//! does I/O: callers run the transactions of [`ClaimBatcher`] and tell it how they ended.

mod batcher;
mod row;

pub use batcher::{
    BatchStep, ClaimBatcher, ClaimSubmission, ClaimWrite, ClaimWriteOutcome, SubmitRefusal,
};
pub use row::{
    CLAIM_PREFIX, ClaimKey, ClaimRow, ClaimState, ExistingClaim, RecordedResponse,
    RequestFingerprint, classify_claim, decode_claim, is_past_retention,
};
