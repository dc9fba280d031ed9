//! The lease of one slot, held by an entry VM's own monotonic clock.
//!
//! The holder counts its lease from *before* it sent the write; everyone else counts from when
//! they first saw the written row version, which is later. So the holder's lease always ends
//! before another entry VM may take the slot, with no agreement between clocks except on rate,
//! for which the margin allows.

use std::time::Duration;

use rand::seq::IndexedRandom;
use rand::{Rng, RngExt};
use serde_json::json;
use tokio::time::Instant;

use model::{FastMap, VmId};
use store::{CommitOutcome, CommitRequest, RowCondition, RowWrite, TableRow};

use crate::row::{MemberEntry, MemberRow, slot_key};

/// Durations of a lease.
#[derive(Debug, Clone, Copy)]
pub struct LeaseTimes {
    /// How long a lease lasts after the renewal was sent.
    pub length: Duration,
    /// Age of a lease at which it is renewed.
    pub renew_after: Duration,
    /// How much longer than `length` others wait. Invariant: covers clock rate differences over
    /// `length` and the longest interval between two probes of one part.
    pub margin: Duration,
}

impl Default for LeaseTimes {
    fn default() -> Self {
        Self {
            length: Duration::from_secs(30),
            renew_after: Duration::from_secs(10),
            margin: Duration::from_secs(3),
        }
    }
}

/// A slot held by this entry VM.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct HeldSlot {
    /// The slot's number, below the number of slots.
    pub slot: u32,
    /// The holder must not use its part of any budget from this time on.
    pub valid_until: Instant,
}

/// The lease of this entry VM and what it saw of all slots.
#[derive(Debug)]
pub struct SlotLease {
    row: MemberRow,
    slots: u32,
    times: LeaseTimes,
    held: Option<HeldState>,
    /// The write that was sent last and not yet seen in the table.
    pending: Option<PendingWrite>,
    /// When each slot's row version was first seen.
    seen: FastMap<u32, SeenRow>,
    /// When the last scan was begun; before the first, nothing is known to be free. During an
    /// outage nobody can renew, so the age of rows counts only up to here.
    last_scan: Option<Instant>,
}

#[derive(Debug, Clone, Copy)]
struct HeldState {
    slot: HeldSlot,
    version: u64,
    sent_at: Instant,
}

#[derive(Debug, Clone, Copy)]
struct PendingWrite {
    slot: u32,
    beat: u64,
    sent_at: Instant,
}

#[derive(Debug, Clone)]
struct SeenRow {
    version: u64,
    since: Instant,
    row: MemberRow,
}

impl SlotLease {
    /// A lease not yet held.
    pub fn new(row: MemberRow, slots: u32, times: LeaseTimes) -> Self {
        Self {
            row,
            slots,
            times,
            held: None,
            pending: None,
            seen: FastMap::default(),
            last_scan: None,
        }
    }

    /// The slot held at `now`, if any.
    pub fn held(&self, now: Instant) -> Option<HeldSlot> {
        self.held.map(|state| state.slot).filter(|slot| now < slot.valid_until)
    }

    /// Takes in a whole scan of the slot rows that was begun at `now`.
    pub fn observe(&mut self, rows: &[TableRow], now: Instant) {
        let is_continuous = self.last_scan.is_some_and(|last| now < last + self.times.length / 2);
        self.last_scan = Some(now);
        let mut present = FastMap::default();
        for row in rows {
            let Some((slot, content)) = parse_row(row) else {
                continue;
            };
            let since = match self.seen.get(&slot) {
                // After a gap between scans, live holders get time to renew.
                Some(seen) if seen.version == row.version && is_continuous => seen.since,
                _ => now,
            };
            present.insert(slot, SeenRow { version: row.version, since, row: content });
        }
        self.seen = present;
        self.adopt_own_row();
    }

    /// The transaction to run now, if any: a renewal, or taking a free slot.
    pub fn plan(&mut self, now: Instant, random: &mut impl Rng) -> Option<CommitRequest> {
        if let Some(state) = self.held {
            if now < state.sent_at + self.times.renew_after {
                return None;
            }
            return Some(self.write(state.slot.slot, Some(state.version), now));
        }
        let scanned_at = self.last_scan?;
        let (slot, version) = self.choose_free(scanned_at, random)?;
        Some(self.write(slot, version, now))
    }

