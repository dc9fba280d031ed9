//! The platform's object store.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hyper::{Method, StatusCode};
use serde_json::json;

use crate::http::{JsonClient, StoreError};

/// Access to the platform's object store.
#[derive(Debug)]
pub struct ObjectClient {
    client: JsonClient,
}

impl ObjectClient {
    /// The object store at `address`; every call takes at most `deadline`.
    pub fn new(address: SocketAddr, deadline: Duration) -> Self {
        Self { client: JsonClient::new(address, deadline) }
    }

    /// Writes an object whole.
    pub async fn put(&self, name: &str, content: Bytes) -> Result<(), StoreError> {
        let path = object_path(name);
        let (status, _) = self.client.send(Method::PUT, &path, content).await?;
        expect_ok(&path, status)
    }

    /// Reads an object; `None` when it does not exist.
    pub async fn get(&self, name: &str) -> Result<Option<Bytes>, StoreError> {
        let path = object_path(name);
        let (status, content) = self.client.send(Method::GET, &path, Bytes::new()).await?;
        if status == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        expect_ok(&path, status).map(|()| Some(content))
    }

    /// Names of the objects that begin with `prefix`, in order.
    pub async fn list(&self, prefix: &str) -> Result<Vec<Box<str>>, StoreError> {
        self.client.call("/objects/list", &json!({ "prefix": prefix })).await
    }

    /// Deletes an object, if it exists.
    pub async fn delete(&self, name: &str) -> Result<(), StoreError> {
        let path = object_path(name);
        let (status, _) = self.client.send(Method::DELETE, &path, Bytes::new()).await?;
        expect_ok(&path, status)
    }
}

fn object_path(name: &str) -> String {
    format!("/objects/{name}")
}

fn expect_ok(path: &str, status: StatusCode) -> Result<(), StoreError> {
    if status == StatusCode::OK {
        return Ok(());
    }
    Err(StoreError { call: path.into(), reason: format!("status {status}").into() })
}
