//! Routes, services and backend servers supplied by a hosting platform, in mustardrail's own types.
//!
//! A platform of this kind has its own interface for operators. Its configuration is not kept as
//! versioned records of mustardrail: each update is complete and replaces the previous one.

mod accounts;
mod evacuation;
mod interface;
mod registry;
mod server;
mod table;

pub use accounts::{
    AccountEntry, AccountError, AccountName, ClientAccount, ClientAccounts, KeyHash,
};
pub use evacuation::{EvacuatedZones, EvacuationChange};
pub use interface::{HeaderNames, WireInterface};
pub use registry::ServerRegistry;
pub use server::{ServerChange, ServerRecord};
pub use table::{
    CONFIG_FORMAT, CallerLimits, ExecutionSemantics, HostedRoute, RouteTable, ServiceInfo,
    ServiceName, WarmUp, WeightedService,
};
