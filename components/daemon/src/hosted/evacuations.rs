//! The evacuated availability zones as this entry VM last received them.

use tokio::time::{Instant, sleep_until};

use model::{StoreVersion, ZoneName};
use observe::info;
use routes::{EvacuatedZones, EvacuationChange};

use crate::hosted::platform_view::PlatformView;

/// Source of the end of an evacuation that an older copy of the store lacks, in log lines.
const RETENTION_SOURCE: &str = "retention";

impl PlatformView {
    /// Replaces the evacuated zones, unless a newer version is held.
    pub(crate) fn apply_evacuations(
        &self,
        version: StoreVersion,
        listed: &[ZoneName],
        source: &str,
    ) {
        self.update_evacuations(source, |zones| {
            zones.apply_listing(version, listed, Instant::now())
        });
    }

    /// Applies changes of the evacuated zones, unless a newer version is held.
    pub(crate) fn apply_evacuation_changes(
        &self,
        version: StoreVersion,
        changes: Vec<EvacuationChange>,
        source: &str,
    ) {
        self.update_evacuations(source, |zones| zones.apply_changes(version, changes));
    }

    /// Ends evacuations that an older copy of the store lacks and that were not written again, until
    /// the future is dropped.
    pub(crate) async fn run_evacuation_expiry(&self) {
        loop {
            let changed = self.evacuations.changed.notified();
            let next_expiry = self.evacuations.lock().next_expiry();
            match next_expiry {
                Some(at) => sleep_until(at).await,
                None => changed.await,
            }
            self.update_evacuations(RETENTION_SOURCE, |zones| zones.remove_expired(Instant::now()));
        }
    }

    /// Puts an update in force and publishes it, unless `update` returns that it changes nothing.
    fn update_evacuations(&self, source: &str, update: impl FnOnce(&mut EvacuatedZones) -> bool) {
        // Held until the update is in force, so that updates take effect in their order.
        let mut state = self.evacuations.lock();
        let before = state.zones();
        if !update(&mut state) {
            return;
        }
        let zones = state.zones();
        if zones != before {
            self.services.set_evacuated_zones(&zones, Instant::now());
            self.log_evacuations(&before, &zones, state.version(), source);
        }
        self.metrics.evacuated_zones.set(zones.len() as i64);
        if let (Some(hub), Some(version)) = (self.hub(), state.version()) {
            self.log_encode_failure(hub.publish_evacuations(version, state.listed_zones()));
        }
        self.board.mark_evacuations_received();
        self.evacuations.changed.notify_waiters();
    }

    fn log_evacuations(
        &self,
        before: &[ZoneName],
        zones: &[ZoneName],
        version: Option<StoreVersion>,
        source: &str,
    ) {
        let version = version.map(|version| version.to_string());
        for zone in zones.iter().filter(|zone| !before.contains(zone)) {
            info!(self.log, "zones: evacuated"; "zone" => %zone, "version" => &version,
                "source" => source);
        }
        for zone in before.iter().filter(|zone| !zones.contains(zone)) {
            info!(self.log, "zones: evacuation ended"; "zone" => %zone, "version" => &version,
                "source" => source);
        }
    }
}
