//! Settings of the daemon, read from a JSON file and fully checked before the daemon starts.

mod hosted;
mod load;
mod report;
mod timing;

pub use hosted::{
    ColdServerSettings, HostedSettings, HostedSettingsFile, RetrySettings, load_hosted_settings,
};
pub use load::{
    CallerSettings, DaemonSettings, LogFormat, LogLevel, PlatformSettings, load_settings,
};
pub use report::SettingsError;
pub use timing::{HostedBounds, HostedTiming, TimingError};
