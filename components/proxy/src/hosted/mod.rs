//! Requests of an entry VM on a hosting platform: routes and servers come from the platform, work
//! is placed by fresh reports, and nothing is stored here.
//!
//! A request's way: `listener` reads it, `handler` finds its route, `dispatch` decides how often
//! and when it is sent, `placing` chooses a server, `attempt` sends it once, `refusal` answers what
//! no server answered.

mod attempt;
mod dispatch;
mod handler;
mod listener;
mod refusal;
mod route_stats;
mod selection;
mod service;

pub use handler::{HostedHandler, HostedOptions};
pub use listener::HostedListener;
pub use service::HostedServices;
