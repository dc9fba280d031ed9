//! Versioned configuration records: admission of writes, a total order of revisions, and the
//! routing table that is compiled from the records.
//!
//! This crate does no I/O: callers run the transactions that [`build_commit`] returns.

mod access;
mod admit;
mod change;
mod routing;
mod rows;
mod snapshot;

pub use access::{OperatorIdentity, hash_key, may_read, may_write};
pub use admit::{WriteRefusal, admit_write};
pub use change::{ChangeEntry, RecordChange, WriteRequest, WriteVerb};
pub use routing::{AccountConfig, ResolvedRoute, RoutingTable, ServiceConfig, ServiceKey};
pub use rows::{
    CHANGE_PREFIX, OperationRow, RECORD_PREFIX, REVISION_KEY, build_commit, change_key,
    decode_change, decode_operation, decode_record, decode_revision, history_prefix, operation_key,
};
pub use snapshot::{ApplyOutcome, ConfigSnapshot, StoredRecord};
