//! Calls to the operator listener of an entry VM.

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

/// Longest time for a call. A write is tried for 8 s and waits 2 s to be in force.
const CALL_TIME: Duration = Duration::from_secs(15);

/// Largest answer in bytes.
const MAX_ANSWER_BYTES: usize = 64 << 20;

/// Sends one request and reads its JSON answer.
pub(crate) fn call(
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
        match timeout(CALL_TIME, exchange(access, method, path, body)).await {
            Ok(answer) => answer,
            Err(_) => Err(CommandFault::failed(format!("no answer from {}", access.address))),
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
    let content = if body.is_null() { String::new() } else { body.to_string() };
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header("host", address.to_string())
        .header("authorization", format!("Bearer {}", access.key))
        .body(Full::new(Bytes::from(content)))
        .map_err(CommandFault::usage)?;
    let answer = sender.send_request(request).await.map_err(CommandFault::failed)?;
    let status = answer.status();
    let content = Limited::new(answer.into_body(), MAX_ANSWER_BYTES)
        .collect()
        .await
        .map_err(CommandFault::failed)?
        .to_bytes();
    let value = serde_json::from_slice(&content).map_err(|error| {
        CommandFault::failed(format!("answer of {address} is not JSON: {error}"))
    })?;
    Ok((status, value))
}

/// Reads from the daemon; any status but 200 is a refusal.
pub(crate) fn read(access: &DaemonAccess, path: &str) -> Result<Value, CommandFault> {
    let (status, answer) = call(access, Method::GET, path, &Value::Null)?;
    if status == StatusCode::OK {
        return Ok(answer);
    }
    Err(refusal(status, &answer))
}

/// The fault that a daemon's answer stands for.
pub(crate) fn refusal(status: StatusCode, answer: &Value) -> CommandFault {
    let detail = answer["detail"].as_str().unwrap_or("no detail");
    let reason: Box<str> = match answer["faults"].as_array() {
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
        StatusCode::GATEWAY_TIMEOUT => CommandFault::Unknown {
            operation: answer["operation"].as_str().unwrap_or_default().into(),
        },
        StatusCode::SERVICE_UNAVAILABLE => CommandFault::Failed { reason },
        _ => CommandFault::Refused { reason },
    }
}
