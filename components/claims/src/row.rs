//! Claim rows and their meaning for requests with the same key.

use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use derive_more::Display;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use sha2::{Digest, Sha256};

use model::{AccountId, AttemptId, RecordName, VmId};
use store::TableRow;

/// Key prefix of claim rows.
pub const CLAIM_PREFIX: &str = "claim/";

/// Identity of an idempotent request: an `Idempotency-Key` within a service of a client account.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ClaimKey {
    /// The client account.
    pub account: AccountId,
    /// The service.
    pub service: RecordName,
    /// Value of the `Idempotency-Key` header.
    pub key: Box<str>,
}

impl ClaimKey {
    /// Returns the key of the claim row. The header value is hashed, so it may hold any characters.
    pub fn row_key(&self) -> Box<str> {
        let hash = hex(&Sha256::digest(self.key.as_bytes()));
        format!("{CLAIM_PREFIX}{}/{}/{hash}", self.account, self.service).into()
    }
}

/// Digest of a request, to detect reuse of its key for a different request.
#[derive(Debug, Clone, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestFingerprint(Box<str>);

impl RequestFingerprint {
    /// Hashes the parts in order. Each part is preceded by its length, so that the same bytes split
    /// into other parts give another digest.
    pub fn of(parts: &[&[u8]]) -> Self {
        let mut digest = Sha256::new();
        for part in parts {
            digest.update((part.len() as u64).to_be_bytes());
            digest.update(part);
        }
        Self(hex(&digest.finalize()).into())
    }
}

/// Content of a claim row.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ClaimRow {
    /// Attempt that holds the claim.
    pub attempt: AttemptId,
    /// Entry VM that made the attempt.
    pub vm: VmId,
    /// Digest of the request.
    pub fingerprint: RequestFingerprint,
    /// Creation time in milliseconds since the Unix epoch, by the entry VM's clock. Used only for
    /// retention.
    pub created_ms: u64,
    /// Execution state of the request.
    pub state: ClaimState,
}

/// Execution state of a claimed request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ClaimState {
    /// The request may be running or may have run.
    Running,
    /// The request ran and returned this response.
    Done(RecordedResponse),
}

/// Response that is replayed to repeated requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RecordedResponse {
    /// HTTP status code.
    pub status: u16,
    /// Header fields, in order.
    pub headers: Vec<(Box<str>, Box<str>)>,
    /// Body; `None` if it was too large to keep.
    #[serde(serialize_with = "write_body", deserialize_with = "read_body")]
    pub body: Option<Vec<u8>>,
}

/// Meaning of an existing claim for a request that could not insert its own.
#[derive(Debug, Clone, PartialEq)]
pub enum ExistingClaim {
    /// The claim is held by the request's own attempt, at this row version.
    SameAttempt(u64),
    /// Another attempt ran the request, which returned this response.
    Replay(RecordedResponse),
    /// Another attempt, made by the given entry VM, may still be running the request.
    Running(VmId),
    /// The key was used for a different request.
    Mismatch,
}

/// Returns what an existing claim means for a request.
pub fn classify_claim(
    version: u64,
    row: ClaimRow,
    attempt: &AttemptId,
    fingerprint: &RequestFingerprint,
) -> ExistingClaim {
    if row.attempt == *attempt {
        return ExistingClaim::SameAttempt(version);
    }
    if row.fingerprint != *fingerprint {
        return ExistingClaim::Mismatch;
    }
    match row.state {
        ClaimState::Done(response) => ExistingClaim::Replay(response),
        ClaimState::Running => ExistingClaim::Running(row.vm),
    }
}

/// Decodes a claim row; returns `None` if its content is not a claim.
pub fn decode_claim(row: &TableRow) -> Option<ClaimRow> {
    serde_json::from_value(row.value.clone()).ok()
}

/// Whether a claim is older than the retention time at `now_ms` and may be deleted.
pub fn is_past_retention(row: &ClaimRow, now_ms: u64, retention: Duration) -> bool {
    now_ms.saturating_sub(row.created_ms) > retention.as_millis() as u64
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn write_body<S: Serializer>(body: &Option<Vec<u8>>, serializer: S) -> Result<S::Ok, S::Error> {
    body.as_ref().map(|bytes| STANDARD.encode(bytes)).serialize(serializer)
}

fn read_body<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Option<Vec<u8>>, D::Error> {
    let text: Option<String> = Option::deserialize(deserializer)?;
    text.map(|text| STANDARD.decode(text).map_err(serde::de::Error::custom)).transpose()
}
