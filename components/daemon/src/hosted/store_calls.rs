//! How this entry VM calls the platform's store.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::Mutex;

use platform::PlatformStore;

/// Client of the store and timing of its calls.
#[derive(Clone)]
pub(crate) struct StoreCallConfig {
    pub(crate) store: Arc<PlatformStore>,
    /// Long-poll time of one call, including the delay of the response.
    pub(crate) long_poll_wait: Duration,
    /// Pause after changes, so that changes in quick succession need only one call.
    pub(crate) batching_pause: Duration,
    /// Pause after an outdated listing and after the first failed call. Doubled after each further
    /// failed call.
    pub(crate) first_retry_pause: Duration,
    /// Upper bound of the backoff after consecutive failed calls.
    pub(crate) max_failure_pause: Duration,
    /// Longest wait before the pause after a failed call while relays say that their calls fail too.
    pub(crate) known_outage_pause: Duration,
    /// Held during each call and the pause after it while calls fail, so that only one of the two
    /// tables is requested at a time.
    pub(crate) failing_call_lock: Arc<Mutex<()>>,
}
