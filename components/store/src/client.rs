//! Client of a transactional table, which is in memory or remote.

use std::pin::Pin;
use std::sync::Arc;

use crate::http::StoreError;
use crate::memory::MemoryTable;
use crate::table::{CommitOutcome, CommitRequest, ScanRequest, TableRow};

/// Pending result of a call to the store.
pub type StoreFuture<T> = Pin<Box<dyn Future<Output = T> + Send>>;

/// An asynchronous function that runs one kind of call.
pub type StoreFn<Req, Res> = Box<dyn Fn(Req) -> StoreFuture<Res> + Send + Sync>;

/// Calls to a remote transactional table. Each makes at most one attempt.
pub struct RemoteTable {
    /// Reads one row.
    pub read: StoreFn<Box<str>, Result<Option<TableRow>, StoreError>>,
    /// Reads rows in key order.
    pub scan: StoreFn<ScanRequest, Result<Vec<TableRow>, StoreError>>,
    /// Runs one transaction.
    pub commit: StoreFn<CommitRequest, CommitOutcome>,
    /// Returns the bytes sent and received so far.
    pub transferred_bytes: Box<dyn Fn() -> u64 + Send + Sync>,
}

/// Client of a transactional table.
#[derive(Clone)]
pub struct TableClient {
    access: TableAccess,
}

#[derive(Clone)]
enum TableAccess {
    Memory(Arc<MemoryTable>),
    Remote(Arc<RemoteTable>),
}

impl TableClient {
    /// Creates a client of a table in this process.
    pub fn in_memory(table: Arc<MemoryTable>) -> Self {
        Self { access: TableAccess::Memory(table) }
    }

    /// Creates a client of a remote table.
    pub fn remote(table: RemoteTable) -> Self {
        Self { access: TableAccess::Remote(Arc::new(table)) }
    }

    /// Returns the bytes sent and received so far; 0 for a table in this process.
    pub fn transferred_bytes(&self) -> u64 {
        match &self.access {
            TableAccess::Memory(_) => 0,
            TableAccess::Remote(remote) => (remote.transferred_bytes)(),
        }
    }

    /// Reads one row.
    pub async fn read(&self, key: &str) -> Result<Option<TableRow>, StoreError> {
        match &self.access {
            TableAccess::Memory(table) => Ok(table.read(key)),
            TableAccess::Remote(remote) => (remote.read)(key.into()).await,
        }
    }

    /// Reads at most `request.limit` rows in key order.
    pub async fn scan(&self, request: &ScanRequest) -> Result<Vec<TableRow>, StoreError> {
        match &self.access {
            TableAccess::Memory(table) => Ok(table.scan(request)),
            TableAccess::Remote(remote) => (remote.scan)(request.clone()).await,
        }
    }

    /// Reads all rows whose keys start with `prefix`, one page at a time.
    pub async fn scan_all(&self, prefix: &str) -> Result<Vec<TableRow>, StoreError> {
        /// Maximum number of rows per response.
        const ROWS_PER_PAGE: usize = 500;
        let mut rows: Vec<TableRow> = Vec::new();
        loop {
            let after = rows.last().map_or_else(|| "".into(), |row| row.key.clone());
            let request = ScanRequest { prefix: prefix.into(), after, limit: ROWS_PER_PAGE };
            let page = self.scan(&request).await?;
            let is_last = page.len() < ROWS_PER_PAGE;
            rows.extend(page);
            if is_last {
                return Ok(rows);
            }
        }
    }

    /// Runs one transaction, with at most one attempt.
    pub async fn commit(&self, request: &CommitRequest) -> CommitOutcome {
        match &self.access {
            TableAccess::Memory(table) => table.commit(request),
            TableAccess::Remote(remote) => (remote.commit)(request.clone()).await,
        }
    }
}