    /// Takes in how the planned transaction ended.
    pub fn settle(&mut self, outcome: &CommitOutcome) {
        let Some(pending) = self.pending else {
            return;
        };
        match outcome {
            CommitOutcome::Done(version) => self.hold(pending, *version),
            CommitOutcome::Conflict(_) => {
                // Someone else wrote the row, or an earlier write of ours took effect after its
                // answer was lost; the next scan tells which.
                self.pending = None;
                self.held = None;
            }
            // The next scan shows whether it took effect. Until then the old lease goes on.
            CommitOutcome::Unknown(_) => {}
        }
    }

    /// The transaction that gives the slot back, if it is held. No part of any budget may be used
    /// once it is planned.
    pub fn plan_release(&mut self) -> Option<CommitRequest> {
        let state = self.held.take()?;
        let key = slot_key(state.slot.slot);
        Some(CommitRequest {
            conditions: vec![RowCondition::at(&key, state.version)],
            writes: vec![RowWrite::delete(&key)],
        })
    }

    /// Members as of the last scan, one for each VM, in order of slot. During an outage of the
    /// table the last known members stay.
    pub fn members(&self) -> Vec<MemberEntry> {
        let Some(now) = self.last_scan else {
            return Vec::new();
        };
        let mut newest: FastMap<&VmId, (&u32, &SeenRow)> = FastMap::default();
        for (slot, seen) in &self.seen {
            if self.is_expired(seen, now) {
                continue;
            }
            let known = newest.entry(&seen.row.vm).or_insert((slot, seen));
            if seen.version > known.1.version {
                *known = (slot, seen);
            }
        }
        let mut members: Vec<MemberEntry> = newest
            .into_values()
            .map(|(slot, seen)| MemberEntry { slot: *slot, row: seen.row.clone() })
            .collect();
        members.sort_by_key(|member| member.slot);
        members
    }

    fn is_expired(&self, seen: &SeenRow, now: Instant) -> bool {
        now >= seen.since + self.times.length + self.times.margin
    }

    fn write(&mut self, slot: u32, version: Option<u64>, now: Instant) -> CommitRequest {
        self.row.beat += 1;
        self.pending = Some(PendingWrite { slot, beat: self.row.beat, sent_at: now });
        let key = slot_key(slot);
        CommitRequest {
            conditions: vec![RowCondition { key: key.as_str().into(), version }],
            writes: vec![RowWrite::put(&key, json!(self.row))],
        }
    }

    fn hold(&mut self, write: PendingWrite, version: u64) {
        let valid_until = write.sent_at + self.times.length;
        let slot = HeldSlot { slot: write.slot, valid_until };
        self.held = Some(HeldState { slot, version, sent_at: write.sent_at });
        self.pending = None;
    }

    /// Compares what this VM believes with the row that stands in the table.
    fn adopt_own_row(&mut self) {
        let own = self
            .seen
            .iter()
            .find(|(_, seen)| seen.row.run == self.row.run)
            .map(|(slot, seen)| (*slot, seen.version, seen.row.beat));
        let Some((slot, version, beat)) = own else {
            // Held by belief only: another entry VM has the slot.
            self.held = None;
            return;
        };
        if let Some(write) = self.pending.filter(|write| write.beat == beat && write.slot == slot) {
            self.hold(write, version);
            return;
        }
        if let Some(state) = &mut self.held {
            state.version = version;
        }
    }

    fn choose_free(
        &self,
        scanned_at: Instant,
        random: &mut impl Rng,
    ) -> Option<(u32, Option<u64>)> {
        let own = self.seen.iter().find(|(_, seen)| seen.row.run == self.row.run);
        if let Some((slot, seen)) = own {
            // A row of this very run whose lease was lost: it can be renewed at once.
            return Some((*slot, Some(seen.version)));
        }
        let expired: Vec<(u32, u64)> = self
            .seen
            .iter()
            .filter(|(slot, seen)| **slot < self.slots && self.is_expired(seen, scanned_at))
            .map(|(slot, seen)| (*slot, seen.version))
            .collect();
        if let Some((slot, version)) = expired.choose(random) {
            return Some((*slot, Some(*version)));
        }
        let free = self.slots as usize - self.seen.keys().filter(|s| **s < self.slots).count();
        if free == 0 {
            return None;
        }
        let chosen = random.random_range(0..free);
        let slot = (0..self.slots).filter(|slot| !self.seen.contains_key(slot)).nth(chosen)?;
        Some((slot, None))
    }
}

fn parse_row(row: &TableRow) -> Option<(u32, MemberRow)> {
    let slot = row.key.rsplit('/').next()?.parse().ok()?;
    let content = serde_json::from_value(row.value.clone()).ok()?;
    Some((slot, content))
}
