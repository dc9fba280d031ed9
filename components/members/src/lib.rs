//! Membership of entry VMs: slot leases in the table that all entry VMs share, and the decision
//! whether a configuration may still be served.
//!
//! A fleet has a fixed number of slots. An entry VM that holds a slot is a member and owns one
//! share of every fleet-wide budget: probes and backend connections. This crate does no I/O:
//! callers run the transactions that [`SlotLease`] returns and report their outcomes to it.

mod freshness;
mod lease;
mod probes;
mod row;

pub use freshness::{FreshnessTracker, PeerReport, ServingState};
pub use lease::{HeldSlot, LeaseTiming, SlotLease};
pub use probes::{ProbeShare, probe_share};
pub use row::{MemberEntry, MemberRow, SLOT_PREFIX, newest_common_schema, slot_key};
