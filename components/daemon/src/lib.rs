//! The daemon of an entry VM: a data runtime for requests and a control thread for everything else.
//! In hosted mode a single-threaded runtime does both.

mod control;
mod dev;
mod hosted;
mod operators;
mod run;
mod shutdown;

pub use dev::run_dev;
pub use hosted::run_hosted;
pub use run::run_daemon;
