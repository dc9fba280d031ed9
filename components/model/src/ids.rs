//! Identifier types.

use std::str::FromStr;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// Maximum length of a name; equal to that of a DNS label.
const MAX_NAME_BYTES: usize = 63;

/// Error for a string that is not a valid name.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("name \"{name}\" is not 1 to 63 characters of a-z, 0-9 and \"-\"")]
pub struct NameError {
    /// The rejected string.
    name: Box<str>,
}

fn is_valid_name(text: &str) -> bool {
    !text.is_empty()
        && text.len() <= MAX_NAME_BYTES
        && text.bytes().all(|b| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-')
}

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Display, Serialize, Deserialize,
        )]
        #[serde(try_from = "Box<str>", into = "Box<str>")]
        // Invariant: 1 to 63 characters from a-z, 0-9 and "-", which need no escaping in table
        // keys and metric labels.
        pub struct $name(Box<str>);

        impl $name {
            /// Returns the identifier as a string.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl FromStr for $name {
            type Err = NameError;

            fn from_str(text: &str) -> Result<Self, NameError> {
                if is_valid_name(text) {
                    Ok(Self(text.into()))
                } else {
                    Err(NameError { name: text.into() })
                }
            }
        }

        impl TryFrom<Box<str>> for $name {
            type Error = NameError;

            fn try_from(text: Box<str>) -> Result<Self, NameError> {
                text.parse()
            }
        }

        impl From<$name> for Box<str> {
            fn from(id: $name) -> Box<str> {
                id.0
            }
        }
    };
}

name_type!(
    /// Identifier of a client account.
    AccountId
);
name_type!(
    /// Name of a record, unique within its account and kind.
    RecordName
);
name_type!(
    /// Name of a group of backend servers in the platform's server list.
    GroupName
);
name_type!(
    /// Identifier of an entry VM.
    VmId
);
name_type!(
    /// Identifier of a backend server in the platform's server list.
    ServerId
);
name_type!(
    /// Name of an availability zone.
    ZoneName
);

/// Version of a record's schema.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    Display,
    Serialize,
    Deserialize,
    derive_more::FromStr,
    derive_more::From,
)]
#[serde(transparent)]
pub struct SchemaVersion(pub u16);

/// Position of an accepted write in the fleet-wide order of writes, starting at 1.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    Default,
    Display,
    Serialize,
    Deserialize,
    derive_more::FromStr,
    derive_more::From,
)]
#[serde(transparent)]
pub struct RevisionNumber(pub u64);

impl RevisionNumber {
    /// Returns the revision that follows this one.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

macro_rules! random_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Box<str>);

        impl $name {
            /// Returns a new random 128-bit identifier, formatted as 32 hexadecimal digits.
            pub fn random() -> Self {
                Self(format!("{:032x}", rand::random::<u128>()).into())
            }

            /// Returns the identifier as a string.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl FromStr for $name {
            type Err = NameError;

            fn from_str(text: &str) -> Result<Self, NameError> {
                if is_valid_name(text) {
                    Ok(Self(text.into()))
                } else {
                    Err(NameError { name: text.into() })
                }
            }
        }
    };
}

random_id!(
    /// Identifier of an operator's write, the same for all retries of the write.
    OperationId
);
random_id!(
    /// Identifier of an entry VM's attempt to acquire a claim.
    AttemptId
);
