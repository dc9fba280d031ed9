//! Client accounts of a configuration: their keys, priorities and quotas.

use std::sync::Arc;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use model::{FastMap, RequestRate};

/// Name of a client account on the platform.
#[derive(
    Debug,
    Clone,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    Display,
    derive_more::From,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct AccountName(pub Box<str>);

/// SHA-256 hash of a key of a client account.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct KeyHash(pub [u8; 32]);

/// Shows no part of the hash, so that it can't get into logs.
impl std::fmt::Debug for KeyHash {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("KeyHash(..)")
    }
}

/// Requests of an account that all entry VMs together may forward.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct AccountQuota {
    /// Requests per second.
    pub rate: RequestRate,
    /// Requests beyond the rate at one moment.
    pub burst: f64,
}

/// A client account.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ClientAccount {
    /// Name of the account.
    pub name: AccountName,
    /// Priority, which goes before that of the route; 0 is the most urgent. `None` if only the
    /// route has one.
    pub priority: Option<u32>,
    /// `None` if the account has no limit.
    pub quota: Option<AccountQuota>,
}

/// All client accounts of a configuration.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ClientAccounts {
    /// Accounts in the order of the configuration. Invariant: names differ.
    pub accounts: Vec<Arc<ClientAccount>>,
    /// Indexes of `accounts` by key. Invariant: each is less than the number of accounts.
    pub keys: FastMap<KeyHash, usize>,
}

impl ClientAccounts {
    /// Returns the account that holds the key with this hash.
    pub fn find(&self, key: &KeyHash) -> Option<&Arc<ClientAccount>> {
        self.accounts.get(*self.keys.get(key)?)
    }
}
