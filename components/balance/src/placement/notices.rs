//! What servers say about themselves in their responses: that they leave, or want no requests for
//! some time.
//!
//! Load pattern: a server that is about to stop, or is overloaded, knows so before the server list
//! does, and tells each entry VM that it answers. The notice holds against all that is learned
//! elsewhere: a list entry that still says ready may be older, and arrives by several paths.

use std::time::Duration;

use model::{FastMap, ServerId};

use crate::placement::server::PlacementServer;

/// Largest number of leaving servers that are remembered after they left the server list. Beyond
/// it, the one that said so first is forgotten.
const MAX_LEAVING_SERVERS: usize = 4_096;

/// What a response says about its server.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ServerNotice {
    /// Whether the server is leaving.
    pub is_leaving: bool,
    /// Time for which the server wants no requests from this entry VM.
    pub rest: Option<Duration>,
    /// Values that could not be read, for the log.
    pub invalid: Option<Box<str>>,
}

/// Effect of a notice on what is known about a server.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct NoticeEffect {
    /// Whether the server was not known to be leaving before.
    pub starts_leaving: bool,
    /// Whether the server gets no requests for longer than before.
    pub extends_rest: bool,
}

/// Servers that said that they leave, by the start time of their incarnation.
#[derive(Debug, Default)]
pub(crate) struct LeavingServers {
    servers: FastMap<ServerId, LeavingServer>,
    /// Number of servers that were ever added.
    added: u64,
}

#[derive(Debug)]
struct LeavingServer {
    started_at_ms: u64,
    order: u64,
}

impl LeavingServers {
    /// Adds a server; returns whether it is new.
    pub(crate) fn insert(&mut self, server: &PlacementServer) -> bool {
        if self.contains(server) {
            return false;
        }
        if self.servers.len() == MAX_LEAVING_SERVERS {
            let oldest = self.servers.iter().min_by_key(|(_, leaving)| leaving.order);
            if let Some(id) = oldest.map(|(id, _)| id.clone()) {
                self.servers.remove(&id);
            }
        }
        self.added += 1;
        let leaving = LeavingServer { started_at_ms: server.started_at_ms, order: self.added };
        self.servers.insert(server.id.clone(), leaving);
        true
    }

    /// Whether this incarnation of a server, or a later one, said that it leaves.
    pub(crate) fn contains(&self, server: &PlacementServer) -> bool {
        let leaving = self.servers.get(&server.id);
        leaving.is_some_and(|leaving| server.started_at_ms <= leaving.started_at_ms)
    }
}
