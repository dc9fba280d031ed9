//! The evacuated availability zones of the platform view.

use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

use tokio::sync::Notify;

use model::StoreVersion;
use routes::EvacuatedZones;

/// The evacuated zones of the platform view.
pub(super) struct EvacuationState {
    zones: Mutex<EvacuatedZones>,
    /// Notified when a listing or a change has been applied.
    pub(super) changed: Notify,
}

impl EvacuationState {
    /// Creates a state without zones. `retention` is that of `EvacuatedZones`.
    pub(super) fn new(retention: Duration) -> Self {
        Self { zones: Mutex::new(EvacuatedZones::new(retention)), changed: Notify::new() }
    }

    /// Version of the store that the zones reflect; `None` before the first listing.
    pub(super) fn version(&self) -> Option<StoreVersion> {
        self.lock().version()
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, EvacuatedZones> {
        self.zones.lock().expect("evacuation lock is never poisoned")
    }
}
