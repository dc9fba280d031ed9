//! The daemon on a hosting platform: a single-threaded runtime without a control thread or stored
//! data.
//!
//! The configuration and the backend servers come from the platform's store. All other decisions
//! are made locally, from what this entry VM observes.

mod control;
mod crash_exchange;
mod crash_store;
mod entry_log;
mod evacuation_state;
mod evacuations;
mod platform_view;
mod platform_watcher;
mod readiness;
mod relay_handover;
mod relay_role;
mod relay_subscriber;
mod run;
mod settings_watcher;
mod store_calls;
mod table_watcher;

pub use run::run_hosted;
