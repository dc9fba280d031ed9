//! The platform's list of backend servers, which lags behind their actual state.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use serde::{Deserialize, Serialize};

use model::{AccountId, GroupName, ServerId, ZoneName};

use crate::client::StoreFn;
use crate::http::StoreError;

/// A backend server in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerEntry {
    /// Identity of the backend server. The replacement of a server has a new one.
    pub id: ServerId,
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Client account that it belongs to. Invariant: only services of this account may use it.
    pub account: AccountId,
    /// Its group within the account.
    pub group: GroupName,
    /// Whether it accepts new requests.
    pub state: ServerState,
}

/// State of a backend server in the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServerState {
    /// Accepts new requests.
    Live,
    /// Draining: accepts no new requests.
    Leaving,
}

/// The list at one version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerList {
    /// Version of the list.
    pub version: u64,
    /// The entries; `None` if the caller already holds this version.
    pub entries: Option<Vec<ServerEntry>>,
}

/// Calls to a remote list of backend servers.
pub struct RemoteList {
    /// Reads the list; the argument is the version that the caller holds.
    pub load: StoreFn<Option<u64>, Result<ServerList, StoreError>>,
    /// Returns the bytes sent and received so far.
    pub transferred_bytes: Box<dyn Fn() -> u64 + Send + Sync>,
}

/// Client of the platform's list of backend servers.
#[derive(Clone)]
pub struct ServerListClient {
    access: ListAccess,
}

#[derive(Clone)]
enum ListAccess {
    Memory(Arc<Mutex<Vec<ServerEntry>>>),
    Remote(Arc<RemoteList>),
}

impl ServerListClient {
    /// Creates a client of a list in this process.
    pub fn in_memory(entries: Arc<Mutex<Vec<ServerEntry>>>) -> Self {
        Self { access: ListAccess::Memory(entries) }
    }

    /// Creates a client of a remote list.
    pub fn remote(list: RemoteList) -> Self {
        Self { access: ListAccess::Remote(Arc::new(list)) }
    }

    /// Returns the bytes sent and received so far; 0 for a list in this process.
    pub fn transferred_bytes(&self) -> u64 {
        match &self.access {
            ListAccess::Memory(_) => 0,
            ListAccess::Remote(remote) => (remote.transferred_bytes)(),
        }
    }

    /// Reads the list. A remote one returns no entries if its version is still `held_version`.
    pub async fn load(&self, held_version: Option<u64>) -> Result<ServerList, StoreError> {
        match &self.access {
            ListAccess::Memory(entries) => {
                let entries = entries.lock().expect("list lock is never poisoned").clone();
                Ok(ServerList { version: 0, entries: Some(entries) })
            }
            ListAccess::Remote(remote) => (remote.load)(held_version).await,
        }
    }
}
