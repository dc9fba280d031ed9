//! Interfaces to external storage: a transactional table and the list of backend servers, each in
//! memory or remote, and the HTTP client with which remote ones are called.

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
