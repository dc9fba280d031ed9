//! The table, in memory or behind HTTP.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde_json::json;

use crate::http::{JsonClient, StoreError};
use crate::memory::MemoryTable;
use crate::table::{CommitAnswer, CommitOutcome, CommitRequest, ScanRequest, TableRow};

/// Access to the platform's transactional table.
#[derive(Debug, Clone)]
pub struct TableClient {
    access: TableAccess,
}

#[derive(Debug, Clone)]
enum TableAccess {
    Memory(Arc<MemoryTable>),
    Http(Arc<JsonClient>),
}

impl TableClient {
    /// A table inside this process.
    pub fn in_memory(table: Arc<MemoryTable>) -> Self {
        Self { access: TableAccess::Memory(table) }
    }

    /// The table behind HTTP at `address`; every call takes at most `deadline`.
    pub fn over_http(address: SocketAddr, deadline: Duration) -> Self {
        Self { access: TableAccess::Http(Arc::new(JsonClient::new(address, deadline))) }
    }

    /// Bytes sent and received so far; 0 for a table in this process.
    pub fn bytes(&self) -> u64 {
        match &self.access {
            TableAccess::Memory(_) => 0,
            TableAccess::Http(client) => client.bytes(),
        }
    }

    /// Reads one row.
    pub async fn read(&self, key: &str) -> Result<Option<TableRow>, StoreError> {
        match &self.access {
            TableAccess::Memory(table) => Ok(table.read(key)),
            TableAccess::Http(client) => client.call("/table/read", &json!({ "key": key })).await,
        }
    }

    /// Reads at most `request.limit` rows in key order.
    pub async fn scan(&self, request: &ScanRequest) -> Result<Vec<TableRow>, StoreError> {
        match &self.access {
            TableAccess::Memory(table) => Ok(table.scan(request)),
            TableAccess::Http(client) => client.call("/table/scan", request).await,
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
            TableAccess::Http(client) => match client.call("/table/commit", request).await {
                Ok(CommitAnswer::Done(version)) => CommitOutcome::Done(version),
                Ok(CommitAnswer::Conflict(keys)) => CommitOutcome::Conflict(keys),
                Err(error) => CommitOutcome::Unknown(error),
            },
        }
    }
}
