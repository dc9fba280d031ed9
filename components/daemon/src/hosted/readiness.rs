//! HTTP endpoints for the platform's readiness checks and for metrics.

use std::convert::Infallible;
use std::sync::Arc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::time::{Duration, Instant, sleep};

use board::HostedBoard;
use observe::{HostedMetrics, Logger, warn};
use proxy::HostedServices;

/// Path of the metrics; every other path reports readiness.
const METRICS_PATH: &str = "/metrics";

/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// State that the endpoints report.
#[derive(Clone)]
pub(crate) struct ReadinessContext {
    pub(crate) board: Arc<HostedBoard>,
    pub(crate) services: Arc<HostedServices>,
    pub(crate) metrics: HostedMetrics,
    pub(crate) log: Logger,
}

/// Serves readiness and metrics until the future is dropped.
pub(crate) async fn serve_readiness(listener: TcpListener, context: ReadinessContext) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let context = context.clone();
                tokio::spawn(async move {
                    let service = service_fn(move |request| {
                        let response = build_response(&context, &request);
                        async move { Ok::<_, Infallible>(response) }
                    });
                    // A client whose connection breaks can retry.
                    let _ =
                        http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
                });
            }
            Err(error) => {
                warn!(context.log, "readiness: accept failed"; "reason" => %error);
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

fn build_response(
    context: &ReadinessContext,
    request: &Request<Incoming>,
) -> Response<Full<Bytes>> {
    if request.uri().path() == METRICS_PATH {
        let cold_servers = context.services.cold_servers(Instant::now());
        context.metrics.cold_servers.set(cold_servers as i64);
        return Response::new(Full::new(Bytes::from(context.metrics.render())));
    }
    let mut response = Response::new(Full::default());
    if !context.board.is_ready() {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    response
}
