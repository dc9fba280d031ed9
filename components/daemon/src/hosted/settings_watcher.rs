//! Follows changes of the settings file while the daemon runs.

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use tokio::signal::unix::Signal;
use tokio::sync::watch;
use tokio::time::{MissedTickBehavior, interval};

use observe::{Logger, info, warn};
use settings::{HostedSettings, HostedSettingsFile};

/// Interval at which the settings file is read. It may change without a signal.
pub(crate) const SETTINGS_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// The settings in effect, as their receivers see them.
pub(crate) type SettingsReceiver = watch::Receiver<Arc<HostedSettings>>;

/// Reads the settings file on SIGHUP and at intervals, and puts changes in effect.
pub(crate) struct SettingsWatcher {
    file: HostedSettingsFile,
    /// Settings at the start of the process, some of which only a start can change.
    started: HostedSettings,
    /// SIGHUP; `None` if it can't be handled.
    hangups: Option<Signal>,
    settings: watch::Sender<Arc<HostedSettings>>,
    log: Logger,
}

impl SettingsWatcher {
    /// Creates a watcher of the file at `path`, from which `started` was loaded.
    pub(crate) fn new(
        path: &Path,
        started: HostedSettings,
        hangups: Option<Signal>,
        log: Logger,
    ) -> Self {
        let settings = watch::Sender::new(Arc::new(started.clone()));
        Self { file: HostedSettingsFile::new(path), started, hangups, settings, log }
    }

    /// Returns a receiver of the settings in effect.
    pub(crate) fn subscribe(&self) -> SettingsReceiver {
        self.settings.subscribe()
    }

    /// Puts changes in effect until the future is dropped.
    pub(crate) async fn run(mut self) {
        let mut ticks = interval(SETTINGS_CHECK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let is_signalled = tokio::select! {
                _ = ticks.tick() => false,
                is_signalled = next_hangup(&mut self.hangups) => is_signalled,
            };
            self.check(is_signalled);
        }
    }

    /// Reads the file and puts its settings in effect if they have changed.
    fn check(&mut self, is_signalled: bool) {
        let loaded = match self.file.load_changed() {
            None if is_signalled => return info!(self.log, "settings: reloaded, nothing changed"),
            None => return,
            Some(Ok(loaded)) => loaded,
            Some(Err(error)) => {
                warn!(self.log, "settings: reload failed; those in effect stay";
                    "reason" => %error);
                return;
            }
        };
        let (settings, kept) = loaded.with_start_settings(&self.started);
        if !kept.is_empty() {
            warn!(self.log, "settings: changed; a restart is needed to apply some of them";
                "names" => kept.join(", "));
        }
        let has_changed = self.settings.send_if_modified(|current| {
            let has_changed = **current != settings;
            *current = Arc::new(settings);
            has_changed
        });
        match has_changed {
            true => info!(self.log, "settings: changed, in effect now";
                "relays" => format!("{:?}", self.settings.borrow().relays)),
            false if is_signalled => info!(self.log, "settings: reloaded, nothing changed"),
            false => {}
        }
    }
}

/// Waits for the next SIGHUP; forever if it can't be handled.
async fn next_hangup(hangups: &mut Option<Signal>) -> bool {
    match hangups {
        Some(hangups) => hangups.recv().await.is_some(),
        None => std::future::pending().await,
    }
}
