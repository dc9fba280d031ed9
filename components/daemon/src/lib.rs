//! The daemon: a data runtime for requests and a control thread for everything else.

mod control;
mod dev;
mod operators;
mod run;
mod shutdown;

pub use dev::run_dev;
pub use run::run_daemon;
