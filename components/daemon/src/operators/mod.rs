//! The operators' HTTP interface, on the control thread.

mod accept;
mod api;
mod listener;
mod replies;

pub(crate) use accept::OperatorApi;
pub(crate) use listener::serve_operators;
