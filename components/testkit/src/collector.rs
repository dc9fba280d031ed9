//! A fake trace collector that stores the spans it receives.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::Response;
use serde_json::Value;

use crate::web::{WebServer, never};

/// A fake collector for OTLP over HTTP with JSON.
pub struct FakeCollector {
    server: WebServer,
}

impl FakeCollector {
    /// Starts a collector that adds all spans to `spans`.
    pub async fn start(spans: Arc<Mutex<Vec<Value>>>) -> Self {
        let server = WebServer::start(move |request| {
            let spans = Arc::clone(&spans);
            async move {
                let body = request.into_body().collect().await.ok()?.to_bytes();
                let message: Value = serde_json::from_slice(&body).ok()?;
                let mut collected = spans.lock().expect("span lock is never poisoned");
                for resource in message["resourceSpans"].as_array().into_iter().flatten() {
                    for scope in resource["scopeSpans"].as_array().into_iter().flatten() {
                        collected.extend(scope["spans"].as_array().into_iter().flatten().cloned());
                    }
                }
                let body = Full::new(Bytes::from_static(b"{}")).map_err(never).boxed_unsync();
                Some(Response::new(body))
            }
        })
        .await;
        Self { server }
    }

    /// The address at which the collector listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }
}
