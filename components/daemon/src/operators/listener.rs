//! Listener for operators' connections.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpListener;
use tokio::sync::Semaphore;
use tokio::time::{sleep, timeout};

use observe::warn;

use crate::operators::operator_api::OperatorApi;
use crate::operators::request_handler::handle_request;

/// Maximum number of concurrent connections from operators and metrics scrapers.
const MAX_CONNECTIONS: usize = 64;

/// Maximum time to receive the head of a request.
const HEADER_READ_TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum lifetime of a connection.
const MAX_CONNECTION_AGE: Duration = Duration::from_secs(300);

/// Serves operators until the task is aborted.
pub(crate) async fn serve_operators(listener: TcpListener, api: Arc<OperatorApi>) {
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let Ok(permit) = Arc::clone(&permits).acquire_owned().await else {
            return;
        };
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                warn!(api.log, "operators: accept failed"; "reason" => %error);
                sleep(Duration::from_millis(100)).await;
                continue;
            }
        };
        let api = Arc::clone(&api);
        let service = service_fn(move |request| {
            let api = Arc::clone(&api);
            async move { Ok::<_, Infallible>(handle_request(&api, request).await) }
        });
        tokio::spawn(async move {
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(HEADER_READ_TIMEOUT)
                .serve_connection(TokioIo::new(stream), service);
            // A failed or expired connection affects only its operator, who can reconnect.
            let _ = timeout(MAX_CONNECTION_AGE, connection).await;
            drop(permit);
        });
    }
}
