//! Versions of a store that may be restored from an older copy.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// A version of the platform's store. After the store returned from an older copy, its numbers are
/// given out again in a new era, so that numbers of different eras can't be compared. Versions of a
/// later era are greater.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    Serialize,
    Deserialize,
)]
#[serde(from = "VersionMessage", into = "VersionMessage")]
#[display("{era}/{number}")]
pub struct StoreVersion {
    /// Number of times that the store returned from a copy; 0 if it names no era.
    pub era: u64,
    /// Number within the era.
    pub number: u64,
}

impl StoreVersion {
    /// Creates a version of a store that names no era.
    pub fn without_era(number: u64) -> Self {
        Self { era: 0, number }
    }
}

/// Encoding of a version. Daemons of before the eras send and expect a number alone.
#[derive(Serialize, Deserialize)]
#[serde(untagged)]
enum VersionMessage {
    Number(u64),
    InEra(u64, u64),
}

impl From<VersionMessage> for StoreVersion {
    fn from(message: VersionMessage) -> Self {
        match message {
            VersionMessage::Number(number) => Self::without_era(number),
            VersionMessage::InEra(era, number) => Self { era, number },
        }
    }
}

impl From<StoreVersion> for VersionMessage {
    fn from(version: StoreVersion) -> Self {
        match version.era {
            0 => Self::Number(version.number),
            era => Self::InEra(era, version.number),
        }
    }
}
