//! Lease of one slot, timed by the entry VM's own monotonic clock.
//!
//! The holder's lease starts *before* it sends the write. For every other entry VM it starts when
//! that VM first reads the written row version, which is later. So the holder's lease always ends
//! before another entry VM may take over the slot. The clocks need to agree only on their rate, and
//! the takeover margin covers the difference in rate.

use std::time::Duration;

use rand::seq::IndexedRandom;
use rand::{Rng, RngExt};
use serde_json::json;
use tokio::time::Instant;

use model::{FastMap, VmId};
use store::{CommitOutcome, CommitRequest, RowCondition, RowWrite, TableRow};

use crate::row::{MemberEntry, MemberRow, slot_key};

/// Timing of a lease.
#[derive(Debug, Clone, Copy)]
pub struct LeaseTiming {
    /// Validity of a lease, counted from when its last write was sent.
    pub duration: Duration,
    /// Age of a lease at which it is renewed.
    pub renew_after: Duration,
    /// Time beyond `duration` that other entry VMs wait before they take over the slot. Invariant:
    /// covers clock rate differences over `duration` and the longest interval between two probes
    /// of one part of a probe budget.
    pub takeover_margin: Duration,
}

impl Default for LeaseTiming {
    fn default() -> Self {
        Self {
            duration: Duration::from_secs(30),
            renew_after: Duration::from_secs(10),
            takeover_margin: Duration::from_secs(3),
        }
    }
}

/// A slot held by this entry VM.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct HeldSlot {
    /// Number of the slot, below the number of slots.
    pub slot: u32,
    /// End of the lease. From this time on, the holder must not use its share of any budget.
    pub valid_until: Instant,
}

/// The lease of this entry VM, and the state of all slots as of its last scan.
#[derive(Debug)]
pub struct SlotLease {
    row: MemberRow,
    slot_count: u32,
    timing: LeaseTiming,
    held_lease: Option<HeldLease>,
    /// The last write sent, until its outcome is known.
    pending_write: Option<PendingWrite>,
    /// Rows of the last scan by slot number, with the time when each row version was first seen.
    observed_rows: FastMap<u32, ObservedRow>,
    /// Start of the last scan. Before the first scan, no slot is known to be free. During an outage
    /// no holder can renew, so rows age only up to this time.
    last_scan_at: Option<Instant>,
}

#[derive(Debug, Clone, Copy)]
struct HeldLease {
    held_slot: HeldSlot,
    version: u64,
    sent_at: Instant,
}

#[derive(Debug, Clone, Copy)]
struct PendingWrite {
    slot: u32,
    renewal: u64,
    sent_at: Instant,
}

#[derive(Debug, Clone)]
struct ObservedRow {
    version: u64,
    first_seen_at: Instant,
    row: MemberRow,
}

impl SlotLease {
    /// Creates a lease that holds no slot yet.
    pub fn new(row: MemberRow, slot_count: u32, timing: LeaseTiming) -> Self {
        Self {
            row,
            slot_count,
            timing,
            held_lease: None,
            pending_write: None,
            observed_rows: FastMap::default(),
            last_scan_at: None,
        }
    }

    /// Returns the slot held at `now`, if any.
    pub fn held_slot(&self, now: Instant) -> Option<HeldSlot> {
        self.held_lease.map(|lease| lease.held_slot).filter(|slot| now < slot.valid_until)
    }

    /// Applies a complete scan of the slot rows that was started at `now`.
    pub fn apply_scan(&mut self, rows: &[TableRow], now: Instant) {
        let is_continuous =
            self.last_scan_at.is_some_and(|last| now < last + self.timing.duration / 2);
        self.last_scan_at = Some(now);
        let mut current_rows = FastMap::default();
        for row in rows {
            let Some((slot, content)) = parse_slot_row(row) else {
                continue;
            };
            let first_seen_at = match self.observed_rows.get(&slot) {
                // After a gap between scans, rows age from `now`, so that live holders have time
                // to renew.
                Some(observed) if observed.version == row.version && is_continuous => {
                    observed.first_seen_at
                }
                _ => now,
            };
            current_rows
                .insert(slot, ObservedRow { version: row.version, first_seen_at, row: content });
        }
        self.observed_rows = current_rows;
        self.reconcile_own_row();
    }

    /// Returns the transaction to run now, if any: a renewal, or the claim of a free slot.
    pub fn plan_commit(&mut self, now: Instant, random: &mut impl Rng) -> Option<CommitRequest> {
        if let Some(lease) = self.held_lease {
            if now < lease.sent_at + self.timing.renew_after {
                return None;
            }
            return Some(self.prepare_write(lease.held_slot.slot, Some(lease.version), now));
        }
        let scanned_at = self.last_scan_at?;
        let (slot, version) = self.choose_slot(scanned_at, random)?;
        Some(self.prepare_write(slot, version, now))
    }

