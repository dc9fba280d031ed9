//! The blackboard: what the control thread learns and the request path reads.
//!
//! Every entry is an immutable snapshot that is swapped whole, or an atomic number, so a stalled
//! controller never delays a request.

mod atomic_instant;
mod blackboard;
mod hosted;

pub use atomic_instant::AtomicInstant;
pub use blackboard::{ActiveConfig, Blackboard, DrainNotice, FleetView};
pub use hosted::HostedBoard;
