//! Placement of requests on servers that report their load and the current speed of their machine,
//! as the servers of a hosting platform do.
//!
//! Load pattern: at any moment a quarter or more of the machines are several times slower than
//! normal, soon another set of them, and one entry VM sends too few requests to each server to
//! derive its load from responses alone. A few candidates are therefore probed right before a request is
//! sent, and the request goes to the server with the shortest expected response time.

mod admission;
mod cold;
mod estimate;
mod group;
mod load_curve;
mod notices;
mod persistence;
mod server;
mod turns;
mod zone_latency;

pub use admission::{
    AdmissionDecision, CONNECT_TIMEOUT, GroupLoad, HEDGE_RETRY_INTERVAL, MAX_PROBE_ROUNDS,
    PROBES_PER_ROUND, RequestTimes, admit, hedge_delay, limited_retry_delay, long_retry_delay,
    queue_poll_interval, short_retry_delay,
};
pub use cold::{ColdBound, ColdLimits, ListedWarmUp, WarmUpResponse};
pub use estimate::{PlacementEstimate, RequestShape};
pub use group::{PlacementGroup, PlacementOptions, StartedRequest};
pub use load_curve::LoadCurve;
pub use notices::{NoticeEffect, ServerNotice};
pub use persistence::SpeedPersistence;
pub use server::{FirstReturn, PlacementServer, ServerIncarnation, ServerLoad};
pub use turns::{AssignedTurns, LimitResponse, SendTurns};
pub use zone_latency::ZoneLatencies;
