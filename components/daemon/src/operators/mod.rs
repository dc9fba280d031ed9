//! The operators' HTTP interface, served by the control thread.

mod listener;
mod operator_api;
mod request_handler;
mod responses;

pub(crate) use listener::serve_operators;
pub(crate) use operator_api::OperatorApi;
