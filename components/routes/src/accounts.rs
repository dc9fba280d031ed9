//! Client accounts of a configuration: their keys, priorities and quotas.

use std::fmt::{Debug, Formatter};
use std::hash::{Hash, Hasher};
use std::sync::Arc;

use derive_more::{Display, Error};
use hyper::header::HeaderValue;
use serde::{Deserialize, Serialize};

use model::{AccountQuota, FastMap, FastSet, hash_key_bytes, hashes_match};

use crate::table::HostedRoute;

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
#[derive(Clone, Copy, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct KeyHash(pub [u8; 32]);

impl KeyHash {
    /// Returns the hash of a key.
    pub fn of_key(key: &[u8]) -> Self {
        Self(hash_key_bytes(key))
    }
}

/// Compares in constant time.
impl PartialEq for KeyHash {
    fn eq(&self, other: &Self) -> bool {
        hashes_match(&self.0, &other.0)
    }
}

impl Hash for KeyHash {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.0.hash(state);
    }
}

/// Shows no part of the hash, so that it can't get into logs.
impl Debug for KeyHash {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("KeyHash(..)")
    }
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

/// A client account with its keys in clear, as the operator writes it.
#[derive(Clone, PartialEq)]
pub struct AccountEntry {
    /// The account.
    pub account: ClientAccount,
    /// Its keys.
    pub keys: Vec<Box<str>>,
}

/// Shows no keys.
impl Debug for AccountEntry {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        let Self { account, keys } = self;
        write!(formatter, "AccountEntry({account:?}, {} keys)", keys.len())
    }
}

/// Error for client accounts that can't be in force. Contains no keys.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum AccountError {
    /// An account has no name.
    #[display("client account {number} has no name")]
    NoName {
        /// Position in the configuration, from 1.
        number: usize,
    },
    /// A name can't be the value of a header field, or starts or ends with a space.
    #[display("name of client account {number} ({name:?}) can't be the value of a header field")]
    InvalidName {
        /// Position in the configuration, from 1.
        number: usize,
        /// The name.
        name: AccountName,
    },
    /// Two accounts have the same name.
    #[display("two client accounts have the name \"{name}\"")]
    SameName {
        /// The name.
        name: AccountName,
    },
    /// An account has an empty key.
    #[display("client account \"{name}\" has an empty key")]
    EmptyKey {
        /// Name of the account.
        name: AccountName,
    },
    /// Two accounts have the same key.
    #[display("client accounts \"{name}\" and \"{other}\" have the same key")]
    SameKey {
        /// Name of the account that is named first.
        name: AccountName,
        /// Name of the other account.
        other: AccountName,
    },
    /// The rate or burst of an account is negative, infinite or no number.
    #[display("quota of client account \"{name}\" is out of range")]
    InvalidQuota {
        /// Name of the account.
        name: AccountName,
    },
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
    /// Checks accounts and hashes their keys.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with the first account that can't be in force.
    pub fn new(entries: Vec<AccountEntry>) -> Result<Self, AccountError> {
        let mut names: FastSet<AccountName> = FastSet::default();
        let mut accounts = Self::default();
        for (index, entry) in entries.into_iter().enumerate() {
            check_account(index + 1, &entry.account)?;
            let name = entry.account.name.clone();
            if !names.insert(name.clone()) {
                return Err(AccountError::SameName { name });
            }
            accounts.accounts.push(Arc::new(entry.account));
            for key in entry.keys {
                accounts.add_key(index, &key)?;
            }
        }
        Ok(accounts)
    }

    fn add_key(&mut self, index: usize, key: &str) -> Result<(), AccountError> {
        let name = |index: usize| self.accounts[index].name.clone();
        if key.is_empty() {
            return Err(AccountError::EmptyKey { name: name(index) });
        }
        match self.keys.insert(KeyHash::of_key(key.as_bytes()), index) {
            Some(other) if other != index => {
                Err(AccountError::SameKey { name: name(other), other: name(index) })
            }
            _ => Ok(()),
        }
    }

    /// Returns the account that holds the key with this hash.
    pub fn find(&self, key: &KeyHash) -> Option<&Arc<ClientAccount>> {
        self.accounts.get(*self.keys.get(key)?)
    }
}

impl HostedRoute {
    /// Returns the priority of a request; that of its account goes before that of the route.
    pub fn effective_priority(&self, account: Option<&ClientAccount>) -> u32 {
        account.and_then(|account| account.priority).unwrap_or(self.priority)
    }
}

fn check_account(number: usize, account: &ClientAccount) -> Result<(), AccountError> {
    let name = &account.name;
    if name.0.is_empty() {
        return Err(AccountError::NoName { number });
    }
    if HeaderValue::from_bytes(name.0.as_bytes()).is_err() || name.0.trim() != &*name.0 {
        return Err(AccountError::InvalidName { number, name: name.clone() });
    }
    let is_valid = |value: f64| value.is_finite() && value >= 0.0;
    match account.quota {
        Some(quota) if !is_valid(quota.rate.0) || !is_valid(quota.burst) => {
            Err(AccountError::InvalidQuota { name: name.clone() })
        }
        _ => Ok(()),
    }
}
