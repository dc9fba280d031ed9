//! HTTP client for the operator listener of an entry VM.

use std::time::Duration;

use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Bytes;
use hyper::client::conn::http1;
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use serde_json::Value;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::cli::DaemonAccess;
use crate::errors::CommandFault;

/// Timeout of a request. The daemon retries a write for up to 8 s, then waits up to 2 s for it to
/// be in force.
const CALL_TIMEOUT: Duration = Duration::from_secs(15);

/// Maximum size of a response body.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// Sends a request and returns the status and the JSON body of its response.
pub(crate) fn send_request(
    access: &DaemonAccess,
    method: Method,
    path: &str,
    body: &Value,
) -> Result<(StatusCode, Value), CommandFault> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(CommandFault::failed)?;
    runtime.block_on(async {
        match timeout(CALL_TIMEOUT, exchange(access, method, path, body)).await {
            Ok(response) => response,
            Err(_) => Err(CommandFault::failed(format!("no response from {}", access.address))),
        }
    })
}

async fn exchange(
    access: &DaemonAccess,
    method: Method,
    path: &str,
    body: &Value,
) -> Result<(StatusCode, Value), CommandFault> {
    let address = access.address;
    let stream = TcpStream::connect(address)
        .await
        .map_err(|error| CommandFault::failed(format!("can't connect to {address}: {error}")))?;
    let (mut sender, connection) =
        http1::handshake(TokioIo::new(stream)).await.map_err(CommandFault::failed)?;
    tokio::spawn(connection);
    let body_text = if body.is_null() { String::new() } else { body.to_string() };
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header("host", address.to_string())
        .header("authorization", format!("Bearer {}", access.key))
        .body(Full::new(Bytes::from(body_text)))
        .map_err(CommandFault::usage)?;
    let response = sender.send_request(request).await.map_err(CommandFault::failed)?;
    let status = response.status();
    let body_bytes = Limited::new(response.into_body(), MAX_RESPONSE_BYTES)
        .collect()
        .await
        .map_err(CommandFault::failed)?
        .to_bytes();
    let value = serde_json::from_slice(&body_bytes).map_err(|error| {
        CommandFault::failed(format!("response of {address} is not JSON: {error}"))
    })?;
    Ok((status, value))
}

/// Sends a GET request and returns the JSON body. Any status but 200 is an error.
pub(crate) fn get_json(access: &DaemonAccess, path: &str) -> Result<Value, CommandFault> {
    let (status, response) = send_request(access, Method::GET, path, &Value::Null)?;
    if status == StatusCode::OK {
        return Ok(response);
    }
    Err(response_fault(status, &response))
}

/// Converts an error response of the daemon into the fault of the command.
pub(crate) fn response_fault(status: StatusCode, response: &Value) -> CommandFault {
    let detail = response["detail"].as_str().unwrap_or("no detail");
    let reason: Box<str> = match response["faults"].as_array() {
        Some(faults) => faults
            .iter()
            .map(|fault| {
                let text = |name: &str| fault[name].as_str().unwrap_or_default().to_owned();
                format!("{}: {}", text("path"), text("problem"))
            })
            .collect::<Vec<_>>()
            .join("\n")
            .into(),
        None => detail.into(),
    };
    match status {
        StatusCode::GATEWAY_TIMEOUT => CommandFault::UnknownOutcome {
            operation: response["operation"].as_str().unwrap_or_default().into(),
        },
        StatusCode::SERVICE_UNAVAILABLE => CommandFault::Failed { reason },
        _ => CommandFault::Refused { reason },
    }
}
