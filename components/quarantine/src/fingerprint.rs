//! Identity of a request by its content.

use std::str::FromStr;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Bytes of a fingerprint.
const FINGERPRINT_BYTES: usize = 16;

/// Hash of what a backend server runs: client account, method, host, target and body. Repeats of a request share it,
/// whoever sends them. Client accounts don't trust one another, so it is a cryptographic hash.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize, Display,
)]
#[display("{:032x}", u128::from_be_bytes(*_0))]
pub struct Fingerprint([u8; FINGERPRINT_BYTES]);

/// Error for a text that is not a fingerprint.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("\"{text}\" is not a fingerprint of 32 hexadecimal digits")]
pub struct FingerprintError {
    text: Box<str>,
}

impl Fingerprint {
    /// Returns the fingerprint of a request without a client account.
    pub fn new(method: &str, host: &[u8], target: &str, body: &[u8]) -> Self {
        Self::of_parts(&[method.as_bytes(), host, target.as_bytes(), body])
    }

    /// Returns the fingerprint of a request of a client account, whose name servers see.
    pub fn of_account(account: &str, method: &str, host: &[u8], target: &str, body: &[u8]) -> Self {
        let parts = [method.as_bytes(), host, target.as_bytes(), body, account.as_bytes()];
        Self::of_parts(&parts)
    }

    fn of_parts(parts: &[&[u8]]) -> Self {
        let mut hasher = Sha256::new();
        for part in parts {
            // The lengths keep two different requests from having the same sequence of bytes.
            hasher.update((part.len() as u64).to_be_bytes());
            hasher.update(part);
        }
        let digest = hasher.finalize();
        let mut bytes = [0; FINGERPRINT_BYTES];
        bytes.copy_from_slice(&digest[..FINGERPRINT_BYTES]);
        Self(bytes)
    }
}

impl FromStr for Fingerprint {
    type Err = FingerprintError;

    fn from_str(text: &str) -> Result<Self, FingerprintError> {
        let is_valid = text.len() == 2 * FINGERPRINT_BYTES
            && text.bytes().all(|byte| byte.is_ascii_hexdigit());
        let number = u128::from_str_radix(text, 16).ok().filter(|_| is_valid);
        let number = number.ok_or_else(|| FingerprintError { text: text.into() })?;
        Ok(Self(number.to_be_bytes()))
    }
}
