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

/// Requests of an account that all entry VMs together may forward.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct AccountQuota {
    /// Requests per second.
    pub rate: RequestRate,
    /// Requests beyond the rate at one moment.
    pub burst: f64,
}
