//! Routes, services and backend servers as a hosting platform gives them, in the product's words.
//!
//! On a platform that brings its own operators' interface, nothing here is a versioned record of
//! the product: a whole configuration arrives at once and replaces the one before.

mod interface;
mod registry;
mod server;
mod table;

pub use interface::{HeaderNames, WireInterface};
pub use registry::ServerRegistry;
pub use server::{ServerChange, ServerRecord};
pub use table::{
    CallerLimits, ExecutionSemantics, HostedRoute, RouteTable, ServiceInfo, ServiceName,
    WeightedService,
};
