//! Availability zones that are evacuated: no request may be sent to their backend servers.

use std::time::Duration;

use tokio::time::Instant;

use model::{FastMap, StoreVersion, ZoneName};

/// A change of one evacuation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EvacuationChange {
    /// A zone is evacuated.
    Started(ZoneName),
    /// The evacuation of a zone has ended.
    Ended(ZoneName),
}

impl EvacuationChange {
    /// Returns the zone of an evacuation that started.
    pub fn into_started(self) -> Option<ZoneName> {
        match self {
            Self::Started(zone) => Some(zone),
            Self::Ended(_) => None,
        }
    }
}

/// The evacuated zones at a version of the store.
///
/// The store may return from an older copy, which lacks the latest evacuations until the operator
/// writes them again. Zones that the copy lacks stay evacuated for some time.
#[derive(Debug)]
pub struct EvacuatedZones {
    /// How long a zone that an older copy lacks stays evacuated.
    retention: Duration,
    /// Version of the store that the zones reflect; `None` before the first listing.
    version: Option<StoreVersion>,
    /// When the evacuation of each zone ends; `None` while it is listed.
    zones: FastMap<ZoneName, Option<Instant>>,
}

impl EvacuatedZones {
    /// Creates a set without zones and version. Zones that an older copy of the store lacks stay
    /// evacuated for `retention` after the copy is listed.
    pub fn new(retention: Duration) -> Self {
        Self { retention, version: None, zones: FastMap::default() }
    }

    /// Changes how long zones stay evacuated that an older copy of the store lacks.
    pub fn set_retention(&mut self, retention: Duration) {
        self.retention = retention;
    }

    /// Returns the version of the store that the zones reflect; `None` before the first listing.
    pub fn version(&self) -> Option<StoreVersion> {
        self.version
    }

    /// Replaces the zones by those of a listing. Returns `false` if a newer version is held.
    pub fn apply_listing(
        &mut self,
        version: StoreVersion,
        listed: &[ZoneName],
        now: Instant,
    ) -> bool {
        if self.version > Some(version) {
            return false;
        }
        let is_restored = self.version.is_some_and(|held| held.era < version.era);
        let retained_until = now + self.retention;
        self.version = Some(version);
        for (zone, until) in &mut self.zones {
            if is_restored && !listed.contains(zone) {
                *until = Some(retained_until);
            }
        }
        self.zones.retain(|_, until| until.is_some_and(|until| now < until));
        self.zones.extend(listed.iter().map(|zone| (zone.clone(), None)));
        true
    }

    /// Applies changes in their order. Returns `false` if a newer version is held, or no listing
    /// that they could amend.
    pub fn apply_changes(
        &mut self,
        version: StoreVersion,
        changes: impl IntoIterator<Item = EvacuationChange>,
    ) -> bool {
        if self.version.is_none_or(|held| version < held || version.era > held.era) {
            return false;
        }
        self.version = Some(version);
        for change in changes {
            match change {
                EvacuationChange::Started(zone) => {
                    self.zones.insert(zone, None);
                }
                EvacuationChange::Ended(zone) => {
                    self.zones.remove(&zone);
                }
            }
        }
        true
    }

    /// Removes zones whose retention has ended; returns whether there were any.
    pub fn remove_expired(&mut self, now: Instant) -> bool {
        let count = self.zones.len();
        self.zones.retain(|_, until| until.is_none_or(|until| now < until));
        self.zones.len() < count
    }

    /// Returns when `remove_expired` is due next; `None` if all zones are listed.
    pub fn next_expiry(&self) -> Option<Instant> {
        self.zones.values().filter_map(|until| *until).min()
    }

    /// Returns the evacuated zones, in the order of their names.
    pub fn zones(&self) -> Vec<ZoneName> {
        sorted(self.zones.keys())
    }

    /// Returns the evacuated zones that the store contains, in the order of their names.
    pub fn listed_zones(&self) -> Vec<ZoneName> {
        sorted(self.zones.iter().filter(|(_, until)| until.is_none()).map(|(zone, _)| zone))
    }
}

fn sorted<'a>(zones: impl Iterator<Item = &'a ZoneName>) -> Vec<ZoneName> {
    let mut zones: Vec<ZoneName> = zones.cloned().collect();
    zones.sort();
    zones
}
