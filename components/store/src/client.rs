//! The table, in memory or behind a network.

use std::pin::Pin;
use std::sync::Arc;

use crate::http::StoreError;
use crate::memory::MemoryTable;
use crate::table::{CommitOutcome, CommitRequest, ScanRequest, TableRow};

/// A pending answer.
pub type StoreFuture<T> = Pin<Box<dyn Future<Output = T> + Send>>;

/// A call with a request.
pub type StoreFn<Req, Res> = Box<dyn Fn(Req) -> StoreFuture<Res> + Send + Sync>;

/// How a transactional table behind a network is called. Each call makes at most one try.
pub struct RemoteTable {
    /// Reads one row.
    pub read: StoreFn<Box<str>, Result<Option<TableRow>, StoreError>>,
    /// Reads rows in key order.
    pub scan: StoreFn<ScanRequest, Result<Vec<TableRow>, StoreError>>,
    /// Runs one transaction.
    pub commit: StoreFn<CommitRequest, CommitOutcome>,
    /// Bytes sent and received so far.
    pub transferred_bytes: Box<dyn Fn() -> u64 + Send + Sync>,
}

/// Access to a transactional table.
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
    /// A table inside this process.
    pub fn in_memory(table: Arc<MemoryTable>) -> Self {
        Self { access: TableAccess::Memory(table) }
    }

    /// A table behind a network.
    pub fn remote(table: RemoteTable) -> Self {
        Self { access: TableAccess::Remote(Arc::new(table)) }
    }

    /// Bytes sent and received so far; 0 for a table in this process.
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

    /// Reads all rows with a prefix, a page at a time.
    pub async fn scan_all(&self, prefix: &str) -> Result<Vec<TableRow>, StoreError> {
        /// Rows in one answer.
        const PAGE_ROWS: usize = 500;
        let mut rows: Vec<TableRow> = Vec::new();
        loop {
            let after = rows.last().map_or_else(|| "".into(), |row| row.key.clone());
            let request = ScanRequest { prefix: prefix.into(), after, limit: PAGE_ROWS };
            let page = self.scan(&request).await?;
            let is_last = page.len() < PAGE_ROWS;
            rows.extend(page);
            if is_last {
                return Ok(rows);
            }
        }
    }

    /// Runs one transaction, with at most one try.
    pub async fn commit(&self, request: &CommitRequest) -> CommitOutcome {
        match &self.access {
            TableAccess::Memory(table) => table.commit(request),
            TableAccess::Remote(remote) => (remote.commit)(request.clone()).await,
        }
    }
}
