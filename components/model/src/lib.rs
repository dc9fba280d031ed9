//! Identifiers, quantities and versioned records shared by all crates.

mod check;
mod ids;
mod jitter;
mod keys;
mod quantities;
mod record;
mod specs;
mod store_version;

pub use check::{FieldFault, FieldKind, FieldRule, check_fields};
pub use ids::{
    AccountId, AttemptId, GroupName, NameError, OperationId, RecordName, RevisionNumber,
    SchemaVersion, ServerId, VmId, ZoneName,
};
pub use jitter::{jittered, jittered_with};
pub use keys::{hash_key_bytes, hashes_match};
pub use quantities::{AccountQuota, ByteSize, ProbeRate, RequestRate};
pub use record::{RecordKey, RecordKind, VersionedRecord, parse_record};
pub use specs::{
    AccountLimits, AccountSpec, IdempotencyKeyPolicy, IdempotencyRule, OperatorKeyScope,
    OperatorKeySpec, RecordSpec, RouteRule, RoutingPolicySpec, ServiceSpec, StoreOutagePolicy,
};
pub use store_version::StoreVersion;

/// Hash map with a fast, randomly seeded hash function.
pub type FastMap<K, V> = std::collections::HashMap<K, V, foldhash::fast::RandomState>;

/// Hash set with a fast, randomly seeded hash function.
pub type FastSet<K> = std::collections::HashSet<K, foldhash::fast::RandomState>;