    /// Applies the outcome of the planned transaction.
    pub fn apply_outcome(&mut self, outcome: &CommitOutcome) {
        let Some(pending) = self.pending_write else {
            return;
        };
        match outcome {
            CommitOutcome::Committed(version) => self.set_held(pending, *version),
            CommitOutcome::Conflict(_) => {
                // Another entry VM wrote the row, or an earlier write of this VM took effect though
                // its response was lost. The next scan shows which.
                self.pending_write = None;
                self.held_lease = None;
            }
            // The next scan shows whether the write took effect. Until then the previous lease
            // stays valid.
            CommitOutcome::Unknown(_) => {}
        }
    }

    /// Returns the transaction that releases the slot, if one is held. After this call, this VM
    /// must not use its share of any budget.
    pub fn plan_release(&mut self) -> Option<CommitRequest> {
        let lease = self.held_lease.take()?;
        let key = slot_key(lease.held_slot.slot);
        Some(CommitRequest {
            conditions: vec![RowCondition::at_version(&key, lease.version)],
            writes: vec![RowWrite::delete(&key)],
        })
    }

    /// Returns the members as of the last scan, one entry per VM, ordered by slot. During an outage
    /// of the table, the members of the last scan remain.
    pub fn members(&self) -> Vec<MemberEntry> {
        let Some(now) = self.last_scan_at else {
            return Vec::new();
        };
        let mut newest: FastMap<&VmId, (&u32, &ObservedRow)> = FastMap::default();
        for (slot, observed) in &self.observed_rows {
            if self.is_expired(observed, now) {
                continue;
            }
            let newest_row = newest.entry(&observed.row.vm).or_insert((slot, observed));
            if observed.version > newest_row.1.version {
                *newest_row = (slot, observed);
            }
        }
        let mut members: Vec<MemberEntry> = newest
            .into_values()
            .map(|(slot, observed)| MemberEntry { slot: *slot, row: observed.row.clone() })
            .collect();
        members.sort_by_key(|member| member.slot);
        members
    }

    fn is_expired(&self, observed: &ObservedRow, now: Instant) -> bool {
        now >= observed.first_seen_at + self.timing.duration + self.timing.takeover_margin
    }

    fn prepare_write(&mut self, slot: u32, version: Option<u64>, now: Instant) -> CommitRequest {
        self.row.renewal += 1;
        self.pending_write = Some(PendingWrite { slot, renewal: self.row.renewal, sent_at: now });
        let key = slot_key(slot);
        CommitRequest {
            conditions: vec![RowCondition { key: key.as_str().into(), version }],
            writes: vec![RowWrite::put(&key, json!(self.row))],
        }
    }

    fn set_held(&mut self, write: PendingWrite, version: u64) {
        let valid_until = write.sent_at + self.timing.duration;
        let held_slot = HeldSlot { slot: write.slot, valid_until };
        self.held_lease = Some(HeldLease { held_slot, version, sent_at: write.sent_at });
        self.pending_write = None;
    }

    /// Updates the local lease from this run's row in the last scan.
    fn reconcile_own_row(&mut self) {
        let own_row = self
            .observed_rows
            .iter()
            .find(|(_, observed)| observed.row.run_id == self.row.run_id)
            .map(|(slot, observed)| (*slot, observed.version, observed.row.renewal));
        let Some((slot, version, renewal)) = own_row else {
            // The table has no row of this run: another entry VM has taken over the slot.
            self.held_lease = None;
            return;
        };
        if let Some(write) =
            self.pending_write.filter(|write| write.renewal == renewal && write.slot == slot)
        {
            self.set_held(write, version);
            return;
        }
        if let Some(lease) = &mut self.held_lease {
            lease.version = version;
        }
    }

    fn choose_slot(
        &self,
        scanned_at: Instant,
        random: &mut impl Rng,
    ) -> Option<(u32, Option<u64>)> {
        let own_row =
            self.observed_rows.iter().find(|(_, observed)| observed.row.run_id == self.row.run_id);
        if let Some((slot, observed)) = own_row {
            // The row is from this run, but its lease was lost: it can be renewed immediately.
            return Some((*slot, Some(observed.version)));
        }
        let expired: Vec<(u32, u64)> = self
            .observed_rows
            .iter()
            .filter(|(slot, observed)| {
                **slot < self.slot_count && self.is_expired(observed, scanned_at)
            })
            .map(|(slot, observed)| (*slot, observed.version))
            .collect();
        if let Some((slot, version)) = expired.choose(random) {
            return Some((*slot, Some(*version)));
        }
        let free_count = self.slot_count as usize
            - self.observed_rows.keys().filter(|slot| **slot < self.slot_count).count();
        if free_count == 0 {
            return None;
        }
        let chosen_index = random.random_range(0..free_count);
        let slot = (0..self.slot_count)
            .filter(|slot| !self.observed_rows.contains_key(slot))
            .nth(chosen_index)?;
        Some((slot, None))
    }
}

fn parse_slot_row(row: &TableRow) -> Option<(u32, MemberRow)> {
    let slot = row.key.rsplit('/').next()?.parse().ok()?;
    let content = serde_json::from_value(row.value.clone()).ok()?;
    Some((slot, content))
}
