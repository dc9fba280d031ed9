//! Finds the requests that crash the backend servers which run them.

mod fingerprint;

pub use fingerprint::{Fingerprint, FingerprintError};
