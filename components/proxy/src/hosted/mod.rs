//! The request path of an entry VM on a hosting platform. Routes and servers come from the
//! platform, servers are selected by recent load reports, and nothing is stored on the VM.
//!
//! `listener` reads a request, `pipelining` those behind it, `handler` finds its route, `identity`
//! its client account, `dispatch` decides how often and when it
//! is sent, `selection` selects a server, `attempt` sends it once, and `refusal` builds the
//! response if there is none from a server. `server_access` knows whether any server is reachable. `service` holds the state of each service,
//! `route_stats` that of each route, `quota` the credits of client accounts.

mod access_check;
mod attempt;
mod contacts;
mod crash_detector;
mod dispatch;
mod forward;
mod handler;
mod helpers;
mod identity;
mod listener;
mod pipelining;
mod quota;
mod refusal;
mod requested_times;
mod route_stats;
mod selection;
mod server_access;
mod server_lease;
mod service;

pub use attempt::MAX_SEND_DELAY;
pub use handler::{HostedHandler, HostedOptions};
pub use listener::HostedListener;
pub use quota::AccountQuotas;
pub use service::HostedServices;
