//! Size and rate types.

use derive_more::{Display, From, FromStr};
use serde::{Deserialize, Serialize};

/// A size in bytes.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Display,
    From,
    FromStr,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct ByteSize(pub u64);

/// Rate in probes per second, summed over the whole fleet.
#[derive(
    Debug, Clone, Copy, PartialEq, PartialOrd, Display, From, FromStr, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct ProbeRate(pub f64);

/// Rate in requests per second.
#[derive(
    Debug, Clone, Copy, PartialEq, PartialOrd, Display, From, FromStr, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct RequestRate(pub f64);
