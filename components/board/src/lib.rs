//! The blackboard: shared state of an entry VM that controllers write and the request path reads.
//!
//! Every entry is either an immutable snapshot that is replaced as a whole or an atomic value, so a
//! stalled controller never delays a request.

mod atomic_instant;
mod blackboard;
mod hosted;

pub use atomic_instant::AtomicInstant;
pub use blackboard::{ActiveConfig, Blackboard, DrainNotice, FleetView};
pub use hosted::{HostedBoard, ShutdownTimes};
