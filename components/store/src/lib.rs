//! What the product keeps outside itself: rows and conditions, objects, the list of backend
//! servers, and an HTTP client without a protocol of its own.

mod client;
mod http;
mod list;
mod memory;
mod table;

pub use client::{RemoteTable, StoreFn, StoreFuture, TableClient};
pub use http::{HttpClient, StoreError};
pub use list::{RemoteList, ServerEntry, ServerList, ServerListClient, ServerState};
pub use memory::MemoryTable;
pub use table::{CommitOutcome, CommitRequest, RowCondition, RowWrite, ScanRequest, TableRow};
