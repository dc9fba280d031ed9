//! Access control for records.

use serde::{Deserialize, Serialize};

use model::{AccountId, OperatorKeyScope, RecordKey, RecordKind, hash_key_bytes};

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
    hash_key_bytes(key.as_bytes())
        .iter()
        .map(|byte| format!("{byte:02x}"))
        .collect::<String>()
        .into()
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
