//! Access control for records.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

use model::{AccountId, OperatorKeyScope, RecordKey, RecordKind};

/// Account and scope of an operator key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OperatorIdentity {
    /// Account that the key belongs to.
    pub account: AccountId,
    /// Accounts and records that the key gives access to.
    pub scope: OperatorKeyScope,
}

/// Returns the SHA-256 hash of a key as 64 hexadecimal digits.
pub fn hash_key(key: &str) -> Box<str> {
    let digest = Sha256::digest(key.as_bytes());
    digest.iter().map(|byte| format!("{byte:02x}")).collect::<String>().into()
}

/// Compares two hashes in constant time.
pub fn hashes_match(left: &str, right: &str) -> bool {
    left.as_bytes().ct_eq(right.as_bytes()).into()
}

/// Whether an operator may read the records of an account.
pub fn may_read(operator: &OperatorIdentity, account: &AccountId) -> bool {
    operator.scope == OperatorKeyScope::Fleet || operator.account == *account
}

/// Whether an operator may write a record. Keys of account scope can't change the account's own
/// limits, hosts or keys.
pub fn may_write(operator: &OperatorIdentity, key: &RecordKey) -> bool {
    match operator.scope {
        OperatorKeyScope::Fleet => true,
        OperatorKeyScope::Account => {
            operator.account == key.account
                && matches!(key.kind, RecordKind::Service | RecordKind::RoutingPolicy)
        }
    }
}
