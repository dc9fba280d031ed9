//! At-most-once execution of requests with an `Idempotency-Key`, across all entry VMs.
//!
//! Before an entry VM sends such a request to a backend server, it inserts a claim row into the
//! table that all entry VMs share, on the condition that the row does not exist. Unlike a lease, a
//! claim is kept for the whole retention time, so a holder that was paused can neither lose it nor
//! acquire it again.
//!
//! This crate does no I/O: callers run the transactions of [`ClaimBatcher`] and pass it their
//! outcomes.

mod batcher;
mod row;

pub use batcher::{
    BatchStep, ClaimBatcher, ClaimSubmission, ClaimWrite, ClaimWriteOutcome, SubmitRefusal,
};
pub use row::{
    CLAIM_PREFIX, ClaimKey, ClaimRow, ClaimState, ExistingClaim, RecordedResponse,
    RequestFingerprint, classify_claim, decode_claim, is_past_retention,
};
