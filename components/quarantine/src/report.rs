//! Reports that a server crashed while it may have run a request.

use derive_more::Display;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use model::ServerId;

use crate::fingerprint::Fingerprint;

/// Identity of one incarnation of a server.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize, Display,
)]
#[display("{_0:016x}")]
pub struct IncarnationKey(pub u64);

impl IncarnationKey {
    /// Returns the key of the incarnation of server `id` that started at `started_at_ms`.
    pub fn new(id: &ServerId, started_at_ms: u64) -> Self {
        let mut hasher = Sha256::new();
        hasher.update(started_at_ms.to_be_bytes());
        hasher.update(id.as_str());
        let digest = hasher.finalize();
        let mut bytes = [0; size_of::<u64>()];
        bytes.copy_from_slice(&digest[..size_of::<u64>()]);
        Self(u64::from_be_bytes(bytes))
    }
}

/// Report that a server crashed while it may have run a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// Content of the request.
    pub content: Fingerprint,
    /// The server's incarnation, which ended.
    pub server: IncarnationKey,
    /// Whether a server has responded to a request with this content, so that it didn't cause the
    /// crash. A report that is cleared once stays so.
    pub is_cleared: bool,
    /// Milliseconds since the crash.
    pub age_ms: u64,
}
