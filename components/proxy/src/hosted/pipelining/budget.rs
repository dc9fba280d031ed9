//! The memory of a VM for pipelined requests.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Bytes of all connections for requests that wait for the response before them.
#[derive(Debug, Clone, Default)]
pub(crate) struct PipelineBudget {
    used: Arc<AtomicUsize>,
}

/// Part of a budget, returned on drop.
#[derive(Debug)]
pub(super) struct BudgetShare {
    budget: PipelineBudget,
    bytes: usize,
}

/// Largest number of bytes in use at which a connection may use more. The last use may exceed it.
const MAX_USED_BYTES: usize = 16 << 20;

impl PipelineBudget {
    /// Whether a connection may use more bytes.
    pub(super) fn has_room(&self) -> bool {
        self.used.load(Ordering::Relaxed) < MAX_USED_BYTES
    }

    /// Takes bytes, whether there is room or not.
    pub(super) fn take(&self, bytes: usize) -> BudgetShare {
        self.used.fetch_add(bytes, Ordering::Relaxed);
        BudgetShare { budget: self.clone(), bytes }
    }
}

impl BudgetShare {
    /// Changes the number of bytes that are taken.
    pub(super) fn resize(&mut self, bytes: usize) {
        if bytes > self.bytes {
            self.budget.used.fetch_add(bytes - self.bytes, Ordering::Relaxed);
        }
        if bytes < self.bytes {
            self.budget.used.fetch_sub(self.bytes - bytes, Ordering::Relaxed);
        }
        self.bytes = bytes;
    }
}

impl Drop for BudgetShare {
    fn drop(&mut self) {
        self.resize(0);
    }
}

#[cfg(test)]
mod tests;
