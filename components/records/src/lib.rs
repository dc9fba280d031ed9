//! Versioned records: admission, one total order of revisions, and the routing table made of them.
//!
//! Nothing here does I/O: callers run the transactions that [`build_commit`] returns.

mod access;
mod admit;
mod change;
mod routing;
mod rows;
mod snapshot;

pub use access::{OperatorIdentity, hash_key, hashes_match, may_read, may_write};
pub use admit::{WriteRefusal, admit_write};
pub use change::{ChangeEntry, RecordChange, WriteRequest, WriteVerb};
pub use routing::{AccountConfig, ResolvedRoute, RoutingTable, ServiceConfig, ServiceKey};
pub use rows::{
    CHANGE_PREFIX, OperationRow, RECORD_PREFIX, REVISION_KEY, build_commit, change_key,
    decode_change, decode_operation, decode_record, decode_revision, history_prefix, operation_key,
};
pub use snapshot::{ApplyOutcome, ConfigSnapshot, StoredRecord};
