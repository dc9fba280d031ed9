//! Finds the requests that crash the backend servers which run them.
//!
//! The decisions are plain data structures: the current time is passed in, and nothing performs I/O.

mod board;
mod fingerprint;
mod ledger;
mod report;

pub use board::{CrashBoard, CrashFeed};
pub use fingerprint::{Fingerprint, FingerprintError};
pub use ledger::{CrashLedger, CrashLimits, Decision};
pub use report::{CrashReport, IncarnationKey};
