//! The memory of a VM for bytes of many connections.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::Bytes;

/// Bytes that all connections together keep for one purpose.
#[derive(Debug, Clone)]
pub(crate) struct ByteBudget {
    used: Arc<AtomicUsize>,
    /// Number of bytes in use at which a connection may use more. The last use may exceed it.
    max_bytes: usize,
}

/// Part of a budget, returned on drop.
#[derive(Debug)]
pub(crate) struct ByteShare {
    budget: ByteBudget,
    bytes: usize,
}

/// Bytes whose part of a budget is returned with them.
struct SharedBytes {
    bytes: Bytes,
    _share: ByteShare,
}

impl AsRef<[u8]> for SharedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl ByteBudget {
    /// Creates a budget of which nothing is in use.
    pub(crate) fn new(max_bytes: usize) -> Self {
        Self { used: Arc::default(), max_bytes }
    }

    /// Returns the same budget, but without the last part of it.
    pub(crate) fn without_last(&self, bytes: usize) -> Self {
        Self { used: Arc::clone(&self.used), max_bytes: self.max_bytes.saturating_sub(bytes) }
    }

    /// Whether a connection may use more bytes.
    pub(crate) fn has_room(&self) -> bool {
        self.used.load(Ordering::Relaxed) < self.max_bytes
    }

    /// Takes bytes, whether there is room or not.
    pub(crate) fn take(&self, bytes: usize) -> ByteShare {
        self.used.fetch_add(bytes, Ordering::Relaxed);
        ByteShare { budget: self.clone(), bytes }
    }
}

impl ByteShare {
    /// Changes the number of bytes that are taken.
    pub(crate) fn resize(&mut self, bytes: usize) {
        if bytes > self.bytes {
            self.budget.used.fetch_add(bytes - self.bytes, Ordering::Relaxed);
        }
        if bytes < self.bytes {
            self.budget.used.fetch_sub(self.bytes - bytes, Ordering::Relaxed);
        }
        self.bytes = bytes;
    }

    /// Returns bytes that hold the share until the last use of them ends.
    pub(crate) fn hold_with(self, bytes: Bytes) -> Bytes {
        Bytes::from_owner(SharedBytes { bytes, _share: self })
    }
}

impl Drop for ByteShare {
    fn drop(&mut self) {
        self.resize(0);
    }
}

#[cfg(test)]
mod tests;
