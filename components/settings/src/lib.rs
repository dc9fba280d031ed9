//! Settings of the daemon: read from JSON and checked whole before anything starts.

mod load;
mod report;

pub use load::{
    CallerSettings, DaemonSettings, LogFormat, LogLevel, PlatformSettings, load_settings,
};
pub use report::SettingsFault;
