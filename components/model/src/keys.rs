//! Hashes of keys and their comparison.

use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

/// Returns the SHA-256 hash of a key.
pub fn hash_key_bytes(key: &[u8]) -> [u8; 32] {
    Sha256::digest(key).into()
}

/// Compares two hashes in constant time.
pub fn hashes_match(left: &[u8], right: &[u8]) -> bool {
    left.ct_eq(right).into()
}
