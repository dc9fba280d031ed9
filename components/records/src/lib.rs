//! Versioned records: admission, one total order of revisions, and the routing table made of them.
//!
//! Nothing here does I/O: callers run the transactions that [`plan_write`] returns.

mod access;
mod admit;
mod change;
mod routing;
mod rows;
mod snapshot;

pub use access::{OperatorIdentity, hash_key, may_read, may_write, same_hash};
pub use admit::{WriteRefusal, admit_write};
pub use change::{ChangeEntry, RecordChange, WriteRequest, WriteVerb};
pub use routing::{AccountPlan, RoutePlan, RoutingTable, ServiceKey, ServicePlan};
pub use rows::{
    CHANGE_PREFIX, OperationRow, RECORD_PREFIX, REVISION_KEY, change_key, history_prefix,
    operation_key, plan_write, read_change, read_operation, read_record, read_revision,
};
pub use snapshot::{ApplyOutcome, ConfigSnapshot, StoredRecord};
