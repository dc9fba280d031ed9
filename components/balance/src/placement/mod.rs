//! Placement of requests whose servers report their load and the momentary speed of their machine.
//!
//! Load pattern answered: a quarter or more of the servers' machines are five times slower at any
//! moment, changing every 150 ms, and one entry VM sends too little to each server to know its load
//! from answers alone. So a few candidates are asked right before a request is sent, and the
//! request goes to the one that is expected to end it first.

mod admission;
mod estimate;
mod group;
mod server;

pub use admission::{
    AdmissionDecision, CONNECT_TIMEOUT, HEDGE_RETRY_INTERVAL, MAX_PROBE_ROUNDS, PROBES_PER_ROUND,
    RequestTimes, admit, hedge_delay, long_retry_delay, queue_poll_interval, short_retry_delay,
};
pub use estimate::{PlacementEstimate, RequestShape};
pub use group::{PlacementGroup, PlacementOptions};
pub use server::{PlacementServer, ServerLoad};
