//! The platform's list of backend servers, which lags behind the truth.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use serde::{Deserialize, Serialize};

use model::{AccountId, GroupName, ServerId, ZoneName};

use crate::client::StoreFn;
use crate::http::StoreError;

/// A backend server in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerEntry {
    /// The backend server's identity. A replaced server has a new one.
    pub id: ServerId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// The account that it belongs to. Invariant: only this account's services may use it.
    pub account: AccountId,
    /// Its group within the account.
    pub group: GroupName,
    /// Whether it is leaving.
    pub state: ServerState,
}

/// What the list says of a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServerState {
    /// It takes new work.
    Live,
    /// It takes no new work.
    Leaving,
}

/// The list at one version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerList {
    /// Version of the list.
    pub version: u64,
    /// The entries; `None` when the version is the one that was asked with.
    pub entries: Option<Vec<ServerEntry>>,
}

/// How a list behind a network is called: with the version that is known.
pub struct RemoteList {
    /// Reads the list.
    pub load: StoreFn<Option<u64>, Result<ServerList, StoreError>>,
    /// Bytes sent and received so far.
    pub transferred_bytes: Box<dyn Fn() -> u64 + Send + Sync>,
}

/// Access to the platform's list of backend servers.
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
    /// A list inside this process.
    pub fn in_memory(entries: Arc<Mutex<Vec<ServerEntry>>>) -> Self {
        Self { access: ListAccess::Memory(entries) }
    }

    /// A list behind a network.
    pub fn remote(list: RemoteList) -> Self {
        Self { access: ListAccess::Remote(Arc::new(list)) }
    }

    /// Bytes sent and received so far; 0 for a list in this process.
    pub fn transferred_bytes(&self) -> u64 {
        match &self.access {
            ListAccess::Memory(_) => 0,
            ListAccess::Remote(remote) => (remote.transferred_bytes)(),
        }
    }

    /// Reads the list, unless it still has the version that is known.
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
