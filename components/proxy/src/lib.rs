//! The request path: accepts callers' requests and forwards them to backend servers.
//!
//! `hosted` is a separate request path for entry VMs on a hosting platform. It shares the modules
//! for bodies, headers and connections.

mod body;
mod byte_budget;
mod caller_stream;
mod claim_coordinator;
mod clock;
mod dispatch;
mod exchange;
mod handler;
mod headers;
mod hosted;
mod idempotency;
mod listener;
mod pool;
mod prefixed_body;
mod probe;
mod refusal;
mod request_body;
mod response_body;
mod service;
mod waiting_body;
mod wrapped_stream;

pub use claim_coordinator::{ClaimCoordinator, run_claim_transactions};
pub use handler::RequestHandler;
pub use hosted::{
    AccountQuotas, HostedHandler, HostedListener, HostedOptions, HostedServices, MAX_SEND_DELAY,
};
pub use listener::{CallerListener, ListenerLimits};
pub use probe::{PlannedProbe, run_probe};
pub use refusal::{OUTCOME_HEADER, RequestRefusal, RunOutcome};
pub use service::{ServiceRuntime, ServiceTable};
