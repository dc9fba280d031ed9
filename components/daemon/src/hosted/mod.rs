//! The daemon on a hosting platform: one thread, no control of its own, nothing stored.
//!
//! Configuration and backend servers come from the platform's store; everything else is decided
//! here from what this entry VM sees.

mod platform_view;
mod platform_watcher;
mod readiness;
mod relay_subscriber;
mod run;
mod table_watcher;

pub use run::run_hosted;
