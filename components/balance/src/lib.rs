//! Chooses a backend server for each request.
//!
//! All types are plain data structures without I/O; callers pass in the clock and the random
//! source. Large groups are sampled, so the time of one choice doesn't grow with their size.

mod custom;
mod eject;
mod estimate;
mod group;
mod placement;
mod server;
mod subset;
mod types;

pub use custom::{CandidateView, CustomChoice};
pub use group::ServerGroup;
pub use placement::{
    AdmissionDecision, AssignedTurns, CONNECT_TIMEOUT, ColdBound, ColdLimits, FirstReturn,
    GroupLoad, HEDGE_RETRY_INTERVAL, LimitResponse, ListedWarmUp, LoadCurve, MAX_PROBE_ROUNDS,
    NoticeEffect, PROBES_PER_ROUND, PlacementEstimate, PlacementGroup, PlacementOptions,
    PlacementServer, RequestShape, RequestTimes, SendTurns, ServerIncarnation, ServerLoad,
    ServerNotice, SpeedPersistence, StartedRequest, WarmUpResponse, ZoneLatencies, admit,
    hedge_delay, limited_retry_delay, long_retry_delay, queue_poll_interval, short_retry_delay,
};
pub use server::{LoadReport, ServerEndpoint};
pub use subset::{choose_preferred, choose_subset};
pub use types::{
    BalanceOptions, GroupSpec, ListedServer, PickOutcome, ProbeOutcome, ProbeTarget, RequestSample,
    SampleOutcome, ServerTicket,
};
