//! Membership of entry VMs: slot leases in the platform's table, and whether a configuration may
//! still be served.
//!
//! A fleet has a fixed number of slots. An entry VM that holds a slot is a member, and owns one
//! part of every fleet-wide budget: probes, backend connections. Nothing here does I/O: callers
//! run the transactions that [`SlotLease`] returns and tell it how they ended.

mod fresh;
mod lease;
mod probes;
mod row;

pub use fresh::{FreshnessTracker, PeerReport, ServingState};
pub use lease::{HeldSlot, LeaseTimes, SlotLease};
pub use probes::{ProbeParts, probe_parts};
pub use row::{MemberEntry, MemberRow, SLOT_PREFIX, newest_readable, slot_key};
