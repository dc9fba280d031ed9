//! The blackboard: what the control thread learns and the request path reads.
//!
//! Every entry is an immutable snapshot that is swapped whole, or an atomic number, so a stalled
//! controller never delays a request.

mod blackboard;
mod clock;
mod hosted;

pub use blackboard::{ActiveConfig, Blackboard, DrainNotice, FleetView};
pub use clock::SharedInstant;
pub use hosted::HostedBoard;
