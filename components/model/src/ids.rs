//! Newtypes for identifiers.

use std::str::FromStr;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// Longest name in bytes; it fits a DNS label.
const MAX_NAME_BYTES: usize = 63;

/// Why a text is not a valid name.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("name \"{name}\" is not 1 to 63 characters of a-z, 0-9 and \"-\"")]
pub struct NameError {
    /// The rejected text.
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
        #[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Display, Serialize, Deserialize)]
        #[serde(try_from = "Box<str>", into = "Box<str>")]
        // Invariant: 1 to 63 characters of a-z, 0-9 and "-", so it is safe in table keys and labels.
        pub struct $name(Box<str>);

        impl $name {
            /// The identifier as text.
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
    /// A client account.
    AccountId
);
name_type!(
    /// The name of a record within its account and kind.
    RecordName
);
name_type!(
    /// A group of backend servers as the platform's VM list names it.
    GroupName
);
name_type!(
    /// An entry VM.
    VmId
);
name_type!(
    /// A backend server as the platform's VM list names it.
    ServerId
);
name_type!(
    /// An availability zone.
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

/// Position of an accepted write in the fleet-wide order; the first accepted write has 1.
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
    /// The revision after this one.
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
            /// A new random identifier of 128 bits, written as 32 hexadecimal digits.
            pub fn random() -> Self {
                Self(format!("{:032x}", rand::random::<u128>()).into())
            }

            /// The identifier as text.
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
    /// One operator write, whatever number of times it is sent.
    OperationId
);
random_id!(
    /// One attempt of an entry VM to hold a claim.
    AttemptId
);
