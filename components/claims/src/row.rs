//! Claim rows and what they tell a request.

use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use derive_more::Display;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use sha2::{Digest, Sha256};

use model::{AccountId, AttemptId, RecordName, VmId};
use store::TableRow;

/// Prefix of the claim rows.
pub const CLAIM_PREFIX: &str = "claim/";

/// What a caller's `Idempotency-Key` identifies: one request of one service.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ClaimKey {
    /// The client account.
    pub account: AccountId,
    /// The service.
    pub service: RecordName,
    /// The header's value.
    pub key: Box<str>,
}

impl ClaimKey {
    /// Key of the claim's row. The caller's text is hashed, so any text is safe in it.
    pub fn row_key(&self) -> Box<str> {
        let hash = hex(&Sha256::digest(self.key.as_bytes()));
        format!("{CLAIM_PREFIX}{}/{}/{hash}", self.account, self.service).into()
    }
}

/// Digest of a request, by which a second one with the same key is compared.
#[derive(Debug, Clone, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestFingerprint(Box<str>);

impl RequestFingerprint {
    /// Digest of the parts in their order; each part's length counts, so parts do not run together.
    pub fn of(parts: &[&[u8]]) -> Self {
        let mut digest = Sha256::new();
        for part in parts {
            digest.update((part.len() as u64).to_be_bytes());
            digest.update(part);
        }
        Self(hex(&digest.finalize()).into())
    }
}

/// A claim as it stands in the table.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ClaimRow {
    /// The attempt that holds the claim.
    pub attempt: AttemptId,
    /// The entry VM of the attempt.
    pub vm: VmId,
    /// Digest of the request.
    pub fingerprint: RequestFingerprint,
    /// When it was made, in milliseconds since 1970 by the entry VM's clock; for retention only.
    pub created_ms: u64,
    /// What is known of the run.
    pub state: ClaimState,
}

/// What is known of a claimed request's run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ClaimState {
    /// It may run, or may have run.
    Running,
    /// It ran, with this answer.
    Done(RecordedResponse),
}

/// The answer that a repeated request gets.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RecordedResponse {
    /// Status of the answer.
    pub status: u16,
    /// Header fields, in order.
    pub headers: Vec<(Box<str>, Box<str>)>,
    /// The body; `None` when it was too large to keep.
    #[serde(serialize_with = "write_body", deserialize_with = "read_body")]
    pub body: Option<Vec<u8>>,
}

/// What a claim row means for a request that did not get the claim.
#[derive(Debug, Clone, PartialEq)]
pub enum ExistingClaim {
    /// The request's own attempt holds the claim, at this row version.
    SameAttempt(u64),
    /// Another attempt ran it, with this answer.
    Replay(RecordedResponse),
    /// Another attempt, of this entry VM, may still run it.
    Running(VmId),
    /// The key was used for another request.
    Mismatch,
}

/// What an existing row means for a request.
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
        ClaimState::Done(answer) => ExistingClaim::Replay(answer),
        ClaimState::Running => ExistingClaim::Running(row.vm),
    }
}

/// Reads a claim row; `None` when its content is not a claim.
pub fn decode_claim(row: &TableRow) -> Option<ClaimRow> {
    serde_json::from_value(row.value.clone()).ok()
}

/// Whether a claim may be deleted at `now_ms`.
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
