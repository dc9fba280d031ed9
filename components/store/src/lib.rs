//! Clients for the platform: transactional table, object store and list of VMs.

mod client;
mod http;
mod list;
mod memory;
mod objects;
mod table;

pub use client::TableClient;
pub use http::{JsonClient, StoreError};
pub use list::{ListClient, ServerEntry, ServerList, ServerState};
pub use memory::MemoryTable;
pub use objects::ObjectClient;
pub use table::{
    CommitAnswer, CommitOutcome, CommitRequest, RowCondition, RowWrite, ScanRequest, TableRow,
};
