//! Chooses a backend server for each request.
//!
//! Everything here is a plain data structure: the clock and the random source are passed in, and
//! nothing does I/O. A choice takes constant time however many servers a group has.

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
    ASKED, AdmissionStep, CONNECT_TIME, HEDGE_PAUSE, LoadFigures, PlacedServer, PlacementEstimate,
    PlacementGroup, PlacementOptions, ROUNDS, RequestShape, RequestTimes, admit, come_back_late,
    come_back_soon, hedge_after, hold_step,
};
pub use server::{LoadReport, ServerAddress};
pub use subset::{choose_preferred, choose_subset};
pub use types::{
    BalanceOptions, GroupSpec, ListedServer, PickOutcome, ProbeOutcome, ProbeTarget, RequestSample,
    SampleOutcome, ServerTicket,
};
