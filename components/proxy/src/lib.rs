//! The request path: accepts callers' requests and forwards them to backend servers.

mod answer;
mod body;
mod claiming;
mod clock;
mod dispatch;
mod exchange;
mod handler;
mod headers;
mod hosted;
mod listener;
mod pool;
mod prefixed;
mod probe;
mod recorded;
mod refusal;
mod request_body;
mod service;
mod timestamped_stream;

pub use claiming::{ClaimCoordinator, run_claims};
pub use handler::RequestHandler;
pub use hosted::{HostedHandler, HostedListener, HostedOptions, HostedServices};
pub use listener::{CallerListener, ListenerLimits};
pub use probe::{PlannedProbe, run_probe};
pub use refusal::{OUTCOME_HEADER, RequestRefusal, RunOutcome};
pub use service::{ServiceRuntime, ServiceTable};
