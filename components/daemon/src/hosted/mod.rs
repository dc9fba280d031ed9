//! The daemon on a hosting platform: one thread, no control of its own, nothing stored.
//!
//! Configuration and backend servers come from the platform's store; everything else is decided
//! here from what this entry VM sees.

mod following;
mod knowledge;
mod readiness;
mod run;
mod subscribing;
mod table;

pub use run::run_hosted;
