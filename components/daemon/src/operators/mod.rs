//! The operators' HTTP interface, on the control thread.

mod listener;
mod operator_api;
mod request_handler;
mod responses;

pub(crate) use listener::serve_operators;
pub(crate) use operator_api::OperatorApi;
